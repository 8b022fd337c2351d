//! Which replicas get work, against a model of their life cycle.

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

/// What a replica reported and what the list says.
#[derive(Clone, Debug, Default)]
struct Model {
    listed: bool,
    incarnation: Option<u64>,
    is_serving: bool,
    draining: bool,
    /// Drained by the list alone before the first status.
    awaits_live: bool,
}

impl Model {
    fn takes_work(&self) -> bool {
        self.listed && self.is_serving && !self.draining
    }
}

#[derive(Clone, Debug)]
enum Transition {
    /// The list: each replica is missing, live or leaving.
    List([u8; REPLICAS]),
    Status {
        replica: usize,
        incarnation: u64,
        state: ReplicaState,
    },
    GoingAway(usize),
    /// A query is asked; the replica that gets it replies or can't be reached.
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
            // An empty list is taken for a fault.
            Transition::List(states) if states.iter().all(|it| *it == 0) => {}
            Transition::List(states) => {
                for (model, state) in models.iter_mut().zip(states) {
                    // Polls begin when the list names a replica for the first time.
                    model.listed = *state > 0;
                    match *state {
                        4 => {
                            model.awaits_live |= !model.draining && model.incarnation.is_none();
                            model.draining = true;
                        }
                        1..4 if model.awaits_live => {
                            (model.draining, model.awaits_live) = (false, false);
                        }
                        _ => {}
                    }
                }
            }
            Transition::Status { replica, incarnation, state } => {
                let model = &mut models[*replica];
                if model.incarnation.is_some_and(|it| it != *incarnation) {
                    (model.draining, model.awaits_live) = (false, false);
                }
                model.incarnation = Some(*incarnation);
                model.is_serving = *state == ReplicaState::Serving;
                model.draining |= *state == ReplicaState::Draining;
                model.awaits_live &= *state != ReplicaState::Draining;
            }
            Transition::GoingAway(replica) => {
                let model = &mut models[*replica];
                (model.draining, model.awaits_live) = (true, false);
            }
            Transition::Query { .. } => {}
        }
        models
    }

    fn preconditions(models: &Self::State, transition: &Transition) -> bool {
        let is_known = |it: usize| models[it].listed || models[it].incarnation.is_some();
        match transition {
            Transition::Status { replica, .. } | Transition::GoingAway(replica) => {
                is_known(*replica)
            }
            _ => true,
        }
    }
}

struct Sut {
    engine: Engine,
    now: Time,
    query: u64,
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Sut;
    type Reference = Lifecycle;

    fn init_test(_: &[Model; REPLICAS]) -> Sut {
        let mut engine = Engine::new(settings(), 1);
        feed(&mut engine, ms(0), Event::Configure(Box::new(bundle(1))));
        Sut { engine, now: ms(0), query: 0 }
    }

    fn apply(mut sut: Sut, models: &[Model; REPLICAS], transition: Transition) -> Sut {
        sut.now += ms(400);
        let Sut { engine, now, query } = &mut sut;
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
                let able: Vec<_> = (0..REPLICAS).filter(|it| models[*it].takes_work()).collect();
                assert_eq!(sent.len(), usize::from(!able.is_empty()), "{able:?} can serve");
                for send in sent {
                    let is_able = able.iter().any(|it| name(0, *it as u64) == send.replica);
                    assert!(is_able, "{} got work, {able:?} can serve", send.replica);
                    let outcome = if replies { reply(&send) } else { AttemptOutcome::NotSent };
                    for retry in sends(&feed(engine, *now, done(send.attempt, outcome))) {
                        assert!(able.iter().any(|it| name(0, *it as u64) == retry.replica));
                        feed(engine, *now, done(retry.attempt, reply(&retry)));
                    }
                }
            }
        }
        sut
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against work for a replica that leaves, starts or is gone, and against queries that
    /// fail although a replica can serve them.
    #[test]
    fn work_goes_to_replicas_that_take_it(sequential 1..60 => Sut);
}

/// Guards against a replica that is lost until its next restart, because a lagging list named it as
/// leaving before its first status and after its restart.
#[test]
fn a_list_ends_the_drain_that_it_began_before_the_first_status() {
    let takes_work = |ends: Option<Event>, state| {
        let mut engine = Engine::new(settings(), 1);
        feed(&mut engine, ms(0), Event::Configure(Box::new(bundle(1))));
        let leaving = InstanceEntry { state: InstanceState::Leaving, ..entry(0, 0) };
        feed(&mut engine, ms(0), Event::ReplicaList(vec![leaving]));
        let status = status(name(0, 0), KeyRange::ALL, &[7]);
        let status = ReplicaStatus { state, ..status };
        feed(&mut engine, ms(1), Event::ReplicaStatus(status));
        if let Some(event) = ends {
            feed(&mut engine, ms(2), event);
        }
        let before = feed(&mut engine, ms(3), Event::Submit(submission(1, ms(300))));
        feed(&mut engine, ms(4), Event::ReplicaList(vec![entry(0, 0)]));
        let after = feed(&mut engine, ms(5), Event::Submit(submission(2, ms(300))));
        (sends(&before).len(), sends(&after).len())
    };
    assert_eq!(takes_work(None, ReplicaState::Serving), (0, 1));
    // The replica itself says that it leaves, so the list is not believed.
    assert_eq!(takes_work(None, ReplicaState::Draining), (0, 0));
    let going_away = Event::GoingAway { replica: name(0, 0) };
    assert_eq!(takes_work(Some(going_away), ReplicaState::Serving), (0, 0));
}
