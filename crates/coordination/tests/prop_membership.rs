//! Membership compared with a simple reference model of heartbeats.

use std::{net::SocketAddr, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rosemarybank_coordination::{
    config::{Role, status_writer, watchers},
    membership::{Action, Event, Machine, Phase, Settings},
};
use rosemarybank_protocol::{peer::Heartbeat, prelude::*};

const PEERS: usize = 3;
/// 10 missed heartbeats at an interval of 500 ms, plus half an interval for network delay.
const DEAD_AFTER: Duration = Duration::from_millis(5_250);

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

fn settings() -> Settings {
    Settings::builder()
        .instance("self")
        .incarnation(1)
        .data_centre("north-1")
        .addr(addr(9))
        .peers((0..PEERS).map(addr).collect())
        .build()
}

fn heartbeat_event(i: usize, incarnation: u64, leaving: bool) -> Event {
    let heartbeat = Heartbeat {
        incarnation,
        data_centre: "north-1".into(),
        addr: addr(i),
        version: Some(1),
        quarantine_digest: 0,
        ready: true,
        leaving,
    };
    Event::HeartbeatReceived { from: format!("peer-{i}").into(), heartbeat }
}

/// Expected state of a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    last_heard: Option<Time>,
    incarnation: u64,
    leaving: bool,
}

#[derive(Clone, Debug, Default)]
struct ReferenceModel {
    now: Time,
    peers: [Expected; PEERS],
}

#[derive(Clone, Debug)]
enum Transition {
    Heartbeat { peer: usize, incarnation: u64, leaving: bool },
    Advance(u64),
}

impl ReferenceStateMachine for ReferenceModel {
    type State = ReferenceModel;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<ReferenceModel> {
        Just(ReferenceModel::default()).boxed()
    }

    fn transitions(_: &ReferenceModel) -> BoxedStrategy<Transition> {
        prop_oneof![
            (0..PEERS, 1u64..4, prop::bool::weighted(0.1)).prop_map(
                |(peer, incarnation, leaving)| {
                    Transition::Heartbeat { peer, incarnation, leaving }
                }
            ),
            // Less than two intervals, so that no step is treated as a pause of this process.
            (100u64..950).prop_map(Transition::Advance),
        ]
        .boxed()
    }

    fn apply(mut state: ReferenceModel, transition: &Transition) -> ReferenceModel {
        match *transition {
            Transition::Advance(ms) => state.now += Duration::from_millis(ms),
            Transition::Heartbeat { peer, incarnation, leaving } => {
                let dead = state.phase(peer) == Some(Phase::Dead);
                let known = &mut state.peers[peer];
                if dead || incarnation >= known.incarnation {
                    let same = incarnation == known.incarnation;
                    let leaving = leaving || (same && known.leaving);
                    *known = Expected { last_heard: Some(state.now), incarnation, leaving };
                }
            }
        }
        state
    }
}

impl ReferenceModel {
    fn phase(&self, peer: usize) -> Option<Phase> {
        let Expected { last_heard, leaving, .. } = self.peers[peer];
        let silence = self.now - last_heard?;
        Some(match () {
            () if silence >= DEAD_AFTER => Phase::Dead,
            () if leaving => Phase::Leaving,
            () if silence >= Duration::from_millis(1_750) => Phase::Suspect,
            () => Phase::Live,
        })
    }

    fn fleet_size(&self) -> usize {
        let counts = |i: &usize| match self.phase(*i) {
            Some(phase) => phase != Phase::Dead,
            None => self.now < DEAD_AFTER,
        };
        1 + (0..PEERS).filter(counts).count()
    }
}

struct Membership {
    machine: Machine,
    now: Time,
    announced: u32,
}

impl Membership {
    fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(self.now, event, &mut out);
        for action in out {
            if let Action::FleetSize(size) = action {
                assert_ne!(size, self.announced, "announced without a change");
                self.announced = size;
            }
        }
    }
}

impl StateMachineTest for Membership {
    type SystemUnderTest = Membership;
    type Reference = ReferenceModel;

    fn init_test(_: &ReferenceModel) -> Membership {
        let machine = Machine::new(settings());
        let mut test = Membership { machine, now: Time::ZERO, announced: 0 };
        test.feed(Event::Start);
        test
    }

    fn apply(mut test: Membership, _: &ReferenceModel, transition: Transition) -> Membership {
        match transition {
            Transition::Advance(ms) => {
                test.now += Duration::from_millis(ms);
                test.feed(Event::Tick);
            }
            Transition::Heartbeat { peer, incarnation, leaving } => {
                test.feed(heartbeat_event(peer, incarnation, leaving));
            }
        }
        test
    }

    fn check_invariants(test: &Membership, reference: &ReferenceModel) {
        assert_eq!(test.machine.fleet_size() as usize, reference.fleet_size(), "fleet size");
        assert_eq!(test.announced, test.machine.fleet_size(), "announced size");
        let live = test.machine.live_in_data_centre();
        let own = InstanceId::from("self");
        assert_eq!(
            test.machine.role() == Role::Watcher,
            watchers("north-1", live.iter().copied()).contains(&&own)
        );
        assert_eq!(test.machine.status().is_some(), status_writer(live) == Some(&own));
        for i in 0..PEERS {
            let name = format!("peer-{i}");
            let peer = test.machine.peers().find(|(instance, _)| **instance == *name);
            assert_eq!(peer.map(|(_, peer)| peer.phase), reference.phase(i), "{name}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x0e3b_e400),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn phases_and_fleet_size_follow_the_heartbeats(sequential 1..60 => Membership);
}

/// An instance that resumes after a pause must not take over the shares of all peers.
#[test]
fn a_pause_of_this_process_marks_no_peer_dead() {
    let (mut machine, mut out) = (Machine::new(settings()), Vec::new());
    machine.handle(Time::ZERO, Event::Start, &mut out);
    for i in 0..PEERS {
        machine.handle(Time::from_millis(400), heartbeat_event(i, 1, false), &mut out);
    }
    out.clear();
    machine.handle(Time::from_secs(60), Event::Tick, &mut out);
    assert_eq!(machine.fleet_size(), 4);
    assert!(!out.iter().any(|a| matches!(a, Action::PeerChanged { .. })), "{out:?}");
}

/// A replaced instance must not be counted twice.
#[test]
fn a_new_name_at_an_address_replaces_the_old_one() {
    let (mut machine, mut out) = (Machine::new(settings()), Vec::new());
    machine.handle(Time::ZERO, Event::Start, &mut out);
    machine.handle(Time::ZERO, heartbeat_event(0, 5, false), &mut out);
    let Event::HeartbeatReceived { heartbeat, .. } = heartbeat_event(0, 6, false) else {
        unreachable!()
    };
    let new = Event::HeartbeatReceived { from: "replacement".into(), heartbeat };
    machine.handle(Time::ZERO, new, &mut out);
    // A late heartbeat of the replaced instance is ignored.
    machine.handle(Time::ZERO, heartbeat_event(0, 5, false), &mut out);
    let names: Vec<_> = machine.peers().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["replacement"]);
    assert_eq!(machine.fleet_size(), 4);
}

/// A leaving instance neither watches the store nor writes the status object.
#[test]
fn a_leaving_instance_gives_up_its_roles() {
    let (mut machine, mut out) = (Machine::new(settings()), Vec::new());
    machine.handle(Time::ZERO, Event::Start, &mut out);
    assert_eq!(machine.role(), Role::Watcher);
    assert!(machine.status().is_some());
    out.clear();
    machine.handle(Time::from_millis(10), Event::Leave, &mut out);
    assert!(
        matches!(&out[..], [Action::SendHeartbeats { heartbeat, .. }] if heartbeat.leaving),
        "{out:?}"
    );
    assert_eq!(machine.role(), Role::Follower);
    assert_eq!(machine.status(), None);
}
