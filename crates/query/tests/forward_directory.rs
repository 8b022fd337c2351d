//! Directory of replicas during outages and recoveries of the store.

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

fn directory_with_three_replicas() -> Directory {
    let mut directory = Directory::new(Duration::from_millis(1_500));
    directory.set_store_reachable(ms(0), ms(0));
    directory.replace(ms(0), ["r1", "r2", "r3"].map(replica));
    directory
}

/// Guards against services without replicas after an outage: entries of live replicas expire while
/// the store is unreachable, and are not written again at once.
#[test]
fn expired_entries_are_kept_until_live_replicas_can_register_again() {
    let mut directory = directory_with_three_replicas();
    directory.set_store_unreachable();
    directory.set_store_reachable(ms(5_000), ms(5_000));
    directory.replace(ms(5_000), [replica("r1")]);
    directory.tick(ms(7_000));
    assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
    directory.apply(ms(7_200), Change::Present(replica("r2")));
    directory.tick(ms(7_700));
    assert_eq!(ids(&directory), ["r1", "r2"], "r3 did not register again in time");
}

#[test]
fn an_entry_is_removed_at_once_while_the_store_is_reachable() {
    let mut directory = directory_with_three_replicas();
    directory.apply(ms(100), Change::Absent("r2".into()));
    assert_eq!(ids(&directory), ["r1", "r3"]);
}

/// Guards against an early end of the grace period: another instance that cannot reach the store
/// either keeps sending its old list during the outage. Seen in ratro-links trouble-3.
#[test]
fn outdated_updates_do_not_end_the_grace_period() {
    for age in [None, Some(ms(4_000))] {
        let mut directory = directory_with_three_replicas();
        directory.set_store_unreachable();
        let outcome = directory.apply_update(ms(4_900), age, ListUpdate::Changes(Vec::new()));
        assert_eq!(outcome, UpdateOutcome::TooOld);
        directory.set_store_reachable(ms(5_000), ms(5_000));
        directory.replace(ms(5_000), [replica("r1")]);
        assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
    }
}

/// An instance that started during the outage sends a list that is recent but incomplete.
#[test]
fn a_recent_list_starts_the_grace_period() {
    let mut directory = directory_with_three_replicas();
    directory.set_store_unreachable();
    let update = ListUpdate::All(vec![replica("r3")]);
    assert_eq!(directory.apply_update(ms(5_000), Some(ms(10)), update), UpdateOutcome::Applied);
    assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
    directory.tick(ms(7_700));
    assert_eq!(ids(&directory), ["r3"]);
}

#[test]
fn a_follower_that_applies_all_changes_has_the_same_list() {
    let mut source = directory_with_three_replicas();
    let mut follower = directory_with_three_replicas();
    let seq = source.seq();
    source.apply(ms(10), Change::Absent("r1".into()));
    source.apply(ms(20), Change::Present(replica("r4")));
    // A heartbeat that only reduces the warm-up time is not a change.
    source.apply(ms(30), Change::Present(replica("r4")));
    let changes = source.changes_since(seq).unwrap();
    assert_eq!(changes.len(), 2);
    let outcome = follower.apply_update(ms(40), Some(ms(10)), ListUpdate::Changes(changes));
    assert_eq!(outcome, UpdateOutcome::Applied);
    assert_eq!(ids(&follower), ids(&source));
    assert_eq!(
        source.changes_since(source.seq() + 1),
        None,
        "a sequence number of another process"
    );
}

/// Guards against the return of replicas that have left: a single instance that lost the store
/// keeps them for the grace period and sends them to followers that have already removed them. Seen
/// in ratro-links trouble-1 with seed 376830931286.
#[test]
fn entries_kept_for_the_grace_period_are_not_sent_to_followers() {
    let mut source = directory_with_three_replicas();
    let mut follower = directory_with_three_replicas();
    let seq = source.seq();
    source.set_store_unreachable();
    follower.apply(ms(3_000), Change::Absent("r2".into()));
    source.set_store_reachable(ms(5_000), ms(5_000));
    source.apply(ms(5_000), Change::Absent("r2".into()));
    assert_eq!(ids(&source), ["r1", "r2", "r3"], "r2 may have expired and may register again");
    let changes = source.changes_since(seq).unwrap();
    for update in [ListUpdate::Changes(changes), ListUpdate::All(source.stored_replicas())] {
        assert_eq!(follower.apply_update(ms(5_010), Some(ms(10)), update), UpdateOutcome::Applied);
        assert_eq!(ids(&follower), ["r1", "r3"]);
    }
}

/// Guards against the use of a replica that has left: another instance sends an update that was
/// read before this instance's own read of the store. Found by the model check in
/// `model_directory.rs`.
#[test]
fn updates_older_than_the_last_read_are_not_applied() {
    let mut directory = directory_with_three_replicas();
    directory.set_store_reachable(ms(2_000), ms(2_000));
    directory.replace(ms(2_000), [replica("r1"), replica("r2")]);
    let old = ListUpdate::All(["r1", "r2", "r3"].map(replica).to_vec());
    assert_eq!(directory.apply_update(ms(2_100), Some(ms(600)), old), UpdateOutcome::Superseded);
    assert_eq!(ids(&directory), ["r1", "r2"]);
}

/// Guards against keeping a replica that registered and left while this instance received no
/// updates: the update that reports both starts a grace period. Found by the model check in
/// `model_directory.rs`.
#[test]
fn a_replica_that_registers_and_leaves_within_an_update_is_not_kept() {
    let mut directory = directory_with_three_replicas();
    directory.set_store_unreachable();
    let changes = vec![Change::Present(replica("r4")), Change::Absent("r4".into())];
    let outcome = directory.apply_update(ms(5_000), Some(ms(10)), ListUpdate::Changes(changes));
    assert_eq!(outcome, UpdateOutcome::Applied);
    assert_eq!(ids(&directory), ["r1", "r2", "r3"]);
}
