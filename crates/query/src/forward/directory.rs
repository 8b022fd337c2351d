//! The replicas that may be used, from a list that lags and a store that fails.
//!
//! Load pattern: while the store is down, entries of live replicas expire, because their
//! heartbeats cannot be written. They come back shortly after the store does. Removing them at the
//! first look would take away most replicas of a service at once, so a missing entry counts as
//! gone only when the store has been reachable for the time in which live replicas return.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use crate::forward::routes::ReplicaInfo;

/// Time after the return of the store in which live replicas register again: the platform promises
/// two seconds, the rest is the age of the look itself.
const RETURN_GRACE: Duration = Duration::from_millis(2_600);

/// Longest age of news that another instance passes on. Instances read the store themselves at
/// this age.
const LONGEST_AGE: Duration = Duration::from_millis(1_500);

/// Changes that are kept for instances that follow this one. One that is further behind gets the
/// whole list.
const MAX_LOG: usize = 512;

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// The entry is there.
    Present(ReplicaInfo),
    /// The entry was removed, or names no replica.
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

/// What an instance passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdate {
    /// Changes since what the other has.
    Changes(Vec<Change>),
    /// The whole list.
    All(Vec<ReplicaInfo>),
}

/// What became of news of another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// They were used.
    Applied,
    /// This instance has read the store later than the news say; newer ones will follow.
    Superseded,
    /// They are too old to say anything of the store.
    TooOld,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    info: ReplicaInfo,
    is_missing: bool,
}

/// Entries of all replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Directory {
    entries: BTreeMap<ReplicaId, Entry>,
    /// Missing entries are kept until this time; `Time::MAX` while the store is unreachable.
    grace_until: Time,
    /// Time at which this instance itself last asked the store.
    read_at: Time,
    has_changed: bool,
    /// Number of changes of what the store has.
    seq: u64,
    /// The last changes.
    log: VecDeque<Change>,
}

impl Directory {
    /// The store can't be reached.
    pub fn set_store_unreachable(&mut self) {
        self.grace_until = Time::MAX;
    }

    /// A call that was made at a time succeeded.
    pub fn set_store_reachable(&mut self, now: Time, requested_at: Time) {
        self.read_at = self.read_at.max(requested_at);
        self.begin_grace(now);
    }

    fn begin_grace(&mut self, now: Time) {
        if self.grace_until == Time::MAX && !self.entries.is_empty() {
            self.grace_until = now + RETURN_GRACE;
        } else if self.grace_until == Time::MAX {
            self.grace_until = now;
        }
    }

    /// Takes a complete list.
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

    /// Takes a change of one entry.
    pub fn apply(&mut self, now: Time, change: Change) {
        match change {
            Change::Present(info) => {
                let is_new = self.entries.get(&info.id).is_none_or(|it| {
                    // The remaining cold time shrinks with each heartbeat and is no news.
                    it.is_missing || ReplicaInfo { cold: info.cold, ..it.info.clone() } != info
                });
                if is_new {
                    self.note(Change::Present(info.clone()));
                }
                self.entries.insert(info.id.clone(), Entry { info, is_missing: false });
            }
            Change::Absent(id) if now < self.grace_until => {
                if let Some(entry) = self.entries.get_mut(&id)
                    && !entry.is_missing
                {
                    entry.is_missing = true;
                    self.note(Change::Absent(id));
                }
            }
            Change::Absent(id) => {
                if let Some(entry) = self.entries.remove(&id) {
                    self.has_changed = true;
                    if !entry.is_missing {
                        self.note(Change::Absent(id));
                    }
                }
            }
        }
    }

    /// Takes changes in their order. Only the last one of each entry counts: a replica that came and
    /// left among them must not be kept like one that was known.
    pub fn apply_all(&mut self, now: Time, changes: Vec<Change>) {
        let mut last: BTreeMap<ReplicaId, Change> = BTreeMap::new();
        for change in changes {
            last.insert(change.id().clone(), change);
        }
        for change in last.into_values() {
            self.apply(now, change);
        }
    }

    /// Removes what is still missing after the grace.
    pub fn tick(&mut self, now: Time) {
        if now >= self.grace_until {
            let missing = self.entries.iter().filter(|it| it.1.is_missing);
            let missing: Vec<ReplicaId> = missing.map(|it| it.0.clone()).collect();
            for id in missing {
                self.apply(now, Change::Absent(id));
            }
        }
    }

    /// Takes what another instance passes on, read from the store `age` ago. News that are too old
    /// say nothing of the store, and would end the grace of an outage that is not over. News from
    /// before this instance's own read would bring back replicas that have left meanwhile.
    pub fn apply_update(
        &mut self,
        now: Time,
        age: Option<Duration>,
        news: ListUpdate,
    ) -> UpdateOutcome {
        let Some(age) = age.filter(|it| *it <= LONGEST_AGE) else { return UpdateOutcome::TooOld };
        if now.saturating_sub(age) < self.read_at {
            return UpdateOutcome::Superseded;
        }
        self.begin_grace(now);
        match news {
            ListUpdate::Changes(changes) => self.apply_all(now, changes),
            ListUpdate::All(list) => self.replace(now, list),
        }
        UpdateOutcome::Applied
    }

    /// Number of changes so far.
    #[must_use]
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Changes after a number; `None` when they are not kept any more.
    #[must_use]
    pub fn changes_since(&self, seq: u64) -> Option<Vec<Change>> {
        let count = usize::try_from(self.seq.checked_sub(seq)?).ok()?;
        let start = self.log.len().checked_sub(count)?;
        Some(self.log.iter().skip(start).cloned().collect())
    }

    /// All replicas that the store has, for instances that follow this one. Those that are only
    /// kept for their possible return are left out: the outage may be this instance's alone.
    #[must_use]
    pub fn stored_replicas(&self) -> Vec<ReplicaInfo> {
        let listed = self.entries.values().filter(|it| !it.is_missing);
        listed.map(|it| it.info.clone()).collect()
    }

    /// All replicas that may be used.
    #[must_use]
    pub fn usable_replicas(&self) -> Vec<ReplicaInfo> {
        self.entries.values().map(|it| it.info.clone()).collect()
    }

    /// All replicas, if they changed since the last call.
    pub fn take_changed_replicas(&mut self) -> Option<Vec<ReplicaInfo>> {
        let has_changed = std::mem::take(&mut self.has_changed);
        has_changed.then(|| self.usable_replicas())
    }

    fn note(&mut self, change: Change) {
        self.has_changed = true;
        self.seq += 1;
        if self.log.len() == MAX_LOG {
            self.log.pop_front();
        }
        self.log.push_back(change);
    }
}
