use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use compact_str::CompactString;
use rosemarybank_protocol::id::{ServiceId, Time};
use rosemarybank_ring::Sender;

use super::names::{Counter, Gauge};
use crate::trace::TraceContext;

/// Reports of the other threads to the telemetry thread.
#[derive(Debug)]
pub enum Record {
    /// A span of a request ended.
    Span(Span),
    /// A request was completed.
    Request(RequestRecord),
    /// Adds a number to a counter.
    Count(Counter, u64),
    /// Sets a gauge.
    Gauge(Gauge, u64),
    /// Replaces the response of `/status`.
    Status(Box<super::StatusDocument>),
}

/// Span of a request in one component.
#[derive(Clone, Debug)]
pub struct Span {
    /// Identifiers of the trace, the parent span and the span itself.
    pub trace: TraceContext,
    /// Component or operation that the span covers.
    pub hop: Hop,
    /// Start time.
    pub start: Time,
    /// End time.
    pub end: Time,
    /// Subject and result.
    pub detail: CompactString,
}

/// Component or operation that a span covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// From the arrival of a request's head to its response.
    Front,
    /// From the submission of a search to the engine's result.
    Engine,
    /// One attempt at one replica.
    Attempt,
    /// From the claim of an action to its outcome.
    Claim,
}

impl Hop {
    /// Returns the name that traces show.
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

/// A completed request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Name of the service, or `-` if the request named no configured one.
    pub service: ServiceId,
    /// HTTP status of the response.
    pub status: u16,
    /// Time from the arrival of the request's head to its response.
    pub duration: Time,
}

/// Sends records to the telemetry thread. Clones share one ring buffer.
///
/// Records are dropped and counted when the ring buffer is full, because telemetry must not delay
/// requests.
#[derive(Clone)]
pub struct Recorder {
    ring: Arc<Mutex<Sender<Record>>>,
    dropped: Arc<AtomicU64>,
}

impl Recorder {
    /// Creates a recorder that adds the number of dropped records to `dropped`.
    #[must_use]
    pub fn new(ring: Sender<Record>, dropped: Arc<AtomicU64>) -> Recorder {
        Recorder { ring: Arc::new(Mutex::new(ring)), dropped }
    }

    /// Sends a record, or drops it if the ring buffer is full.
    pub fn record(&self, record: Record) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.try_send(record).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Counter) {
        self.record(Record::Count(counter, 1));
    }
}
