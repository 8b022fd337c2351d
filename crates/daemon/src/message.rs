//! What the daemon's threads tell each other through the rings.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rosemarybank_coordination::claim;
use rosemarybank_protocol::{
    prelude::*,
    upstream::{ShardRequest, UpstreamAction},
};
use rosemarybank_query::interface::{
    AttemptId, Dispatch, DispatchId, Event, QueryId, Refusal, SearchResult, Submission,
};
use rosemarybank_transport::upstream::Target;

use crate::trace::TraceContext;

/// Number of a request from `front` to `control`.
pub type RequestId = u64;

/// From `front` to `engine`.
#[derive(Debug)]
pub enum FrontToEngine {
    /// A caller asks for a search.
    Submit {
        /// The search as the engine decides on it.
        submission: Submission,
        /// What is sent to upstreams.
        payload: Arc<SearchPayload>,
    },
    /// The caller hung up.
    CallerGone {
        /// Its query.
        query: QueryId,
    },
}

/// The part of a search that the engine's decisions do not need.
#[derive(Debug)]
pub struct SearchPayload {
    /// Service to search.
    pub service: ServiceId,
    /// Text to search for.
    pub query: CompactText,
    /// Largest number of hits.
    pub limit: u32,
    /// Span of the request at the front.
    pub trace: TraceContext,
}

/// Text that is often short.
pub type CompactText = compact_str::CompactString;

/// From `engine` to `front`.
#[derive(Debug)]
pub struct EngineToFront {
    /// The query.
    pub query: QueryId,
    /// Its answer.
    pub answer: Result<SearchResult, Refusal>,
}

/// From `engine` to `upstreams`.
#[derive(Debug)]
pub enum EngineToUpstreams {
    /// Ask a replica to search.
    Search {
        /// Number of the attempt.
        attempt: AttemptId,
        /// Replica to ask.
        replica: ReplicaId,
        /// Its address.
        addr: std::net::SocketAddr,
        /// Request to send.
        request: ShardRequest,
        /// Time after which the reply is useless.
        deadline: Time,
        /// Span of the attempt.
        trace: TraceContext,
    },
    /// Ask a replica to run an action.
    Act {
        /// Number of the attempt.
        attempt: AttemptId,
        /// Replica to ask.
        replica: ReplicaId,
        /// Its address.
        addr: std::net::SocketAddr,
        /// Action to send.
        action: UpstreamAction,
        /// Time after which the attempt is abandoned.
        deadline: Time,
        /// Span of the attempt.
        trace: TraceContext,
    },
    /// Reset the stream of an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask a replica for its status.
    Poll {
        /// The replica.
        replica: ReplicaId,
        /// Its address.
        addr: std::net::SocketAddr,
    },
}

impl EngineToUpstreams {
    /// The thread among `threads` that carries the message out; `None` when all of them must see
    /// it, because the message does not name its replica.
    #[must_use]
    pub fn thread(&self, threads: usize) -> Option<usize> {
        match self {
            EngineToUpstreams::Search { replica, .. }
            | EngineToUpstreams::Act { replica, .. }
            | EngineToUpstreams::Poll { replica, .. } => Some(upstreams_thread(replica, threads)),
            EngineToUpstreams::Cancel { .. } => None,
        }
    }
}

/// The one of `threads` upstreams threads that holds the connection to a replica.
///
/// # Examples
///
/// ```
/// use rosemarybank_daemon::message::upstreams_thread;
///
/// assert!(upstreams_thread("lots-1", 3) < 3);
/// assert_eq!(upstreams_thread("lots-1", 1), 0);
/// ```
#[must_use]
pub fn upstreams_thread(replica: &str, threads: usize) -> usize {
    // FNV-1a; its high bits depend on all characters.
    let hash = replica.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    (hash >> 32) as usize % threads.max(1)
}

/// From `control` to `upstreams`: the replicas to which connections are kept.
pub type Targets = Vec<Target>;

/// From `control` to `engine`.
#[derive(Debug)]
pub enum ControlToEngine {
    /// An event for the engine.
    Event(Event),
    /// A confirmed claim allows an action to be sent.
    Dispatch {
        /// The action as the engine decides on it.
        dispatch: Dispatch,
        /// What is sent to the upstream.
        action: UpstreamAction,
        /// Span of the request at the front.
        trace: TraceContext,
    },
}

/// From `engine` to `control`.
#[derive(Debug)]
pub enum EngineToControl {
    /// An action ended.
    Dispatched {
        /// The action.
        dispatch: DispatchId,
        /// What became of it.
        outcome: ActionOutcome,
    },
    /// Every key of every search service has a replica, for the first time since the start.
    Served,
    /// A fingerprint crashed replicas.
    Condemn {
        /// Service that was asked.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Replicas that it crashed.
        crashes: u32,
        /// Time for which it is refused.
        duration: Duration,
    },
}

/// From `front` to `control`.
#[derive(Debug)]
pub enum FrontToControl {
    /// A caller asks for an action; its key has been checked.
    SubmitAction(ActionSubmission),
    /// A caller asks what became of an action.
    Lookup(LookupRequest),
}

/// A one-time action.
#[derive(Debug)]
pub struct ActionSubmission {
    /// Number of the request.
    pub id: RequestId,
    /// Caller.
    pub caller: CallerId,
    /// Action for the upstream, with the idempotency key.
    pub action: UpstreamAction,
    /// Hash of the service and the body.
    pub fingerprint: Fingerprint,
    /// Time by which the caller needs its answer.
    pub deadline: Time,
    /// Span of the request at the front.
    pub trace: TraceContext,
}

/// A question about an action.
#[derive(Debug)]
pub struct LookupRequest {
    /// Number of the request.
    pub id: RequestId,
    /// Caller.
    pub caller: CallerId,
    /// Idempotency key.
    pub key: CompactText,
    /// Time by which the caller needs its answer.
    pub deadline: Time,
}

/// From `control` to `front`.
#[derive(Debug)]
pub enum ControlToFront {
    /// A bundle came into force.
    Config(Arc<FrontConfig>),
    /// An action ended.
    ActionFinished {
        /// The request.
        id: RequestId,
        /// What its caller is told.
        answer: claim::Answer,
    },
    /// The state of an action; `Err` when the store can't be reached.
    LookupFinished {
        /// The request.
        id: RequestId,
        /// The outcome, or `None` when there is no claim.
        outcome: Result<Option<ActionOutcome>, StoreUnreachable>,
    },
}

/// The platform's store did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreUnreachable;

/// The part of a bundle that the front needs, indexed for requests.
#[derive(Clone, Debug, Default)]
pub struct FrontConfig {
    /// Callers by the SHA-256 of their token.
    pub callers: HashMap<[u8; 32], CallerConfig>,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceConfig>,
    /// Limits of each instance.
    pub limits: Limits,
}

impl FrontConfig {
    /// Indexes a bundle.
    #[must_use]
    pub fn new(bundle: &Bundle) -> FrontConfig {
        let callers = bundle.callers.iter().filter_map(|it| {
            let mut hash = [0; 32];
            decode_hex(&it.token_sha256, &mut hash).then(|| (hash, it.clone()))
        });
        let services = bundle.services.iter().map(|it| (it.name.clone(), it.clone()));
        FrontConfig {
            callers: callers.collect(),
            services: services.collect(),
            limits: bundle.limits.clone(),
        }
    }
}

fn decode_hex(text: &str, out: &mut [u8; 32]) -> bool {
    let digits = text.as_bytes();
    if digits.len() != 64 {
        return false;
    }
    for (pair, byte) in digits.chunks(2).zip(out) {
        let nibble = |b: u8| char::from(b).to_digit(16);
        let (Some(high), Some(low)) = (nibble(pair[0]), nibble(pair[1])) else { return false };
        *byte = (high * 16 + low) as u8;
    }
    true
}
