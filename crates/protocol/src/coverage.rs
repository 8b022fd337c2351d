//! What an answer covered and what it did not.

use serde::{Deserialize, Serialize};

use crate::key_range::KeyRange;

/// What an answer covered of the records of its snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Records that the merged replies searched.
    pub records_covered: u64,
    /// Records of the snapshot.
    pub records_total: RecordTotal,
    /// Every key range that no merged reply covered, in key order and disjoint.
    pub missing: Vec<MissingRange>,
}

impl Coverage {
    /// Whether the answer spans all records of its snapshot.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }
}

/// Number of records of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordTotal {
    /// The count of every range is known.
    Exact(u64),
    /// No replica has reported the count of some missing range.
    AtLeast(u64),
}

/// A key range that an answer does not cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingRange {
    /// The range.
    pub range: KeyRange,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Why a key range is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// No usable replica serves the range in the snapshot of the answer.
    NoReplica,
    /// No replica replied before the deadline.
    Deadline,
    /// Every replica that was asked shed the request.
    Shed,
    /// Replicas failed and the retry budget or the candidates were used up.
    Failed,
    /// The snapshot was retired while the query ran.
    SnapshotRetired,
    /// The request is quarantined because it crashes upstreams.
    Quarantined,
}

impl MissingReason {
    /// All reasons, in the order of the documentation.
    pub const ALL: [MissingReason; 6] = [
        MissingReason::NoReplica,
        MissingReason::Deadline,
        MissingReason::Shed,
        MissingReason::Failed,
        MissingReason::SnapshotRetired,
        MissingReason::Quarantined,
    ];
}
