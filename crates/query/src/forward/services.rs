//! State of a service, and the observed latency of a route.

use std::time::Duration;

use crate::{
    forward::{
        interface::ReplicaKey, retry_after::RetryAfterSchedule, retry_budget::BudgetTracker,
        wait_queue::WaitQueue,
    },
    latency::{LatencyHistogram, from_micros},
};

/// Latency quantile above which an attempt counts as late.
const LATE_QUANTILE: f32 = 0.95;

/// Median latency assumed before the first sample, in microseconds.
const INITIAL_MEDIAN_US: f32 = 10_000.0;

/// Additional latency assumed for each distance before the first sample, in microseconds: one round
/// trip between data centres or regions.
const INITIAL_DISTANCE_US: [f32; 3] = [0.0, 9_000.0, 20_000.0];

/// Minimum late threshold. Shorter delays may be caused by queueing at the instance itself.
const MIN_LATE_THRESHOLD: Duration = Duration::from_millis(15);

/// Factor on the quantile, because slightly longer latencies are within the normal variation.
const LATE_MARGIN_FACTOR: f32 = 1.2;

/// State of a service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) replicas: Vec<ReplicaKey>,
    pub(crate) budget_tracker: BudgetTracker,
    pub(crate) wait_queue: WaitQueue,
    pub(crate) retry_after: RetryAfterSchedule,
    pub(crate) max_connections: u32,
}

/// Distance from the instance to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    /// In the same data centre.
    Local,
    /// In another data centre of the same region.
    Near,
    /// In another region.
    Far,
}

/// Latency distribution of the requests of a route, by distance. All shards of a route do the same
/// work and share the samples, because an instance of a large fleet sends too few requests to each
/// shard.
#[derive(Clone, Debug)]
pub(crate) struct RouteLatency {
    by_distance: [LatencyHistogram; 3],
}

impl Service {
    pub(crate) fn new() -> Service {
        Service {
            replicas: Vec::new(),
            budget_tracker: BudgetTracker::default(),
            wait_queue: WaitQueue::default(),
            retry_after: RetryAfterSchedule::default(),
            max_connections: 1,
        }
    }
}

impl RouteLatency {
    pub(crate) fn new() -> RouteLatency {
        RouteLatency { by_distance: [const { LatencyHistogram::new() }; 3] }
    }

    pub(crate) fn record(&mut self, took_us: f32, distance: Distance) {
        self.by_distance[distance as usize].record(took_us, LATE_QUANTILE);
    }

    /// Returns the median latency in microseconds.
    pub(crate) fn median_us(&self, distance: Distance) -> f32 {
        let local = self.by_distance[Distance::Local as usize].median_us();
        let guess = local.unwrap_or(INITIAL_MEDIAN_US) + INITIAL_DISTANCE_US[distance as usize];
        self.by_distance[distance as usize].median_us().unwrap_or(guess)
    }

    /// Returns how long a request usually takes at most at the distance where that is shortest; an assumed
    /// median while there are too few samples.
    pub(crate) fn usual_duration(&self) -> Duration {
        let quantiles = self.by_distance.iter().filter_map(LatencyHistogram::high_quantile_us);
        from_micros(quantiles.reduce(f32::min).unwrap_or_else(|| self.median_us(Distance::Local)))
    }

    /// Returns the age from which an attempt is late: the scaled quantile, or `max` while there are
    /// too few samples. Limited to `max`, but never below [`MIN_LATE_THRESHOLD`].
    pub(crate) fn late_threshold(&self, distance: Distance, max: Duration) -> Duration {
        let quantile = self.by_distance[distance as usize].high_quantile_us();
        let quantile = quantile.map(|it| from_micros(it * LATE_MARGIN_FACTOR));
        quantile.unwrap_or(max).max(MIN_LATE_THRESHOLD).min(max.max(MIN_LATE_THRESHOLD))
    }
}
