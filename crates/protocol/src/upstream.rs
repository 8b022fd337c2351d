//! The protocol between entry instances and upstreams: JSON over h2.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    id::{ReplicaId, ServiceId, SnapshotId},
    key_range::KeyRange,
    search::Hit,
};

/// Header with the remaining time of a request in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Body of `POST /search`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRequest {
    /// Service whose records are searched.
    pub service: ServiceId,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Keys to search.
    pub range: KeyRange,
    /// Text to search for.
    pub query: CompactString,
    /// Largest number of hits.
    pub limit: u32,
}

/// Body of a `200` reply to `POST /search`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReply {
    /// Snapshot that was searched.
    pub snapshot: SnapshotId,
    /// Disjoint ranges that were searched, with their record counts.
    pub covered: Vec<RangeCount>,
    /// The best hits.
    pub hits: Vec<Hit>,
    /// Load of the replica when it replied.
    pub load: Load,
}

/// A key range and the number of records in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeCount {
    /// The range.
    pub range: KeyRange,
    /// Records in the range.
    pub records: u64,
}

/// Load of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in execution.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that the replica executes at once.
    pub slots: u32,
}

/// Body of `POST /actions`. Its effect is not idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAction {
    /// Service that takes the action.
    pub service: ServiceId,
    /// Idempotency key of the caller, for the upstream's own records. Upstreams do not deduplicate.
    pub key: CompactString,
    /// The action.
    pub body: CompactString,
}

/// Body of a `200` reply to `POST /actions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamActionReply {
    /// The upstream's reply.
    pub result: CompactString,
}

/// Body of a `4xx` or `5xx` reply of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamError {
    /// Why the request was refused or failed.
    pub error: UpstreamErrorKind,
    /// Snapshots that the replica can serve now.
    #[serde(default)]
    pub snapshots: Vec<SnapshotId>,
}

/// Why an upstream refused or failed a request. All but `Failed` mean that it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamErrorKind {
    /// `503`: the replica sheds load.
    Shed,
    /// `503`: the replica drains and takes no new work.
    Draining,
    /// `503`: the replica is starting and can't serve yet.
    Cold,
    /// `409`: the replica no longer holds the snapshot, or never did.
    SnapshotRetired,
    /// `421`: the replica serves no key of the range in the snapshot.
    WrongRange,
    /// `504`: the deadline had passed before execution began.
    Expired,
    /// `400`: the request can't be read.
    BadRequest,
    /// `500`: execution began and failed.
    Failed,
}

impl UpstreamErrorKind {
    /// HTTP status of the refusal.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_protocol::upstream::UpstreamErrorKind;
    ///
    /// assert_eq!(UpstreamErrorKind::SnapshotRetired.status(), 409);
    /// ```
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            UpstreamErrorKind::Shed | UpstreamErrorKind::Draining | UpstreamErrorKind::Cold => 503,
            UpstreamErrorKind::SnapshotRetired => 409,
            UpstreamErrorKind::WrongRange => 421,
            UpstreamErrorKind::Expired => 504,
            UpstreamErrorKind::BadRequest => 400,
            UpstreamErrorKind::Failed => 500,
        }
    }
}

/// Body of `GET /status`. It can lag or mislead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Changes at each start of the process.
    pub incarnation: u64,
    /// Whether the replica takes new work.
    pub state: ReplicaState,
    /// Load when the status was written.
    pub load: Load,
    /// What the replica can search, per service and snapshot.
    pub holdings: Vec<Holding>,
}

/// State that a replica reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Starting; answers are slow or refused.
    Cold,
    /// Takes work.
    Serving,
    /// Finishes its work and takes no new one.
    Draining,
}

/// What a replica holds of one snapshot of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Service.
    pub service: ServiceId,
    /// Snapshot.
    pub snapshot: SnapshotId,
    /// Disjoint ranges with their record counts.
    pub ranges: Vec<RangeCount>,
}
