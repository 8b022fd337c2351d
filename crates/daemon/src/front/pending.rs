use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Requests that wait for a reply from another thread, by id. Clones share the requests.
pub(super) struct PendingRequests<T> {
    inner: Arc<Mutex<Inner<T>>>,
}

struct Inner<T> {
    next_id: u64,
    reply_senders: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Clone for PendingRequests<T> {
    fn clone(&self) -> PendingRequests<T> {
        PendingRequests { inner: Arc::clone(&self.inner) }
    }
}

impl<T> Default for PendingRequests<T> {
    fn default() -> PendingRequests<T> {
        let inner = Inner { next_id: 1, reply_senders: HashMap::new() };
        PendingRequests { inner: Arc::new(Mutex::new(inner)) }
    }
}

impl<T> PendingRequests<T> {
    /// Adds a request. Returns its id, which is never reused, and the receiver of its reply.
    pub(super) fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        inner.reply_senders.insert(id, tx);
        (id, rx)
    }

    /// Sends a reply to the request `id`, if it is still pending.
    pub(super) fn resolve(&self, id: u64, reply: T) {
        if let Some(tx) = self.lock().reply_senders.remove(&id) {
            // The receiver may have been dropped because the caller disconnected.
            let _ = tx.send(reply);
        }
    }

    /// Removes a request. Returns `true` if it was still pending.
    pub(super) fn remove(&self, id: u64) -> bool {
        self.lock().reply_senders.remove(&id).is_some()
    }

    /// Number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.lock().reply_senders.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
