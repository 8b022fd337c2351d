//! When a refused client should come back.
//!
//! Load pattern: a service loses its replicas or is full, and many clients are refused at the same
//! moment. Told the same time, they would come back as a herd and be refused again. So each is
//! told a time of its own: the service should have room again by the first one, and the others
//! follow at the pace at which the service answers. More urgent ranks are not put behind less
//! urgent ones.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;
use smallvec::SmallVec;

/// Weight of a new sample in the pace.
const PACE_WEIGHT: f32 = 0.1;

/// Pace before it is measured, and the slowest that is assumed: an instance that gets one answer
/// in a long time says little of the service.
const SLOWEST_PACE: Duration = Duration::from_millis(50);

/// Longest time that is named. Clients wait for a part of the time that they have left, and the
/// service may be back earlier than expected.
const LONGEST: Duration = Duration::from_secs(2);

/// The times that refused clients of one service were told.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_query::forward::Returns;
///
/// let (now, room_at) = (Duration::from_secs(1), Duration::from_millis(1_100));
/// let mut returns = Returns::default();
/// assert_eq!(returns.next(now, 1, room_at), Duration::from_millis(100));
/// assert_eq!(returns.next(now, 1, room_at), Duration::from_millis(150));
/// // A more urgent client does not wait behind the others.
/// assert_eq!(returns.next(now, 0, room_at), Duration::from_millis(100));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Next free time of each rank that was refused.
    next: SmallVec<[(u32, Time); 3]>,
    /// Mean time between two answers of the service.
    pace: Option<Duration>,
    answered: Option<Time>,
}

impl Returns {
    /// Notes an answer of the service.
    pub fn note_answer(&mut self, now: Time) {
        if let Some(before) = self.answered.replace(now) {
            let sample = now.saturating_sub(before).min(SLOWEST_PACE);
            let pace = self.pace.unwrap_or(sample);
            self.pace = Some(pace.mul_f32(1.0 - PACE_WEIGHT) + sample.mul_f32(PACE_WEIGHT));
        }
    }

    /// Time after which a refused client of a rank should return, when room is expected at a time.
    pub fn next(&mut self, now: Time, rank: u32, room_at: Time) -> Duration {
        self.next.retain(|it| it.1 > now);
        let ahead = self.next.iter().filter(|it| it.0 <= rank).map(|it| it.1).max();
        let at = room_at.max(ahead.unwrap_or(Time::ZERO)).max(now).min(now + LONGEST);
        let after = at + self.pace.unwrap_or(SLOWEST_PACE);
        match self.next.iter_mut().find(|it| it.0 == rank) {
            Some(it) => it.1 = after,
            None => self.next.push((rank, after)),
        }
        at.saturating_sub(now)
    }
}
