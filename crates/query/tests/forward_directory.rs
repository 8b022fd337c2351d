//! The list of replicas while the store fails and returns.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Directory, ReplicaInfo, ReplicaState,
    directory::{Change, ListUpdate, UpdateOutcome},
};

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn replica(id: &str) -> ReplicaInfo {
    ReplicaInfo {
        id: id.into(),
        service: "orders".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        slots: 2,
        state: ReplicaState::Ready,
        cold: Duration::ZERO,
        born_ms: 1,
    }
}

fn ids(directory: &Directory) -> Vec<ReplicaId> {
    directory.usable_replicas().into_iter().map(|it| it.id).collect()
}

fn three() -> Directory {
    let mut directory = Directory::default();
    directory.set_store_reachable(ms(0), ms(0));
    directory.replace(ms(0), ["r1", "r2", "r3"].map(replica));
    directory
}

/// Entries of live replicas expire while the store is away; removing them at its return would leave
/// services without replicas.
#[test]
fn entries_that_expired_during_an_outage_are_kept_until_replicas_can_be_back() {
    let mut directory = three();
    directory.set_store_unreachable();
    directory.set_store_reachable(ms(5_000), ms(5_000));
    directory.replace(ms(5_000), [replica("r1")]);
    directory.tick(ms(7_000));
    assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
    directory.apply(ms(7_200), Change::Present(replica("r2")));
    directory.tick(ms(7_700));
    assert_eq!(ids(&directory), ["r1", "r2"], "r3 is gone: it did not come back in time");
}

#[test]
fn an_entry_that_is_removed_while_the_store_is_stable_goes_at_once() {
    let mut directory = three();
    directory.apply(ms(100), Change::Absent("r2".into()));
    assert_eq!(ids(&directory), ["r1", "r3"]);
}

/// Guards against a fault of ratro-links trouble-3: an instance that could not reach the store
/// either kept sending its old list, and each of its messages ended the grace of the outage.
#[test]
fn old_news_of_another_instance_do_not_end_the_grace() {
    for age in [None, Some(ms(4_000))] {
        let mut directory = three();
        directory.set_store_unreachable();
        let outcome = directory.apply_update(ms(4_900), age, ListUpdate::Changes(Vec::new()));
        assert_eq!(outcome, UpdateOutcome::TooOld);
        directory.set_store_reachable(ms(5_000), ms(5_000));
        directory.replace(ms(5_000), [replica("r1")]);
        assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
    }
}

/// An instance that started during the outage has an incomplete list, though it is fresh.
#[test]
fn a_fresh_list_of_another_instance_begins_the_grace() {
    let mut directory = three();
    directory.set_store_unreachable();
    let news = ListUpdate::All(vec![replica("r3")]);
    assert_eq!(directory.apply_update(ms(5_000), Some(ms(10)), news), UpdateOutcome::Applied);
    assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
    directory.tick(ms(7_700));
    assert_eq!(ids(&directory), ["r3"]);
}

/// A follower that applies the changes since what it has ends with the same list.
#[test]
fn changes_bring_a_follower_to_the_same_list() {
    let mut source = three();
    let mut follower = three();
    let seq = source.seq();
    source.apply(ms(10), Change::Absent("r1".into()));
    source.apply(ms(20), Change::Present(replica("r4")));
    // A heartbeat that only shortens the cold time is no change.
    source.apply(ms(30), Change::Present(replica("r4")));
    let changes = source.changes_since(seq).unwrap();
    assert_eq!(changes.len(), 2);
    let outcome = follower.apply_update(ms(40), Some(ms(10)), ListUpdate::Changes(changes));
    assert_eq!(outcome, UpdateOutcome::Applied);
    assert_eq!(ids(&follower), ids(&source));
    assert_eq!(source.changes_since(source.seq() + 1), None, "a number of another lifetime");
}

/// Guards against a fault of ratro-links trouble-1, seed 376830931286: an instance that alone was
/// turned away by the store kept replicas that had drained and left meanwhile, and its followers,
/// which knew better, took them up again.
#[test]
fn entries_that_are_only_kept_are_not_passed_on() {
    let mut source = three();
    let mut follower = three();
    let seq = source.seq();
    source.set_store_unreachable();
    follower.apply(ms(3_000), Change::Absent("r2".into()));
    source.set_store_reachable(ms(5_000), ms(5_000));
    source.apply(ms(5_000), Change::Absent("r2".into()));
    assert_eq!(ids(&source), ["r1", "r2", "r3"], "r2 may have expired and be back soon");
    let changes = source.changes_since(seq).unwrap();
    for news in [ListUpdate::Changes(changes), ListUpdate::All(source.stored_replicas())] {
        assert_eq!(follower.apply_update(ms(5_010), Some(ms(10)), news), UpdateOutcome::Applied);
        assert_eq!(ids(&follower), ["r1", "r3"]);
    }
}

/// Guards against a fault that the model check of the list found: an instance that had just read
/// the store itself took older news of another one, and used a replica that had left.
#[test]
fn news_from_before_the_own_read_bring_nothing_back() {
    let mut directory = three();
    directory.set_store_reachable(ms(2_000), ms(2_000));
    directory.replace(ms(2_000), [replica("r1"), replica("r2")]);
    let old = ListUpdate::All(["r1", "r2", "r3"].map(replica).to_vec());
    assert_eq!(directory.apply_update(ms(2_100), Some(ms(600)), old), UpdateOutcome::Superseded);
    assert_eq!(ids(&directory), ["r1", "r2"]);
}

/// Guards against a fault that the model check of the list found: a replica that came and left
/// while this instance had no news was kept through the grace that the news began.
#[test]
fn a_replica_that_came_and_left_among_the_changes_is_not_kept() {
    let mut directory = three();
    directory.set_store_unreachable();
    let changes = vec![Change::Present(replica("r4")), Change::Absent("r4".into())];
    let outcome = directory.apply_update(ms(5_000), Some(ms(10)), ListUpdate::Changes(changes));
    assert_eq!(outcome, UpdateOutcome::Applied);
    assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
}
