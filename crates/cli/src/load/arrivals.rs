use std::time::Duration;

use fastrand::Rng;

/// Iterator over the arrivals of a Poisson process, as offsets from its start. A seed always gives
/// the same arrivals, so that runs can be compared.
#[derive(Debug)]
pub(crate) struct Arrivals {
    rng: Rng,
    mean_gap: f64,
    elapsed: f64,
    end: f64,
    remaining: u64,
}

impl Arrivals {
    /// Creates arrivals at `rate` per second, up to `duration` and at most `count`.
    pub(crate) fn new(rate: f64, duration: Duration, count: u64, seed: u64) -> Arrivals {
        let end = duration.as_secs_f64();
        Arrivals {
            rng: Rng::with_seed(seed),
            mean_gap: 1.0 / rate,
            elapsed: 0.0,
            end,
            remaining: count,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // `1 - f64()` is in (0, 1], so its logarithm is finite.
        self.elapsed -= (1.0 - self.rng.f64()).ln() * self.mean_gap;
        if self.remaining == 0 || self.elapsed >= self.end {
            self.remaining = 0;
            return None;
        }
        self.remaining -= 1;
        Some(Duration::from_secs_f64(self.elapsed))
    }
}
