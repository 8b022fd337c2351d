//! State shared by the replicas of an upstream: slots, retry budget and latency.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    budget::TokenBucket,
    health::Health,
    latency::{LatencyHistogram, micros},
    replicas::{DataCentreIndex, LOCAL_DATA_CENTRE, ReplicaKey, Replicas, UpstreamIndex},
};

/// Retries that an upstream gets on top of the percentage, in tokens. A failing replica with two
/// slots affects only a few requests of one instance, so this is enough to retry the requests lost
/// with a data centre.
const RETRY_BURST: u32 = 20;

/// Quantile of the latency after which an attempt is late and may be hedged.
const HEDGE_QUANTILE: f32 = 0.97;

/// Two replicas that shed within this time indicate an overload of the upstream, which suspends
/// hedging for the same time.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// A probe is late after this multiple of the median service time.
const LATE_PROBE_FACTOR: f32 = 1.25;

/// Service time in microseconds that is assumed before the first sample.
const DEFAULT_SERVICE_US: f32 = 5_000.0;

/// Share of the difference by which the minimum latency of a data centre rises with each sample
/// above it, so that it follows an increased network latency.
const MIN_LATENCY_RISE: f32 = 0.000_5;

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    /// Requests that a replica executes concurrently; 0 if no bundle has named the upstream.
    pub(crate) slots: u32,
    pub(crate) retry_budget: TokenBucket,
    /// Service times at replicas that are not ejected, without the additional network latency of
    /// other data centres.
    pub(crate) latency: LatencyHistogram,
    /// Last shed request: the replica and the time.
    last_shed: Option<(ReplicaKey, Time)>,
    overloaded_until: Time,
}

impl Upstream {
    /// Records a shed request. A single replica that sheds may just be slow and have a full queue;
    /// two replicas that shed at about the same time mean that the upstream is overloaded.
    pub(crate) fn record_shed(&mut self, now: Time, key: ReplicaKey) {
        if let Some((other, at)) = self.last_shed
            && other != key
            && at + OVERLOAD_WINDOW > now
        {
            self.overloaded_until = now + OVERLOAD_WINDOW;
        }
        self.last_shed = Some((key, now));
    }

    /// Whether the upstream is overloaded, so that it must get no hedges.
    pub(crate) fn is_overloaded(&self, now: Time) -> bool {
        now < self.overloaded_until
    }
}

/// State of all upstreams, and the network latency to each data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstreams {
    list: Vec<Upstream>,
    /// Minimum latency per data centre in microseconds; `None` before the first reply.
    min_latency_us: Vec<Option<f32>>,
}

impl Upstreams {
    pub(crate) fn bytes(&self) -> usize {
        self.list.capacity() * size_of::<Upstream>()
    }

    pub(crate) fn get(&self, index: UpstreamIndex) -> &Upstream {
        &self.list[index as usize]
    }

    pub(crate) fn get_mut(&mut self, index: UpstreamIndex) -> &mut Upstream {
        &mut self.list[index as usize]
    }

    /// Adds state for new upstreams and data centres of the replica table.
    pub(crate) fn resize(&mut self, replicas: &Replicas) {
        self.list.resize_with(replicas.upstream_count(), || Upstream {
            slots: 0,
            retry_budget: TokenBucket::new(RETRY_BURST, RETRY_BURST),
            latency: LatencyHistogram::new(),
            last_shed: None,
            overloaded_until: Time::ZERO,
        });
        self.min_latency_us.resize(replicas.data_centre_count(), None);
    }

    /// Median service time in microseconds, without the additional network latency of other data
    /// centres.
    pub(crate) fn median_us(&self, upstream: UpstreamIndex) -> f32 {
        self.get(upstream).latency.median_us().unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Additional network latency to a data centre compared to the local one, in microseconds.
    pub(crate) fn extra_network_us(&self, data_centre: DataCentreIndex) -> f32 {
        let min_us = |it: DataCentreIndex| self.min_latency_us[it as usize];
        match (min_us(data_centre), min_us(LOCAL_DATA_CENTRE)) {
            (Some(min_us), Some(local)) => (min_us - local).max(0.0),
            _ => 0.0,
        }
    }

    /// Time in microseconds after which a probe of an ejected replica is late. It is short, because
    /// the replica is probably still slow.
    pub(crate) fn probe_delay_us(
        &self,
        upstream: UpstreamIndex,
        data_centre: DataCentreIndex,
    ) -> f32 {
        LATE_PROBE_FACTOR * self.median_us(upstream) + self.extra_network_us(data_centre)
    }

    /// Time in microseconds after which an attempt is late; `None` before enough samples.
    pub(crate) fn hedge_delay_us(
        &self,
        upstream: UpstreamIndex,
        data_centre: DataCentreIndex,
    ) -> Option<f32> {
        Some(self.get(upstream).latency.high_quantile_us()? + self.extra_network_us(data_centre))
    }

    /// Records the latency of a reply.
    pub(crate) fn record_reply(
        &mut self,
        now: Time,
        replicas: &mut Replicas,
        key: ReplicaKey,
        took: Time,
    ) {
        let Some(replica) = replicas.get_mut(key) else { return };
        let us = micros(took);
        let min_us = self.min_latency_us[replica.data_centre as usize].get_or_insert(us);
        *min_us = if us < *min_us { us } else { *min_us + (us - *min_us) * MIN_LATENCY_RISE };
        let service_us = (us - self.extra_network_us(replica.data_centre)).max(1.0);
        let upstream = &mut self.list[replica.upstream as usize];
        let is_outlier = replica.health.record_reply(now, service_us, upstream.latency.median_us());
        if !replica.health.is_ejected() {
            upstream.latency.record(service_us, HEDGE_QUANTILE);
        }
        if is_outlier {
            eject(now, replicas, key);
        }
    }

    /// Records an attempt that has had no reply after `took`.
    pub(crate) fn record_abandoned(
        &self,
        now: Time,
        replicas: &mut Replicas,
        key: ReplicaKey,
        took: Time,
    ) {
        let Some(replica) = replicas.get_mut(key) else { return };
        let us = (micros(took) - self.extra_network_us(replica.data_centre)).max(1.0);
        let median = self.get(replica.upstream).latency.median_us();
        if replica.health.record_abandoned(now, us, median) {
            eject(now, replicas, key);
        }
    }
}

/// Records a failure of a replica.
pub(crate) fn record_failure(now: Time, replicas: &mut Replicas, key: ReplicaKey) {
    let Some(replica) = replicas.get_mut(key) else { return };
    if replica.health.record_failure(now) {
        eject(now, replicas, key);
    }
}

/// Ejects a replica, unless more than half of the usable replicas of its upstream would be ejected.
fn eject(now: Time, replicas: &mut Replicas, key: ReplicaKey) {
    let Some(replica) = replicas.get(key) else { return };
    let members = replicas.members(replica.upstream).replicas.iter();
    let in_service = members.filter_map(|it| replicas.get(*it)).filter(|it| it.takes_work());
    let (count, ejected) = in_service.fold((0, 0), |(count, ejected), it| {
        (count + 1, ejected + usize::from(it.health.is_ejected()))
    });
    if 2 * (ejected + 1) <= count
        && let Some(replica) = replicas.get_mut(key)
    {
        Health::eject(&mut replica.health, now);
    }
}
