use std::time::Duration;

use fastrand::Rng;

/// Times of a Poisson process after its start, in order. They depend only on the seed, so that two
/// runs can be given the same arrivals.
#[derive(Debug)]
pub(crate) struct Arrivals {
    rng: Rng,
    mean_gap: f64,
    at: f64,
    end: f64,
    left: u64,
}

impl Arrivals {
    /// Arrivals at `rate` per second until `duration` or `count` is reached.
    pub(crate) fn new(rate: f64, duration: Duration, count: u64, seed: u64) -> Arrivals {
        let end = duration.as_secs_f64();
        Arrivals { rng: Rng::with_seed(seed), mean_gap: 1.0 / rate, at: 0.0, end, left: count }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // `1 - f64()` lies in (0, 1], so its logarithm is finite.
        self.at -= (1.0 - self.rng.f64()).ln() * self.mean_gap;
        if self.left == 0 || self.at >= self.end {
            self.left = 0;
            return None;
        }
        self.left -= 1;
        Some(Duration::from_secs_f64(self.at))
    }
}
