//! Descriptions of replicas in the files that the stand-in reads.

use std::net::SocketAddr;

use rosemarybank_protocol::{
    id::{DataCentre, ReplicaId, ServiceId, SnapshotId, UpstreamId},
    key_range::KeyRange,
};
use serde::{Deserialize, Serialize};

/// Description of a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSpec {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Upstream that the replica belongs to.
    pub upstream: UpstreamId,
    /// Data centre that the replica runs in.
    pub data_centre: DataCentre,
    /// Address of the h2 endpoint; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Number of execution slots, which limits concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Maximum number of open connections; further ones are closed at once.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Delay between accepting a connection and reading from it, in milliseconds.
    #[serde(default)]
    pub connect_ms: u64,
    /// Time after a start during which the replica refuses requests, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Distribution of the time for which a request occupies its slot.
    #[serde(default)]
    pub service_time: ServiceTime,
    /// Snapshots and key ranges that the replica can search.
    #[serde(default)]
    pub holdings: Vec<HoldingSpec>,
    /// Ledger services whose actions the replica accepts.
    #[serde(default)]
    pub ledgers: Vec<ServiceId>,
}

/// Part of one snapshot of one service that a replica holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoldingSpec {
    /// Service of the snapshot.
    pub service: ServiceId,
    /// Identifier of the snapshot.
    pub snapshot: SnapshotId,
    /// Number of records of the snapshot in the whole key space.
    pub records: u64,
    /// Key ranges that the replica holds.
    pub ranges: Vec<KeyRange>,
}

/// Log-normal distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Median in microseconds.
    pub median_us: u64,
    /// Standard deviation of the natural logarithm; with 0, every request takes the median.
    #[serde(default)]
    pub sigma: f64,
}

impl Default for ServiceTime {
    fn default() -> ServiceTime {
        ServiceTime { median_us: 2_000, sigma: 0.4 }
    }
}

fn default_slots() -> u32 {
    2
}

fn default_queue() -> u32 {
    4
}

fn default_connections() -> u32 {
    25
}
