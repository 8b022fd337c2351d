//! Quarantine of requests that crash replicas.

mod common;

use common::*;
use rosemarybank_protocol::{bundle::Canary, prelude::*};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Event, Send, Submission},
};

fn submit(engine: &mut Engine, now: Time, query: u64, fingerprint: Fingerprint) -> Vec<Action> {
    let submission = submission(query, now + ms(500));
    feed(engine, now, Event::Submit(Submission { fingerprint, ..submission }))
}

fn crash(engine: &mut Engine, now: Time, send: &Send) -> Vec<Action> {
    feed(engine, now, done(send.attempt, AttemptOutcome::Disconnected))
}

fn quarantined(actions: &[Action]) -> Option<(Fingerprint, u32)> {
    actions.iter().find_map(|it| match it {
        Action::Quarantine { fingerprint, crashes, .. } => Some((*fingerprint, *crashes)),
        _ => None,
    })
}

/// Guards against a request that crashes one replica after another because it is retried and its
/// caller repeats it.
#[test]
fn a_second_crash_after_the_first_quarantines() {
    let mut engine = engine(settings(), 1, 3);
    let first = sends(&submit(&mut engine, ms(1), 1, 42)).remove(0);
    let out = crash(&mut engine, ms(2), &first);
    assert_eq!(quarantined(&out), None);
    let second = sends(&out).remove(0);
    let out = crash(&mut engine, ms(3), &second);
    assert_eq!(quarantined(&out), Some((42, 2)));
    assert_eq!(sends(&out), []);
    let refusal = answer(&out).unwrap().unwrap_err();
    assert_eq!((refusal.kind, refusal.execution), (ErrorKind::Quarantined, Execution::Partial));

    let out = submit(&mut engine, ms(4), 2, 42);
    assert_eq!(sends(&out), []);
    let refusal = answer(&out).unwrap().unwrap_err();
    assert_eq!((refusal.kind, refusal.execution), (ErrorKind::Quarantined, Execution::NotRun));
    assert!(refusal.retry_after.is_some());
    assert_eq!(sends(&submit(&mut engine, ms(4), 3, 43)).len(), 1);
}

/// Guards against a quarantine of harmless requests when a data centre is lost, which breaks all
/// attempts of a query at once. The canary then succeeds.
#[test]
fn crashes_of_one_fan_out_do_not_quarantine() {
    let mut engine = engine(settings(), 4, 2);
    let sent = sends(&submit(&mut engine, ms(1), 1, 42));
    let canary = sends(&crash(&mut engine, ms(2), &sent[0])).remove(0);
    for send in &sent[1..] {
        assert_eq!(crash(&mut engine, ms(2), send), []);
    }
    let rest = feed(&mut engine, ms(9), done(canary.attempt, reply(&canary)));
    assert_eq!(quarantined(&rest), None);
    let rest = sends(&rest);
    assert_eq!(rest.len(), 3);
    let mut last = Vec::new();
    for send in &rest {
        last = feed(&mut engine, ms(12), done(send.attempt, reply(send)));
    }
    assert!(answer(&last).unwrap().unwrap().coverage.is_complete());
    assert_eq!(engine.counters().quarantined, 0);
}

/// Guards against sending a repeated suspect to every shard before its canary has succeeded on the
/// keys of the crash sign.
#[test]
fn a_suspect_is_sent_first_to_the_shard_of_its_crash_sign() {
    let mut engine = engine(settings(), 4, 2);
    let sent = sends(&submit(&mut engine, ms(1), 1, 42));
    crash(&mut engine, ms(2), &sent[2]);
    feed(&mut engine, ms(3), Event::CallerGone { query: 1 });
    let canary = sends(&submit(&mut engine, ms(4), 2, 42));
    assert_eq!(canary.iter().map(|it| it.range).collect::<Vec<_>>(), [shard(2, 4)]);
    assert_eq!(sends(&submit(&mut engine, ms(4), 3, 42)), []);
    let out = feed(&mut engine, ms(9), done(canary[0].attempt, reply(&canary[0])));
    assert_eq!(sends(&out).len(), 3 + 4);
}

/// Guards against a success on other keys that hides a request which crashes the replicas of one
/// shard, and against a quarantine after only two crashes despite that success. Exactly three
/// crashes must lead to the quarantine.
#[test]
fn success_on_other_keys_does_not_clear_a_crash_sign() {
    let mut engine = engine(settings(), 2, 3);
    let long = Submission { fingerprint: 42, ..submission(1, ms(3_000)) };
    let sent = sends(&feed(&mut engine, ms(1), Event::Submit(long)));
    let canary = sends(&crash(&mut engine, ms(2), &sent[0])).remove(0);
    feed(&mut engine, ms(3), done(sent[1].attempt, reply(&sent[1])));
    let out = crash(&mut engine, ms(4), &canary);
    assert_eq!((quarantined(&out), sends(&out)), (None, vec![]));
    assert_eq!(sends(&feed(&mut engine, ms(1_003), Event::Tick)), []);
    let canary = sends(&feed(&mut engine, ms(1_004), Event::Tick)).remove(0);
    let out = crash(&mut engine, ms(1_005), &canary);
    assert_eq!(quarantined(&out), Some((42, 3)));
    let result = answer(&out).unwrap().unwrap();
    let missing = MissingRange { range: shard(0, 2), reason: MissingReason::Quarantined };
    assert_eq!(result.coverage.missing, [missing]);
}

/// Guards against a quarantine after two crashes while other attempts, which may still succeed, are
/// in flight.
#[test]
fn two_crashes_do_not_quarantine_while_other_keys_may_succeed() {
    let mut engine = engine(settings(), 2, 3);
    let sent = sends(&submit(&mut engine, ms(1), 1, 42));
    let canary = sends(&crash(&mut engine, ms(2), &sent[0])).remove(0);
    assert_eq!(quarantined(&crash(&mut engine, ms(4), &canary)), None);
}

/// Guards against a request that crashes the replicas of one shard after another because the shard
/// of the first crash sign has no replica left.
#[test]
fn crashes_on_other_keys_quarantine_without_a_success() {
    let mut engine = engine(settings(), 4, 1);
    let sent = sends(&submit(&mut engine, ms(1), 1, 42));
    crash(&mut engine, ms(2), &sent[0]);
    feed(&mut engine, ms(3), Event::CallerGone { query: 1 });
    let listed = (1..4).map(|it| entry(it, 0)).collect();
    feed(&mut engine, ms(3), Event::ReplicaList(listed));
    let canary = sends(&submit(&mut engine, ms(4), 2, 42)).remove(0);
    assert_eq!(canary.range, shard(1, 4));
    assert_eq!(quarantined(&crash(&mut engine, ms(5), &canary)), Some((42, 2)));
}

/// Guards against a quarantine of a search that normally succeeds, when another request crashes the
/// replicas that run it.
#[test]
fn a_search_with_recent_success_needs_three_crash_signs_on_the_same_keys() {
    let mut engine = engine(settings(), 1, 4);
    let success = sends(&submit(&mut engine, ms(1), 1, 42)).remove(0);
    feed(&mut engine, ms(2), done(success.attempt, reply(&success)));

    let first = sends(&submit(&mut engine, ms(3), 2, 42)).remove(0);
    let second = sends(&crash(&mut engine, ms(4), &first)).remove(0);
    let out = crash(&mut engine, ms(5), &second);
    assert_eq!(quarantined(&out), None);

    let third = sends(&submit(&mut engine, ms(1_100), 3, 42)).remove(0);
    assert_eq!(quarantined(&crash(&mut engine, ms(1_101), &third)), Some((42, 3)));
}

/// Guards against a quarantine caused by a single replica that breaks repeatedly.
#[test]
fn crashes_of_one_replica_do_not_quarantine() {
    let mut engine = engine(settings(), 1, 1);
    for round in 1..10 {
        let sent = sends(&submit(&mut engine, ms(round * 2_000), round, 42)).remove(0);
        let out = crash(&mut engine, ms(round * 2_000 + 1), &sent);
        assert_eq!(quarantined(&out), None);
    }
}

/// Guards against a wrong quarantine that never ends, against a request that crashes more than one
/// replica when its quarantine ends, and against one that crashes a replica every 30 s because its
/// quarantine does not get longer.
#[test]
fn a_crash_after_quarantine_doubles_its_duration() {
    let mut engine = engine(settings(), 1, 3);
    let first = sends(&submit(&mut engine, ms(1), 1, 42)).remove(0);
    let second = sends(&crash(&mut engine, ms(2), &first)).remove(0);
    crash(&mut engine, ms(3), &second);
    let mut now = ms(3);
    let expected = [30, 60, 120, 240, 480, 600, 600];
    for (round, seconds) in (3..).zip(expected) {
        let end = engine.quarantined(now).first().unwrap().until;
        assert_eq!(end, now + ms(seconds * 1_000));
        assert_eq!(sends(&submit(&mut engine, end - ms(1), 2 * round, 42)), []);
        let canary = sends(&submit(&mut engine, end, 2 * round + 1, 42)).remove(0);
        assert_eq!(sends(&submit(&mut engine, end, 100 + round, 42)), []);
        now = end + ms(1);
        assert_eq!(quarantined(&crash(&mut engine, now, &canary)), Some((42, round as u32)));
    }
    let end = engine.quarantined(now).first().unwrap().until;
    let canary = sends(&submit(&mut engine, end, 200, 42)).remove(0);
    feed(&mut engine, end, done(canary.attempt, reply(&canary)));
    let again = sends(&submit(&mut engine, end + ms(1), 201, 42)).remove(0);
    assert_eq!(quarantined(&crash(&mut engine, end + ms(2), &again)), None);
}

/// Guards against a quarantine that never ends or can't be released, and against ignoring a
/// quarantine that another instance announced.
#[test]
fn quarantine_expires_and_is_released() {
    let mut engine = engine(settings(), 1, 2);
    let quarantine =
        |until| Event::Quarantine { service: "records".into(), fingerprint: 42, until };
    let running = submit(&mut engine, ms(1), 1, 42);
    assert_eq!(sends(&running).len(), 1);
    let out = feed(&mut engine, ms(2), quarantine(ms(1_000)));
    assert_eq!(answer(&out).unwrap().unwrap_err().kind, ErrorKind::Quarantined);
    assert_eq!(engine.quarantined(ms(3)).len(), 1);
    assert_eq!(sends(&submit(&mut engine, ms(999), 2, 42)), []);
    assert_eq!(engine.quarantined(ms(1_000)), []);
    assert_eq!(sends(&submit(&mut engine, ms(1_000), 3, 42)).len(), 1);

    feed(&mut engine, ms(1_001), quarantine(ms(9_000)));
    feed(&mut engine, ms(1_002), quarantine(ms(0)));
    assert_eq!(sends(&submit(&mut engine, ms(1_003), 4, 42)).len(), 1);
}

/// Guards against sending an unseen request to all shards at once when the bundle requires a
/// canary, and against queries that are held back forever when the caller of the canary
/// disconnects.
#[test]
fn unseen_requests_go_to_one_shard_first_when_configured() {
    let mut engine = engine(settings(), 3, 2);
    let mut bundle = bundle(3);
    bundle.services[0].canary = Canary::Unseen;
    feed(&mut engine, ms(1), Event::Configure(Box::new(bundle)));
    assert_eq!(sends(&submit(&mut engine, ms(1), 1, 42)).len(), 1);
    assert_eq!(sends(&submit(&mut engine, ms(1), 2, 42)).len(), 0);
    let canary = sends(&feed(&mut engine, ms(2), Event::CallerGone { query: 1 }));
    assert_eq!(canary.iter().map(|it| it.query).collect::<Vec<_>>(), [2]);
    let rest = sends(&feed(&mut engine, ms(3), done(canary[0].attempt, reply(&canary[0]))));
    assert_eq!(rest.len(), 2);
    assert_eq!(sends(&submit(&mut engine, ms(4), 3, 42)).len(), 3);
}
