//! Events that drive the engine and the actions it returns.
//!
//! A driver numbers its queries and actions and never uses a number twice. The engine numbers
//! attempts in the same way, so that a late reply can't reach another query.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::{
    platform::InstanceEntry,
    prelude::*,
    upstream::{ReplicaStatus, ShardReply, UpstreamErrorKind},
};
use serde::{Deserialize, Serialize};

/// Number of a query, given by the driver.
pub type QueryId = u64;

/// Number of a one-time action, given by the driver.
pub type DispatchId = u64;

/// Number of one request to one replica, given by the engine.
pub type AttemptId = u64;

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A caller asks for a search.
    Submit(Submission),
    /// The caller of a search hung up.
    CallerGone {
        /// Its query.
        query: QueryId,
    },
    /// A confirmed claim allows an action to be sent.
    Dispatch(Dispatch),
    /// An attempt ended. Further outcomes of the same attempt are ignored.
    AttemptDone {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The platform's lagging list, whole.
    ReplicaList(Vec<InstanceEntry>),
    /// A polled status arrived.
    ReplicaStatus(ReplicaStatus),
    /// A poll failed.
    PollFailed {
        /// The polled replica.
        replica: ReplicaId,
    },
    /// A connection received GOAWAY: the replica takes no new streams on it.
    GoingAway {
        /// The replica.
        replica: ReplicaId,
    },
    /// A bundle comes into force.
    Configure(Box<Bundle>),
    /// The number of live entry instances, this one included.
    FleetSize(u32),
    /// A fingerprint is quarantined until the given time.
    Quarantine {
        /// Service that was asked.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// End of the quarantine; a time in the past releases it.
        until: Time,
    },
    /// Time has passed; sent at [`next_wakeup`](crate::engine::Engine::next_wakeup).
    Tick,
}

/// A search as the engine sees it. The driver keeps the text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Number of the query.
    pub query: QueryId,
    /// Service to search.
    pub service: ServiceId,
    /// Hash of the service and the normalised text.
    pub fingerprint: Fingerprint,
    /// Precedence class of the caller.
    pub priority: Priority,
    /// Whether the caller accepts partial coverage.
    pub coverage: CoverageMode,
    /// Largest number of hits.
    pub limit: u32,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
}

/// A one-time action whose claim is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Number of the action.
    pub dispatch: DispatchId,
    /// Ledger that takes it.
    pub service: ServiceId,
    /// Time after which it is not sent.
    pub deadline: Time,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The replica searched.
    Reply(ShardReply),
    /// The replica ran an action.
    ActionReply(CompactString),
    /// The replica refused; all kinds but `Failed` mean that it did not run the request.
    Refused {
        /// Kind of the refusal.
        error: UpstreamErrorKind,
        /// Snapshots that the replica can serve.
        snapshots: Vec<SnapshotId>,
    },
    /// No byte of the request reached the replica, or its connection refused the stream unprocessed.
    NotSent,
    /// The connection broke after the request was sent.
    Disconnected,
    /// The time ran out after the request was sent, and the stream was reset.
    TimedOut,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a search to a replica.
    Send(Send),
    /// Send an action to a replica.
    SendAction(SendAction),
    /// Reset the stream of an attempt. Its outcome is no longer of interest.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer a search. Given exactly once for each `Submit` that is not followed by `CallerGone`.
    Answer {
        /// The query.
        query: QueryId,
        /// The answer.
        answer: Result<SearchResult, Refusal>,
    },
    /// An action ended. Given exactly once for each `Dispatch`.
    Dispatched {
        /// The action.
        dispatch: DispatchId,
        /// What became of it.
        outcome: ActionOutcome,
    },
    /// Ask a replica for its status.
    Poll {
        /// The replica.
        replica: ReplicaId,
        /// Its address.
        addr: SocketAddr,
    },
    /// A fingerprint crashed replicas often enough to be quarantined.
    #[serde(rename = "Condemn")]
    Quarantine {
        /// Service that was asked.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// CrashTracker that are known at least.
        crashes: u32,
        /// Time for which it is refused. It grows when the request returns and crashes again.
        quarantine: Duration,
    },
}

/// One search request to one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Send {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Query it belongs to.
    pub query: QueryId,
    /// Replica to ask.
    pub replica: ReplicaId,
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Keys to search.
    pub range: KeyRange,
    /// Time after which the reply is useless.
    pub deadline: Time,
    /// Why it is sent.
    pub kind: SendKind,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SendKind {
    /// First attempt for its keys, or for the keys that a partial reply left open.
    First,
    /// The keys were asked for before and that attempt failed.
    Retry,
    /// The keys are being asked for elsewhere and that attempt is late.
    Hedge,
}

/// One action request to one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendAction {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Action it belongs to.
    pub dispatch: DispatchId,
    /// Replica to ask.
    pub replica: ReplicaId,
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Time after which the attempt is abandoned.
    pub deadline: Time,
}

/// A merged search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchResult {
    /// The one snapshot of all replies.
    pub snapshot: SnapshotId,
    /// What the replies covered.
    pub coverage: Coverage,
    /// The best hits.
    pub hits: Vec<Hit>,
}

/// Why a search got no result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Whether any part was run.
    pub execution: Execution,
    /// Time after which a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Coverage that was reached, when the caller asked for complete coverage.
    pub coverage: Option<Coverage>,
}
