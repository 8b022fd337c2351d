//! Selection of the source of platform state, which forms a distribution tree.

use std::{collections::HashMap, time::Duration};

use proptest::prelude::*;
use rosemarybank_coordination::{
    feed::{FeedPosition, SourceState},
    source::{Member, Source, SourceSelector, Start},
};
use rosemarybank_protocol::prelude::*;

fn member(number: usize, data_centres: usize) -> Member {
    Member {
        id: format!("m{number}").into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: format!("dc{}", number % data_centres).into(),
        millicores: 120 + 130 * (number as u32 % 3),
    }
}

fn selector(own: &Member, members: &[Member]) -> SourceSelector {
    let mut selector = SourceSelector::new(
        own.id.clone(),
        own.data_centre.clone(),
        Duration::from_millis(1_500),
        Start::Later,
    );
    selector.set_members(Time::ZERO, members.to_vec());
    selector
}

/// Guards against a source that counts as current while it can read the replicas and not the configuration.
#[test]
fn a_read_without_the_configuration_makes_the_state_no_newer() {
    let members: Vec<Member> = (0..2).map(|it| member(it, 1)).collect();
    let own = members.iter().max_by_key(|it| it.millicores).unwrap();
    let mut selector = selector(own, &members);
    let position = FeedPosition::default();
    let ms = Duration::from_millis;
    selector.record_own_read(ms(0));
    selector.set_config_current(false);
    for now in [400, 800, 1_200] {
        selector.record_own_read(ms(now));
        assert_eq!(selector.age(ms(now)), Some(ms(now)));
    }
    assert_eq!(selector.source_state(ms(1_200), position), SourceState::Stale);
    selector.set_config_current(true);
    assert_eq!(selector.age(ms(1_250)), Some(ms(50)));
    assert_eq!(selector.source_state(ms(1_250), position), SourceState::Current(position));
}

proptest! {
    /// Instances that know the same members form a tree of depth two without cycles, in which one
    /// instance reads the store.
    #[test]
    fn one_instance_reads_the_store_and_all_others_follow_it(count in 1_usize..80, data_centres in 1_usize..8) {
        let members: Vec<Member> = (0..count).map(|it| member(it, data_centres)).collect();
        let sources: HashMap<InstanceId, Source> = members
            .iter()
            .map(|it| (it.id.clone(), selector(it, &members).source(Time::ZERO)))
            .collect();
        let readers = sources.values().filter(|it| **it == Source::Store).count();
        prop_assert_eq!(readers, 1);
        for it in &members {
            let (mut at, mut steps) = (it.id.clone(), 0);
            while let Source::Peer(next) = &sources[&at] {
                at = next.id.clone();
                steps += 1;
                prop_assert!(steps <= 2, "a cycle, or a tree that is too deep");
            }
        }
        // At most one instance per data centre follows another data centre, because traffic between
        // data centres has a cost.
        let remote = members.iter().filter(|it| {
            matches!(&sources[&it.id], Source::Peer(next) if next.data_centre != it.data_centre)
        });
        prop_assert!(remote.count() < data_centres);
    }

    /// An instance whose state is missing or stale reads the store, whichever members fail to respond.
    #[test]
    fn stale_state_causes_a_store_read(count in 2_usize..20, failed in prop::collection::vec(0_usize..20, 0..20)) {
        let members: Vec<Member> = (0..count).map(|it| member(it, 3)).collect();
        let mut selector = selector(&members[0], &members);
        let now = Duration::from_secs(10);
        for it in failed {
            selector.record_failure(now, &format!("m{it}").into());
        }
        prop_assert!(selector.should_read_store(now), "no state has arrived yet");
        selector.record_read(now);
        let later = now + Duration::from_millis(1_500);
        prop_assert!(selector.should_read_store(later));
    }
}

/// A starting instance waits for the state of another one, but not for long. One that all others would
/// follow reads the store at once.
#[test]
fn a_starting_instance_waits_for_another_one() {
    let members: Vec<Member> = (0..6).map(|it| member(it, 2)).collect();
    let sources = members.iter().map(|it| (it, selector(it, &members).source(Time::ZERO)));
    let (readers, followers): (Vec<_>, Vec<_>) = sources.partition(|it| it.1 == Source::Store);
    assert!(selector(readers[0].0, &members).should_read_store(Time::ZERO));
    for (start, wait) in [(Start::Later, 300), (Start::First, 2_200)] {
        let own = followers[0].0;
        let max_age = Duration::from_millis(1_500);
        let mut selector =
            SourceSelector::new(own.id.clone(), own.data_centre.clone(), max_age, start);
        assert!(!selector.should_read_store(Time::ZERO), "no members are known yet");
        selector.set_members(Time::ZERO, members.clone());
        assert!(!selector.should_read_store(Duration::from_millis(wait - 1)));
        assert!(selector.should_read_store(Duration::from_millis(wait)));
        selector.record_read(Duration::from_millis(wait));
        assert!(!selector.should_read_store(Duration::from_millis(wait)));
    }
}

#[test]
fn a_failed_member_is_excluded_temporarily() {
    let members: Vec<Member> = (0..6).map(|it| member(it, 2)).collect();
    let mut selector = selector(&members[0], &members);
    let Source::Peer(first) = selector.source(Time::ZERO) else { panic!("m0 is the smallest") };
    selector.record_failure(Time::ZERO, &first.id);
    assert_ne!(selector.source(Time::ZERO), Source::Peer(first.clone()));
    assert_eq!(selector.source(Duration::from_secs(5)), Source::Peer(first));
}
