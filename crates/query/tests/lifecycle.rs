//! Model test of the replica life cycle: which replicas get work.

mod common;

use common::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rosemarybank_protocol::{
    platform::{InstanceEntry, InstanceState},
    prelude::*,
    upstream::{ReplicaState, ReplicaStatus},
};
use rosemarybank_query::{
    engine::Engine,
    interface::{AttemptOutcome, Event},
};

const REPLICAS: usize = 4;

/// What a replica has reported and what the list contains.
#[derive(Clone, Debug, Default)]
struct Model {
    listed: bool,
    incarnation: Option<u64>,
    is_serving: bool,
    draining: bool,
    /// Whether only the list has marked it as draining, before its first status.
    drained_by_list: bool,
}

impl Model {
    fn takes_work(&self) -> bool {
        self.listed && self.is_serving && !self.draining
    }
}

#[derive(Clone, Debug)]
enum Transition {
    /// A list. 0 means that the replica is missing, 1 to 3 live, 4 leaving.
    List([u8; REPLICAS]),
    Status {
        replica: usize,
        incarnation: u64,
        state: ReplicaState,
    },
    GoingAway(usize),
    /// A query is submitted. The replica that gets it replies or can't be reached.
    Query {
        replies: bool,
    },
}

struct Lifecycle;

impl ReferenceStateMachine for Lifecycle {
    type State = [Model; REPLICAS];
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(Default::default()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Transition> {
        let state = prop::sample::select(vec![
            ReplicaState::Serving,
            ReplicaState::Serving,
            ReplicaState::Serving,
            ReplicaState::Cold,
            ReplicaState::Draining,
        ]);
        prop_oneof![
            2 => prop::array::uniform4(0..5_u8).prop_map(Transition::List),
            6 => (0..REPLICAS, 1..4_u64, state).prop_map(|(replica, incarnation, state)| {
                Transition::Status { replica, incarnation, state }
            }),
            1 => (0..REPLICAS).prop_map(Transition::GoingAway),
            4 => any::<bool>().prop_map(|replies| Transition::Query { replies }),
        ]
        .boxed()
    }

    fn apply(mut models: Self::State, transition: &Transition) -> Self::State {
        match transition {
            // An empty list is ignored as a fault.
            Transition::List(states) if states.iter().all(|it| *it == 0) => {}
            Transition::List(states) => {
                for (model, state) in models.iter_mut().zip(states) {
                    model.listed = *state > 0;
                    match *state {
                        4 => {
                            model.drained_by_list |= !model.draining && model.incarnation.is_none();
                            model.draining = true;
                        }
                        1..4 if model.drained_by_list => {
                            (model.draining, model.drained_by_list) = (false, false);
                        }
                        _ => {}
                    }
                }
            }
            Transition::Status { replica, incarnation, state } => {
                let model = &mut models[*replica];
                if model.incarnation.is_some_and(|it| it != *incarnation) {
                    (model.draining, model.drained_by_list) = (false, false);
                }
                model.incarnation = Some(*incarnation);
                model.is_serving = *state == ReplicaState::Serving;
                model.draining |= *state == ReplicaState::Draining;
                model.drained_by_list &= *state != ReplicaState::Draining;
            }
            Transition::GoingAway(replica) => {
                let model = &mut models[*replica];
                (model.draining, model.drained_by_list) = (true, false);
            }
            Transition::Query { .. } => {}
        }
        models
    }

    fn preconditions(models: &Self::State, transition: &Transition) -> bool {
        // Polls of a replica begin when the list contains it for the first time, so it reports
        // nothing earlier.
        let is_known = |it: usize| models[it].listed || models[it].incarnation.is_some();
        match transition {
            Transition::Status { replica, .. } | Transition::GoingAway(replica) => {
                is_known(*replica)
            }
            _ => true,
        }
    }
}

struct EngineUnderTest {
    engine: Engine,
    now: Time,
    query: u64,
}

impl StateMachineTest for EngineUnderTest {
    type SystemUnderTest = EngineUnderTest;
    type Reference = Lifecycle;

    fn init_test(_: &[Model; REPLICAS]) -> EngineUnderTest {
        let mut engine = Engine::new(settings(), 1);
        feed(&mut engine, ms(0), Event::Configure(Box::new(bundle(1))));
        EngineUnderTest { engine, now: ms(0), query: 0 }
    }

    fn apply(
        mut test: EngineUnderTest,
        models: &[Model; REPLICAS],
        transition: Transition,
    ) -> EngineUnderTest {
        test.now += ms(400);
        let EngineUnderTest { engine, now, query } = &mut test;
        match transition {
            Transition::List(states) => {
                let entries = states.iter().enumerate().filter(|(_, it)| **it > 0);
                let entries = entries.map(|(replica, it)| InstanceEntry {
                    state: if *it == 4 { InstanceState::Leaving } else { InstanceState::Live },
                    ..entry(0, replica as u64)
                });
                feed(engine, *now, Event::ReplicaList(entries.collect()));
            }
            Transition::Status { replica, incarnation, state } => {
                let mut status = status(name(0, replica as u64), KeyRange::ALL, &[7]);
                (status.incarnation, status.state) = (incarnation, state);
                feed(engine, *now, Event::ReplicaStatus(status));
            }
            Transition::GoingAway(replica) => {
                feed(engine, *now, Event::GoingAway { replica: name(0, replica as u64) });
            }
            Transition::Query { replies } => {
                *query += 1;
                let submission = submission(*query, *now + ms(300));
                let sent = sends(&feed(engine, *now, Event::Submit(submission)));
                let usable: Vec<_> = (0..REPLICAS).filter(|it| models[*it].takes_work()).collect();
                assert_eq!(sent.len(), usize::from(!usable.is_empty()), "{usable:?} can serve");
                for send in sent {
                    let is_usable = usable.iter().any(|it| name(0, *it as u64) == send.replica);
                    assert!(is_usable, "{} got work, {usable:?} can serve", send.replica);
                    let outcome = if replies { reply(&send) } else { AttemptOutcome::NotSent };
                    for retry in sends(&feed(engine, *now, done(send.attempt, outcome))) {
                        assert!(usable.iter().any(|it| name(0, *it as u64) == retry.replica));
                        feed(engine, *now, done(retry.attempt, reply(&retry)));
                    }
                }
            }
        }
        test
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against work for a replica that is draining, starting or gone, and against queries
    /// that fail although a replica can serve them.
    #[test]
    fn work_goes_to_usable_replicas(sequential 1..60 => EngineUnderTest);
}

/// Guards against a replica that gets no work until its next restart, because a lagging list
/// reported it as leaving before its first status and after its last restart.
#[test]
fn a_list_ends_a_drain_that_it_began_before_the_first_status() {
    let sends_before_and_after = |event: Option<Event>, state| {
        let mut engine = Engine::new(settings(), 1);
        feed(&mut engine, ms(0), Event::Configure(Box::new(bundle(1))));
        let leaving = InstanceEntry { state: InstanceState::Leaving, ..entry(0, 0) };
        feed(&mut engine, ms(0), Event::ReplicaList(vec![leaving]));
        let status = status(name(0, 0), KeyRange::ALL, &[7]);
        let status = ReplicaStatus { state, ..status };
        feed(&mut engine, ms(1), Event::ReplicaStatus(status));
        if let Some(event) = event {
            feed(&mut engine, ms(2), event);
        }
        let before = feed(&mut engine, ms(3), Event::Submit(submission(1, ms(300))));
        feed(&mut engine, ms(4), Event::ReplicaList(vec![entry(0, 0)]));
        let after = feed(&mut engine, ms(5), Event::Submit(submission(2, ms(300))));
        (sends(&before).len(), sends(&after).len())
    };
    assert_eq!(sends_before_and_after(None, ReplicaState::Serving), (0, 1));
    // The replica itself has reported the drain, so the list does not end it.
    assert_eq!(sends_before_and_after(None, ReplicaState::Draining), (0, 0));
    let going_away = Event::GoingAway { replica: name(0, 0) };
    assert_eq!(sends_before_and_after(Some(going_away), ReplicaState::Serving), (0, 0));
}
