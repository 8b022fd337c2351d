//! The tree in which instances pass on the platform's news.

use std::{collections::HashMap, time::Duration};

use proptest::prelude::*;
use rosemarybank_coordination::source::{Member, Source, SourceSelector};
use rosemarybank_protocol::prelude::*;

fn member(number: usize, data_centres: usize) -> Member {
    Member {
        id: format!("m{number}").into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: format!("dc{}", number % data_centres).into(),
        millicores: 120 + 130 * (number as u32 % 3),
    }
}

fn chooser(own: &Member, members: &[Member]) -> SourceSelector {
    let mut chooser = SourceSelector::new(own.id.clone(), own.data_centre.clone());
    chooser.set_members(members.to_vec());
    chooser
}

proptest! {
    /// Instances that know the same members form a tree of depth two: one reads the store, and
    /// nobody follows in a circle.
    #[test]
    fn one_instance_reads_and_all_others_reach_it(count in 1_usize..80, data_centres in 1_usize..8) {
        let members: Vec<Member> = (0..count).map(|it| member(it, data_centres)).collect();
        let sources: HashMap<InstanceId, Source> = members
            .iter()
            .map(|it| (it.id.clone(), chooser(it, &members).source(Time::ZERO)))
            .collect();
        let readers = sources.values().filter(|it| **it == Source::Store).count();
        prop_assert_eq!(readers, 1);
        for it in &members {
            let (mut at, mut steps) = (it.id.clone(), 0);
            while let Source::Peer(next) = &sources[&at] {
                at = next.id.clone();
                steps += 1;
                prop_assert!(steps <= 2, "a circle, or a tree that is too deep");
            }
        }
        // Only the first of each data centre follows across data centres, whose links are priced.
        let far = members.iter().filter(|it| {
            matches!(&sources[&it.id], Source::Peer(next) if next.data_centre != it.data_centre)
        });
        prop_assert!(far.count() < data_centres);
    }

    /// Whatever does not answer, an instance whose news are old reads the store itself.
    #[test]
    fn old_news_are_never_enough(count in 2_usize..20, silent in prop::collection::vec(0_usize..20, 0..20)) {
        let members: Vec<Member> = (0..count).map(|it| member(it, 3)).collect();
        let mut chooser = chooser(&members[0], &members);
        let now = Duration::from_secs(10);
        for it in silent {
            chooser.record_failure(now, &format!("m{it}").into());
        }
        prop_assert!(chooser.should_read_store(now), "there are no news yet");
        chooser.record_read(now);
        let later = now + Duration::from_millis(1_500);
        prop_assert!(chooser.should_read_store(later));
    }
}

#[test]
fn a_member_that_did_not_answer_is_passed_over_for_a_while() {
    let members: Vec<Member> = (0..6).map(|it| member(it, 2)).collect();
    let mut chooser = chooser(&members[0], &members);
    let Source::Peer(first) = chooser.source(Time::ZERO) else { panic!("m0 is the smallest") };
    chooser.record_failure(Time::ZERO, &first.id);
    assert_ne!(chooser.source(Time::ZERO), Source::Peer(first.clone()));
    assert_eq!(chooser.source(Duration::from_secs(5)), Source::Peer(first));
}
