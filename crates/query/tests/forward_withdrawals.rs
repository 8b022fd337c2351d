//! Replicas that ask for no further requests, for a time or because they leave.

mod forward_harness;

use std::{collections::HashMap, time::Duration};

use forward_harness::{Harness, ms, plain_route, rejected_reply, replica, reply};
use proptest::prelude::*;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, Event, ReplicaInfo, Reply, Withdrawal};

fn two_replicas(service: &str) -> Vec<ReplicaInfo> {
    vec![replica("r1", service, "a"), replica("r2", service, "b")]
}

fn leaving_reply() -> Reply {
    Reply { is_leaving: true, ..reply(200, "stamp", b"") }
}

fn refusal_for(time: Duration) -> Reply {
    Reply { retry_after: Some(time), ..rejected_reply() }
}

/// A replica that leaves keeps the mark while the list says that it is ready, and when its entry comes back
/// after it was missing; another lifetime is free of it.
#[test]
fn a_leaving_replica_gets_no_attempts_in_this_lifetime() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    assert_eq!(harness.sent[0].replica_id, "r1");
    harness.reply_to(0, leaving_reply());
    assert_eq!(*harness.only_answer(), Answer::Relay(leaving_reply()), "its answer is passed on");
    let lists = [two_replicas("s"), two_replicas("s")[1..].to_vec(), two_replicas("s")];
    for list in lists {
        harness.handle(Event::Replicas(list));
        harness.submit("p");
        assert_eq!(harness.sent.last().unwrap().replica_id, "r2");
        harness.reply_to(harness.sent.len() - 1, reply(200, "stamp", b""));
        harness.advance(ms(20_000));
    }
    let restarted = ReplicaInfo { born_ms: 2, ..replica("r1", "s", "a") };
    harness.handle(Event::Replicas(vec![restarted, replica("r2", "s", "b")]));
    harness.submit("p");
    assert_eq!(harness.sent.last().unwrap().replica_id, "r1");
}

/// Retries, hedges and queued parts avoid a leaving replica as well; without another one they end at once.
#[test]
fn no_kind_of_attempt_goes_to_a_leaving_replica() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    harness.mark_sent(0);
    harness.submit("p");
    harness.reply_to(1, Reply { is_leaving: true, ..reply(500, "stamp", b"") });
    let (first, second) = (harness.sent[0].replica, harness.sent[1].replica);
    assert_eq!(first, second);
    assert_ne!(harness.sent[2].replica, first, "the retry");
    harness.advance(ms(60));
    assert!(harness.sent[3..].iter().all(|it| it.replica != first), "the hedge");
    harness.reply_to(2, leaving_reply());
    let sent = harness.sent.len();
    harness.submit("p");
    assert_eq!(harness.sent.len(), sent);
    assert!(matches!(
        &harness.answers.last().unwrap().1,
        Answer::Refused { kind: ErrorKind::NoReplica, retry_after: Some(_) }
    ));
}

/// A replica that states `Retry-After` gets nothing until then. Several statements: the latest end holds.
/// The time of a request that is refused meanwhile is the earliest end.
#[test]
fn a_replica_gets_no_attempts_before_its_retry_after() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], two_replicas("s"));
    harness.submit("p");
    harness.submit("p");
    harness.reply_to(0, refusal_for(ms(3_000)));
    harness.reply_to(1, refusal_for(ms(1_000)));
    assert_eq!(harness.sent.len(), 4, "both are tried again at the other replica");
    harness.reply_to(2, refusal_for(ms(5_000)));
    harness.reply_to(3, refusal_for(ms(4_000)));
    for (_, answer) in &harness.answers {
        let Answer::Refused { retry_after: Some(time), .. } = answer else { panic!("{answer:?}") };
        assert!((ms(3_000)..=ms(3_400)).contains(time), "{time:?}");
    }
    harness.handle(Event::Replicas(two_replicas("s")));
    harness.advance(ms(2_999));
    harness.submit("p");
    assert_eq!(harness.sent.len(), 4);
    assert_eq!(harness.answers.len(), 3, "refused at once");
    harness.advance(ms(1));
    harness.submit("p");
    assert_eq!(harness.sent[4].replica_id, harness.sent[0].replica_id);
    // Without the field, or with another status, nothing is to be waited for.
    for other in [rejected_reply(), Reply { retry_after: Some(ms(9_000)), ..reply(429, "", b"") }] {
        let mut harness = Harness::new(vec![plain_route("p", "s")], vec![replica("r1", "s", "a")]);
        harness.submit("p");
        harness.reply_to(0, other);
        harness.advance(ms(100));
        harness.submit("p");
        assert_eq!(harness.sent.len(), 2);
    }
}

/// Each request of a replica is reported once, for the log.
#[test]
fn withdrawals_are_reported_once() {
    let mut harness = Harness::new(vec![plain_route("p", "s")], vec![replica("r1", "s", "a")]);
    for index in 0..3 {
        harness.submit("p");
        harness.mark_sent(index);
    }
    harness.reply_to(0, refusal_for(ms(700)));
    harness.reply_to(1, refusal_for(ms(900)));
    harness.reply_to(2, leaving_reply());
    let expected = [Withdrawal::For(ms(700)), Withdrawal::Leaving].map(|it| ("r1".into(), it));
    assert_eq!(harness.withdrawn, expected);
}

#[derive(Clone, Debug)]
enum Step {
    Submit,
    /// Replies to an attempt with a status, whether the replica leaves, and its `Retry-After` in ms.
    Reply(usize, u16, bool, Option<u64>),
    /// Lists the replicas but those of a bit mask.
    List(u8),
    /// Restarts a replica.
    Restart(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![Just(200_u16), Just(500), Just(503)];
    prop_oneof![
        4 => Just(Step::Submit),
        6 => (0_usize..60, status, prop::bool::weighted(0.1), prop::option::of(1_u64..5_000))
            .prop_map(|(it, status, leaves, time)| Step::Reply(it, status, leaves, time)),
        2 => any::<u8>().prop_map(Step::List),
        1 => (0_usize..3).prop_map(Step::Restart),
        4 => (1_u64..1_500).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Whatever the lists say and whatever else happens, no attempt goes to a lifetime that has said that
    /// it leaves, or to one before the end of the time that it stated; and none is avoided longer.
    #[test]
    fn replicas_get_what_they_ask_for(steps in prop::collection::vec(step(), 1..100)) {
        let mut born = [1_u64; 3];
        let info = |index: usize, born: &[u64; 3]| ReplicaInfo {
            born_ms: born[index],
            ..replica(&format!("r{index}"), "s", "a")
        };
        let all = |born: &[u64; 3]| (0..3).map(|it| info(it, born)).collect::<Vec<_>>();
        let mut harness = Harness::new(vec![plain_route("p", "s")], all(&born));
        // Lifetime of the replica of each attempt, and what each lifetime asked for.
        let mut lifetimes: Vec<(ReplicaId, u64)> = Vec::new();
        let mut leaving: HashMap<(ReplicaId, u64), bool> = HashMap::new();
        let mut until: HashMap<(ReplicaId, u64), Time> = HashMap::new();
        let mut ended: Vec<bool> = Vec::new();
        for step in steps {
            match step {
                Step::Submit => {
                    harness.submit("p");
                }
                Step::Reply(it, status, leaves, time) if it < ended.len() && !ended[it] => {
                    ended[it] = true;
                    let lifetime = lifetimes[it].clone();
                    *leaving.entry(lifetime.clone()).or_default() |= leaves;
                    if let (503, Some(time)) = (status, time) {
                        let end = until.entry(lifetime).or_default();
                        *end = (*end).max(harness.now + ms(time));
                    }
                    let reply = Reply {
                        is_leaving: leaves,
                        retry_after: time.map(ms),
                        is_not_run: status == 503,
                        ..reply(status, "p", b"")
                    };
                    harness.reply_to(it, reply);
                }
                Step::Reply(..) => {}
                Step::List(missing) => {
                    let listed = (0..3).filter(|it| missing & (1 << it) == 0);
                    let list = listed.map(|it| info(it, &born)).collect();
                    harness.handle(Event::Replicas(list));
                }
                Step::Restart(index) => {
                    born[index] += 1;
                    harness.handle(Event::Replicas(all(&born)));
                }
                Step::Advance(time) => harness.advance(ms(time)),
            }
            for sent in &harness.sent[lifetimes.len()..] {
                let index: usize = sent.replica_id[1..].parse().unwrap();
                let lifetime = (sent.replica_id.clone(), born[index]);
                prop_assert!(!leaving.get(&lifetime).copied().unwrap_or_default(), "it leaves");
                let end = until.get(&lifetime).copied().unwrap_or_default();
                prop_assert!(sent.sent_at >= end, "{:?} too early", end - sent.sent_at);
                lifetimes.push(lifetime);
            }
            ended.resize(harness.sent.len(), false);
        }
        // The time since the last failure is longer than any other backoff.
        harness.advance(ms(10_000));
        for index in 0..3 {
            let lifetime = (info(index, &born).id, born[index]);
            harness.handle(Event::Replicas(vec![info(index, &born)]));
            let sent = harness.sent.len();
            harness.submit("p");
            let is_used = harness.sent.len() > sent;
            prop_assert_eq!(is_used, !leaving.get(&lifetime).copied().unwrap_or_default());
        }
    }
}
