//! Faults of replicas that can be changed at run time.

use compact_str::CompactString;
use rosemarybank_protocol::{
    id::{ReplicaId, ServiceId, SnapshotId},
    key_range::KeyRange,
    upstream::{Load, ReplicaState},
};
use serde::{Deserialize, Serialize};

use super::spec::HoldingSpec;

/// Body of `POST /faults` on the control API.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultRequest {
    /// Replicas that the request applies to; empty means all replicas of the process.
    pub replicas: Vec<ReplicaId>,
    /// New faults, which replace all current faults of the replicas; `{}` clears them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub set: Option<ReplicaFaults>,
    /// Commands to run in this order after the faults are set.
    pub run: Vec<Command>,
}

/// Faults of a replica, which persist until they are replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicaFaults {
    /// Delay added to each reply, in milliseconds. It does not occupy an execution slot.
    pub delay_ms: u64,
    /// Factor by which service times are multiplied.
    pub straggler: f64,
    /// Requests are accepted but never get a reply.
    pub silent: bool,
    /// Searches and actions are executed, and their replies go no further after this many bytes; 0 for none.
    pub unfinished_bytes: usize,
    /// Every search and action is shed.
    pub shed: bool,
    /// New connections are closed at once. Open connections are reset when this is set.
    pub down: bool,
    /// Requests that contain a given text crash the replica.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash: Option<CrashRule>,
    /// Time for which a reported status is reused instead of an up-to-date one, in milliseconds.
    pub status_lag_ms: u64,
    /// False values that are reported in the status.
    #[serde(rename = "lie")]
    pub status_override: StatusOverride,
}

impl Default for ReplicaFaults {
    fn default() -> ReplicaFaults {
        ReplicaFaults {
            delay_ms: 0,
            straggler: 1.0,
            silent: false,
            unfinished_bytes: 0,
            shed: false,
            down: false,
            crash: None,
            status_lag_ms: 0,
            status_override: StatusOverride::default(),
        }
    }
}

/// Requests that crash a replica, and the point of the crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashRule {
    /// Queries and actions that contain this text crash the replica that executes them.
    pub text: CompactString,
    /// Point of the crash during execution.
    #[serde(default)]
    pub at: CrashPoint,
}

/// Point of a crash during the execution of an action. Searches always crash halfway through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashPoint {
    /// Halfway through, before the action takes effect.
    #[default]
    BeforeEffect,
    /// After the action took effect and before its reply.
    AfterEffect,
}

/// Values that a status reports instead of the actual ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StatusOverride {
    /// State to report; the actual state if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<ReplicaState>,
    /// Load to report; the actual load if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// One-time operation on replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "command", deny_unknown_fields)]
pub enum Command {
    /// Refuses new searches and actions, and closes connections gracefully, with GOAWAY on h2.
    Drain,
    /// Resets all connections, aborts all requests, and restarts with a new incarnation.
    Crash,
    /// Adds a snapshot, or replaces it.
    AddSnapshot {
        /// Snapshot and the key ranges that the replicas hold of it.
        holding: HoldingSpec,
    },
    /// Removes a snapshot.
    RetireSnapshot {
        /// Service of the snapshot.
        service: ServiceId,
        /// Identifier of the snapshot.
        snapshot: SnapshotId,
    },
    /// Moves a key range of a snapshot to other replicas of the process. These replicas hold it
    /// before the replicas of this request lose it.
    MoveRange {
        /// Service of the snapshot.
        service: ServiceId,
        /// Identifier of the snapshot.
        snapshot: SnapshotId,
        /// Key range to move.
        range: KeyRange,
        /// Replicas that the range is moved to.
        to: Vec<ReplicaId>,
    },
}
