//! A mergeable set of quarantine entries.

use std::collections::BTreeMap;

use rosemarybank_protocol::platform::QuarantineEntry;
use serde::{Deserialize, Serialize};

use super::EntryKey;
use crate::hash;

/// Merges two entries of the same fingerprint.
///
/// The entry with the later expiry wins, then a release, then the higher crash count. This is the
/// maximum of a total order, so the result does not depend on the order or number of merges.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::quarantine::merge;
/// use rosemarybank_protocol::platform::QuarantineEntry;
///
/// let entry = QuarantineEntry {
///     service: "orders".into(),
///     fingerprint: 7,
///     crashes: 2,
///     expires_unix_ms: 600_000,
///     released: false,
/// };
/// let release = QuarantineEntry { released: true, ..entry.clone() };
/// assert!(merge(&entry, &release).released);
///
/// let later = QuarantineEntry { expires_unix_ms: 700_000, ..entry };
/// assert!(!merge(&later, &release).released);
/// ```
#[must_use]
pub fn merge(a: &QuarantineEntry, b: &QuarantineEntry) -> QuarantineEntry {
    let rank = |e: &QuarantineEntry| (e.expires_unix_ms, e.released, e.crashes);
    if rank(b) > rank(a) { b.clone() } else { a.clone() }
}

/// Quarantine entries by service and fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntrySet {
    entries: BTreeMap<EntryKey, QuarantineEntry>,
    /// Sum of the hashes of all entries, updated incrementally because every heartbeat contains it.
    digest: u64,
}

impl EntrySet {
    /// Merges an entry into the set. Returns the resulting entry if the set changed.
    pub fn insert(&mut self, entry: &QuarantineEntry) -> Option<&QuarantineEntry> {
        let key = entry_key(entry);
        let merged = match self.entries.get(&key) {
            Some(held) => merge(held, entry),
            None => entry.clone(),
        };
        if self.entries.get(&key) == Some(&merged) {
            return None;
        }
        self.digest = self.digest.wrapping_add(hash_of(&merged));
        if let Some(old) = self.entries.insert(key.clone(), merged) {
            self.digest = self.digest.wrapping_sub(hash_of(&old));
        }
        self.entries.get(&key)
    }

    /// Returns the entry with the given key.
    #[must_use]
    pub fn get(&self, key: &EntryKey) -> Option<&QuarantineEntry> {
        self.entries.get(key)
    }

    /// Returns all entries, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values()
    }

    /// Returns whether the set has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the entries that have expired by `unix_ms`.
    pub fn expire(&mut self, unix_ms: u64) {
        let digest = &mut self.digest;
        self.entries.retain(|_, entry| {
            let keep = entry.expires_unix_ms > unix_ms;
            if !keep {
                *digest = digest.wrapping_sub(hash_of(entry));
            }
            keep
        });
    }

    /// Returns the time in milliseconds since the Unix epoch at which the next entry expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<u64> {
        self.iter().map(|entry| entry.expires_unix_ms).min()
    }

    /// Returns a hash of the set. Two different sets have the same digest with a probability of about
    /// 2^-64.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }
}

fn hash_of(entry: &QuarantineEntry) -> u64 {
    let QuarantineEntry { service, fingerprint, crashes, expires_unix_ms, released } = entry;
    let name = hash::bytes(0, service.as_bytes());
    [*fingerprint, *expires_unix_ms, u64::from(*crashes), u64::from(*released)]
        .into_iter()
        .fold(name, |h, part| hash::mix(h.wrapping_add(hash::mix(part))))
}

/// Returns the service and fingerprint of an entry.
#[must_use]
pub fn entry_key(entry: &QuarantineEntry) -> EntryKey {
    (entry.service.clone(), entry.fingerprint)
}
