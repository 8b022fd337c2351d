//! Events that the engine handles and actions that it returns.
//!
//! The driver assigns the ids of queries and one-time actions and never reuses one. The engine does
//! the same for attempts, so that a late reply is never taken for a reply to another query.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::{
    platform::InstanceEntry,
    prelude::*,
    upstream::{ReplicaStatus, ShardReply, UpstreamErrorKind},
};
use serde::{Deserialize, Serialize};

/// Id of a query, assigned by the driver.
pub type QueryId = u64;

/// Id of a one-time action, assigned by the driver.
pub type DispatchId = u64;

/// Id of a request to a replica, assigned by the engine.
pub type AttemptId = u64;

/// An input of the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A caller submitted a search.
    Submit(Submission),
    /// The caller of a search disconnected.
    CallerGone {
        /// Its query.
        query: QueryId,
    },
    /// A one-time action may be sent, because its claim is confirmed.
    Dispatch(Dispatch),
    /// An attempt ended. Further outcomes of the same attempt are ignored.
    AttemptDone {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A full list of replicas from the platform. It may lag behind.
    ReplicaList(Vec<InstanceEntry>),
    /// A replica replied to a status poll.
    ReplicaStatus(ReplicaStatus),
    /// A status poll failed.
    PollFailed {
        /// The polled replica.
        replica: ReplicaId,
    },
    /// A connection received GOAWAY: the replica takes no new streams on it.
    GoingAway {
        /// The replica.
        replica: ReplicaId,
    },
    /// A bundle came into force.
    Configure(Box<Bundle>),
    /// The number of live entry instances, including this one.
    FleetSize(u32),
    /// A fingerprint is quarantined until the given time, or released.
    Quarantine {
        /// Service that was searched.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// End of the quarantine. A time that is not in the future releases the fingerprint.
        until: Time,
    },
    /// Time passed. Sent at [`next_wakeup`](crate::engine::Engine::next_wakeup).
    Tick,
}

/// A search without its text, which only the driver needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Id of the query.
    pub query: QueryId,
    /// Service to search.
    pub service: ServiceId,
    /// Hash of the service and the normalised text.
    pub fingerprint: Fingerprint,
    /// Priority class of the caller.
    pub priority: Priority,
    /// Whether the caller accepts partial coverage.
    pub coverage: CoverageMode,
    /// Maximum number of hits.
    pub limit: u32,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
}

/// A one-time action whose [claim](rosemarybank_protocol::platform::Claim) is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Id of the action.
    pub dispatch: DispatchId,
    /// Ledger that runs it.
    pub service: ServiceId,
    /// Time after which it is not sent. An attempt in flight is then cancelled, and the outcome is
    /// unknown.
    pub deadline: Time,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The replica ran the search.
    Reply(ShardReply),
    /// The replica ran the action.
    ActionReply(CompactString),
    /// The replica refused the request. All kinds except `Failed` mean that it did not run the
    /// request.
    Refused {
        /// Kind of the refusal.
        error: UpstreamErrorKind,
        /// Snapshots that the replica can serve.
        snapshots: Vec<SnapshotId>,
    },
    /// No byte of the request was sent, or the connection refused the stream as unprocessed.
    NotSent,
    /// The connection broke after the request was sent.
    Disconnected,
    /// The deadline passed after the request was sent, and the stream was reset.
    TimedOut,
}

/// An output of the engine, which the driver carries out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send a search to a replica.
    Send(Send),
    /// Send an action to a replica.
    SendAction(SendAction),
    /// Reset the stream of an attempt. Its outcome is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer a search. Returned exactly once for each `Submit`, unless `CallerGone` comes first.
    Answer {
        /// The query.
        query: QueryId,
        /// The answer.
        answer: Result<SearchResult, Refusal>,
    },
    /// A one-time action ended. Returned exactly once for each `Dispatch`.
    Dispatched {
        /// The action.
        dispatch: DispatchId,
        /// Its outcome.
        outcome: ActionOutcome,
    },
    /// Poll the status of a replica.
    Poll {
        /// The replica.
        replica: ReplicaId,
        /// Its address.
        addr: SocketAddr,
    },
    /// Quarantine a fingerprint in all instances, because it crashed replicas.
    #[serde(rename = "Condemn")]
    Quarantine {
        /// Service that was searched.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Lower bound of the crashes that it caused.
        crashes: u32,
        /// Duration of the quarantine. It doubles each time the request crashes a replica after the
        /// last quarantine has ended, up to
        /// [`Settings::max_quarantine`](crate::settings::Settings::max_quarantine).
        quarantine: Duration,
    },
}

/// A search request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Send {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Query it belongs to.
    pub query: QueryId,
    /// Replica that gets it.
    pub replica: ReplicaId,
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Keys to search.
    pub range: KeyRange,
    /// Time after which the reply is useless.
    pub deadline: Time,
    /// Kind of the attempt.
    pub kind: SendKind,
}

/// Kind of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SendKind {
    /// First attempt for its keys, or for keys that a partial reply did not cover.
    First,
    /// An earlier attempt for the keys failed.
    Retry,
    /// Another attempt for the keys is in flight and late.
    Hedge,
}

/// An action request to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendAction {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Action it belongs to.
    pub dispatch: DispatchId,
    /// Replica that gets it.
    pub replica: ReplicaId,
    /// Address of the replica.
    pub addr: SocketAddr,
    /// Time after which the attempt is cancelled.
    pub deadline: Time,
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearchResult {
    /// Snapshot that all replies used.
    pub snapshot: SnapshotId,
    /// Coverage of the replies.
    pub coverage: Coverage,
    /// The best hits.
    pub hits: Vec<Hit>,
}

/// Error answer to a search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Whether any part was run.
    pub execution: Execution,
    /// Time after which a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Coverage that was reached; `None` if the search was refused before it started.
    pub coverage: Option<Coverage>,
}
