//! The order in which parts that wait for a replica get one.
//!
//! Load pattern: a burst asks for more than an instance may have in flight, for a short time. The
//! most urgent route goes first, and among equals the one that has waited longest. A turn in eight
//! goes to the longest wait whatever its rank, so that a lasting load of urgent requests starves
//! nobody. New requests do not pass those that wait.

use rosemarybank_protocol::prelude::*;

use crate::forward::interface::RequestKey;

/// One turn in so many goes to the longest wait.
const FAIR_TURN: u32 = 8;

/// A part that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Rank of its route; 0 is the most urgent.
    pub rank: u32,
    /// Time at which it began to wait.
    pub since: Time,
    /// Its request.
    pub request: RequestKey,
    /// Index of the part.
    pub part: usize,
}

/// Parts that wait for a replica of one service.
#[derive(Clone, Debug, Default)]
pub struct Waiting {
    queue: Vec<Waiter>,
    /// Turns so far.
    turns: u32,
}

impl Waiting {
    /// Adds a part, unless it waits already.
    pub fn push(&mut self, waiter: Waiter) {
        if !self.queue.iter().any(|it| (it.request, it.part) == (waiter.request, waiter.part)) {
            self.queue.push(waiter);
        }
    }

    /// Removes a part that waits no longer.
    pub fn remove(&mut self, request: RequestKey, part: usize) {
        self.queue.retain(|it| (it.request, it.part) != (request, part));
    }

    /// Removes a part that got a replica.
    pub fn served(&mut self, request: RequestKey, part: usize) {
        self.remove(request, part);
        self.turns = self.turns.wrapping_add(1);
    }

    /// Whether a new request of this rank has to wait behind another.
    #[must_use]
    pub fn is_ahead_of(&self, rank: u32) -> bool {
        self.queue.iter().any(|it| it.rank <= rank)
    }

    /// The part whose turn it is.
    #[must_use]
    pub fn next(&self) -> Option<Waiter> {
        let is_fair_turn = self.turns % FAIR_TURN == FAIR_TURN - 1;
        let order = |it: &&Waiter| (if is_fair_turn { 0 } else { it.rank }, it.since);
        self.queue.iter().min_by_key(order).copied()
    }
}
