//! Requests to one replica and over several shards.

mod forward_harness;

use std::{collections::HashMap, time::Duration};

use forward_harness::{
    Harness, SentAttempt, gather_route, ms, plain_route, rejected_reply, replica, reply,
    route_table,
};
use proptest::prelude::*;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Answer, AttemptKind, Event, Failure, ReplicaInfo, ReplicaKey, ReplicaState, Reply, Resend,
    Route, Submission, Target,
};

fn at_most_once_route(name: &str, service: &str) -> Route {
    Route { is_idempotent: false, ..plain_route(name, service) }
}

fn two_replicas(service: &str) -> Vec<ReplicaInfo> {
    vec![replica("r1", service, "a"), replica("r2", service, "b")]
}

fn shard_names(count: usize) -> Vec<String> {
    (0..count).map(|it| format!("s{it}")).collect()
}

/// Returns a harness with a gather route over shards of two replicas each.
fn gather_harness(count: usize, min_share: f32) -> Harness {
    let names = shard_names(count);
    let refs: Vec<&str> = names.iter().map(String::as_str).collect();
    let replicas = names.iter().flat_map(|it| {
        [replica(&format!("{it}-1"), it, "a"), replica(&format!("{it}-2"), it, "b")]
    });
    Harness::new(vec![gather_route("all", &refs, min_share)], replicas.collect())
}

#[test]
fn a_reply_is_relayed_unchanged() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    assert_eq!(harness.sent[0].replica_id, "r1", "the instance's own data centre is preferred");
    harness.reply_to(0, reply(200, "stamp", b"body"));
    assert_eq!(*harness.only_answer(), Answer::Relay(reply(200, "stamp", b"body")));
}

/// The route with the longest matching prefix is selected, regardless of the order in the
/// configuration.
#[test]
fn the_longest_prefix_selects_the_route() {
    let short = Route { prefix: "/".into(), ..plain_route("short", "s1") };
    let long = Route { prefix: "/a/b/".into(), ..plain_route("long", "s2") };
    let routes = route_table(1, vec![short, long]);
    let name = |path| routes.find("h.example", path).map(|it| it.name.clone());
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/bc").as_deref(), Some("short"));
    assert_eq!(routes.find("other.example", "/a/b/c"), None);
}

/// Most replicas of a service have just crashed. Each connection that is refused costs nothing, so a
/// request goes on to those that are left.
#[test]
fn a_request_reaches_the_replicas_that_are_left() {
    for route in [plain_route("p", "s"), at_most_once_route("p", "s")] {
        let replicas = (0..8).map(|it| replica(&format!("r{it}"), "s", "a")).collect();
        let mut harness = Harness::new(vec![route], replicas);
        harness.submit("p");
        for index in 0..7 {
            assert_eq!(harness.sent.len(), index + 1);
            harness.fail(index, Failure::Unreachable);
        }
        harness.reply_to(7, reply(200, "stamp", b""));
        assert_eq!(*harness.only_answer(), Answer::Relay(reply(200, "stamp", b"")));
    }
}

/// When no replica is left, the request is refused at once as not run.
#[test]
fn a_request_without_a_reachable_replica_is_refused() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    harness.fail(0, Failure::Unreachable);
    harness.fail(1, Failure::Unreachable);
    assert_eq!(harness.sent.len(), 2);
    assert_eq!(harness.refusal_kind(), ErrorKind::Overloaded);
}

/// The last attempt and a request that must not run twice wait longer on a new connection, because their
/// answer would be an unknown outcome if the replica reset it.
#[test]
fn attempts_state_whether_the_request_may_be_sent_again() {
    let cases = [
        (plain_route("p", "s"), vec![Resend::Allowed, Resend::LastAttempt]),
        (Route { max_attempts: 1, ..plain_route("p", "s") }, vec![Resend::LastAttempt]),
        (at_most_once_route("p", "s"), vec![Resend::NotIdempotent]),
        (plain_route("p", "single"), vec![Resend::LastAttempt]),
    ];
    for (route, expected) in cases {
        let replicas = [two_replicas("s"), vec![replica("r3", "single", "b")]].concat();
        let mut harness = Harness::new(vec![route], replicas);
        harness.submit("p");
        harness.mark_sent(0);
        harness.fail(0, Failure::Broken);
        let resends: Vec<Resend> = harness.sent.iter().map(|it| it.resend).collect();
        assert_eq!(resends, expected);
    }
    // A search is answered without a part rather than late.
    let mut harness = gather_harness(1, 0.0);
    harness.submit("all");
    harness.mark_sent(0);
    harness.fail(0, Failure::Broken);
    assert_eq!(harness.sent[1].resend, Resend::Allowed);
}

/// Guards against requests that end without an answer because the process exits before their deadline.
/// The answers state what is known.
#[test]
fn requests_are_answered_before_the_process_exits() {
    let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
    harness.submit("o");
    harness.mark_sent(0);
    harness.handle(Event::Stopping { answer_by: harness.now + ms(50) });
    harness.submit("o");
    harness.advance(ms(49));
    assert_eq!(harness.answers, []);
    harness.advance(ms(1));
    let kinds = harness.answers.iter().map(|it| match &it.1 {
        Answer::Refused { kind, .. } => *kind,
        other => panic!("not refused: {other:?}"),
    });
    assert_eq!(
        kinds.collect::<Vec<_>>(),
        [ErrorKind::OutcomeUnknown, ErrorKind::DeadlineUnreachable]
    );
}

/// Guards against requests that are accepted shortly before the process exits and end with an unknown
/// outcome: one that cannot be answered in time is refused at once, and another instance can serve it.
#[test]
fn requests_that_take_longer_than_the_rest_of_the_grace_period_are_refused() {
    let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
    for index in 0..10 {
        harness.submit("o");
        harness.mark_sent(index);
        harness.advance(ms(60));
        harness.reply_to(index, reply(200, "stamp", b""));
    }
    let served = harness.answers.len();
    harness.handle(Event::Stopping { answer_by: harness.now + ms(200) });
    harness.submit("o");
    assert_eq!(harness.sent.len(), 11, "there is time for one more");
    harness.advance(ms(160));
    assert_eq!(harness.try_submit("o"), Err(not_ready()));
    harness.advance(ms(40));
    assert_eq!(harness.try_submit("o"), Err(not_ready()), "the process is about to exit");
    assert_eq!(harness.sent.len(), 11);
    assert_eq!(harness.answers.len(), served + 1);
}

fn not_ready() -> Answer {
    Answer::Refused { kind: ErrorKind::NotReady, retry_after: Some(Duration::ZERO) }
}

/// A request whose time has passed, for example during a slow upload, is not sent any more.
#[test]
fn a_request_without_time_is_refused() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    let submission = Submission { client_timeout: Some(Duration::ZERO), ..harness.submission("p") };
    let mut out = Vec::new();
    let answer = harness.forwarder.submit(harness.now, &submission, &mut out).unwrap_err();
    let kind = ErrorKind::DeadlineUnreachable;
    assert_eq!(answer, Answer::Refused { kind, retry_after: None });
    assert!(out.is_empty(), "{out:?}");
}

/// A request that must not be executed twice is retried only if it was certainly not executed.
#[test]
fn an_at_most_once_request_is_retried_only_if_it_was_not_executed() {
    let cases = [
        (Failure::NotSent, false, 2),
        (Failure::Unreachable, false, 2),
        (Failure::WrongReplica, true, 2),
        (Failure::Broken, true, 1),
        (Failure::Overlong, true, 1),
        (Failure::NoMemory, true, 1),
    ];
    for (failure, is_sent, sends) in cases {
        let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
        harness.submit("o");
        if is_sent {
            harness.mark_sent(0);
        }
        harness.fail(0, failure);
        assert_eq!(harness.sent.len(), sends, "{failure:?}");
    }
    let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
    harness.submit("o");
    harness.reply_to(0, rejected_reply());
    assert_eq!(harness.sent.len(), 2, "the replica rejected the request");
}

/// A refusal states that the request was not executed. After a broken connection that is unknown.
#[test]
fn an_unknown_outcome_is_not_reported_as_not_executed() {
    let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
    harness.submit("o");
    harness.mark_sent(0);
    harness.fail(0, Failure::Broken);
    assert_eq!(harness.refusal_kind(), ErrorKind::OutcomeUnknown);
}

/// A 503 reply without the statement that nothing was executed must not be relayed as if it made
/// that statement.
#[test]
fn a_503_without_a_not_executed_statement_is_not_relayed() {
    let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
    harness.submit("o");
    harness.reply_to(0, reply(503, "stamp", b""));
    assert_eq!(harness.refusal_kind(), ErrorKind::OutcomeUnknown);
}

#[test]
fn an_error_reply_is_relayed_when_the_retry_fails_as_well() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    harness.reply_to(0, reply(500, "p1", b"first"));
    harness.reply_to(1, reply(500, "p2", b"second"));
    assert_eq!(*harness.only_answer(), Answer::Relay(reply(500, "p2", b"second")));
}

/// Guards against failed replies that fill the memory while their requests are retried: a large one is not
/// kept for the case that the retry fails without a reply.
#[test]
fn a_large_error_reply_is_kept_no_longer_than_its_retry_begins() {
    for (len, is_kept) in [(4 << 10, true), ((4 << 10) + 1, false)] {
        let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
        harness.submit("p");
        harness.reply_to(0, reply(500, "p1", &vec![1; len]));
        harness.mark_sent(1);
        harness.fail(1, Failure::Broken);
        let is_relayed = matches!(harness.only_answer(), Answer::Relay(it) if it.body.len() == len);
        assert_eq!(is_relayed, is_kept, "{len}");
        // Without a retry, an error reply of any size is relayed.
        let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
        harness.submit("o");
        harness.reply_to(0, reply(500, "p1", &vec![1; len]));
        assert!(matches!(harness.only_answer(), Answer::Relay(it) if it.body.len() == len));
    }
}

/// A success reply without a server stamp is not proven to come from the replica.
#[test]
fn a_success_without_a_stamp_is_not_relayed() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    harness.reply_to(0, reply(200, "", b"forged"));
    assert_eq!(harness.sent.len(), 2);
    harness.reply_to(1, reply(200, "stamp", b"true"));
    assert_eq!(*harness.only_answer(), Answer::Relay(reply(200, "stamp", b"true")));
}

/// Guards against too many executions: a retry was hedged while it was still connecting, so three
/// replicas executed a request of a route with two attempts. Seen in kspoon-search-grown scale-2.
#[test]
fn connecting_attempts_count_towards_the_limit() {
    let replicas: Vec<_> = (0..4).map(|it| replica(&format!("r{it}"), "s", "a")).collect();
    let mut harness = Harness::new(vec![plain_route("p", "s")], replicas);
    harness.submit("p");
    harness.mark_sent(0);
    harness.fail(0, Failure::Broken);
    assert_eq!(harness.sent.len(), 2, "the broken attempt is retried");
    harness.advance(ms(200));
    assert_eq!(harness.sent.len(), 2, "the retry may still be executed");
    harness.fail(1, Failure::NotSent);
    assert_eq!(harness.sent.len(), 3, "the retry was not executed");
}

#[test]
fn the_greatest_records_of_all_parts_are_merged() {
    let mut harness = gather_harness(2, 1.0);
    harness.submit("all");
    let record = |it: u8| vec![it; 16];
    harness.reply_to(0, reply(200, "p0", &[record(1), record(5), vec![9; 7]].concat()));
    harness.reply_to(1, reply(200, "p1", &[record(3), record(5)].concat()));
    let Answer::Merged { stamps, missing, body } = harness.only_answer() else { panic!() };
    assert_eq!((stamps.len(), *missing), (2, 0));
    assert_eq!(*body, [record(5), record(5), record(3)].concat());
}

/// An incomplete answer in time is worth more than a complete one that is late.
#[test]
fn an_incomplete_answer_is_sent_within_the_latency_objective() {
    let mut harness = gather_harness(10, 0.89);
    harness.submit("all");
    for it in 0..9 {
        harness.reply_to(it, reply(200, &format!("p{it}"), b""));
    }
    harness.mark_sent(9);
    harness.advance(ms(80));
    assert_eq!(harness.answers.len(), 0, "there is still time");
    harness.advance(ms(15));
    assert!(matches!(harness.only_answer(), Answer::Merged { missing: 1, .. }));
}

#[test]
fn an_answer_below_the_minimum_shard_fraction_is_not_sent() {
    let mut harness = gather_harness(10, 0.89);
    harness.submit("all");
    for it in 0..8 {
        harness.reply_to(it, reply(200, &format!("p{it}"), b""));
    }
    harness.advance(ms(500));
    assert_eq!(harness.answers.len(), 0);
    // The ninth part completes the request at once, although late.
    harness.reply_to(8, reply(200, "p8", b""));
    assert!(matches!(harness.only_answer(), Answer::Merged { missing: 1, .. }));
}

/// Parts of a request that cannot succeed would only load the replicas.
#[test]
fn a_search_without_enough_shards_is_refused_before_anything_is_sent() {
    let mut harness = gather_harness(10, 0.89);
    let left = (0..8).map(|it| replica(&format!("s{it}-1"), &format!("s{it}"), "a")).collect();
    harness.handle(Event::Replicas(left));
    harness.submit("all");
    assert_eq!(harness.sent.len(), 0);
    assert_eq!(harness.refusal_kind(), ErrorKind::NoReplica);
}

/// Each instance has a share of the connections. In a burst, parts wait for a connection instead of
/// being left out.
#[test]
fn a_part_waits_for_a_replica_with_free_capacity() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], vec![replica("r1", "s", "a")]);
    harness.set_instance_count(20);
    for _ in 0..3 {
        harness.submit("p");
    }
    assert_eq!(harness.sent.len(), 2, "two connections are this instance's share");
    harness.reply_to(0, reply(200, "p", b""));
    harness.advance(ms(5));
    assert_eq!(harness.sent.len(), 3);
    // The wait is limited so that the client can try another instance.
    harness.submit("p");
    harness.advance(ms(40));
    let refused = harness.answers.iter().filter(|it| matches!(it.1, Answer::Refused { .. }));
    assert_eq!(refused.count(), 1);
}

/// A replica at its connection limit gets the request when it has free capacity again. Nothing was
/// sent, so this is also safe for requests that must be executed at most once.
#[test]
fn a_request_waits_for_a_replica_at_its_connection_limit() {
    let mut harness =
        Harness::new(vec![at_most_once_route("o", "s")], vec![replica("r1", "s", "a")]);
    harness.submit("o");
    harness.fail(0, Failure::NotAccepted);
    assert_eq!(harness.answers.len(), 0);
    harness.advance(ms(24));
    assert_eq!(harness.sent.len(), 2);
    harness.reply_to(1, reply(200, "stamp", b""));
    assert!(matches!(harness.only_answer(), Answer::Relay(_)));
}

/// Both replicas reject requests, one after the other. A request that the first one rejects again
/// must not be refused because the second one counts as full for another moment.
#[test]
fn a_rejected_request_waits_for_another_replica_that_is_full_for_a_moment() {
    let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
    harness.submit("o");
    harness.reply_to(0, rejected_reply());
    harness.advance(ms(5));
    harness.reply_to(1, rejected_reply());
    assert_eq!(harness.refusal_kind(), ErrorKind::Overloaded);
    // The replicas count as full for 25 ms after their replies.
    harness.advance(ms(21));
    harness.submit("o");
    let ids: Vec<&str> = harness.sent[2..].iter().map(|it| it.replica_id.as_str()).collect();
    assert_eq!(ids, ["r1"]);
    harness.reply_to(2, rejected_reply());
    assert_eq!(harness.answers.len(), 1, "the second request waits");
    harness.advance(ms(8));
    assert_eq!(harness.sent.len(), 4);
    assert_eq!(harness.sent[3].replica_id, "r2");
    harness.reply_to(3, reply(200, "stamp", b""));
    assert!(matches!(harness.answers[1].1, Answer::Relay(_)));
}

/// The wait for a retry is short: the client can try another instance.
#[test]
fn a_rejected_request_is_refused_when_no_replica_has_free_capacity_soon() {
    let mut harness = Harness::new(vec![at_most_once_route("o", "s")], two_replicas("s"));
    harness.submit("o");
    harness.submit("o");
    harness.reply_to(0, rejected_reply());
    harness.reply_to(1, rejected_reply());
    let refused_by = harness.now + ms(40);
    while harness.now < refused_by {
        for it in 2..harness.sent.len() {
            harness.reply_to(it, rejected_reply());
        }
        harness.advance(ms(1));
    }
    assert_eq!(harness.answers.len(), 2);
    let is_refusal = |it: &Answer| {
        matches!(it, Answer::Refused { kind: ErrorKind::Overloaded, retry_after: Some(_) })
    };
    assert!(harness.answers.iter().all(|it| is_refusal(&it.1)), "{:?}", harness.answers);
}

#[test]
fn a_draining_or_removed_replica_gets_no_new_requests() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    let mut draining = replica("r1", "s", "a");
    draining.state = ReplicaState::Draining;
    harness.handle(Event::Replicas(vec![draining, replica("r2", "s", "b")]));
    harness.submit("p");
    assert_eq!(harness.sent[0].replica_id, "r2");
    harness.handle(Event::Replicas(vec![]));
    harness.submit("p");
    assert_eq!(harness.sent.len(), 1);
}

/// An address that now belongs to another replica replies with 421, without executing the request.
#[test]
fn a_replica_whose_address_belongs_to_another_is_avoided() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    harness.mark_sent(0);
    harness.fail(0, Failure::WrongReplica);
    harness.submit("p");
    let used: Vec<&str> = harness.sent.iter().map(|it| it.replica_id.as_str()).collect();
    assert_eq!(used, ["r1", "r2", "r2"]);
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.handle(Event::Configure(Box::new(route_table(5, vec![plain_route("q", "s")]))));
    harness.handle(Event::Configure(Box::new(route_table(4, vec![plain_route("p", "s")]))));
    assert_eq!(harness.forwarder.table().map(|it| it.version), Some(5));
    harness.submit("q");
    assert_eq!(harness.sent.len(), 1);
}

#[test]
fn the_attempts_of_a_disconnected_client_are_abandoned() {
    let mut harness = gather_harness(3, 1.0);
    let key = harness.submit("all");
    harness.handle(Event::ClientDisconnected(key));
    assert_eq!(harness.abandoned.len(), 3);
    harness.reply_to(0, reply(200, "p", b""));
    assert_eq!(harness.answers.len(), 0);
}

#[test]
fn requests_are_split_by_weight() {
    let target = Target::Split(vec![("s1".into(), 3.0), ("s2".into(), 1.0)]);
    let split = Route { target, ..plain_route("p", "s1") };
    let replicas = vec![replica("r1", "s1", "a"), replica("r2", "s2", "a")];
    let mut harness = Harness::new(vec![split], replicas);
    let mut counts: HashMap<ServiceId, u32> = HashMap::new();
    for it in 0..40 {
        harness.submit("p");
        *counts.entry(harness.sent[it].service.clone()).or_default() += 1;
        harness.reply_to(it, reply(200, "p", b""));
    }
    assert_eq!((counts["s1"], counts["s2"]), (30, 10));
}

/// Only the shard whose reply is late gets a second attempt.
#[test]
fn only_the_late_part_is_hedged() {
    let mut harness = gather_harness(5, 1.0);
    harness.submit("all");
    for it in 0..4 {
        harness.now += ms(1);
        harness.reply_to(it, reply(200, &format!("p{it}"), b""));
    }
    harness.mark_sent(4);
    harness.advance(ms(60));
    let hedges: Vec<_> = harness.sent.iter().filter(|it| it.kind == AttemptKind::Hedge).collect();
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].service, "s4");
    assert_eq!(hedges[0].replica_id, "s4-2");
}

/// Longest time between a broken connection and a failed connect that together show a crash.
const CRASH_WINDOW: Time = ms(3_000);

/// Upper bound of a quarantine.
const MAX_QUARANTINE: Time = ms(600_000);

/// Evidence that a request crashes replicas, gathered from the events of a test.
#[derive(Debug, Default)]
struct CrashEvidence {
    /// Broken connections of attempts that were sent: the replica, and when the attempt began and
    /// broke.
    broken: Vec<(ReplicaKey, Time, Time)>,
    /// Broken connections whose replica was unreachable soon afterwards.
    crashes: Vec<(Time, Time)>,
}

impl CrashEvidence {
    fn record_broken(&mut self, replica: ReplicaKey, sent_at: Time, now: Time) {
        self.broken.push((replica, sent_at, now));
    }

    fn record_unreachable(&mut self, replica: ReplicaKey, now: Time) {
        let confirmed =
            self.broken.extract_if(.., |it| it.0 == replica && now < it.2 + CRASH_WINDOW);
        self.crashes.extend(confirmed.map(|it| (it.1, it.2)));
    }

    /// Whether there are two crashes of which the second attempt began after the first one broke.
    fn permits_quarantine(&self) -> bool {
        self.crashes.iter().any(|it| self.crashes.iter().any(|later| later.0 >= it.1))
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    MarkSent(usize),
    Reply(usize, u16, bool),
    Fail(usize, u8),
    Advance(u64),
    Disconnect(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0_usize..3).prop_map(Step::Submit),
        4 => (0_usize..40).prop_map(Step::MarkSent),
        6 => ((0_usize..40), prop_oneof![Just(200_u16), Just(500), Just(503)], any::<bool>())
            .prop_map(|(it, status, not_run)| Step::Reply(it, status, not_run)),
        3 => ((0_usize..40), 0_u8..5).prop_map(|(it, kind)| Step::Fail(it, kind)),
        4 => (1_u64..400).prop_map(Step::Advance),
        1 => (0_usize..20).prop_map(Step::Disconnect),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Properties of any sequence of events: each request gets exactly one answer unless its client
    /// disconnects. A request that must be executed at most once is not sent again after it may
    /// have been executed. A refusal that states that the request was not executed is true. No part
    /// is executed by more replicas than the route allows. Requests are refused as quarantined while
    /// the quarantine lasts and at no other time, and it needs two crashes in a row.
    #[test]
    fn guarantees_hold_for_any_sequence_of_events(steps in prop::collection::vec(step(), 1..120)) {
        let replicas = (0..4).map(|it| replica(&format!("r{it}"), "s", "a"))
            .chain((0..3).map(|it| replica(&format!("t{it}"), "t", "b")));
        let routes = vec![
            at_most_once_route("once", "s"),
            plain_route("idempotent", "s"),
            gather_route("all", &["s", "t"], 1.0),
        ];
        let names = ["once", "idempotent", "all"];
        let mut harness = Harness::new(routes, replicas.collect());
        let mut kinds = HashMap::new();
        let mut disconnected = Vec::new();
        let mut evidence = CrashEvidence::default();
        let mut ended = vec![false; 0];
        // For each attempt, whether it may have been executed.
        let mut may_have_run: Vec<bool> = Vec::new();
        for step in steps {
            ended.resize(harness.sent.len(), false);
            may_have_run.resize(harness.sent.len(), false);
            let is_open = |it: usize, ended: &[bool]| it < ended.len() && !ended[it];
            match step {
                Step::Submit(route) => {
                    let left = harness.quarantine_left();
                    match harness.try_submit(names[route]) {
                        Ok(key) => {
                            prop_assert_eq!(left, None, "accepted in quarantine");
                            kinds.insert(key, names[route]);
                        }
                        Err(Answer::Refused { kind: ErrorKind::Quarantined, retry_after }) => {
                            prop_assert!(!harness.quarantined.is_empty(), "never quarantined");
                            prop_assert!(retry_after.is_some() && retry_after == left);
                            prop_assert!(retry_after <= Some(MAX_QUARANTINE));
                        }
                        Err(other) => prop_assert!(false, "refused: {:?}", other),
                    }
                }
                Step::MarkSent(it) if is_open(it, &ended) => {
                    may_have_run[it] = true;
                    harness.mark_sent(it);
                }
                Step::Reply(it, status, states_not_run) if is_open(it, &ended) => {
                    ended[it] = true;
                    may_have_run[it] = !(status == 503 && states_not_run);
                    let not_run = status == 503 && states_not_run;
                    let reply = if not_run { not_run_reply() } else { reply(status, "p", b"") };
                    harness.reply_to(it, reply);
                }
                Step::Fail(it, kind) if is_open(it, &ended) => {
                    ended[it] = true;
                    // Nothing is sent on a connection that never opened.
                    let failure = match kind {
                        0 if !may_have_run[it] => Failure::Unreachable,
                        1 => {
                            may_have_run[it] = false;
                            harness.mark_sent(it);
                            Failure::WrongReplica
                        }
                        _ => {
                            may_have_run[it] = true;
                            harness.mark_sent(it);
                            match kind {
                                3 => Failure::Overlong,
                                4 => Failure::NoMemory,
                                _ => Failure::Broken,
                            }
                        }
                    };
                    let SentAttempt { replica, sent_at, .. } = harness.sent[it];
                    match failure {
                        Failure::Broken => evidence.record_broken(replica, sent_at, harness.now),
                        Failure::Unreachable => evidence.record_unreachable(replica, harness.now),
                        _ => {}
                    }
                    let before = harness.quarantined.len();
                    harness.fail(it, failure);
                    let is_new = harness.quarantined.len() > before;
                    prop_assert!(!is_new || evidence.permits_quarantine(), "{:?}", evidence);
                }
                Step::Advance(time) => harness.advance(ms(time)),
                Step::Disconnect(it) => {
                    if let Some(key) = harness.sent.get(it).map(|it| it.request) {
                        disconnected.push(key);
                        harness.handle(Event::ClientDisconnected(key));
                    }
                }
                _ => {}
            }
            ended.resize(harness.sent.len(), false);
            may_have_run.resize(harness.sent.len(), false);
            // The driver sends nothing for an attempt that was abandoned while it was connecting.
            for (it, sent) in harness.sent.iter().enumerate() {
                ended[it] |= !may_have_run[it] && harness.abandoned.contains(&sent.attempt);
            }
            let mut runs: HashMap<_, u32> = HashMap::new();
            for (it, sent) in harness.sent.iter().enumerate() {
                if may_have_run[it] || !ended[it] {
                    *runs.entry((sent.request, sent.service.clone())).or_default() += 1;
                }
            }
            for ((request, _), count) in &runs {
                let limit = if kinds[request] == "once" { 1 } else { 2 };
                prop_assert!(*count <= limit, "{} attempts of {}", count, kinds[request]);
            }
            let mut answered = HashMap::new();
            for (request, answer) in &harness.answers {
                prop_assert!(answered.insert(*request, ()).is_none(), "answered twice");
                if let Answer::Refused { kind, .. } = answer
                    && kind.spec().status == 503
                {
                    let has_possible_run = harness.sent.iter().enumerate()
                        .any(|(it, sent)| sent.request == *request && may_have_run[it]);
                    prop_assert!(!has_possible_run, "a refused request may have been executed");
                }
            }
        }
        harness.advance(ms(3_000));
        for key in kinds.keys() {
            let count = harness.answers.iter().filter(|it| it.0 == *key).count();
            prop_assert!(count == 1 || disconnected.contains(key), "{} answers", count);
        }
    }
}

fn not_run_reply() -> Reply {
    rejected_reply()
}
