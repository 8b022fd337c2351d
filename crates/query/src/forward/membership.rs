//! The part of a shared allowance that an instance may use.
//!
//! Load pattern: instances are added, replaced, stopped or cut off from the store while a failure
//! makes every instance want extra sends. Nobody hands out the allowance; each instance divides it
//! by the number of instances that it knows, and that number lags. So a full part is held like a
//! lease: it lapses when the last list of instances is too old, and an instance takes none before
//! all others must have counted it. Without a full part it divides by at least a fixed number: those
//! that have just started or are cut off should still be able to retry.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

/// Age of the last list of instances at which the part lapses. Lists are read every 10 s; the rest
/// covers two failed reads.
pub const LEASE: Duration = Duration::from_secs(25);

/// Greatest age of a list that may be stale. The platform speaks of seconds.
pub const MAX_STALE: Duration = Duration::from_secs(5);

/// Share of the allowance that is divided. The rest covers instances that others do not count yet:
/// a fleet of twelve or more may grow by a third within the time that a full part takes.
const DIVIDED: f32 = 0.8;

/// Fewest instances by which an instance without a full part divides. Small fleets change by a
/// larger share at once: four newcomers use up the rest.
const LEAST_COUNT: u32 = 16;

/// What an instance knows of the instances that share an allowance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_query::forward::Membership;
///
/// let mut membership = Membership::new(Duration::from_secs(10));
/// membership.looked(Duration::ZERO, 4, true);
/// assert_eq!(membership.share(Duration::from_secs(1)), 0.05);
/// membership.looked(Duration::from_secs(60), 4, true);
/// assert_eq!(membership.share(Duration::from_secs(61)), 0.2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// Length of the window in which the allowance is spent.
    window: Duration,
    /// Time of the first list that names this instance.
    joined: Option<Time>,
    /// Time of the last list.
    looked: Option<Time>,
    /// Number of instances to divide by.
    count: u32,
    /// A lower number and the time of the first list that had it. Extra sends of an instance that
    /// left stay in the window for a while.
    lower: Option<(u32, Time)>,
    has_left: bool,
}

impl Membership {
    /// Has seen no list yet.
    #[must_use]
    pub fn new(window: Duration) -> Membership {
        Membership { window, joined: None, looked: None, count: 0, lower: None, has_left: false }
    }

    /// Takes over another length of the window.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Takes a list that was asked for at a time: the number of instances on it, and whether this
    /// one is among them.
    pub fn looked(&mut self, at: Time, count: u32, is_listed: bool) {
        let count = count.max(1);
        self.looked = Some(at);
        if is_listed && self.joined.is_none() {
            self.joined = Some(at);
        }
        if count >= self.count {
            (self.count, self.lower) = (count, None);
            return;
        }
        let (lower, since) = self.lower.unwrap_or((count, at));
        let lower = lower.max(count);
        self.lower = Some((lower, since));
        if at >= since + self.window + MAX_STALE {
            (self.count, self.lower) = (lower, None);
        }
    }

    /// The instance stops and gives up its full part: others may divide by a lower number soon.
    pub fn leave(&mut self) {
        self.has_left = true;
    }

    /// Part of the allowance that may be used now.
    #[must_use]
    pub fn share(&self, now: Time) -> f32 {
        let is_counted = self.joined.is_some_and(|it| now >= it + LEASE + MAX_STALE + self.window);
        let is_fresh = self.looked.is_some_and(|it| now < it + LEASE);
        if is_counted && is_fresh && !self.has_left {
            DIVIDED / self.count as f32
        } else {
            DIVIDED / self.count.max(LEAST_COUNT) as f32
        }
    }
}
