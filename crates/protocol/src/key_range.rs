//! Inclusive ranges of record keys.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::hex_key;

/// An inclusive, non-empty range of record keys.
///
/// # Examples
///
/// ```
/// use rosemarybank_protocol::key_range::KeyRange;
///
/// let range = KeyRange::new(10, 19).unwrap();
/// assert!(range.contains_range(KeyRange::new(12, 15).unwrap()));
/// assert!(KeyRange::new(2, 1).is_none());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Bounds", into = "Bounds")]
pub struct KeyRange {
    first: u64,
    last: u64,
}

impl KeyRange {
    /// The entire key space.
    pub const ALL: KeyRange = KeyRange { first: 0, last: u64::MAX };

    /// Creates a range from its first and last key, or returns `None` if `last < first`.
    #[must_use]
    pub const fn new(first: u64, last: u64) -> Option<KeyRange> {
        if first <= last { Some(KeyRange { first, last }) } else { None }
    }

    /// The first key of the range.
    #[must_use]
    pub const fn first(self) -> u64 {
        self.first
    }

    /// The last key of the range.
    #[must_use]
    pub const fn last(self) -> u64 {
        self.last
    }

    /// Whether the range contains `key`.
    #[must_use]
    pub const fn contains(self, key: u64) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the range contains all keys of `other`.
    #[must_use]
    pub const fn contains_range(self, other: KeyRange) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// The intersection of two ranges, or `None` if they are disjoint.
    #[must_use]
    pub fn intersect(self, other: KeyRange) -> Option<KeyRange> {
        KeyRange::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// The parts of this range that no range of `others` covers, in key order.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_protocol::key_range::KeyRange;
    ///
    /// let range = KeyRange::new(0, 9).unwrap();
    /// let rest = range.subtract([KeyRange::new(3, 4).unwrap()]);
    /// assert_eq!(rest, [KeyRange::new(0, 2).unwrap(), KeyRange::new(5, 9).unwrap()]);
    /// ```
    #[must_use]
    pub fn subtract(self, others: impl IntoIterator<Item = KeyRange>) -> Vec<KeyRange> {
        let mut overlaps: Vec<_> = others.into_iter().filter_map(|it| self.intersect(it)).collect();
        overlaps.sort_unstable();
        let mut rest = Vec::new();
        let mut next = self.first;
        for range in overlaps {
            if next < range.first {
                rest.push(KeyRange { first: next, last: range.first - 1 });
            }
            if range.last == u64::MAX {
                return rest;
            }
            next = next.max(range.last + 1);
        }
        rest.extend(KeyRange::new(next, self.last));
        rest
    }

    /// Whether the ranges are pairwise disjoint.
    #[must_use]
    pub fn are_disjoint(ranges: impl IntoIterator<Item = KeyRange>) -> bool {
        let mut ranges: Vec<_> = ranges.into_iter().collect();
        ranges.sort_unstable();
        ranges.windows(2).all(|pair| pair[0].last < pair[1].first)
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.first, self.last)
    }
}

#[derive(Serialize, Deserialize)]
struct Bounds {
    #[serde(with = "hex_key")]
    first: u64,
    #[serde(with = "hex_key")]
    last: u64,
}

impl TryFrom<Bounds> for KeyRange {
    type Error = &'static str;

    fn try_from(bounds: Bounds) -> Result<KeyRange, Self::Error> {
        KeyRange::new(bounds.first, bounds.last).ok_or("the last key is below the first key")
    }
}

impl From<KeyRange> for Bounds {
    fn from(range: KeyRange) -> Bounds {
        Bounds { first: range.first, last: range.last }
    }
}
