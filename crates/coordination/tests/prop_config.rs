//! The configuration machine under arbitrary event orders.

use std::{collections::BTreeMap, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::config::{Action, Event, Machine, Role, Settings, watchers};
use rosemarybank_protocol::{platform::SignedBundle, prelude::*};

fn bundle(version: Version) -> SignedBundle {
    SignedBundle { version, signer: "ops".into(), bundle: "b".into(), signature: "s".into() }
}

fn event() -> impl Strategy<Value = Event> {
    let instance = || (0u8..4).prop_map(|i| InstanceId::from(["b", "c", "d", "e"][usize::from(i)]));
    prop_oneof![
        1 => (1u64..9).prop_map(|v| Event::StoreHead(bundle(v))),
        1 => (1u64..9).prop_map(|version| Event::StoreConfirms { version }),
        1 => Just(Event::StoreEmpty),
        4 => Just(Event::StoreUnreachable),
        8 => (instance(), proptest::option::weighted(0.8, 1u64..9))
            .prop_map(|(instance, version)| Event::PeerHolds { instance, version }),
        1 => instance().prop_map(|instance| Event::PeerGone { instance }),
        4 => (1u64..9).prop_map(|v| Event::PeerBundle(bundle(v))),
        1 => Just(Event::FetchFailed),
        1 => prop_oneof![Just(Role::Watcher), Just(Role::Follower)].prop_map(Event::RoleChanged),
        2 => Just(Event::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x0c0f_1600),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn versions_never_decrease_and_a_start_needs_the_store_or_a_majority(
        events in proptest::collection::vec((0u64..1500, event()), 1..60),
    ) {
        let mut machine = Machine::new(Settings::builder().instances(5).build());
        let (mut now, mut held) = (Time::ZERO, None);
        let mut reports: BTreeMap<InstanceId, Version> = BTreeMap::new();
        let mut unreachable = false;
        // A report whose fetch fails or times out no longer counts, so that an unreachable instance
        // does not block a start for which the other reports suffice.
        let mut fetch: Option<(InstanceId, Version, Time)> = None;
        machine.handle(now, Event::Start, &mut Vec::new());
        for (wait, event) in events {
            now += Duration::from_millis(wait);
            let from_store = matches!(event, Event::StoreHead(_));
            match &event {
                Event::StoreHead(_) | Event::StoreConfirms { .. } | Event::StoreEmpty => {
                    unreachable = false;
                }
                Event::StoreUnreachable => unreachable = true,
                Event::PeerHolds { instance, version: Some(v) } => {
                    reports.insert(instance.clone(), *v);
                }
                Event::PeerHolds { instance, version: None } => {
                    reports.remove(instance);
                }
                Event::PeerGone { instance } => {
                    reports.remove(instance);
                    fetch = fetch.filter(|(from, ..)| from != instance);
                }
                Event::FetchFailed => {
                    if let Some((from, ..)) = fetch.take() {
                        reports.remove(&from);
                    }
                }
                Event::PeerBundle(bundle) => {
                    fetch = fetch.filter(|(_, version, _)| *version > bundle.version);
                }
                _ => {}
            }
            let mut out = Vec::new();
            machine.handle(now, event, &mut out);
            let timed_out = fetch.as_ref().is_some_and(|(.., until)| *until <= now);
            let late = if timed_out { fetch.take() } else { None };
            for action in out {
                if let Action::FetchFromPeer { instance, .. } = &action {
                    prop_assert!(fetch.is_none(), "two fetches at once");
                    let version = reports.get(instance).copied().expect("only reports are fetched");
                    fetch = Some((instance.clone(), version, now + Duration::from_secs(2)));
                }
                let Action::Activate(bundle) = action else { continue };
                prop_assert!(held < Some(bundle.version), "the version did not increase");
                if held.is_none() && !from_store {
                    prop_assert!(unreachable, "a peer bundle was activated while the store was reachable");
                    prop_assert!(reports.len() >= 3, "fewer than floor(5/2)+1 reports");
                    let highest = reports.values().max().copied();
                    prop_assert!(Some(bundle.version) >= highest, "not the highest report");
                }
                held = Some(bundle.version);
            }
            if let Some((from, ..)) = late {
                reports.remove(&from);
            }
            prop_assert_eq!(machine.version(), held);
        }
    }

    /// If every membership change moved the watchers, watches would be dropped and opened constantly.
    #[test]
    fn watchers_change_only_when_a_watcher_leaves(
        names in proptest::collection::btree_set("[a-z]{1,8}", 3..20),
        gone in any::<proptest::sample::Index>(),
    ) {
        let live: Vec<InstanceId> = names.iter().map(Into::into).collect();
        let chosen = watchers("north-1", &live);
        prop_assert_eq!(chosen.len(), 2);
        let gone = gone.get(&live);
        let rest: Vec<_> = live.iter().rev().filter(|i| *i != gone).collect();
        let after = watchers("north-1", rest);
        let kept = chosen.iter().filter(|i| **i != gone);
        prop_assert!(kept.clone().all(|i| after.contains(i)));
        prop_assert_eq!(after.len(), 2);
    }
}

/// With two instances, a majority includes the restarted instance, so only the store can confirm a
/// version.
#[test]
fn two_instances_never_start_from_peers() {
    let mut machine = Machine::new(Settings::builder().instances(2).build());
    let mut out = Vec::new();
    machine.handle(Time::ZERO, Event::Start, &mut out);
    machine.handle(Time::ZERO, Event::StoreUnreachable, &mut out);
    let report = Event::PeerHolds { instance: "b".into(), version: Some(3) };
    machine.handle(Time::ZERO, report, &mut out);
    machine.handle(Time::ZERO, Event::PeerBundle(bundle(3)), &mut out);
    assert_eq!(machine.version(), None);
}

/// An instance that receives no peer reports must detect new versions itself.
#[test]
fn a_follower_reads_the_store_when_its_peers_are_silent() {
    let mut machine = Machine::new(Settings::builder().instances(3).build());
    let mut out = Vec::new();
    machine.handle(Time::ZERO, Event::Start, &mut out);
    machine.handle(Time::ZERO, Event::StoreHead(bundle(1)), &mut out);
    out.clear();
    let at = machine.next_wakeup().expect("the read after peer silence is scheduled");
    assert_eq!(at, Time::from_secs(5));
    machine.handle(at, Event::Tick, &mut out);
    assert!(matches!(out[..], [Action::ReadStore { have: Some(1), .. }]), "{out:?}");
}

/// A long poll that returns immediately must not cause a busy loop.
#[test]
fn an_unchanged_watch_is_repeated_after_a_delay() {
    let mut machine = Machine::new(Settings::builder().instances(3).build());
    let mut out = Vec::new();
    machine.handle(Time::ZERO, Event::RoleChanged(Role::Watcher), &mut out);
    machine.handle(Time::ZERO, Event::Start, &mut out);
    machine.handle(Time::ZERO, Event::StoreHead(bundle(1)), &mut out);
    out.clear();
    machine.handle(Time::ZERO, Event::StoreConfirms { version: 1 }, &mut out);
    assert_eq!(out, []);
    assert_eq!(machine.next_wakeup(), Some(Time::from_secs(1)));
}
