//! A service: its replicas, its usual latency and its budget of extra sends.

use std::time::Duration;

use crate::{
    forward::{account::Account, interface::ReplicaKey},
    latency::{Latency, from_micros},
};

/// Quantile of the latency after which an attempt counts as late.
const LATE_QUANTILE: f32 = 0.95;

/// Usual latency before the first sample in microseconds.
const FIRST_USUAL_US: f32 = 10_000.0;

/// What crossing to another data centre adds before it is measured, in microseconds: two ways
/// between regions.
const FIRST_CROSSING_US: f32 = 20_000.0;

/// Least age of a late attempt. Below it, queueing at the instance itself looks like a late reply.
const LEAST_LATE: Duration = Duration::from_millis(15);

/// Slack over the quantile, because a tenth more is still within the usual spread.
const LATE_FACTOR: f32 = 1.2;

/// A service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) replicas: Vec<ReplicaKey>,
    pub(crate) account: Account,
    pub(crate) max_connections: u32,
    near: Latency,
    far: Latency,
}

impl Service {
    pub(crate) fn new() -> Service {
        Service {
            replicas: Vec::new(),
            account: Account::default(),
            max_connections: 1,
            near: Latency::new(),
            far: Latency::new(),
        }
    }

    pub(crate) fn record(&mut self, took_us: f32, is_near: bool) {
        let latency = if is_near { &mut self.near } else { &mut self.far };
        latency.record(took_us, LATE_QUANTILE);
    }

    /// Median latency in microseconds.
    pub(crate) fn usual_us(&self, is_near: bool) -> f32 {
        let near = self.near.median_us();
        match (is_near, self.far.median_us()) {
            (true, _) => near.unwrap_or(FIRST_USUAL_US),
            (false, Some(far)) => far,
            (false, None) => near.unwrap_or(FIRST_USUAL_US) + FIRST_CROSSING_US,
        }
    }

    /// Age from which an attempt is late, at most `cap`.
    pub(crate) fn late_after(&self, is_near: bool, cap: Duration) -> Duration {
        let latency = if is_near { &self.near } else { &self.far };
        let quantile = latency.high_us().map(|it| from_micros(it * LATE_FACTOR));
        quantile.unwrap_or(cap).max(LEAST_LATE).min(cap.max(LEAST_LATE))
    }
}
