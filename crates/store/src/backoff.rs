//! Exponential backoff with jitter.

use std::time::Duration;

/// Delays of an exponential backoff with jitter.
///
/// Each delay is between half and all of an upper bound that doubles up to a cap. The jitter keeps
/// instances that failed at the same time from retrying at the same time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_store::Backoff;
///
/// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(1), 7);
/// assert!(backoff.next_delay() <= Duration::from_millis(100));
/// assert!(backoff.next_delay() <= Duration::from_millis(200));
/// backoff.reset();
/// assert!(backoff.next_delay() <= Duration::from_millis(100));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    upper_bound: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff with `base` as its first upper bound and `cap` as its largest. `seed` seeds
    /// the jitter.
    #[must_use]
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Backoff {
        let base = base.min(cap);
        Backoff { base, cap, upper_bound: base, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the next delay and doubles the upper bound.
    pub fn next_delay(&mut self) -> Duration {
        let upper_bound = self.upper_bound;
        self.upper_bound = upper_bound.saturating_mul(2).min(self.cap);
        upper_bound.mul_f64(0.5 + 0.5 * self.rng.f64())
    }

    /// Resets the upper bound to the base; called after a success.
    pub fn reset(&mut self) {
        self.upper_bound = self.base;
    }
}
