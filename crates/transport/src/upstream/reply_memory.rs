use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Number of bytes of a reply that need no room in the memory for replies. Most replies are smaller, and the
/// requests in flight are limited in number.
const FREE_LEN: usize = 4 << 10;

/// Memory that a growing reply occupies, as a multiple of its length: its buffer doubles when it is full.
const GROWTH_FACTOR: usize = 2;

/// Number of replies of the largest size for which there is room, so that one of them can always be read while
/// there is no other.
const MIN_LARGEST_REPLIES: usize = 2;

/// Memory for the replies in progress of a pool. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct ReplyMemory {
    limit: usize,
    /// Largest reply in bytes.
    max_len: usize,
    used: Arc<AtomicUsize>,
}

/// Memory of one reply, which is returned when this is dropped.
#[derive(Debug)]
pub(super) struct ReplyBuffer {
    memory: ReplyMemory,
    reserved: usize,
}

impl ReplyMemory {
    /// Creates a memory of `limit` bytes for replies of at most `max_len` bytes each.
    pub(super) fn new(limit: usize, max_len: usize) -> ReplyMemory {
        let needed = max_len.saturating_mul(GROWTH_FACTOR * MIN_LARGEST_REPLIES);
        ReplyMemory { limit: limit.max(needed), max_len, used: Arc::default() }
    }

    /// Starts a reply.
    pub(super) fn start(&self) -> ReplyBuffer {
        ReplyBuffer { memory: self.clone(), reserved: 0 }
    }
}

impl ReplyBuffer {
    /// Reserves memory for a reply of `len` bytes in all. Returns whether there is room: a reply may take half of
    /// what the others leave free, so that small ones are read while large ones are given up.
    pub(super) fn reserve(&mut self, len: usize) -> bool {
        let needed = len.saturating_mul(GROWTH_FACTOR);
        if len > self.memory.max_len {
            return false;
        }
        if len <= FREE_LEN || needed <= self.reserved {
            return true;
        }
        let (limit, reserved) = (self.memory.limit, self.reserved);
        let update = |used: usize| {
            let others = used - reserved;
            let has_room = needed <= limit.saturating_sub(others) / MIN_LARGEST_REPLIES;
            has_room.then_some(others + needed)
        };
        let updated = self.memory.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        if updated.is_ok() {
            self.reserved = needed;
        }
        updated.is_ok()
    }
}

impl Drop for ReplyBuffer {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.reserved, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
