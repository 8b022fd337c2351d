//! The daemon's time: monotonic since the start, and its relation to the wall clock.

use std::time::{Duration, Instant, SystemTime};

use rosemarybank_protocol::id::Time;

/// Converts between [`Time`], [`Instant`] and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix_ms_at_zero: u64,
}

impl Clock {
    /// Starts a clock at time zero.
    #[must_use]
    pub fn start() -> Clock {
        Clock { origin: Instant::now(), unix_ms_at_zero: unix_ms() }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// The instant at which the clock shows `time`.
    #[must_use]
    pub fn instant_at(&self, time: Time) -> Instant {
        // A time that no instant can express lies centuries ahead.
        self.origin.checked_add(time).unwrap_or_else(|| self.origin + Duration::from_secs(1 << 32))
    }

    /// Wall-clock time at time zero, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms_at_zero(&self) -> u64 {
        self.unix_ms_at_zero
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
