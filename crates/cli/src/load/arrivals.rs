use std::time::Duration;

use fastrand::Rng;

/// Times of a Poisson process after its start, in order. They depend only on the seed, so that two
/// runs can be given the same arrivals.
#[derive(Debug)]
pub(crate) struct Arrivals {
    rng: Rng,
    mean_gap: f64,
    elapsed: f64,
    end: f64,
    remaining: u64,
}

impl Arrivals {
    /// Arrivals at `rate` per second until `duration` or `count` is reached.
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
        // `1 - f64()` lies in (0, 1], so its logarithm is finite.
        self.elapsed -= (1.0 - self.rng.f64()).ln() * self.mean_gap;
        if self.remaining == 0 || self.elapsed >= self.end {
            self.remaining = 0;
            return None;
        }
        self.remaining -= 1;
        Some(Duration::from_secs_f64(self.elapsed))
    }
}
