//! The budget of extra sends to a service, shared by all instances without messages.
//!
//! Load pattern: a service becomes slow or fails, and every request of every instance wants a
//! second replica at once. The whole system may add only a share of the requests plus a fixed
//! allowance in any window. An instance earns the share by its own requests, which follow the
//! load wherever the balancer puts it, and takes its part of the allowance
//! ([`Membership`](crate::forward::Membership)).

use std::{collections::VecDeque, time::Duration};

use rosemarybank_protocol::prelude::*;

/// Slices of a window.
const SLICES: usize = 40;

/// Slices that are kept: two windows, because the requests of the one before count as well, and the
/// oldest slice is counted whole though a window may start inside it.
const KEPT: usize = 2 * SLICES + 1;

/// Windows whose requests count for the extra sends of a window, in slices before its start: the
/// window itself, the one half a window before it, and the one before it. The greatest counts.
const EARLIER: [usize; 3] = [0, SLICES / 2, SLICES];

/// Share of the budget that is used. The rest covers requests that are counted in another window
/// here than at the replica, by the time that a request and its extra send take.
const USED_SHARE: f32 = 0.85;

/// Share of the used budget that hedges leave to retries, because a retry follows a failure and a
/// hedge only a suspicion.
const RETRY_RESERVE: f32 = 0.25;

/// The agreed budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Extra sends for each request.
    pub ratio: f32,
    /// Extra sends in a window that need no request, of all instances together.
    pub allowance: f32,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and extra sends of one service within the last two windows.
#[derive(Clone, Debug, Default)]
pub struct Account {
    slices: VecDeque<Slice>,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    extras: u32,
}

impl Account {
    /// Counts a request for the service.
    pub fn add_request(&mut self, now: Time, budget: &RetryBudget) {
        self.slice(now, budget).requests += 1;
    }

    /// Counts an extra send that needs no permission.
    pub fn add_extra(&mut self, now: Time, budget: &RetryBudget) {
        self.slice(now, budget).extras += 1;
    }

    /// Whether a hedge fits into the part of the budget that hedges may use, with this share of the
    /// allowance.
    pub fn allows_hedge(&mut self, now: Time, budget: &RetryBudget, share: f32) -> bool {
        self.allows(now, budget, share, 1.0 - RETRY_RESERVE)
    }

    /// Whether a retry fits into the budget with this share of the allowance.
    pub fn allows_retry(&mut self, now: Time, budget: &RetryBudget, share: f32) -> bool {
        self.allows(now, budget, share, 1.0)
    }

    /// Whether one more extra send keeps the budget in every window that will contain it, even if
    /// no further request comes. A window that begins after a burst contains extra sends which the
    /// requests of the burst have earned.
    fn allows(&mut self, now: Time, budget: &RetryBudget, share: f32, usable: f32) -> bool {
        let current = self.expire(now, budget);
        let part = budget.allowance * share;
        // Counts before each kept slice; the last one is the current slice.
        let (mut requests, mut extras) = ([0_u32; KEPT + 1], [0_u32; KEPT + 1]);
        for it in &self.slices {
            let index = KEPT - 1 - (current - it.number) as usize;
            (requests[index + 1], extras[index + 1]) = (it.requests, it.extras);
        }
        for index in 0..KEPT {
            requests[index + 1] += requests[index];
            extras[index + 1] += extras[index];
        }
        let first = KEPT - SLICES - 1;
        (first..KEPT).all(|start| {
            // The window that ends now rests on its own requests alone.
            let earlier = if start == first { &EARLIER[..1] } else { &EARLIER[..] };
            let earned = earlier.iter().filter_map(|back| {
                // The window may begin at the end of its first slice.
                let start = (start + 1).checked_sub(*back)?;
                Some(requests[(start + SLICES).min(KEPT)] - requests[start])
            });
            let earned = earned.max().unwrap_or(0) as f32 * budget.ratio;
            let extras = extras[KEPT] - extras[start] + 1;
            extras as f32 <= (earned + part) * USED_SHARE * usable
        })
    }

    fn slice(&mut self, now: Time, budget: &RetryBudget) -> &mut Slice {
        let number = self.expire(now, budget);
        if self.slices.back().is_none_or(|it| it.number != number) {
            self.slices.push_back(Slice { number, requests: 0, extras: 0 });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    /// Drops slices that are not kept any more, and returns the number of the current one.
    fn expire(&mut self, now: Time, budget: &RetryBudget) -> u64 {
        let length = (budget.window / SLICES as u32).max(Duration::from_millis(1));
        let number = (now.as_nanos() / length.as_nanos()) as u64;
        while let Some(first) = self.slices.front()
            && first.number + (KEPT as u64) <= number
        {
            self.slices.pop_front();
        }
        number
    }
}
