//! The requests in flight, so that a stop that runs out of time can name those it cuts off.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use rosemarybank_protocol::id::Time;
use slab::Slab;

use crate::trace::TraceContext;

/// Requests in flight. Clones share them.
#[derive(Clone, Default)]
pub struct InFlightRequests {
    requests: Arc<Mutex<Slab<InFlightRequest>>>,
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// What was asked.
    pub description: CompactString,
    /// Its trace.
    pub trace: TraceContext,
    /// When it arrived.
    pub arrived_at: Time,
}

impl InFlightRequests {
    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn track(&self, request: InFlightRequest) -> InFlightGuard {
        let key = self.lock().insert(request);
        InFlightGuard { of: self.clone(), key }
    }

    /// The requests in flight now.
    #[must_use]
    pub fn list(&self) -> Vec<InFlightRequest> {
        self.lock().iter().map(|(_, request)| request.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Slab<InFlightRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request in the list of those in flight.
pub struct InFlightGuard {
    of: InFlightRequests,
    key: usize,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.of.lock().remove(self.key);
    }
}
