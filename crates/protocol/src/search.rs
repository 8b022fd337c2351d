//! Request and response types of the search API.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{coverage::Coverage, hex_key, id::SnapshotId};

/// Default maximum number of hits in a response.
pub const DEFAULT_HIT_LIMIT: u32 = 20;

/// Largest accepted value of [`SearchRequest::limit`].
pub const MAX_HIT_LIMIT: u32 = 1_000;

/// Body of `POST /v1/services/{service}/search`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchRequest {
    /// Text to search for.
    pub query: String,
    /// Maximum number of hits in the response, from 1 to [`MAX_HIT_LIMIT`].
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Timeout in milliseconds; defaults to the timeout of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Whether a partial response is accepted; defaults to the coverage mode of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageMode>,
}

/// Whether a caller accepts a response that does not cover all records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoverageMode {
    /// Return an error unless all records are covered.
    Complete,
    /// Return what was covered by the deadline and list the missing ranges.
    #[default]
    Partial,
}

/// Priority class of a caller, from highest to lowest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served first and shed last.
    Critical,
    /// The default class.
    #[default]
    Normal,
    /// Served last and shed first.
    Low,
}

impl Priority {
    /// All classes, from highest to lowest priority.
    pub const ALL: [Priority; 3] = [Priority::Critical, Priority::Normal, Priority::Low];
}

/// A record that matches a search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hit {
    /// Key of the record.
    #[serde(with = "hex_key")]
    pub key: u64,
    /// Relevance of the match. Hits are sorted by descending score, then by ascending key.
    pub score: u32,
    /// Content of the record, as returned by the upstream.
    pub record: CompactString,
}

/// Body of a successful response to a search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchResponse {
    /// Snapshot that all hits and record counts come from.
    pub snapshot: SnapshotId,
    /// Whether the response covers all records of the snapshot.
    pub complete: bool,
    /// Searched records and missing key ranges.
    pub coverage: Coverage,
    /// Best hits among the covered records.
    pub hits: Vec<Hit>,
    /// Trace identifier, 32 hexadecimal digits.
    pub trace_id: CompactString,
}

fn default_limit() -> u32 {
    DEFAULT_HIT_LIMIT
}
