//! Requests that crash the replicas that run them.

mod forward_harness;

use forward_harness::{Harness, ms, plain_route, replica, reply};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, Event, Failure};

const POISON: Fingerprint = 7;

fn harness() -> Harness {
    let replicas = (0..6).map(|it| replica(&format!("r{it}"), "s", "a")).collect();
    Harness::new(vec![plain_route("p", "s")], replicas)
}

/// Sends the request and breaks every connection that carries it.
fn crash(harness: &mut Harness) {
    let first = harness.sent.len();
    harness.submit("p");
    let mut index = first;
    while index < harness.sent.len() {
        harness.mark_sent(index);
        harness.now += ms(1);
        harness.fail(index, Failure::Broken);
        index += 1;
    }
}

/// Finds replicas unreachable whose connections broke, the last one first.
fn find_unreachable(harness: &mut Harness) {
    for replica in std::mem::take(&mut harness.reconnects).into_iter().rev() {
        harness.handle(Event::Unreachable(replica));
    }
}

#[test]
fn a_request_that_crashes_two_replicas_is_refused() {
    let mut harness = harness();
    harness.fingerprint = POISON;
    crash(&mut harness);
    assert_eq!(harness.reconnects.len(), 2);
    find_unreachable(&mut harness);
    assert_eq!(harness.quarantined, [POISON]);
    let sends = harness.sent.len();
    let submission = harness.submission("p");
    let answer = harness.forwarder.submit(harness.now, &submission, &mut Vec::new());
    assert!(matches!(answer, Err(Answer::Refused { kind: ErrorKind::Quarantined, .. })));
    assert_eq!(harness.sent.len(), sends);
}

/// Replicas that lose replies stay reachable; their requests are innocent.
#[test]
fn lost_replies_condemn_nobody() {
    let mut harness = harness();
    harness.fingerprint = POISON;
    for _ in 0..5 {
        crash(&mut harness);
        harness.advance(ms(20));
    }
    assert_eq!(harness.quarantined, [0; 0]);
}

/// A request that was in flight beside the crash succeeds at another replica.
#[test]
fn a_success_clears_a_suspicion() {
    let mut harness = harness();
    harness.fingerprint = POISON;
    harness.submit("p");
    harness.mark_sent(0);
    harness.fail(0, Failure::Broken);
    find_unreachable(&mut harness);
    harness.reply_to(1, reply(200, "proof", b""));
    let next = harness.sent.len();
    harness.submit("p");
    harness.reply_to(next, reply(200, "proof", b""));
    harness.submit("p");
    harness.mark_sent(next + 1);
    harness.fail(next + 1, Failure::Broken);
    find_unreachable(&mut harness);
    assert_eq!(harness.quarantined, [0; 0]);
}

/// Each instance sees its own part of the crashes only.
#[test]
fn what_another_instance_condemned_is_refused() {
    let mut harness = harness();
    harness.handle(Event::PeerQuarantined(POISON, ms(30_000)));
    harness.fingerprint = POISON;
    let submission = harness.submission("p");
    assert!(harness.forwarder.submit(harness.now, &submission, &mut Vec::new()).is_err());
    let left: Vec<_> = harness.forwarder.quarantined(harness.now).collect();
    assert_eq!(left, [(POISON, ms(30_000))]);
    harness.now += ms(30_001);
    assert!(harness.forwarder.submit(harness.now, &submission, &mut Vec::new()).is_ok());
}
