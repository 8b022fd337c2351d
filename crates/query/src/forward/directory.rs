//! Directory of usable replicas, built from a list that lags behind and a store that can be
//! unreachable.
//!
//! Load pattern: while the store is down, replicas cannot write heartbeats and the entries of live
//! replicas expire. They register again shortly after the store recovers. Removing missing entries
//! at the first read would drop most replicas of a service at once, so a missing entry is removed
//! only after the store has been reachable for a grace period in which live replicas register
//! again.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use crate::forward::routes::ReplicaInfo;

/// Time after a recovery of the store within which live replicas register again: two seconds
/// according to the platform, plus the age of the read.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_600);

/// Number of changes that are kept for instances that follow this one. A follower that is further
/// behind gets the complete list.
const MAX_LOGGED_CHANGES: usize = 512;

/// A change of one directory entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// The entry exists.
    Present(ReplicaInfo),
    /// The entry was removed or does not describe a replica.
    Absent(ReplicaId),
}

impl Change {
    fn id(&self) -> &ReplicaId {
        match self {
            Change::Present(info) => &info.id,
            Change::Absent(id) => id,
        }
    }
}

/// An update that one instance sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdate {
    /// Changes since the state of the receiver.
    Changes(Vec<Change>),
    /// The complete list.
    All(Vec<ReplicaInfo>),
}

/// Result of applying an update from another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update was applied.
    Applied,
    /// This instance has read the store more recently than the sender had when it made the update.
    /// Newer updates will follow.
    Superseded,
    /// The update is too old to describe the state of the store.
    TooOld,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    info: ReplicaInfo,
    is_missing: bool,
}

/// Directory entries of all replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Directory {
    entries: BTreeMap<ReplicaId, Entry>,
    /// Missing entries are kept until this time; `Time::MAX` while the store is unreachable.
    grace_until: Time,
    /// When this instance itself last requested the list from the store.
    last_read_at: Time,
    has_changed: bool,
    /// Number of changes to the stored list so far.
    seq: u64,
    /// The most recent changes.
    change_log: VecDeque<Change>,
    /// Maximum age of an update from another instance.
    max_update_age: Duration,
}

impl Directory {
    /// Creates an empty directory. An instance without an update from another instance that is at
    /// most `max_update_age` old reads the store itself.
    #[must_use]
    pub fn new(max_update_age: Duration) -> Directory {
        Directory {
            entries: BTreeMap::new(),
            grace_until: Time::ZERO,
            last_read_at: Time::ZERO,
            has_changed: false,
            seq: 0,
            change_log: VecDeque::new(),
            max_update_age,
        }
    }

    /// Records that the store is unreachable.
    pub fn set_store_unreachable(&mut self) {
        self.grace_until = Time::MAX;
    }

    /// Records that a call to the store, made at `requested_at`, succeeded.
    pub fn set_store_reachable(&mut self, now: Time, requested_at: Time) {
        self.last_read_at = self.last_read_at.max(requested_at);
        self.start_grace_period(now);
    }

    fn start_grace_period(&mut self, now: Time) {
        if self.grace_until == Time::MAX && !self.entries.is_empty() {
            self.grace_until = now + REREGISTRATION_GRACE;
        } else if self.grace_until == Time::MAX {
            self.grace_until = now;
        }
    }

    /// Applies a complete list.
    pub fn replace(&mut self, now: Time, list: impl IntoIterator<Item = ReplicaInfo>) {
        let mut absent: Vec<ReplicaId> = self.entries.keys().cloned().collect();
        for info in list {
            absent.retain(|it| *it != info.id);
            self.apply(now, Change::Present(info));
        }
        for id in absent {
            self.apply(now, Change::Absent(id));
        }
    }

    /// Applies a change of one entry.
    pub fn apply(&mut self, now: Time, change: Change) {
        match change {
            Change::Present(info) => {
                let is_changed = self.entries.get(&info.id).is_none_or(|it| {
                    // The remaining warm-up time shrinks with every heartbeat and does not count as
                    // a change.
                    it.is_missing || ReplicaInfo { cold: info.cold, ..it.info.clone() } != info
                });
                if is_changed {
                    self.log_change(Change::Present(info.clone()));
                }
                self.entries.insert(info.id.clone(), Entry { info, is_missing: false });
            }
            Change::Absent(id) if now < self.grace_until => {
                if let Some(entry) = self.entries.get_mut(&id)
                    && !entry.is_missing
                {
                    entry.is_missing = true;
                    self.log_change(Change::Absent(id));
                }
            }
            Change::Absent(id) => {
                if let Some(entry) = self.entries.remove(&id) {
                    self.has_changed = true;
                    if !entry.is_missing {
                        self.log_change(Change::Absent(id));
                    }
                }
            }
        }
    }

    /// Applies changes in order. Only the last change of each entry counts: a replica that
    /// registered and left within them must not be kept for the grace period like a known one.
    pub fn apply_all(&mut self, now: Time, changes: Vec<Change>) {
        let mut last: BTreeMap<ReplicaId, Change> = BTreeMap::new();
        for change in changes {
            last.insert(change.id().clone(), change);
        }
        for change in last.into_values() {
            self.apply(now, change);
        }
    }

    /// Removes entries that are still missing after the grace period.
    pub fn tick(&mut self, now: Time) {
        if now >= self.grace_until {
            let missing = self.entries.iter().filter(|it| it.1.is_missing);
            let missing: Vec<ReplicaId> = missing.map(|it| it.0.clone()).collect();
            for id in missing {
                self.apply(now, Change::Absent(id));
            }
        }
    }

    /// Applies an update from another instance that was read from the store `age` ago. An update
    /// that is too old says nothing about the store and would end the grace period of an outage
    /// that is not over. An update older than this instance's own read would add replicas that have
    /// left since.
    pub fn apply_update(
        &mut self,
        now: Time,
        age: Option<Duration>,
        update: ListUpdate,
    ) -> UpdateOutcome {
        let Some(age) = age.filter(|it| *it <= self.max_update_age) else {
            return UpdateOutcome::TooOld;
        };
        if now.saturating_sub(age) < self.last_read_at {
            return UpdateOutcome::Superseded;
        }
        self.start_grace_period(now);
        match update {
            ListUpdate::Changes(changes) => self.apply_all(now, changes),
            ListUpdate::All(list) => self.replace(now, list),
        }
        UpdateOutcome::Applied
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the changes after `seq`, or `None` if they are no longer kept.
    #[must_use]
    pub fn changes_since(&self, seq: u64) -> Option<Vec<Change>> {
        let count = usize::try_from(self.seq.checked_sub(seq)?).ok()?;
        let start = self.change_log.len().checked_sub(count)?;
        Some(self.change_log.iter().skip(start).cloned().collect())
    }

    /// Returns the replicas that the store lists, for instances that follow this one. Entries kept
    /// only for the grace period are left out, because the outage may affect this instance alone.
    #[must_use]
    pub fn stored_replicas(&self) -> Vec<ReplicaInfo> {
        let listed = self.entries.values().filter(|it| !it.is_missing);
        listed.map(|it| it.info.clone()).collect()
    }

    /// Returns all usable replicas, including those kept for the grace period.
    #[must_use]
    pub fn usable_replicas(&self) -> Vec<ReplicaInfo> {
        self.entries.values().map(|it| it.info.clone()).collect()
    }

    /// Returns all usable replicas if they changed since the last call.
    pub fn take_changed_replicas(&mut self) -> Option<Vec<ReplicaInfo>> {
        let has_changed = std::mem::take(&mut self.has_changed);
        has_changed.then(|| self.usable_replicas())
    }

    fn log_change(&mut self, change: Change) {
        self.has_changed = true;
        self.seq += 1;
        if self.change_log.len() == MAX_LOGGED_CHANGES {
            self.change_log.pop_front();
        }
        self.change_log.push_back(change);
    }
}
