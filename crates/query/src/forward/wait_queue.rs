//! Queue of request parts that wait for a replica.
//!
//! Load pattern: a short burst exceeds the number of requests that an instance may have in flight
//! at the replicas of a service. The part with the most urgent rank is served first, and among
//! equal ranks the one that has waited longest. Every eighth turn goes to the longest-waiting part
//! regardless of its rank, so that continuous urgent load starves no other requests. New requests
//! do not overtake queued ones of the same or a more urgent rank.

use rosemarybank_protocol::prelude::*;

use crate::forward::interface::RequestKey;

/// Every n-th turn goes to the longest-waiting part.
const FAIR_TURN_INTERVAL: u32 = 8;

/// A queued part of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Rank of its route; 0 is the most urgent.
    pub rank: u32,
    /// When it was queued.
    pub since: Time,
    /// Key of the request.
    pub request: RequestKey,
    /// Index of the part.
    pub part: usize,
}

/// Queued parts of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    queue: Vec<Waiter>,
    /// Number of parts served so far.
    turns: u32,
}

impl WaitQueue {
    /// Adds a part unless it is already queued.
    pub fn push(&mut self, waiter: Waiter) {
        if !self.queue.iter().any(|it| (it.request, it.part) == (waiter.request, waiter.part)) {
            self.queue.push(waiter);
        }
    }

    /// Removes a part that no longer waits.
    pub fn remove(&mut self, request: RequestKey, part: usize) {
        self.queue.retain(|it| (it.request, it.part) != (request, part));
    }

    /// Removes a part that was assigned to a replica, and counts the turn.
    pub fn remove_served(&mut self, request: RequestKey, part: usize) {
        self.remove(request, part);
        self.turns = self.turns.wrapping_add(1);
    }

    /// Whether a new request of this rank has to wait behind a queued one.
    #[must_use]
    pub fn has_waiter_ahead_of(&self, rank: u32) -> bool {
        self.queue.iter().any(|it| it.rank <= rank)
    }

    /// Returns the part that is served next.
    #[must_use]
    pub fn next(&self) -> Option<Waiter> {
        let is_fair_turn = self.turns % FAIR_TURN_INTERVAL == FAIR_TURN_INTERVAL - 1;
        let order = |it: &&Waiter| (if is_fair_turn { 0 } else { it.rank }, it.since);
        self.queue.iter().min_by_key(order).copied()
    }
}
