//! Events that the forwarder handles and the actions it returns.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::forward::routes::{ReplicaInfo, RouteTable};

new_key_type! {
    /// A client request in flight.
    pub struct RequestKey;
    /// An attempt: one request sent to one replica.
    pub struct AttemptKey;
    /// One lifetime of a replica; a restarted replica gets a new key.
    pub struct ReplicaKey;
}

/// An input to the forwarder.
#[derive(Clone, Debug)]
pub enum Event {
    /// The client closed its connection.
    ClientDisconnected(RequestKey),
    /// The connection of an attempt is open and its request is being written.
    Sent(AttemptKey),
    /// An attempt ended with a reply. Every attempt ends exactly once, even after it was abandoned.
    Replied(AttemptKey, Reply),
    /// An attempt ended without a usable reply.
    Failed(AttemptKey, Failure),
    /// A connection requested by [`Action::Reconnect`] could not be opened.
    Unreachable(ReplicaKey),
    /// A connection opened by [`Action::Reconnect`] closed before a request was sent on it. If it closed so
    /// soon that the replica may be at its connection limit, some time has passed since.
    ClosedUnused(ReplicaKey),
    /// A new configuration. Ignored unless its version is newer than the current one.
    Configure(Box<RouteTable>),
    /// The complete list of usable replicas.
    Replicas(Vec<ReplicaInfo>),
    /// Another instance quarantined a request for the given remaining time.
    PeerQuarantined(Fingerprint, Duration),
    /// Another instance has seen that a request crashed a replica.
    PeerCrash(CrashSign),
    /// A list of the entry instances that share retry budgets and connections to replicas.
    Instances {
        /// When the list was requested.
        requested_at: Time,
        /// Number of instances, including this one.
        count: u32,
        /// Whether this instance is on the list.
        is_listed: bool,
    },
    /// The instance is shutting down and will exit soon after `answer_by`. Requests in flight are still
    /// completed, or answered at that time.
    Stopping {
        /// Latest time for an answer.
        answer_by: Time,
    },
    /// A timer is due; see `Forwarder::next_wakeup`.
    Tick,
}

/// A client request as it is submitted to the forwarder.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Host name in lower case.
    pub host: CompactString,
    /// Request path.
    pub path: CompactString,
    /// Timeout that the client stated in the request.
    pub client_timeout: Option<Duration>,
    /// Hash of the request content. Repetitions of the same request have the same fingerprint.
    pub fingerprint: Fingerprint,
}

/// A complete HTTP reply from a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Server stamp, which proves that the reply comes from the replica.
    pub stamp: Option<CompactString>,
    /// Whether the replica states that it did not execute the request.
    pub is_not_run: bool,
    /// Whether the replica states that it leaves and wants no further requests.
    pub is_leaving: bool,
    /// Time in which the replica wants no further requests, if it states one.
    pub retry_after: Option<Duration>,
    /// Header field lines to relay to the client.
    pub fields: Vec<u8>,
    /// Reply body.
    pub body: Vec<u8>,
}

/// Why an attempt ended without a usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was closed before any byte of the request was sent.
    NotSent,
    /// No connection could be opened.
    Unreachable,
    /// The replica closed a new connection before anything was sent because it is at its connection
    /// limit.
    NotAccepted,
    /// The address now belongs to another replica, which did not execute the request.
    WrongReplica,
    /// The connection broke or carried an invalid reply. The request may have been executed.
    Broken,
    /// The attempt was abandoned and its connection closed.
    Abandoned,
    /// The reply was given up because it is longer than any legal one, or as the largest one without a stated
    /// length while the memory for replies was used up. The request may have been executed.
    Overlong,
    /// The reply was given up at its head because the memory for replies had no room for its length. The
    /// request may have been executed.
    NoMemory,
}

/// A command to the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a replica.
    Send {
        /// Key of the attempt.
        attempt: AttemptKey,
        /// Key of the client request.
        request: RequestKey,
        /// Key of the replica.
        replica: ReplicaKey,
        /// Id of the replica.
        id: ReplicaId,
        /// Address of the replica.
        addr: SocketAddr,
        /// Time after which the reply is no longer useful.
        deadline: Time,
        /// Whether the request may be sent again if it is unknown whether the replica ran it.
        resend: Resend,
        /// Service, for the log.
        service: ServiceId,
        /// Whether this is a first attempt, a retry or a hedge.
        kind: AttemptKind,
    },
    /// The reply of an attempt is no longer needed. If nothing was sent yet, nothing may be sent
    /// from now on. Otherwise the connection is kept open until `close_at`, so that it can be
    /// reused if the reply arrives in time.
    Abandon {
        /// Key of the attempt.
        attempt: AttemptKey,
        /// When to close the connection.
        close_at: Time,
    },
    /// Answer a client request. Returned exactly once for each accepted request unless its client
    /// disconnects first.
    Answer {
        /// Key of the client request.
        request: RequestKey,
        /// The answer.
        answer: Answer,
    },
    /// Open a connection to a replica in place of one that broke. A failure shows that the replica
    /// is down.
    Reconnect {
        /// Key of the replica.
        replica: ReplicaKey,
        /// Address of the replica.
        addr: SocketAddr,
    },
    /// A request crashed several replicas and is rejected from now on.
    Quarantine(Fingerprint),
    /// A replica was removed, restarted or leaves: close its idle connections, and fail the attempts whose
    /// requests have not been sent.
    RemoveReplica(ReplicaKey),
    /// A replica has asked for no further requests.
    Withdrawn {
        /// Id of the replica.
        id: ReplicaId,
        /// What it asked for.
        withdrawal: Withdrawal,
    },
}

/// Answer to a client request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A replica's reply, passed on unchanged.
    Relay(Reply),
    /// The merged replies of several shards.
    Merged {
        /// Server stamps of the merged replies.
        stamps: Vec<CompactString>,
        /// Number of shards without a reply.
        missing: usize,
        /// The greatest records, in descending order.
        body: Vec<u8>,
    },
    /// The request was not successful.
    Refused {
        /// Reason.
        kind: ErrorKind,
        /// Delay after which the client should retry.
        retry_after: Option<Duration>,
    },
}

/// A crash of a replica that ran a request, as one instance tells others. Times are ages, because the
/// clocks of instances differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSign {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Identifies the process of the replica.
    pub lifetime: u64,
    /// Time since the request was sent to the replica.
    pub sent_ago: Duration,
    /// Time since the connection to the replica broke.
    pub broken_ago: Duration,
}

/// For how long a replica wants no further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// For the rest of its lifetime.
    Leaving,
    /// For this time.
    For(Duration),
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptInfo<'a> {
    /// Key of the client request.
    pub request: RequestKey,
    /// Id of the replica; empty if it has been removed.
    pub replica: &'a str,
    /// When the attempt began.
    pub started_at: Time,
}

/// Whether a request may be sent again when its connection breaks and it is unknown whether the replica
/// ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// It may be sent again, or it is one of the parts of a search, which can be left out.
    Allowed,
    /// It could run twice, but no attempt of its route or no other replica is left.
    LastAttempt,
    /// It must not run twice.
    NotIdempotent,
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a part, or another one because a replica accepted no connection.
    First,
    /// The previous attempt failed.
    Retry,
    /// The previous attempt is late.
    Hedge,
}
