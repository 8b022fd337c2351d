use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Requests that wait for an answer of another thread, by their number.
pub(super) struct Pending<T> {
    waiting: Arc<Mutex<Waiting<T>>>,
}

struct Waiting<T> {
    next: u64,
    by_id: HashMap<u64, oneshot::Sender<T>>,
}

impl<T> Clone for Pending<T> {
    fn clone(&self) -> Pending<T> {
        Pending { waiting: Arc::clone(&self.waiting) }
    }
}

impl<T> Default for Pending<T> {
    fn default() -> Pending<T> {
        let waiting = Waiting { next: 1, by_id: HashMap::new() };
        Pending { waiting: Arc::new(Mutex::new(waiting)) }
    }
}

impl<T> Pending<T> {
    /// Takes a new number, which is never given again, and waits under it.
    pub(super) fn register(&self) -> (u64, oneshot::Receiver<T>) {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.lock();
        let id = waiting.next;
        waiting.next += 1;
        waiting.by_id.insert(id, tx);
        (id, rx)
    }

    /// Hands an answer to the request that waits for it, if it still does.
    pub(super) fn resolve(&self, id: u64, answer: T) {
        if let Some(tx) = self.lock().by_id.remove(&id) {
            // The caller may hang up at the same moment.
            let _ = tx.send(answer);
        }
    }

    /// Stops waiting. `true` when no answer had been handed over.
    pub(super) fn forget(&self, id: u64) -> bool {
        self.lock().by_id.remove(&id).is_some()
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.lock().by_id.len()
    }

    fn lock(&self) -> MutexGuard<'_, Waiting<T>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
