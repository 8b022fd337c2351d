//! Faults of replicas, switched at run time.

use compact_str::CompactString;
use rosemarybank_protocol::{
    id::{ReplicaId, ServiceId, SnapshotId},
    key_range::KeyRange,
    upstream::{Load, ReplicaState},
};
use serde::{Deserialize, Serialize};

use super::spec::HoldingSpec;

/// Body of `POST /faults` on the control address.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultRequest {
    /// Replicas it concerns; all of the process when empty.
    pub replicas: Vec<ReplicaId>,
    /// Replaces all standing faults of the replicas; `{}` ends them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub set: Option<ReplicaFaults>,
    /// Commands, in this order, after the standing faults are set.
    pub run: Vec<Command>,
}

/// Faults that last until they are replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicaFaults {
    /// Time by which each reply is late, in milliseconds. It takes no slot.
    pub delay_ms: u64,
    /// Factor of the service time.
    pub straggler: f64,
    /// Requests are taken and never answered.
    pub silent: bool,
    /// Every request for work is shed.
    pub shed: bool,
    /// Connections are refused; those that are open break when this is set.
    pub down: bool,
    /// Requests with a certain text crash the replica.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash: Option<CrashRule>,
    /// Age up to which an old status is reported, in milliseconds.
    pub status_lag_ms: u64,
    /// Untrue parts of the status.
    #[serde(rename = "lie")]
    pub status_override: StatusOverride,
}

impl Default for ReplicaFaults {
    fn default() -> ReplicaFaults {
        ReplicaFaults {
            delay_ms: 0,
            straggler: 1.0,
            silent: false,
            shed: false,
            down: false,
            crash: None,
            status_lag_ms: 0,
            status_override: StatusOverride::default(),
        }
    }
}

/// Which requests crash a replica, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashRule {
    /// Queries and actions that contain this text crash the replica that runs them.
    pub text: CompactString,
    /// Moment of the crash.
    #[serde(default)]
    pub at: CrashPoint,
}

/// Moment of a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashPoint {
    /// Halfway through, before an action takes effect.
    #[default]
    BeforeEffect,
    /// After an action took effect and before its reply.
    AfterEffect,
}

/// Parts of a status that are reported instead of the true ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StatusOverride {
    /// State to report.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<ReplicaState>,
    /// Load to report.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// Something that happens to a replica once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command", deny_unknown_fields)]
pub enum Command {
    /// Sends GOAWAY on every connection and takes no new work.
    Drain,
    /// Breaks all connections and work, and starts again with a new incarnation.
    Crash,
    /// Adds a snapshot, or replaces it.
    AddSnapshot {
        /// The snapshot with its ranges.
        holding: HoldingSpec,
    },
    /// Drops a snapshot.
    RetireSnapshot {
        /// Service.
        service: ServiceId,
        /// Snapshot.
        snapshot: SnapshotId,
    },
    /// Moves a range of a snapshot to other replicas of the process, which have it before the
    /// replicas of this order lose it.
    MoveRange {
        /// Service.
        service: ServiceId,
        /// Snapshot.
        snapshot: SnapshotId,
        /// Range.
        range: KeyRange,
        /// Replicas that get the range.
        to: Vec<ReplicaId>,
    },
}
