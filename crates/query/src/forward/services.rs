//! A service with its budget of extra sends, and the usual latency of a route.

use std::time::Duration;

use crate::{
    forward::{account::Account, interface::ReplicaKey, returns::Returns, waiting::Waiting},
    latency::{Latency, from_micros},
};

/// Quantile of the latency after which an attempt counts as late.
const LATE_QUANTILE: f32 = 0.95;

/// Usual latency before the first sample in microseconds.
const FIRST_USUAL_US: f32 = 10_000.0;

/// What each distance adds before it is measured, in microseconds: two ways between data centres
/// and between regions.
const FIRST_CROSSING_US: [f32; 3] = [0.0, 9_000.0, 20_000.0];

/// Least age of a late attempt. Below it, queueing at the instance itself looks like a late reply.
const LEAST_LATE: Duration = Duration::from_millis(15);

/// Slack over the quantile, because a tenth more is still within the usual spread.
const LATE_FACTOR: f32 = 1.2;

/// A service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) replicas: Vec<ReplicaKey>,
    pub(crate) account: Account,
    pub(crate) waiting: Waiting,
    pub(crate) returns: Returns,
    pub(crate) max_connections: u32,
}

/// How far a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    /// In the data centre of the instance.
    Local,
    /// In another data centre of the region.
    Near,
    /// In another region.
    Far,
}

/// Usual latency of the requests of a route. All shards of a route do the same work, so they share
/// the samples; an instance of a large fleet sends too little to each shard to learn from it alone.
#[derive(Clone, Debug)]
pub(crate) struct Usual {
    by_distance: [Latency; 3],
}

impl Service {
    pub(crate) fn new() -> Service {
        Service {
            replicas: Vec::new(),
            account: Account::default(),
            waiting: Waiting::default(),
            returns: Returns::default(),
            max_connections: 1,
        }
    }
}

impl Usual {
    pub(crate) fn new() -> Usual {
        Usual { by_distance: [const { Latency::new() }; 3] }
    }

    pub(crate) fn record(&mut self, took_us: f32, distance: Distance) {
        self.by_distance[distance as usize].record(took_us, LATE_QUANTILE);
    }

    /// Median latency in microseconds.
    pub(crate) fn median_us(&self, distance: Distance) -> f32 {
        let local = self.by_distance[Distance::Local as usize].median_us();
        let guess = local.unwrap_or(FIRST_USUAL_US) + FIRST_CROSSING_US[distance as usize];
        self.by_distance[distance as usize].median_us().unwrap_or(guess)
    }

    /// Age from which an attempt is late, at most `cap`.
    pub(crate) fn late_after(&self, distance: Distance, cap: Duration) -> Duration {
        let quantile = self.by_distance[distance as usize].high_us();
        let quantile = quantile.map(|it| from_micros(it * LATE_FACTOR));
        quantile.unwrap_or(cap).max(LEAST_LATE).min(cap.max(LEAST_LATE))
    }
}
