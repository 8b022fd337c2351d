//! The source of the replica list under arbitrary orders of store and peer replies.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::replica_list::{Action, Event, Machine, Settings};
use rosemarybank_protocol::{
    platform::{InstanceEntry, InstanceState},
    prelude::*,
};

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i as u16))
}

fn list(len: usize) -> Vec<InstanceEntry> {
    let entry = |it: usize| InstanceEntry {
        replica: format!("replica-{it}").into(),
        upstream: "stock".into(),
        addr: addr(it),
        data_centre: "north-1".into(),
        state: InstanceState::Live,
    };
    (0..len).map(entry).collect()
}

fn machine(peers: usize, seed: u64) -> Machine {
    let settings = Settings::builder().peers((0..peers).map(addr).collect()).seed(seed);
    Machine::new(settings.build())
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        1 => Just(Event::StoreList),
        4 => Just(Event::StoreUnreachable),
        4 => (0_usize..6).prop_map(|len| Event::PeerList(list(len))),
        4 => Just(Event::Tick),
    ];
    prop::collection::vec((0_u64..40_000, event), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(31), ..ProptestConfig::with_cases(512) })]

    /// Guards against peer lists that replace the list from the store, empty or shorter peer lists
    /// that replace a longer one, and queries to peers that are unnecessary or too frequent.
    #[test]
    fn peer_lists_are_used_only_until_the_store_is_read(events in events(), peers in 0_usize..6, seed: u64) {
        let mut machine = machine(peers, seed);
        let (mut now, mut used, mut store_read, mut store_failed) = (Time::ZERO, 0, false, false);
        let mut last_round: Option<Time> = None;
        for (pause, event) in events {
            now += Duration::from_millis(pause);
            let mut out = Vec::new();
            store_read |= event == Event::StoreList;
            store_failed |= event == Event::StoreUnreachable;
            let offered = match &event {
                Event::PeerList(it) => it.len(),
                _ => 0,
            };
            machine.handle(now, event, &mut out);
            let uses_list = out.iter().any(|it| matches!(it, Action::Use(_)));
            prop_assert_eq!(uses_list, store_failed && !store_read && offered > used);
            for action in out {
                match action {
                    Action::Use(it) => used = it.len(),
                    Action::AskPeers(to) => {
                        prop_assert!(store_failed && !store_read);
                        let distinct: BTreeSet<_> = to.iter().collect();
                        prop_assert_eq!(distinct.len(), to.len());
                        prop_assert_eq!(to.len(), peers.min(3));
                        let interval = if used == 0 { 500 } else { 60_000 };
                        let least = Duration::from_millis(interval);
                        prop_assert!(last_round.is_none_or(|it| now - it >= least));
                        last_round = Some(now);
                    }
                }
            }
        }
    }

    /// Guards against peers that are never queried. An instance whose first peers are down would then
    /// never get a list.
    #[test]
    fn every_peer_is_asked_in_turn(peers in 1_usize..20, seed: u64) {
        let mut machine = machine(peers, seed);
        let mut out = Vec::new();
        machine.handle(Time::ZERO, Event::StoreUnreachable, &mut out);
        for _ in 1..peers.div_ceil(3) {
            let at = machine.next_wakeup().expect("a round follows while no list is known");
            machine.handle(at, Event::Tick, &mut out);
        }
        let asked: BTreeSet<_> = out.iter().flat_map(|it| match it {
            Action::AskPeers(to) => to.clone(),
            Action::Use(_) => Vec::new(),
        }).collect();
        prop_assert_eq!(asked.len(), peers);
    }
}
