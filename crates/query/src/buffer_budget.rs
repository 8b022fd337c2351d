//! Shares the memory for the requests and answers of clients.
//!
//! Load pattern: many clients send large bodies at once, stop just short of their end and stay open, or
//! do not read their answers. The largest buffer that waits for its client is released first, so that
//! ordinary clients, whose requests are small, are still served. Requests in progress are never released,
//! because they may have run. Instead, a request may use at most half of what those in progress leave free:
//! large requests are refused first, and small ones are served until the budget is nearly used up.

use std::{cmp::Reverse, collections::BTreeSet};

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
    /// It waits for its peer, as a request that a client sends or an answer that it reads does. It can be
    /// released at any time.
    Releasable,
    /// It is needed until its owner is done, as a request in progress is.
    Held,
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
/// budget.update(small, now, BufferUse::Releasable, 10);
/// let large = budget.insert(now);
/// budget.update(large, now, BufferUse::Releasable, 995);
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
    /// Sum of the buffers that are held.
    held: usize,
    buffers: SlotMap<BufferKey, Buffer>,
    /// The buffers that can be released, in that order.
    release_order: BTreeSet<ReleaseOrder>,
}

/// Place of a buffer in the order of releases: the largest one first, and among equal ones the one that has
/// not changed for longest.
type ReleaseOrder = (Reverse<usize>, Time, BufferKey);

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> BufferBudget {
        BufferBudget {
            limit,
            used: 0,
            held: 0,
            buffers: SlotMap::with_key(),
            release_order: BTreeSet::new(),
        }
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
        let usage = BufferUse::Releasable;
        self.buffers.insert(Buffer { len: 0, usage, changed_at: now })
    }

    /// Changes the use and the length of a buffer.
    pub fn update(&mut self, key: BufferKey, now: Time, usage: BufferUse, len: usize) {
        let Some(buffer) = self.buffers.get_mut(key) else { return };
        if (buffer.usage, buffer.len) == (usage, len) {
            return;
        }
        let new = Buffer { len, usage, changed_at: now };
        let old = std::mem::replace(buffer, new);
        self.subtract(key, old);
        self.used += len;
        if usage == BufferUse::Held {
            self.held += len;
        }
        self.release_order.extend(new.release_order(key));
    }

    /// Removes a buffer.
    pub fn remove(&mut self, key: BufferKey) {
        if let Some(buffer) = self.buffers.remove(key) {
            self.subtract(key, buffer);
        }
    }

    /// Whether a request of `len` bytes may start.
    #[must_use]
    pub fn admits(&self, len: usize) -> bool {
        len <= self.limit.saturating_sub(self.held) / MIN_LARGEST_BODIES
    }

    /// Returns the buffer to release next, while the limit is exceeded and there is one.
    #[must_use]
    pub fn next_release(&self) -> Option<BufferKey> {
        if self.used <= self.limit {
            return None;
        }
        self.release_order.first().map(|it| it.2)
    }

    fn subtract(&mut self, key: BufferKey, buffer: Buffer) {
        self.used -= buffer.len;
        if buffer.usage == BufferUse::Held {
            self.held -= buffer.len;
        }
        if let Some(it) = buffer.release_order(key) {
            self.release_order.remove(&it);
        }
    }
}

impl Buffer {
    /// Place in the order of releases; `None` if it cannot be released or is empty.
    fn release_order(&self, key: BufferKey) -> Option<ReleaseOrder> {
        let is_releasable = self.usage == BufferUse::Releasable && self.len > 0;
        is_releasable.then_some((Reverse(self.len), self.changed_at, key))
    }
}
