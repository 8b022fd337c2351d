//! Searches as callers send and receive them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{coverage::Coverage, hex_key, id::SnapshotId};

/// Default number of hits of an answer.
pub const DEFAULT_HIT_LIMIT: u32 = 20;

/// Largest number of hits that a caller may ask for.
pub const MAX_HIT_LIMIT: u32 = 1_000;

/// Body of `POST /v1/services/{service}/search`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchRequest {
    /// Text to search for.
    pub query: String,
    /// Largest number of hits; 1 to [`MAX_HIT_LIMIT`].
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Time allowed in milliseconds; the service's default when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Whether a partial answer is welcome; the service's default when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageMode>,
}

/// Whether a caller accepts an answer that does not span all records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoverageMode {
    /// All records or an error.
    Complete,
    /// Whatever is covered by the deadline, with the missing ranges named.
    #[default]
    Partial,
}

/// Precedence class of a caller; the first is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served before all others and shed last.
    Critical,
    /// The usual class.
    #[default]
    Normal,
    /// Shed first.
    Low,
}

impl Priority {
    /// All classes, the first served first.
    pub const ALL: [Priority; 3] = [Priority::Critical, Priority::Normal, Priority::Low];
}

/// One record that matches a search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// Key of the record.
    #[serde(with = "hex_key")]
    pub key: u64,
    /// Rank of the match; a higher score comes first, ties in key order.
    pub score: u32,
    /// The record as its upstream wrote it.
    pub record: CompactString,
}

/// Body of a successful answer to a search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchResponse {
    /// The one snapshot that every hit and every count comes from.
    pub snapshot: SnapshotId,
    /// Whether the answer spans all records of the snapshot.
    pub complete: bool,
    /// What the answer covered.
    pub coverage: Coverage,
    /// The best hits of the covered records.
    pub hits: Vec<Hit>,
    /// Identifier of the trace, 32 hexadecimal digits.
    pub trace_id: CompactString,
}

fn default_limit() -> u32 {
    DEFAULT_HIT_LIMIT
}
