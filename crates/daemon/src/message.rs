//! Messages that the daemon's threads exchange through rings.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rosemarybank_coordination::claim;
use rosemarybank_protocol::{prelude::*, upstream::UpstreamAction};
use rosemarybank_query::interface::{
    AttemptId, Dispatch, DispatchId, Event, QueryId, Refusal, SearchResult, Submission,
};
use rosemarybank_transport::upstream::{QueryText, ShardCall, Target};

use crate::trace::TraceContext;

/// Identifies a request from `front` to `control`.
pub type RequestId = u64;

/// Message from `front` to `engine`.
#[derive(Debug)]
pub enum FrontToEngine {
    /// A caller requests a search.
    Submit {
        /// The parameters that the engine's decisions depend on.
        submission: Submission,
        /// The content that is forwarded to upstreams.
        payload: Arc<SearchPayload>,
    },
    /// The caller has disconnected, or `front` has stopped waiting for a reply that is overdue.
    CallerGone {
        /// The caller's query.
        query: QueryId,
    },
}

/// The part of a search that is forwarded to upstreams and does not affect the engine's decisions.
#[derive(Debug)]
pub struct SearchPayload {
    /// Service to search.
    pub service: ServiceId,
    /// Text to search for.
    pub query: QueryText,
    /// Maximum number of hits.
    pub limit: u32,
    /// Span of the request in `front`.
    pub trace: TraceContext,
}

/// String that is stored inline when it is short.
pub type CompactText = compact_str::CompactString;

/// Result of a search, from `engine` to `front`.
#[derive(Debug)]
pub struct EngineToFront {
    /// The query.
    pub query: QueryId,
    /// The search result, or why the engine refused the query.
    pub answer: Result<SearchResult, Refusal>,
}

/// Message from `engine` to `upstreams`.
#[derive(Debug)]
pub enum EngineToUpstreams {
    /// Sends a search request to a replica.
    Search {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Replica to send to.
        replica: ReplicaId,
        /// Address of the replica.
        addr: std::net::SocketAddr,
        /// Request to send.
        request: ShardCall,
        /// Time after which the reply is of no use.
        deadline: Time,
        /// Span of the attempt.
        trace: TraceContext,
    },
    /// Sends an action to a replica.
    Action {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Replica to send to.
        replica: ReplicaId,
        /// Address of the replica.
        addr: std::net::SocketAddr,
        /// Action to send.
        action: UpstreamAction,
        /// Time after which the attempt is abandoned.
        deadline: Time,
        /// Span of the attempt.
        trace: TraceContext,
    },
    /// Cancels an attempt and resets its stream.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Requests the status of a replica.
    PollStatus {
        /// The replica.
        replica: ReplicaId,
        /// Address of the replica.
        addr: std::net::SocketAddr,
    },
}

impl EngineToUpstreams {
    /// Returns the index of the upstreams thread, out of `threads`, that handles the message.
    /// `None` means all of them: a cancellation does not name its replica.
    #[must_use]
    pub fn thread_index(&self, threads: usize) -> Option<usize> {
        match self {
            EngineToUpstreams::Search { replica, .. }
            | EngineToUpstreams::Action { replica, .. }
            | EngineToUpstreams::PollStatus { replica, .. } => {
                Some(upstreams_thread_index(replica, threads))
            }
            EngineToUpstreams::Cancel { .. } => None,
        }
    }
}

/// Returns the index of the upstreams thread, out of `threads`, that connects to a replica.
///
/// # Examples
///
/// ```
/// use rosemarybank_daemon::message::upstreams_thread_index;
///
/// assert!(upstreams_thread_index("lots-1", 3) < 3);
/// assert_eq!(upstreams_thread_index("lots-1", 1), 0);
/// ```
#[must_use]
pub fn upstreams_thread_index(replica: &str, threads: usize) -> usize {
    // FNV-1a. The high bits are used because they depend on all characters.
    let hash = replica.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    });
    (hash >> 32) as usize % threads.max(1)
}

/// Message from `control` to `upstreams`: the replicas to keep connections to.
pub type Targets = Vec<Target>;

/// Message from `control` to `engine`.
#[derive(Debug)]
pub enum ControlToEngine {
    /// An event for the engine.
    Event(Event),
    /// Dispatches an action whose claim is confirmed.
    Dispatch {
        /// The parameters that the engine's decisions depend on.
        dispatch: Dispatch,
        /// The action to send to the upstream.
        action: UpstreamAction,
        /// Span of the request in `front`.
        trace: TraceContext,
    },
}

/// Message from `engine` to `control`.
#[derive(Debug)]
pub enum EngineToControl {
    /// The dispatch of an action ended.
    Dispatched {
        /// The action.
        dispatch: DispatchId,
        /// Outcome of the action.
        outcome: ActionOutcome,
    },
    /// Every key of every search service has a replica, for the first time since the start.
    AllKeysCovered,
    /// A fingerprint has crashed replicas and is to be quarantined.
    Quarantine {
        /// Service that the requests were for.
        service: ServiceId,
        /// Fingerprint of the requests.
        fingerprint: Fingerprint,
        /// Number of replicas that crashed.
        crashes: u32,
        /// Duration of the quarantine.
        duration: Duration,
    },
}

/// Message from `front` to `control`.
#[derive(Debug)]
pub enum FrontToControl {
    /// A caller submits an action; its idempotency key is already validated.
    SubmitAction(ActionSubmission),
    /// A caller asks for the outcome of an action.
    Lookup(LookupRequest),
}

/// A one-time action that a caller submits.
#[derive(Debug)]
pub struct ActionSubmission {
    /// Identifier of the request.
    pub id: RequestId,
    /// Caller that submits the action.
    pub caller: CallerId,
    /// Action for the upstream, with the idempotency key.
    pub action: UpstreamAction,
    /// Hash of the service and the body.
    pub fingerprint: Fingerprint,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
    /// Span of the request in `front`.
    pub trace: TraceContext,
}

/// A request for the outcome of an action.
#[derive(Debug)]
pub struct LookupRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Caller that submitted the action.
    pub caller: CallerId,
    /// Idempotency key of the action.
    pub key: CompactText,
    /// Time by which the caller needs the answer.
    pub deadline: Time,
}

/// Message from `control` to `front`.
#[derive(Debug)]
pub enum ControlToFront {
    /// A bundle was activated.
    Config(Arc<FrontConfig>),
    /// A submitted action ended.
    ActionFinished {
        /// The request.
        id: RequestId,
        /// Answer for the caller.
        answer: claim::Answer,
    },
    /// A lookup ended.
    LookupFinished {
        /// The request.
        id: RequestId,
        /// The outcome of the action, or `None` when there is no claim for its key.
        outcome: Result<Option<ActionOutcome>, StoreUnreachable>,
    },
}

/// The platform's store did not return a readable reply in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreUnreachable;

/// The part of a bundle that `front` needs, indexed for lookups by request.
#[derive(Clone, Debug, Default)]
pub struct FrontConfig {
    /// Callers by the SHA-256 hash of their token.
    pub callers: HashMap<[u8; 32], CallerConfig>,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceConfig>,
    /// Limits of each instance.
    pub limits: Limits,
}

impl FrontConfig {
    /// Builds the index of a bundle. Callers with a malformed token hash are left out.
    #[must_use]
    pub fn new(bundle: &Bundle) -> FrontConfig {
        let callers = bundle.callers.iter().filter_map(|it| {
            let mut hash = [0; 32];
            decode_sha256(&it.token_sha256, &mut hash).then(|| (hash, it.clone()))
        });
        let services = bundle.services.iter().map(|it| (it.name.clone(), it.clone()));
        FrontConfig {
            callers: callers.collect(),
            services: services.collect(),
            limits: bundle.limits.clone(),
        }
    }
}

/// Decodes a SHA-256 hash of 64 hexadecimal digits into `out`; returns `false` if it is malformed.
fn decode_sha256(text: &str, out: &mut [u8; 32]) -> bool {
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
