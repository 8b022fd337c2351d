//! Requests that crash replicas.

mod common;

use common::*;
use rosemarybank_protocol::{bundle::Canary, prelude::*};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Event, Send},
};

fn submit(engine: &mut Engine, now: Time, query: u64, fingerprint: Fingerprint) -> Vec<Action> {
    let submission = submission(query, now + ms(500));
    feed(
        engine,
        now,
        Event::Submit(rosemarybank_query::interface::Submission { fingerprint, ..submission }),
    )
}

fn crash(engine: &mut Engine, now: Time, send: &Send) -> Vec<Action> {
    feed(engine, now, done(send.attempt, AttemptOutcome::Disconnected))
}

fn condemned(actions: &[Action]) -> Option<(Fingerprint, u32)> {
    actions.iter().find_map(|it| match it {
        Action::Condemn { fingerprint, crashes, .. } => Some((*fingerprint, *crashes)),
        _ => None,
    })
}

/// Guards against a request that crashes one replica after another while its caller repeats it.
#[test]
fn a_second_crash_after_the_first_condemns() {
    let mut engine = engine(settings(), 1, 3);
    let first = sends(&submit(&mut engine, ms(1), 1, 42)).remove(0);
    let out = crash(&mut engine, ms(2), &first);
    assert_eq!(condemned(&out), None);
    let second = sends(&out).remove(0);
    let out = crash(&mut engine, ms(3), &second);
    assert_eq!(condemned(&out), Some((42, 2)));
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

/// Guards against condemning every request in flight when a data centre's replicas are lost: all
/// attempts of a query break at once, and one canary then succeeds.
#[test]
fn crashes_of_one_fan_out_do_not_condemn() {
    let mut engine = engine(settings(), 4, 2);
    let sent = sends(&submit(&mut engine, ms(1), 1, 42));
    let canary = sends(&crash(&mut engine, ms(2), &sent[0])).remove(0);
    for send in &sent[1..] {
        assert_eq!(crash(&mut engine, ms(2), send), []);
    }
    let rest = feed(&mut engine, ms(9), done(canary.attempt, reply(&canary)));
    assert_eq!(condemned(&rest), None);
    let rest = sends(&rest);
    assert_eq!(rest.len(), 3);
    let mut last = Vec::new();
    for send in &rest {
        last = feed(&mut engine, ms(12), done(send.attempt, reply(send)));
    }
    assert!(answer(&last).unwrap().unwrap().coverage.is_complete());
    assert_eq!(engine.counters().condemned, 0);
}

/// Guards against a repeated suspect that runs on every shard before it is proven.
#[test]
fn a_suspect_goes_to_the_shard_of_its_sign_first() {
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

/// Guards against a success elsewhere that hides a request that crashes one shard only.
#[test]
fn success_on_other_keys_does_not_clear_a_sign() {
    let mut engine = engine(settings(), 2, 3);
    let sent = sends(&submit(&mut engine, ms(1), 1, 42));
    let canary = sends(&crash(&mut engine, ms(2), &sent[0])).remove(0);
    feed(&mut engine, ms(3), done(sent[1].attempt, reply(&sent[1])));
    let out = crash(&mut engine, ms(4), &canary);
    assert_eq!(condemned(&out), Some((42, 2)));
    let result = answer(&out).unwrap().unwrap();
    let missing = MissingRange { range: shard(0, 2), reason: MissingReason::Quarantined };
    assert_eq!(result.coverage.missing, [missing]);
}

/// Guards against a quarantine that never ends or can't be released, and against one that other
/// instances announce and this one ignores.
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

/// Guards against an unseen request on all shards at once when the bundle asks for canaries, and
/// against held queries that are never sent when the canary's caller hangs up.
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
