//! One-time actions: at most one attempt that may have run.

mod common;

use common::*;
use rosemarybank_protocol::{prelude::*, upstream::UpstreamErrorKind};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Dispatch, Event, SendAction},
};

fn dispatch(engine: &mut Engine, now: Time, deadline: Time) -> Vec<Action> {
    let dispatch = Dispatch { dispatch: 1, service: "orders".into(), deadline };
    feed(engine, now, Event::Dispatch(dispatch))
}

fn sent(actions: &[Action]) -> Option<SendAction> {
    actions.iter().find_map(|it| match it {
        Action::SendAction(send) => Some(send.clone()),
        _ => None,
    })
}

fn outcome(actions: &[Action]) -> Option<ActionOutcome> {
    actions.iter().find_map(|it| match it {
        Action::Dispatched { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

fn refused(error: UpstreamErrorKind) -> AttemptOutcome {
    AttemptOutcome::Refused { error, snapshots: Vec::new() }
}

/// Guards against an order that is sent again after it may have taken effect.
#[test]
fn an_unknown_outcome_is_never_sent_again() {
    let unknown = [
        AttemptOutcome::Disconnected,
        AttemptOutcome::TimedOut,
        refused(UpstreamErrorKind::Failed),
    ];
    for last in unknown {
        let mut engine = engine(settings(), 1, 1);
        let first = sent(&dispatch(&mut engine, ms(1), ms(100))).unwrap();
        let out = feed(&mut engine, ms(2), done(first.attempt, last));
        assert_eq!(sent(&out), None);
        assert!(matches!(outcome(&out), Some(ActionOutcome::Unknown { .. })));
    }
}

/// Guards against a lost order when another replica could still take it.
#[test]
fn a_refused_action_goes_to_each_other_replica_once() {
    let mut engine = engine(settings(), 1, 1);
    let mut out = dispatch(&mut engine, ms(1), ms(100));
    let mut replicas = Vec::new();
    while let Some(send) = sent(&out) {
        let last = [AttemptOutcome::NotSent, refused(UpstreamErrorKind::Shed)];
        let last = last[replicas.len() % 2].clone();
        replicas.push(send.replica);
        out = feed(&mut engine, ms(2), done(send.attempt, last));
    }
    replicas.sort_unstable();
    assert_eq!(replicas, ["l0", "l1", "l2"]);
    assert!(matches!(outcome(&out), Some(ActionOutcome::NotRun { .. })));
}

/// Guards against a send for a caller that was told that the time is over.
#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut engine = engine(settings(), 1, 1);
    let out = dispatch(&mut engine, ms(100), ms(100));
    assert!(matches!(outcome(&out), Some(ActionOutcome::NotRun { .. })));

    let first = sent(&dispatch(&mut engine, ms(101), ms(150))).unwrap();
    let out = feed(&mut engine, ms(150), done(first.attempt, AttemptOutcome::NotSent));
    assert_eq!(sent(&out), None);
    assert!(matches!(outcome(&out), Some(ActionOutcome::NotRun { .. })));
}

/// Guards against a hedge of an action and against `not run` while an attempt is open.
#[test]
fn a_slow_action_is_cancelled_once_and_unknown() {
    let mut engine = engine(settings(), 1, 1);
    let first = sent(&dispatch(&mut engine, ms(1), ms(100))).unwrap();
    for now in 2..100 {
        assert_eq!(feed(&mut engine, ms(now), Event::Tick), []);
    }
    let out = feed(&mut engine, ms(100), Event::Tick);
    assert_eq!(out[0], Action::Cancel { attempt: first.attempt });
    assert!(matches!(outcome(&out), Some(ActionOutcome::Unknown { .. })));
    let late = feed(&mut engine, ms(101), done(first.attempt, AttemptOutcome::NotSent));
    assert_eq!(late, []);
}
