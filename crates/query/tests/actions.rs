//! One-time actions: at most one attempt may have run the action.

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

fn sent_action(actions: &[Action]) -> Option<SendAction> {
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

/// Guards against sending an action again after it may have run.
#[test]
fn an_action_with_unknown_outcome_is_not_sent_again() {
    let unknown = [
        AttemptOutcome::Disconnected,
        AttemptOutcome::TimedOut,
        refused(UpstreamErrorKind::Failed),
    ];
    for last in unknown {
        let mut engine = engine(settings(), 1, 1);
        let first = sent_action(&dispatch(&mut engine, ms(1), ms(100))).unwrap();
        let out = feed(&mut engine, ms(2), done(first.attempt, last));
        assert_eq!(sent_action(&out), None);
        assert!(matches!(outcome(&out), Some(ActionOutcome::Unknown { .. })));
    }
}

/// Guards against giving up an action while another replica can still run it.
#[test]
fn a_refused_action_is_sent_once_to_each_replica() {
    let mut engine = engine(settings(), 1, 1);
    let mut out = dispatch(&mut engine, ms(1), ms(100));
    let mut replicas = Vec::new();
    while let Some(send) = sent_action(&out) {
        let last = [AttemptOutcome::NotSent, refused(UpstreamErrorKind::Shed)];
        let last = last[replicas.len() % 2].clone();
        replicas.push(send.replica);
        out = feed(&mut engine, ms(2), done(send.attempt, last));
    }
    replicas.sort_unstable();
    assert_eq!(replicas, ["l0", "l1", "l2"]);
    assert!(matches!(outcome(&out), Some(ActionOutcome::NotRun { .. })));
}

/// Guards against sending an action after its deadline, when the caller has been told that it did
/// not run.
#[test]
fn an_action_is_not_sent_after_its_deadline() {
    let mut engine = engine(settings(), 1, 1);
    let out = dispatch(&mut engine, ms(100), ms(100));
    assert!(matches!(outcome(&out), Some(ActionOutcome::NotRun { .. })));

    let first = sent_action(&dispatch(&mut engine, ms(101), ms(150))).unwrap();
    let out = feed(&mut engine, ms(150), done(first.attempt, AttemptOutcome::NotSent));
    assert_eq!(sent_action(&out), None);
    assert!(matches!(outcome(&out), Some(ActionOutcome::NotRun { .. })));
}

/// Guards against hedging an action, and against reporting it as not run while an attempt is in
/// flight.
#[test]
fn a_timed_out_action_is_cancelled_with_unknown_outcome() {
    let mut engine = engine(settings(), 1, 1);
    let first = sent_action(&dispatch(&mut engine, ms(1), ms(100))).unwrap();
    for now in 2..100 {
        assert_eq!(feed(&mut engine, ms(now), Event::Tick), []);
    }
    let out = feed(&mut engine, ms(100), Event::Tick);
    assert_eq!(out[0], Action::Cancel { attempt: first.attempt });
    assert!(matches!(outcome(&out), Some(ActionOutcome::Unknown { .. })));
    let late = feed(&mut engine, ms(101), done(first.attempt, AttemptOutcome::NotSent));
    assert_eq!(late, []);
}
