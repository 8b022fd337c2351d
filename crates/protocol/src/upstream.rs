//! The protocol between entry instances and upstreams: JSON over HTTP/2.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    id::{ReplicaId, ServiceId, SnapshotId},
    key_range::KeyRange,
    search::Hit,
};

/// Header that carries the time left until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Body of `POST /search`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRequest {
    /// Service whose records to search.
    pub service: ServiceId,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Key range to search.
    pub range: KeyRange,
    /// Text to search for.
    pub query: CompactString,
    /// Maximum number of hits in the reply.
    pub limit: u32,
}

/// Body of a `200` reply to `POST /search`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardReply {
    /// Snapshot that was searched.
    pub snapshot: SnapshotId,
    /// Disjoint key ranges that were searched, with their record counts.
    pub covered: Vec<RangeCount>,
    /// Best hits among the searched records.
    pub hits: Vec<Hit>,
    /// Load of the replica at the time of the reply.
    pub load: Load,
}

/// A key range and the number of records in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeCount {
    /// The key range.
    pub range: KeyRange,
    /// Number of records in the range.
    pub records: u64,
}

/// Load of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in execution.
    pub in_flight: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests that the replica can execute concurrently.
    pub slots: u32,
}

/// Body of `POST /actions`. The request is not idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAction {
    /// Service that the action is for.
    pub service: ServiceId,
    /// Idempotency key from the caller, for the upstream's own records. Upstreams do not use it to
    /// deduplicate requests.
    pub key: CompactString,
    /// Content of the action.
    pub body: CompactString,
}

/// Body of a `200` reply to `POST /actions`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamActionReply {
    /// Result of the action.
    pub result: CompactString,
}

/// Body of a `4xx` or `5xx` reply from an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamError {
    /// Why the request was refused or failed.
    pub error: UpstreamErrorKind,
    /// Snapshots that the replica currently serves.
    #[serde(default)]
    pub snapshots: Vec<SnapshotId>,
}

/// Why an upstream refused or failed a request. For all kinds but `Failed`, the request was not
/// executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamErrorKind {
    /// `503`: the replica sheds load.
    Shed,
    /// `503`: the replica is draining and accepts no new requests.
    Draining,
    /// `503`: the replica is still starting up.
    Cold,
    /// `409`: the replica no longer has the snapshot or never had it.
    SnapshotRetired,
    /// `421`: the replica serves none of the requested keys in the snapshot.
    WrongRange,
    /// `504`: the deadline passed before execution began.
    Expired,
    /// `400`: the request is malformed.
    BadRequest,
    /// `500`: execution began and failed.
    Failed,
}

impl UpstreamErrorKind {
    /// The HTTP status code of the reply.
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

/// Body of the reply to `GET /status`. It can be outdated or wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Identifies this run of the process; changes at each restart.
    pub incarnation: u64,
    /// Lifecycle state of the replica.
    pub state: ReplicaState,
    /// Load at the time of the reply.
    pub load: Load,
    /// Key ranges that the replica can search, by service and snapshot.
    pub holdings: Vec<Holding>,
}

/// Lifecycle state that a replica reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Starting up; requests are slow or refused.
    Cold,
    /// Accepting requests.
    Serving,
    /// Completing accepted requests and accepting no new ones.
    Draining,
}

/// Key ranges that a replica can search in one snapshot of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Service that the snapshot belongs to.
    pub service: ServiceId,
    /// Snapshot that the ranges belong to.
    pub snapshot: SnapshotId,
    /// Disjoint key ranges with their record counts.
    pub ranges: Vec<RangeCount>,
}
