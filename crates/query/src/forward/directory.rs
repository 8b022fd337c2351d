//! The replicas that may be used, from a list that lags and a store that fails.
//!
//! Load pattern: while the store is down, entries of live replicas expire, because their
//! heartbeats cannot be written. They come back shortly after the store does. Removing them at the
//! first look would take away most replicas of a service at once, so a missing entry counts as
//! gone only when the store has been reachable for the time in which live replicas return.

use std::{collections::BTreeMap, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::forward::routes::ReplicaInfo;

/// Time after the return of the store in which live replicas register again: the platform promises
/// two seconds, the rest is the age of the look itself.
const RETURN_GRACE: Duration = Duration::from_millis(2_600);

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry is there.
    Present(ReplicaInfo),
    /// The entry was removed, or names no replica.
    Absent(ReplicaId),
}

#[derive(Clone, Debug)]
struct Entry {
    info: ReplicaInfo,
    is_missing: bool,
}

/// Entries of all replicas.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: BTreeMap<ReplicaId, Entry>,
    /// Missing entries are kept until this time; `Time::MAX` while the store is unreachable.
    grace_until: Time,
    has_changed: bool,
}

impl Directory {
    /// The store can't be reached.
    pub fn store_lost(&mut self) {
        self.grace_until = Time::MAX;
    }

    /// A call succeeded.
    pub fn store_reached(&mut self, now: Time) {
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
                self.has_changed |= is_new;
                self.entries.insert(info.id.clone(), Entry { info, is_missing: false });
            }
            Change::Absent(id) if now < self.grace_until => {
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.is_missing = true;
                }
            }
            Change::Absent(id) => self.has_changed |= self.entries.remove(&id).is_some(),
        }
    }

    /// Removes what is still missing after the grace.
    pub fn tick(&mut self, now: Time) {
        if now >= self.grace_until {
            let before = self.entries.len();
            self.entries.retain(|_, it| !it.is_missing);
            self.has_changed |= before != self.entries.len();
        }
    }

    /// All replicas, if they changed since the last call.
    pub fn take_change(&mut self) -> Option<Vec<ReplicaInfo>> {
        let has_changed = std::mem::take(&mut self.has_changed);
        has_changed.then(|| self.entries.values().map(|it| it.info.clone()).collect())
    }
}
