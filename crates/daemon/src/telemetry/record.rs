use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use compact_str::CompactString;
use rosemarybank_protocol::id::{ServiceId, Time};
use rosemarybank_ring::Sender;

use crate::trace::TraceContext;

/// What the other threads report to `telemetry`.
#[derive(Debug)]
pub enum Record {
    /// A hop of a request ended.
    Span(Span),
    /// A caller was answered.
    Request(RequestRecord),
    /// Something happened `n` times.
    Count(Counter, u64),
    /// A level changed.
    Gauge(Gauge, u64),
    /// The state of the instance for `/status` changed.
    Status(Box<super::StatusDocument>),
}

/// One hop of a request.
#[derive(Clone, Debug)]
pub struct Span {
    /// Trace, parent and own identifier.
    pub trace: TraceContext,
    /// Kind of the hop.
    pub hop: Hop,
    /// When it began.
    pub start: Time,
    /// When it ended.
    pub end: Time,
    /// What it was about and how it ended.
    pub detail: CompactString,
}

/// Kind of a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// From the head of a request to its answer.
    Front,
    /// From the submission to the engine's answer.
    Engine,
    /// One request to one replica.
    Attempt,
    /// The claim of an action.
    Claim,
}

impl Hop {
    /// Name in traces.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Hop::Front => "front",
            Hop::Engine => "engine",
            Hop::Attempt => "attempt",
            Hop::Claim => "claim",
        }
    }
}

/// An answered request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Service, or `-` when the request named no known one.
    pub service: ServiceId,
    /// HTTP status.
    pub status: u16,
    /// Time from the head of the request to the answer.
    pub took: Time,
}

/// Events that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests refused because a ring was full.
    RingFull,
    /// Connections accepted at the callers' port.
    Connections,
    /// Connections closed because they were silent or too slow.
    SilentConnections,
    /// Calls of the platform.
    PlatformCalls,
    /// Failed calls of the platform.
    PlatformFailures,
    /// Messages sent to peers.
    PeerMessages,
    /// Messages to peers that got no answer.
    PeerFailures,
    /// Bundles that were refused.
    BundlesRefused,
    /// Claims that were deleted because of their age.
    ClaimsDeleted,
    /// Paths among the claims that name no claim.
    ClaimsUnreadable,
    /// Searches sent first, again and as hedges, and actions.
    Attempts,
    /// Replies rejected or late.
    UselessReplies,
    /// Records that were dropped because the telemetry ring was full.
    RecordsDropped,
}

/// Levels that are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Version in force; 0 before the first.
    Version,
    /// Live instances.
    FleetSize,
    /// Queries in the engine.
    QueriesInFlight,
    /// Attempts in the engine.
    AttemptsInFlight,
    /// Actions in progress.
    ActionsInFlight,
    /// Quarantined fingerprints.
    Quarantined,
    /// Replicas in the platform's list.
    Replicas,
}

/// Reports records. Clones share one ring.
///
/// Records are dropped and counted when the ring is full, because telemetry must not delay
/// requests.
#[derive(Clone)]
pub struct Recorder {
    ring: Arc<Mutex<Sender<Record>>>,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// Shares the sending end of a ring. Drops are added to `dropped`.
    #[must_use]
    pub fn new(ring: Sender<Record>, dropped: Arc<AtomicU64>) -> Recorder {
        Recorder { ring: Arc::new(Mutex::new(ring)), dropped }
    }

    /// Reports a record.
    pub fn record(&self, record: Record) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.try_send(record).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.record(Record::Count(counter, 1));
    }
}
