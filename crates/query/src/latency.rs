//! Latency quantiles of an upstream.

use std::time::Duration;

/// Buckets per doubling; each is 9% wider than the one before.
const PER_OCTAVE: f32 = 8.0;

/// Lower end of the first bucket in microseconds.
const LOWEST_US: f32 = 64.0;

/// Sixteen octaves reach from 64 µs to 4 s.
const BUCKETS: usize = 128;

/// The counts are halved at this total, so that the quantiles follow the last few hundred samples.
const WINDOW: f32 = 1024.0;

/// Samples between two computations of the quantiles.
const REFRESH: u32 = 32;

/// A decaying histogram with cached quantiles.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    counts: [f32; BUCKETS],
    total: f32,
    stale: u32,
    median_us: f32,
    high_us: f32,
}

impl Latency {
    pub(crate) const fn new() -> Latency {
        Latency { counts: [0.0; BUCKETS], total: 0.0, stale: 0, median_us: 0.0, high_us: 0.0 }
    }

    /// Records a latency in microseconds; `high` is the quantile that [`Latency::high_us`] tracks.
    pub(crate) fn record(&mut self, us: f32, high: f32) {
        self.counts[bucket(us)] += 1.0;
        self.total += 1.0;
        self.stale += 1;
        let is_young = self.total < REFRESH as f32;
        if is_young || self.stale >= REFRESH {
            self.stale = 0;
            self.median_us = self.quantile(0.5);
            self.high_us = self.quantile(high);
        }
        if self.total >= WINDOW {
            self.counts.iter_mut().for_each(|it| *it *= 0.5);
            self.total *= 0.5;
        }
    }

    /// Median in microseconds; `None` before the first sample.
    pub(crate) fn median_us(&self) -> Option<f32> {
        (self.total > 0.0).then_some(self.median_us)
    }

    /// The tracked high quantile in microseconds; `None` before eight samples.
    pub(crate) fn high_us(&self) -> Option<f32> {
        (self.total >= 8.0).then_some(self.high_us)
    }

    fn quantile(&self, q: f32) -> f32 {
        let wanted = self.total * q;
        let mut seen = 0.0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return upper_us(index);
            }
        }
        upper_us(BUCKETS - 1)
    }
}

/// Microseconds of a duration.
pub(crate) fn micros(duration: Duration) -> f32 {
    duration.as_secs_f32() * 1e6
}

/// Duration of some microseconds.
pub(crate) fn from_micros(us: f32) -> Duration {
    Duration::from_nanos((us * 1e3) as u64)
}

fn bucket(us: f32) -> usize {
    let octaves = (us / LOWEST_US).max(1.0).log2();
    ((octaves * PER_OCTAVE) as usize).min(BUCKETS - 1)
}

fn upper_us(index: usize) -> f32 {
    LOWEST_US * ((index + 1) as f32 / PER_OCTAVE).exp2()
}
