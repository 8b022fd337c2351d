//! An instance's share of the allowance of the retry budget.
//!
//! Load pattern: instances are added, replaced, stopped or cut off from the store while a failure
//! makes every instance ask for extra attempts. No coordinator assigns the shares. Each instance
//! divides the allowance by the number of instances on its last list, and that number lags behind.
//! A full share is therefore held like a lease: it expires when the last list is too old, and an
//! instance takes none until all others must have counted it. Without a full share, an instance
//! divides by at least a fixed number, so that instances which have just started or are cut off can
//! still retry.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

/// Age of the last list of instances at which the full share expires. The instance that reads the store
/// lists them every 5 s for all, and another one lists them itself when its list is 11 s old, so several
/// calls may fail.
pub const LEASE: Duration = Duration::from_secs(25);

/// Maximum staleness of a list. The platform documents it only as "seconds".
pub const MAX_STALENESS: Duration = Duration::from_secs(5);

/// Fraction of the allowance that is divided. The rest covers instances that the others do not
/// count yet: a fleet of twelve or more may grow by a third in the time until a new instance takes
/// a full share.
const USABLE_FRACTION: f32 = 0.8;

/// Minimum divisor of an instance without a full share. A small fleet can grow by a larger fraction
/// at once; four new instances use up the rest.
const MIN_DIVISOR: u32 = 16;

/// Tracks how many instances share the allowance of the retry budget.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_query::forward::Membership;
///
/// let mut membership = Membership::new(Duration::from_secs(10));
/// membership.record_list(Duration::ZERO, 4, true);
/// assert_eq!(membership.share(Duration::from_secs(1)), 0.05);
/// membership.record_list(Duration::from_secs(60), 4, true);
/// assert_eq!(membership.share(Duration::from_secs(61)), 0.2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// Length of the window of the retry budget.
    window: Duration,
    /// When the first list that contains this instance was requested.
    first_listed_at: Option<Time>,
    /// When the last list was requested.
    last_list_at: Option<Time>,
    /// Number of instances to divide by.
    count: u32,
    /// A lower count and when the first list with it was requested. Not used at once, because the
    /// extra attempts of an instance that left remain in the window.
    lower: Option<(u32, Time)>,
    has_left: bool,
}

impl Membership {
    /// Creates a membership without any list.
    #[must_use]
    pub fn new(window: Duration) -> Membership {
        Membership {
            window,
            first_listed_at: None,
            last_list_at: None,
            count: 0,
            lower: None,
            has_left: false,
        }
    }

    /// Changes the length of the window.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Records a list that was requested at `requested_at`, with the number of instances on it and
    /// whether it contains this one.
    pub fn record_list(&mut self, requested_at: Time, count: u32, is_listed: bool) {
        let count = count.max(1);
        self.last_list_at = Some(requested_at);
        if is_listed && self.first_listed_at.is_none() {
            self.first_listed_at = Some(requested_at);
        }
        if count >= self.count {
            (self.count, self.lower) = (count, None);
            return;
        }
        let (lower, since) = self.lower.unwrap_or((count, requested_at));
        let lower = lower.max(count);
        self.lower = Some((lower, since));
        if requested_at >= since + self.window + MAX_STALENESS {
            (self.count, self.lower) = (lower, None);
        }
    }

    /// Gives up the full share because the instance is shutting down; the other instances may soon
    /// divide by a lower number.
    pub fn leave(&mut self) {
        self.has_left = true;
    }

    /// Returns the fraction of the allowance that may be used now.
    #[must_use]
    pub fn share(&self, now: Time) -> f32 {
        let is_counted =
            self.first_listed_at.is_some_and(|it| now >= it + LEASE + MAX_STALENESS + self.window);
        let is_fresh = self.last_list_at.is_some_and(|it| now < it + LEASE);
        if is_counted && is_fresh && !self.has_left {
            USABLE_FRACTION / self.count as f32
        } else {
            USABLE_FRACTION / self.count.max(MIN_DIVISOR) as f32
        }
    }
}
