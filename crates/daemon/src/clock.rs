//! Monotonic time since the start of the process, and its offset to the wall clock.

use std::time::{Duration, Instant, SystemTime};

use rosemarybank_protocol::id::Time;

/// Monotonic clock that converts [`Time`] to [`Instant`] and records the wall-clock time of its
/// start.
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

    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.origin.elapsed()
    }

    /// Converts a time of this clock to an [`Instant`].
    #[must_use]
    pub fn instant_at(&self, time: Time) -> Instant {
        // A time that is too large for an `Instant` is mapped to 136 years after the start.
        self.origin.checked_add(time).unwrap_or_else(|| self.origin + Duration::from_secs(1 << 32))
    }

    /// Returns the wall-clock time of the clock's start, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms_at_zero(&self) -> u64 {
        self.unix_ms_at_zero
    }
}

/// Returns the current wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
