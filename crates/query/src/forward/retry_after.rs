//! Spreads the `Retry-After` times of refused clients.
//!
//! Load pattern: a service loses its replicas or is full, and many clients are refused at the same
//! moment. With the same `Retry-After` they would all return at once and be refused again (a
//! thundering herd). Each client therefore gets a time of its own: the first one when the service
//! is expected to be available, the others at the rate at which the service replies. Clients with a
//! more urgent rank are not queued behind less urgent ones.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;
use smallvec::SmallVec;

/// Weight of a new sample in the mean reply interval.
const INTERVAL_WEIGHT: f32 = 0.1;

/// Reply interval before the first sample, and upper limit of a sample: an instance that rarely
/// gets a reply knows little about the service.
const MAX_REPLY_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum `Retry-After`. Clients spend part of their remaining time waiting, and the service may
/// recover earlier than expected.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Period over which clients return at least when the service becomes available later than that.
const MIN_SPREAD: Duration = Duration::from_millis(400);

/// Schedule of the times at which refused clients of one service return.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_query::forward::RetryAfterSchedule;
///
/// let (now, available_at) = (Duration::from_secs(1), Duration::from_millis(1_100));
/// let mut schedule = RetryAfterSchedule::default();
/// assert_eq!(schedule.next_delay(now, 1, available_at), Duration::from_millis(100));
/// assert_eq!(schedule.next_delay(now, 1, available_at), Duration::from_millis(150));
/// // A more urgent client does not wait behind the others.
/// assert_eq!(schedule.next_delay(now, 0, available_at), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryAfterSchedule {
    /// Next free time of each rank with refused clients.
    next_free: SmallVec<[(u32, Time); 3]>,
    /// Moving average of the time between two replies of the service.
    reply_interval: Option<Duration>,
    last_reply_at: Option<Time>,
}

impl RetryAfterSchedule {
    /// Records a reply of the service.
    pub fn record_reply(&mut self, now: Time) {
        if let Some(before) = self.last_reply_at.replace(now) {
            let sample = now.saturating_sub(before).min(MAX_REPLY_INTERVAL);
            let interval = self.reply_interval.unwrap_or(sample);
            self.reply_interval =
                Some(interval.mul_f32(1.0 - INTERVAL_WEIGHT) + sample.mul_f32(INTERVAL_WEIGHT));
        }
    }

    /// Returns the `Retry-After` of a refused client, given its rank and when the service is
    /// expected to be available.
    pub fn next_delay(&mut self, now: Time, rank: u32, available_at: Time) -> Duration {
        self.next_free.retain(|it| it.1 > now);
        let ahead = self.next_free.iter().filter(|it| it.0 <= rank).map(|it| it.1).max();
        let latest = (now + MAX_RETRY_AFTER).max(available_at + MIN_SPREAD);
        let at = available_at.max(ahead.unwrap_or(Time::ZERO)).max(now).min(latest);
        let after = at + self.reply_interval.unwrap_or(MAX_REPLY_INTERVAL);
        match self.next_free.iter_mut().find(|it| it.0 == rank) {
            Some(it) => it.1 = after,
            None => self.next_free.push((rank, after)),
        }
        at.saturating_sub(now)
    }
}
