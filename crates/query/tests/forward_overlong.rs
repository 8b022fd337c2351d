//! Replicas whose replies are given up because they have no end or no room.
//!
//! Load pattern: a faulty replica sends without end to each request of a crowd. The crowd at it must shrink, its
//! requests go to sound replicas, and what has run is never reported as not run.

mod forward_harness;

use std::time::Duration;

use forward_harness::{Harness, SentAttempt, gather_route, ms, plain_route, replica, reply};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, AttemptKind, Failure, ReplicaInfo, RetryBudget, Route};

/// Number of replies without end after which a replica is ejected.
const STRIKES: usize = 3;

/// Longest backoff of a replica, and a margin.
const BACKOFF: Duration = ms(2_000);

fn two_replicas() -> Vec<ReplicaInfo> {
    vec![replica("r1", "s", "a"), replica("r2", "s", "b")]
}

fn read_and_order() -> Vec<Route> {
    vec![plain_route("p", "s"), Route { is_idempotent: false, ..plain_route("o", "s") }]
}

/// Submits a request and lets `r1` fail it. Returns the replicas to which it was sent.
fn serve(harness: &mut Harness, route: &str, failure: Failure) -> Vec<ReplicaId> {
    let first = harness.sent.len();
    harness.submit(route);
    let mut index = first;
    while index < harness.sent.len() {
        harness.mark_sent(index);
        match harness.sent[index].replica_id == "r1" {
            true => harness.fail(index, failure),
            false => harness.reply_to(index, reply(200, "stamp", b"body")),
        }
        index += 1;
    }
    harness.sent[first..].iter().map(|it| it.replica_id.clone()).collect()
}

/// Returns a harness in which `r1` is ejected and its first backoff has passed.
fn with_suspect() -> Harness {
    let mut harness = Harness::new(read_and_order(), two_replicas());
    let is_faulty = |it: &SentAttempt| it.replica_id == "r1";
    while harness.sent.iter().filter(|it| is_faulty(it)).count() < STRIKES {
        serve(&mut harness, "p", Failure::Overlong);
        harness.advance(ms(300));
    }
    harness.advance(BACKOFF);
    harness
}

#[test]
fn a_replica_without_end_is_ejected_and_its_requests_are_served_elsewhere() {
    let mut harness = Harness::new(read_and_order(), two_replicas());
    let at_faulty = (0..100)
        .filter(|_| {
            let replicas = serve(&mut harness, "p", Failure::Overlong);
            assert_eq!(replicas.last().map(|it| it.as_str()), Some("r2"));
            harness.advance(ms(5));
            replicas.contains(&"r1".into())
        })
        .count();
    assert!(at_faulty <= 5, "{at_faulty} of 100 requests reached r1 within half a second");
    assert!(harness.answers.iter().all(|it| matches!(it.1, Answer::Relay(_))));
}

/// Guards against a request that ends unserved because it was the probe of an ejected replica.
#[test]
fn a_probe_needs_a_request_that_can_be_retried() {
    let mut harness = with_suspect();
    assert_eq!(serve(&mut harness, "o", Failure::Overlong), ["r2"], "an order is no probe");
    let budget = RetryBudget { ratio: 0.0, allowance: 0.0, window: Duration::from_secs(10) };
    let mut without_budget = harness.clone();
    without_budget.forwarder.set_budget(budget);
    assert_eq!(serve(&mut without_budget, "p", Failure::Overlong), ["r2"]);
    assert_eq!(serve(&mut harness, "p", Failure::Overlong), ["r1", "r2"]);
    assert_eq!(harness.sent.last().map(|it| it.kind), Some(AttemptKind::Retry));
}

#[test]
fn a_success_ends_the_suspicion() {
    let mut harness = with_suspect();
    harness.submit("p");
    let probe = harness.sent.len() - 1;
    assert_eq!(harness.sent[probe].replica_id, "r1");
    harness.reply_to(probe, reply(200, "stamp", b"body"));
    harness.advance(BACKOFF);
    assert_eq!(serve(&mut harness, "o", Failure::Overlong)[0], "r1");
}

/// Guards against the ejection of a sound replica whose large replies are given up now and then, or whose
/// replies find no room because others take it.
#[test]
fn a_sound_replica_with_large_replies_stays_in_use() {
    let mut harness = Harness::new(read_and_order(), vec![replica("r1", "s", "a")]);
    for number in 0..60 {
        harness.submit("p");
        let index = harness.sent.len() - 1;
        harness.mark_sent(index);
        match number % 3 {
            2 => harness.reply_to(index, reply(200, "stamp", b"body")),
            1 => harness.fail(index, Failure::NoMemory),
            _ => harness.fail(index, Failure::Overlong),
        }
        harness.advance(ms(20));
    }
    assert_eq!(harness.sent.len(), 60, "each request reached the replica");
}

#[test]
fn a_service_without_a_sound_replica_refuses_at_once() {
    let mut harness = Harness::new(read_and_order(), vec![replica("r1", "s", "a")]);
    for _ in 0..3 {
        serve(&mut harness, "p", Failure::Overlong);
    }
    harness.answers.clear();
    let sent = harness.sent.len();
    harness.submit("p");
    assert_eq!(harness.sent.len(), sent);
    assert_eq!(harness.refusal_kind(), ErrorKind::NoReplica);
}

#[test]
fn an_order_whose_reply_is_given_up_has_an_unknown_outcome() {
    for failure in [Failure::Overlong, Failure::NoMemory] {
        let mut harness = Harness::new(read_and_order(), two_replicas());
        harness.submit("o");
        harness.mark_sent(0);
        harness.fail(0, failure);
        assert_eq!((harness.sent.len(), harness.refusal_kind()), (1, ErrorKind::OutcomeUnknown));
    }
}

/// This instance closed the connections itself, so they show no crash.
#[test]
fn a_reply_that_is_given_up_is_no_crash() {
    for failure in [Failure::Overlong, Failure::NoMemory] {
        let mut harness = Harness::new(read_and_order(), two_replicas());
        harness.fingerprint = 7;
        for _ in 0..5 {
            serve(&mut harness, "p", failure);
            harness.advance(BACKOFF);
        }
        assert_eq!((&harness.quarantined[..], &harness.reconnects[..]), (&[][..], &[][..]));
    }
}

#[test]
fn a_part_whose_reply_is_given_up_goes_to_another_replica() {
    let replicas = ["s1", "s2"].into_iter().flat_map(|it| {
        [replica(&format!("{it}-1"), it, "a"), replica(&format!("{it}-2"), it, "b")]
    });
    let mut harness =
        Harness::new(vec![gather_route("all", &["s1", "s2"], 1.0)], replicas.collect());
    harness.submit("all");
    harness.reply_to(0, reply(200, "s1-1", &[1; 16]));
    harness.mark_sent(1);
    harness.fail(1, Failure::Overlong);
    assert_eq!(harness.sent[2].replica_id, "s2-2");
    harness.reply_to(2, reply(200, "s2-2", &[2; 16]));
    assert!(matches!(harness.only_answer(), Answer::Merged { missing: 0, .. }));
}
