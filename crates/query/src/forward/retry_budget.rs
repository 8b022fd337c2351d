//! Retry budget of a service, shared by all instances without coordination messages.
//!
//! Load pattern: a service becomes slow or fails, and every request of every instance asks for an
//! extra attempt at the same time. In any window, extra attempts (retries and hedges) of all
//! instances are limited to a ratio of the requests plus a fixed allowance. The ratio applies to
//! the requests of the instance itself, so it follows the load wherever the load balancer sends it.
//! The allowance is divided among the instances (see [`Membership`](crate::forward::Membership)).

use std::{collections::VecDeque, time::Duration};

use rosemarybank_protocol::prelude::*;

/// Number of time slices in a window.
const SLICES_PER_WINDOW: usize = 40;

/// Number of slices that are kept. Two windows, because the requests of the previous window also
/// count, and one more, because the oldest slice is counted as a whole although a window may start
/// inside it.
const KEPT_SLICES: usize = 2 * SLICES_PER_WINDOW + 1;

/// How many slices earlier the windows start whose requests are counted for a window: the window
/// itself, the one half a window earlier, and the previous one. The ratio applies to the one with
/// the most requests.
const EARLIER_OFFSETS: [usize; 3] = [0, SLICES_PER_WINDOW / 2, SLICES_PER_WINDOW];

/// Fraction of the budget that is used. The rest covers requests that fall into different windows
/// here and at the replica, because a request and its extra attempt take time.
const USABLE_FRACTION: f32 = 0.85;

/// Fraction of the usable budget that is reserved for retries. A retry follows an actual failure,
/// whereas a hedge only follows a late reply.
const RETRY_RESERVE_FRACTION: f32 = 0.25;

/// Limit on extra attempts in a time window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Extra attempts per request.
    pub ratio: f32,
    /// Extra attempts of all instances per window in addition to those of the ratio.
    pub allowance: f32,
    /// Length of the window.
    pub window: Duration,
}

/// Tracks the requests and extra attempts of one service in the last two windows.
#[derive(Clone, Debug, Default)]
pub struct BudgetTracker {
    slices: VecDeque<Slice>,
    /// Length of the slices, by which they are numbered.
    slice_len: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    index: u64,
    requests: u32,
    extras: u32,
}

impl BudgetTracker {
    /// Records a request to the service.
    pub fn add_request(&mut self, now: Time, budget: &RetryBudget) {
        self.current_slice(now, budget).requests += 1;
    }

    /// Records an extra attempt. Does not check the budget.
    pub fn add_extra_attempt(&mut self, now: Time, budget: &RetryBudget) {
        self.current_slice(now, budget).extras += 1;
    }

    /// Whether the budget for hedges permits one more, given this instance's share of the
    /// allowance.
    pub fn allows_hedge(&mut self, now: Time, budget: &RetryBudget, share: f32) -> bool {
        self.allows(now, budget, share, 1.0 - RETRY_RESERVE_FRACTION)
    }

    /// Whether the budget permits one more retry, given this instance's share of the allowance.
    pub fn allows_retry(&mut self, now: Time, budget: &RetryBudget, share: f32) -> bool {
        self.allows(now, budget, share, 1.0)
    }

    /// Whether one more extra attempt keeps every window that will contain it within the budget,
    /// even without further requests. The extra attempts in a window that starts after a burst are
    /// covered by the requests of that burst.
    fn allows(&mut self, now: Time, budget: &RetryBudget, share: f32, fraction: f32) -> bool {
        let current = self.expire_slices(now, budget);
        let allowance = budget.allowance * share;
        // Prefix sums: the counts before each kept slice, of which the last one is the current
        // slice.
        let (mut requests, mut extras) = ([0_u32; KEPT_SLICES + 1], [0_u32; KEPT_SLICES + 1]);
        for it in &self.slices {
            let index = KEPT_SLICES - 1 - (current - it.index) as usize;
            (requests[index + 1], extras[index + 1]) = (it.requests, it.extras);
        }
        for index in 0..KEPT_SLICES {
            requests[index + 1] += requests[index];
            extras[index + 1] += extras[index];
        }
        let first = KEPT_SLICES - SLICES_PER_WINDOW - 1;
        (first..KEPT_SLICES).all(|start| {
            // The window that ends now is limited by its own requests only.
            let earlier = if start == first { &EARLIER_OFFSETS[..1] } else { &EARLIER_OFFSETS[..] };
            let earned = earlier.iter().filter_map(|offset| {
                // The window may start at the end of its first slice.
                let start = (start + 1).checked_sub(*offset)?;
                Some(requests[(start + SLICES_PER_WINDOW).min(KEPT_SLICES)] - requests[start])
            });
            let earned = earned.max().unwrap_or(0) as f32 * budget.ratio;
            let extras = extras[KEPT_SLICES] - extras[start] + 1;
            extras as f32 <= (earned + allowance) * USABLE_FRACTION * fraction
        })
    }

    fn current_slice(&mut self, now: Time, budget: &RetryBudget) -> &mut Slice {
        let index = self.expire_slices(now, budget);
        if self.slices.back().is_none_or(|it| it.index != index) {
            self.slices.push_back(Slice { index, requests: 0, extras: 0 });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    /// Drops expired slices and returns the index of the current one.
    fn expire_slices(&mut self, now: Time, budget: &RetryBudget) -> u64 {
        let len = (budget.window / SLICES_PER_WINDOW as u32).max(Duration::from_millis(1));
        if len != self.slice_len {
            self.renumber_slices(now, len);
        }
        let index = slice_index(now, len);
        while let Some(first) = self.slices.front()
            && first.index + (KEPT_SLICES as u64) <= index
        {
            self.slices.pop_front();
        }
        index
    }

    /// Numbers the slices by a new length. What one of them counted may have happened up to its end.
    fn renumber_slices(&mut self, now: Time, len: Duration) {
        let old_len = std::mem::replace(&mut self.slice_len, len);
        for old in std::mem::take(&mut self.slices) {
            let end = old_len.as_nanos().saturating_mul(u128::from(old.index) + 1);
            let latest = end.saturating_sub(1).min(now.as_nanos());
            let index = (latest / len.as_nanos()) as u64;
            match self.slices.back_mut().filter(|it| it.index == index) {
                Some(last) => {
                    last.requests += old.requests;
                    last.extras += old.extras;
                }
                None => self.slices.push_back(Slice { index, ..old }),
            }
        }
    }
}

/// Number of the slice at a time.
fn slice_index(now: Time, len: Duration) -> u64 {
    (now.as_nanos() / len.as_nanos()) as u64
}
