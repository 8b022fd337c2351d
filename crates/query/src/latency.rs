//! Latency histogram with exponential buckets and decay.

use std::time::Duration;

/// Buckets per doubling of the latency. Each bucket is 9% wider than the one before.
const BUCKETS_PER_OCTAVE: f32 = 8.0;

/// Lower bound of the first bucket in microseconds.
const MIN_US: f32 = 64.0;

/// Sixteen octaves, which span 64 µs to 4 s.
const BUCKETS: usize = 128;

/// Total count at which all counts are halved, so that the quantiles follow the last few hundred
/// samples.
const DECAY_TOTAL: f32 = 1024.0;

/// Samples between two computations of the cached quantiles.
const QUANTILE_REFRESH: u32 = 32;

/// Histogram of recent latencies with cached quantiles.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    counts: [f32; BUCKETS],
    total: f32,
    samples_since_refresh: u32,
    median_us: f32,
    high_quantile_us: f32,
}

impl LatencyHistogram {
    pub(crate) const fn new() -> LatencyHistogram {
        LatencyHistogram {
            counts: [0.0; BUCKETS],
            total: 0.0,
            samples_since_refresh: 0,
            median_us: 0.0,
            high_quantile_us: 0.0,
        }
    }

    /// Records a latency in microseconds. `high` is the quantile that
    /// [`LatencyHistogram::high_quantile_us`] returns.
    pub(crate) fn record(&mut self, us: f32, high: f32) {
        self.counts[bucket_index(us)] += 1.0;
        self.total += 1.0;
        self.samples_since_refresh += 1;
        let has_few_samples = self.total < QUANTILE_REFRESH as f32;
        if has_few_samples || self.samples_since_refresh >= QUANTILE_REFRESH {
            self.samples_since_refresh = 0;
            self.median_us = self.quantile(0.5);
            self.high_quantile_us = self.quantile(high);
        }
        if self.total >= DECAY_TOTAL {
            self.counts.iter_mut().for_each(|it| *it *= 0.5);
            self.total *= 0.5;
        }
    }

    /// Median in microseconds; `None` before the first sample.
    pub(crate) fn median_us(&self) -> Option<f32> {
        (self.total > 0.0).then_some(self.median_us)
    }

    /// The cached high quantile in microseconds; `None` before eight samples.
    pub(crate) fn high_quantile_us(&self) -> Option<f32> {
        (self.total >= 8.0).then_some(self.high_quantile_us)
    }

    fn quantile(&self, q: f32) -> f32 {
        let rank = self.total * q;
        let mut seen = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return bucket_upper_us(index);
            }
        }
        bucket_upper_us(BUCKETS - 1)
    }
}

/// Converts a duration to microseconds.
pub(crate) fn micros(duration: Duration) -> f32 {
    duration.as_secs_f32() * 1e6
}

/// Converts microseconds to a duration.
pub(crate) fn from_micros(us: f32) -> Duration {
    Duration::from_nanos((us * 1e3) as u64)
}

fn bucket_index(us: f32) -> usize {
    let octaves = (us / MIN_US).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

fn bucket_upper_us(index: usize) -> f32 {
    MIN_US * ((index + 1) as f32 / BUCKETS_PER_OCTAVE).exp2()
}
