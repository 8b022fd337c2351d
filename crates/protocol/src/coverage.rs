//! Coverage of search responses: searched records and missing key ranges.

use serde::{Deserialize, Serialize};

use crate::key_range::KeyRange;

/// The part of a snapshot that a search response covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of records that the merged replies searched.
    pub records_covered: u64,
    /// Number of records in the snapshot.
    pub records_total: RecordTotal,
    /// Disjoint key ranges that no merged reply covered, in key order.
    pub missing: Vec<MissingRange>,
}

impl Coverage {
    /// Whether the response covers all records of its snapshot.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}

/// Number of records in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordTotal {
    /// The exact number; the record counts of all ranges are known.
    Exact(u64),
    /// A lower bound; no replica has reported the record count of some missing range.
    AtLeast(u64),
}

/// A key range that a search response does not cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingRange {
    /// The missing range.
    pub range: KeyRange,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Why a search response does not cover a key range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No usable replica serves the range in the snapshot of the response.
    NoReplica,
    /// No replica replied before the deadline.
    Deadline,
    /// The attempt that ended last was shed by its replica.
    Shed,
    /// The attempt that ended last failed, and the retry budget or the candidate replicas were
    /// exhausted.
    Failed,
    /// The snapshot was retired during the query.
    SnapshotRetired,
    /// The request is quarantined because it crashes upstreams.
    Quarantined,
}

impl MissingReason {
    /// All reasons, in the order in which the API documentation lists them.
    pub const ALL: [MissingReason; 6] = [
        MissingReason::NoReplica,
        MissingReason::Deadline,
        MissingReason::Shed,
        MissingReason::Failed,
        MissingReason::SnapshotRetired,
        MissingReason::Quarantined,
    ];
}
