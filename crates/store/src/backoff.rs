//! Delays between attempts.

use std::time::Duration;

/// Exponential delays with jitter.
///
/// Each delay lies between half and the whole of a bound that doubles up to a cap, so that
/// instances that failed together do not come back together.
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
    bound: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Builds the delays from the first bound, the cap of all bounds and the seed of the jitter.
    #[must_use]
    pub fn new(base: Duration, cap: Duration, seed: u64) -> Backoff {
        let base = base.min(cap);
        Backoff { base, cap, bound: base, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound;
        self.bound = bound.saturating_mul(2).min(self.cap);
        bound.mul_f64(0.5 + 0.5 * self.rng.f64())
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.bound = self.base;
    }
}
