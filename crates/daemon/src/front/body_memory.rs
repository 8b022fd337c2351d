use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rosemarybank_query::buffer_budget::{BufferBudget, BufferKey, BufferUse, MIN_LARGEST_BODIES};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Memory that a request in progress occupies, as a multiple of its body: the body, its text, its encoded
/// form, and a margin for the allocator.
const REQUEST_COPIES: usize = 4;

/// Memory of a head that leaves room for a body of any size.
const MAX_HEAD_MEMORY: usize = 1 << 20;

/// Memory for the bodies of all requests. Clones share it.
#[derive(Clone)]
pub(super) struct BodyMemory {
    clock: Clock,
    /// Limit of the settings.
    limit: usize,
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    budget: BufferBudget,
    /// Wakes the request whose buffer is released.
    releases: SecondaryMap<BufferKey, Arc<Notify>>,
}

/// Memory of one request, which is returned when this is dropped.
pub(super) struct BodyBuffer {
    memory: BodyMemory,
    key: BufferKey,
    release: Arc<Notify>,
}

impl BodyMemory {
    /// Creates a memory of `limit` bytes.
    pub(super) fn new(clock: Clock, limit: usize) -> BodyMemory {
        let inner = Inner { budget: BufferBudget::new(limit), releases: SecondaryMap::new() };
        BodyMemory { clock, limit, inner: Arc::new(Mutex::new(inner)) }
    }

    /// Raises the limit if a single body of `body_bytes` would not be admitted otherwise.
    pub(super) fn set_largest_body(&self, body_bytes: usize) {
        let largest = body_bytes.saturating_mul(REQUEST_COPIES).saturating_add(MAX_HEAD_MEMORY);
        let needed = largest.saturating_mul(MIN_LARGEST_BODIES);
        self.lock().budget.set_limit(self.limit.max(needed));
    }

    /// Starts a request.
    pub(super) fn start(&self) -> BodyBuffer {
        let release = Arc::new(Notify::new());
        let mut inner = self.lock();
        let key = inner.budget.insert(self.clock.now());
        inner.releases.insert(key, Arc::clone(&release));
        drop(inner);
        BodyBuffer { memory: self.clone(), key, release }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BodyBuffer {
    /// Whether a request with a body of `len` bytes may start.
    pub(super) fn admits(&self, len: usize) -> bool {
        self.memory.lock().budget.admits(len.saturating_mul(REQUEST_COPIES))
    }

    /// Records the memory of the part of the body that was received. Other requests may be released.
    pub(super) fn set_received(&self, capacity: usize) {
        let now = self.memory.clock.now();
        let mut inner = self.memory.lock();
        inner.budget.update(self.key, now, BufferUse::Releasable, capacity);
        while let Some(key) = inner.budget.next_release() {
            inner.budget.remove(key);
            if let Some(release) = inner.releases.remove(key) {
                release.notify_one();
            }
        }
    }

    /// Starts the request, whose body of `len` bytes was received whole, if the memory permits.
    pub(super) fn try_begin(&self, head_memory: usize, len: usize) -> bool {
        let now = self.memory.clock.now();
        let mut inner = self.memory.lock();
        let memory = len.saturating_mul(REQUEST_COPIES).saturating_add(head_memory);
        let is_admitted = inner.releases.contains_key(self.key) && inner.budget.admits(memory);
        if is_admitted {
            inner.budget.update(self.key, now, BufferUse::Held, memory);
        }
        is_admitted
    }

    /// Waits until this buffer is to be released for others.
    pub(super) async fn released(&self) {
        self.release.notified().await;
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        let mut inner = self.memory.lock();
        inner.budget.remove(self.key);
        inner.releases.remove(self.key);
    }
}
