//! A mergeable set of quarantine entries.

use std::collections::BTreeMap;

use rosemarybank_protocol::platform::QuarantineEntry;
use serde::{Deserialize, Serialize};

use super::EntryKey;
use crate::hash;

/// Merges two entries for the same fingerprint.
///
/// The later expiry wins; at the same expiry a release wins, then the higher crash count. This is
/// a maximum over a total order, so the result does not depend on the order or number of merges.
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

/// Entries by service and fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntrySet {
    entries: BTreeMap<EntryKey, QuarantineEntry>,
    /// Sum of the hashes of the entries. Kept up to date because every heartbeat needs it.
    digest: u64,
}

impl EntrySet {
    /// Merges an entry in. Returns the entry now held if that changed it.
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

    /// The entry of a fingerprint.
    #[must_use]
    pub fn get(&self, key: &EntryKey) -> Option<&QuarantineEntry> {
        self.entries.get(key)
    }

    /// All entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the entries that have expired at `unix_ms`.
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

    /// Time in milliseconds since the Unix epoch at which the next entry expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<u64> {
        self.iter().map(|entry| entry.expires_unix_ms).min()
    }

    /// Hash of the set. Two sets with the same digest hold the same entries, but for a chance of
    /// about 2^-64.
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

/// What an entry is about.
#[must_use]
pub fn entry_key(entry: &QuarantineEntry) -> EntryKey {
    (entry.service.clone(), entry.fingerprint)
}
