//! Shares the memory for the requests and answers of clients.
//!
//! Load pattern: many clients send large bodies at once, stop just short of their end and stay open, or
//! do not read their answers. The largest buffer that waits for its client is released first, so that
//! ordinary clients, whose requests are small, are still served. Requests in progress are never released,
//! because they may have run. Instead, a request may use at most half of what those in progress leave free:
//! large requests are refused first, and small ones are served until the budget is nearly used up.

use rosemarybank_protocol::prelude::*;
use slotmap::{SlotMap, new_key_type};

/// Number of requests of the largest permitted size for which a budget must have room, so that one of them
/// is admitted while no other request is in progress.
pub const MIN_LARGEST_BODIES: usize = 2;

new_key_type! {
    /// Identifies a buffer.
    pub struct BufferKey;
}

/// Why a buffer is occupied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferUse {
    /// The client sends a request or reads its answer. The buffer can be released at any time.
    AwaitsClient,
    /// The request is in progress.
    InProgress,
}

#[derive(Clone, Copy, Debug)]
struct Buffer {
    len: usize,
    usage: BufferUse,
    /// Time of the last change.
    changed_at: Time,
}

/// A limited number of bytes for the buffers of all clients.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_query::buffer_budget::{BufferBudget, BufferUse};
///
/// let now = Duration::ZERO;
/// let mut budget = BufferBudget::new(1_000);
/// let small = budget.insert(now);
/// budget.update(small, now, BufferUse::AwaitsClient, 10);
/// let large = budget.insert(now);
/// budget.update(large, now, BufferUse::AwaitsClient, 995);
/// assert_eq!(budget.next_release(), Some(large));
/// budget.remove(large);
/// assert_eq!(budget.next_release(), None);
/// // A request may use half of the budget while none is in progress.
/// assert!(budget.admits(500) && !budget.admits(501));
/// ```
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit: usize,
    /// Sum of all buffers.
    used: usize,
    /// Sum of the buffers of requests in progress.
    in_progress: usize,
    buffers: SlotMap<BufferKey, Buffer>,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> BufferBudget {
        BufferBudget { limit, used: 0, in_progress: 0, buffers: SlotMap::with_key() }
    }

    /// Changes the limit. Buffers beyond a lower one are released by [`Self::next_release`].
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds an empty buffer.
    pub fn insert(&mut self, now: Time) -> BufferKey {
        let usage = BufferUse::AwaitsClient;
        self.buffers.insert(Buffer { len: 0, usage, changed_at: now })
    }

    /// Changes the use and the length of a buffer.
    pub fn update(&mut self, key: BufferKey, now: Time, usage: BufferUse, len: usize) {
        let Some(buffer) = self.buffers.get_mut(key) else { return };
        if (buffer.usage, buffer.len) == (usage, len) {
            return;
        }
        let old = std::mem::replace(buffer, Buffer { len, usage, changed_at: now });
        self.subtract(old);
        self.used += len;
        if usage == BufferUse::InProgress {
            self.in_progress += len;
        }
    }

    /// Removes a buffer.
    pub fn remove(&mut self, key: BufferKey) {
        if let Some(buffer) = self.buffers.remove(key) {
            self.subtract(buffer);
        }
    }

    /// Whether a request of `len` bytes may start.
    #[must_use]
    pub fn admits(&self, len: usize) -> bool {
        len <= self.limit.saturating_sub(self.in_progress) / MIN_LARGEST_BODIES
    }

    /// Returns the buffer to release next: while the limit is exceeded, the largest one that waits for its
    /// client; among equal ones the one that has not changed for longest.
    #[must_use]
    pub fn next_release(&self) -> Option<BufferKey> {
        if self.used <= self.limit {
            return None;
        }
        let releasable =
            self.buffers.iter().filter(|it| it.1.usage == BufferUse::AwaitsClient && it.1.len > 0);
        releasable.min_by_key(|it| (std::cmp::Reverse(it.1.len), it.1.changed_at)).map(|it| it.0)
    }

    fn subtract(&mut self, buffer: Buffer) {
        self.used -= buffer.len;
        if buffer.usage == BufferUse::InProgress {
            self.in_progress -= buffer.len;
        }
    }
}
