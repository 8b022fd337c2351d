//! The budget of extra sends to a service, shared by all instances without messages.
//!
//! Load pattern: a service becomes slow or fails, and every request of every instance wants a
//! second replica at once. The whole system may add only a share of the requests plus a fixed
//! allowance in any window. An instance earns the share by its own requests, which follow the
//! load wherever the balancer puts it, and takes its part of the allowance
//! ([`Membership`](crate::forward::Membership)).

use std::{collections::VecDeque, time::Duration};

use rosemarybank_protocol::prelude::*;

/// Slices of a window. The oldest slice is still counted, so that a window that starts anywhere
/// inside a slice is covered.
const SLICES: u32 = 40;

/// Share of the budget that is used. The rest covers requests that are counted in another window
/// here than at the replica, by the time that a request and its extra send take.
const USED_SHARE: f32 = 0.85;

/// Share of the used budget that hedges leave to retries, because a retry follows a failure and a
/// hedge only a suspicion.
const RETRY_RESERVE: f32 = 0.25;

/// The agreed budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Extra sends for each request.
    pub ratio: f32,
    /// Extra sends in a window that need no request, of all instances together.
    pub allowance: f32,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and extra sends of one service within the last window.
#[derive(Clone, Debug, Default)]
pub struct Account {
    slices: VecDeque<Slice>,
    requests: u32,
    extras: u32,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    extras: u32,
}

impl Account {
    /// Counts a request for the service.
    pub fn add_request(&mut self, now: Time, budget: &Budget) {
        self.slice(now, budget).requests += 1;
        self.requests += 1;
    }

    /// Counts an extra send that needs no permission.
    pub fn add_extra(&mut self, now: Time, budget: &Budget) {
        self.slice(now, budget).extras += 1;
        self.extras += 1;
    }

    /// Whether a hedge fits into the part of the budget that hedges may use, with this share of the
    /// allowance.
    pub fn allows_hedge(&mut self, now: Time, budget: &Budget, share: f32) -> bool {
        self.allows(now, budget, share, 1.0 - RETRY_RESERVE)
    }

    /// Whether a retry fits into the budget with this share of the allowance.
    pub fn allows_retry(&mut self, now: Time, budget: &Budget, share: f32) -> bool {
        self.allows(now, budget, share, 1.0)
    }

    fn allows(&mut self, now: Time, budget: &Budget, share: f32, usable: f32) -> bool {
        self.expire(now, budget);
        let earned = self.requests as f32 * budget.ratio;
        let part = budget.allowance * share;
        (self.extras + 1) as f32 <= (earned + part) * USED_SHARE * usable
    }

    fn slice(&mut self, now: Time, budget: &Budget) -> &mut Slice {
        let number = self.expire(now, budget);
        if self.slices.back().is_none_or(|it| it.number != number) {
            self.slices.push_back(Slice { number, requests: 0, extras: 0 });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    /// Drops slices that lie wholly before the window, and returns the number of the current one.
    fn expire(&mut self, now: Time, budget: &Budget) -> u64 {
        let length = (budget.window / SLICES).max(Duration::from_millis(1));
        let number = (now.as_nanos() / length.as_nanos()) as u64;
        while let Some(first) = self.slices.front()
            && first.number + u64::from(SLICES) < number
        {
            self.requests -= first.requests;
            self.extras -= first.extras;
            self.slices.pop_front();
        }
        number
    }
}
