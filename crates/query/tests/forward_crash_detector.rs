//! Detection and quarantine of requests that crash replicas.

mod forward_harness;

use forward_harness::{Harness, ms, plain_route, replica, reply};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Answer, Event, Failure};

const FINGERPRINT: Fingerprint = 7;

fn harness() -> Harness {
    let replicas = (0..6).map(|it| replica(&format!("r{it}"), "s", "a")).collect();
    Harness::new(vec![plain_route("p", "s")], replicas)
}

/// Submits a request and breaks the connections of all its attempts.
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

/// Reports the replicas with broken connections as unreachable, in reverse order.
fn report_unreachable(harness: &mut Harness) {
    for replica in std::mem::take(&mut harness.reconnects).into_iter().rev() {
        harness.handle(Event::Unreachable(replica));
    }
}

#[test]
fn a_request_that_crashes_two_replicas_is_refused() {
    let mut harness = harness();
    harness.fingerprint = FINGERPRINT;
    crash(&mut harness);
    assert_eq!(harness.reconnects.len(), 2);
    report_unreachable(&mut harness);
    assert_eq!(harness.quarantined, [FINGERPRINT]);
    let sends = harness.sent.len();
    let submission = harness.submission("p");
    let answer = harness.forwarder.submit(harness.now, &submission, &mut Vec::new());
    assert!(matches!(answer, Err(Answer::Refused { kind: ErrorKind::Quarantined, .. })));
    assert_eq!(harness.sent.len(), sends);
}

/// Replicas that only lose replies remain reachable, so their requests must not be quarantined.
#[test]
fn lost_replies_do_not_quarantine_a_request() {
    let mut harness = harness();
    harness.fingerprint = FINGERPRINT;
    for _ in 0..5 {
        crash(&mut harness);
        harness.advance(ms(20));
    }
    assert_eq!(harness.quarantined, [0; 0]);
}

/// A crashing process can be reached while it cleans up. Replacements that it closes unused are opened
/// again, which is no evidence by itself: a replica at its connection limit closes them as well.
#[test]
fn replacements_that_close_unused_are_opened_again() {
    let mut harness = harness();
    harness.fingerprint = FINGERPRINT;
    crash(&mut harness);
    let broken = std::mem::take(&mut harness.reconnects);
    for _ in 0..10 {
        harness.handle(Event::ClosedUnused(broken[0]));
    }
    assert_eq!(harness.reconnects, vec![broken[0]; 3]);
    assert_eq!(harness.quarantined, [0; 0]);
    harness.reconnects = vec![broken[0], broken[1]];
    report_unreachable(&mut harness);
    assert_eq!(harness.quarantined, [FINGERPRINT]);
    harness.handle(Event::ClosedUnused(broken[0]));
    assert_eq!(harness.reconnects, []);
}

/// A request that was in flight during another request's crash succeeds on another replica and must
/// not be quarantined.
#[test]
fn a_success_clears_earlier_crash_evidence() {
    let mut harness = harness();
    harness.fingerprint = FINGERPRINT;
    harness.submit("p");
    harness.mark_sent(0);
    harness.fail(0, Failure::Broken);
    report_unreachable(&mut harness);
    harness.reply_to(1, reply(200, "stamp", b""));
    let next = harness.sent.len();
    harness.submit("p");
    harness.reply_to(next, reply(200, "stamp", b""));
    harness.submit("p");
    harness.mark_sent(next + 1);
    harness.fail(next + 1, Failure::Broken);
    report_unreachable(&mut harness);
    assert_eq!(harness.quarantined, [0; 0]);
}

/// Each instance sees only some of the crashes, so it must apply the quarantines of its peers.
#[test]
fn a_request_that_another_instance_quarantined_is_refused() {
    let mut harness = harness();
    harness.handle(Event::PeerQuarantined(FINGERPRINT, ms(30_000)));
    harness.fingerprint = FINGERPRINT;
    let submission = harness.submission("p");
    assert!(harness.forwarder.submit(harness.now, &submission, &mut Vec::new()).is_err());
    let left: Vec<_> = harness.forwarder.quarantined(harness.now).collect();
    assert_eq!(left, [(FINGERPRINT, ms(30_000))]);
    harness.now += ms(30_001);
    assert!(harness.forwarder.submit(harness.now, &submission, &mut Vec::new()).is_ok());
}
