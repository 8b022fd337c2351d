use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

use super::body_memory::BodyBuffer;

/// Requests that wait for a reply from another thread, by id. Clones share the requests.
pub(super) struct PendingRequests<T> {
    inner: Arc<Mutex<Inner<T>>>,
}

struct Inner<T> {
    next_id: u64,
    requests: HashMap<u64, Pending<T>>,
}

struct Pending<T> {
    reply: oneshot::Sender<T>,
    /// Memory of the body; an action keeps it after its caller has disconnected.
    _buffer: Option<BodyBuffer>,
}

impl<T> Clone for PendingRequests<T> {
    fn clone(&self) -> PendingRequests<T> {
        PendingRequests { inner: Arc::clone(&self.inner) }
    }
}

impl<T> Default for PendingRequests<T> {
    fn default() -> PendingRequests<T> {
        let inner = Inner { next_id: 1, requests: HashMap::new() };
        PendingRequests { inner: Arc::new(Mutex::new(inner)) }
    }
}

impl<T> PendingRequests<T> {
    /// Adds a request that keeps `buffer` until its reply. Returns its id, which is never reused, and the
    /// receiver of its reply.
    pub(super) fn register(&self, buffer: Option<BodyBuffer>) -> (u64, oneshot::Receiver<T>) {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        inner.requests.insert(id, Pending { reply: tx, _buffer: buffer });
        (id, rx)
    }

    /// Sends a reply to the request `id`, if it is still pending.
    pub(super) fn resolve(&self, id: u64, reply: T) {
        let pending = self.lock().requests.remove(&id);
        if let Some(pending) = pending {
            // The receiver may have been dropped because the caller disconnected.
            let _ = pending.reply.send(reply);
        }
    }

    /// Removes a request. Returns `true` if it was still pending.
    pub(super) fn remove(&self, id: u64) -> bool {
        self.lock().requests.remove(&id).is_some()
    }

    /// Number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.lock().requests.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
