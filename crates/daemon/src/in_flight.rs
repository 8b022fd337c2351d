//! Registry of requests in flight, which lets a forced shutdown log the requests it aborts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use rosemarybank_protocol::id::Time;
use slab::Slab;

use crate::trace::TraceContext;

/// Registry of requests in flight. Clones share the registry.
#[derive(Clone, Default)]
pub struct InFlightRequests {
    requests: Arc<Mutex<Slab<InFlightRequest>>>,
}

/// Description of a request in flight.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// What the request asks for, as shown in the log.
    pub description: CompactString,
    /// Trace context of the request.
    pub trace: TraceContext,
    /// Time at which the request arrived.
    pub arrived_at: Time,
}

impl InFlightRequests {
    /// Registers a request until the returned guard is dropped.
    #[must_use]
    pub fn track(&self, request: InFlightRequest) -> InFlightGuard {
        let key = self.lock().insert(request);
        InFlightGuard { registry: self.clone(), key }
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn list(&self) -> Vec<InFlightRequest> {
        self.lock().iter().map(|(_, request)| request.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Slab<InFlightRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a request from the registry when dropped.
pub struct InFlightGuard {
    registry: InFlightRequests,
    key: usize,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.registry.lock().remove(self.key);
    }
}
