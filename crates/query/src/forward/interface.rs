//! Events that drive the forwarder and the actions it returns.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use slotmap::new_key_type;

use crate::forward::routes::{ReplicaInfo, RouteTable};

new_key_type! {
    /// A request of a client.
    pub struct RequestKey;
    /// A request to one replica.
    pub struct AttemptKey;
    /// A lifetime of a replica.
    pub struct ReplicaKey;
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client went away.
    ClientDisconnected(RequestKey),
    /// The connection of an attempt is open and the request is being written.
    Sent(AttemptKey),
    /// An attempt ended with a reply. Each attempt ends once, also one that was abandoned.
    Replied(AttemptKey, Reply),
    /// An attempt ended without a usable reply.
    Failed(AttemptKey, Failure),
    /// A connection that was asked for by [`Action::Reconnect`] could not be opened.
    Unreachable(ReplicaKey),
    /// A version of the configuration came; an older one than that in force is ignored.
    Configure(Box<RouteTable>),
    /// The replicas that may be used now, whole.
    Replicas(Vec<ReplicaInfo>),
    /// Another instance condemned a request, for this time.
    PeerQuarantined(Fingerprint, Duration),
    /// A list of the entry instances that share budgets and connections.
    Instances {
        /// Time at which it was asked for.
        requested_at: Time,
        /// Their number, this one included.
        count: u32,
        /// Whether this one is on the list.
        is_listed: bool,
    },
    /// The instance stops; its requests in flight are finished.
    Stopping,
    /// Time has passed.
    Tick,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Host in lower case.
    pub host: CompactString,
    /// Path.
    pub path: CompactString,
    /// Time that the client waits, if it said so.
    pub client_timeout: Option<Duration>,
    /// Hash of what makes a request the same when it comes again.
    pub fingerprint: Fingerprint,
}

/// A complete reply of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Proof of the replica.
    pub stamp: Option<CompactString>,
    /// Whether the replica states that it did not run the request.
    pub is_not_run: bool,
    /// Field lines to pass on.
    pub fields: Vec<u8>,
    /// Body.
    pub body: Vec<u8>,
}

/// How an attempt ended without a usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection had ended before a byte of the request was sent.
    NotSent,
    /// No connection could be opened.
    Unreachable,
    /// The replica closed a new connection before anything was sent: it has all that it accepts.
    NotAccepted,
    /// Another replica has the address; it did not run the request.
    WrongReplica,
    /// The connection ended, or carried something that is not the reply; the request may have run.
    Broken,
    /// The attempt was abandoned and its connection closed.
    Abandoned,
}

/// What the driver must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request to a replica.
    Send {
        /// Number of the attempt.
        attempt: AttemptKey,
        /// The request.
        request: RequestKey,
        /// The replica.
        replica: ReplicaKey,
        /// Its id.
        id: ReplicaId,
        /// Its address.
        addr: SocketAddr,
        /// Time after which the reply is useless.
        deadline: Time,
        /// Whether the request must not run twice.
        is_at_most_once: bool,
        /// Service and reason, for the log.
        service: ServiceId,
        /// Why it is sent.
        kind: AttemptKind,
    },
    /// The reply of an attempt is no longer wanted. If nothing of it was sent, nothing may be sent
    /// any more. Otherwise its connection may be kept if the reply still comes by the given time,
    /// and is closed then.
    Abandon {
        /// The attempt.
        attempt: AttemptKey,
        /// Time to close the connection.
        close_at: Time,
    },
    /// Answer a request; given once for each request whose client did not go away.
    Answer {
        /// The request.
        request: RequestKey,
        /// The answer.
        answer: Answer,
    },
    /// Open a connection to a replica whose connection broke: it replaces the old one, and shows
    /// whether the replica is still there.
    Reconnect {
        /// The replica.
        replica: ReplicaKey,
        /// Its address.
        addr: SocketAddr,
    },
    /// A request crashed several replicas and is refused from now on.
    Quarantine(Fingerprint),
    /// The lifetime of a replica is over: its idle connections are of no use.
    RemoveReplica(ReplicaKey),
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The reply of a replica, unchanged.
    Relay(Reply),
    /// Parts of several shards.
    Merged {
        /// Proofs of the parts.
        stamps: Vec<CompactString>,
        /// Shards that are left out.
        missing: usize,
        /// The greatest records, greatest first.
        body: Vec<u8>,
    },
    /// No success.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Time after which a retry makes sense.
        retry_after: Option<Duration>,
    },
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt at a service.
    First,
    /// The one before it failed.
    Retry,
    /// The one before it is late.
    Hedge,
}
