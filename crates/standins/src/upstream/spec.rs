//! Description of a replica, as files hold it.

use std::net::SocketAddr;

use rosemarybank_protocol::{
    id::{DataCentre, ReplicaId, ServiceId, SnapshotId, UpstreamId},
    key_range::KeyRange,
};
use serde::{Deserialize, Serialize};

/// One replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSpec {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Upstream it belongs to.
    pub upstream: UpstreamId,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Address of its h2 endpoint; port 0 picks a free one.
    pub addr: SocketAddr,
    /// Requests that it executes at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that wait for a slot before it sheds.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Delay between the accept of a connection and its first use, in milliseconds.
    #[serde(default)]
    pub connect_ms: u64,
    /// Time after a start during which it refuses work, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Distribution of the time that a request takes in its slot.
    #[serde(default)]
    pub service_time: ServiceTime,
    /// Snapshots and ranges that it can search.
    #[serde(default)]
    pub holdings: Vec<HoldingSpec>,
    /// Ledger services whose actions it takes.
    #[serde(default)]
    pub ledgers: Vec<ServiceId>,
}

/// What a replica holds of one snapshot of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoldingSpec {
    /// Service.
    pub service: ServiceId,
    /// Snapshot.
    pub snapshot: SnapshotId,
    /// Records of the snapshot over the whole key space.
    pub records: u64,
    /// Ranges that the replica serves.
    pub ranges: Vec<KeyRange>,
}

/// Log-normal distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Median in microseconds.
    pub median_us: u64,
    /// Standard deviation of the logarithm; 0 makes every request take the median.
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
