//! What is shared by the replicas of one upstream: slots, retry budget and latency.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    budget::Bucket,
    health::Health,
    latency::{Latency, micros},
    replicas::{DataCentreIx, LOCAL, ReplicaKey, Replicas, UpstreamIx},
};

/// Retries that an upstream gets on top of the percentage. A replica with two slots fails at most
/// a few requests of one instance at a time; twenty lets one data centre's loss pass.
const RETRY_BURST: u32 = 20;

/// Quantile of the latency after which a hedge is considered.
const HEDGE_QUANTILE: f32 = 0.97;

/// Hedging stays off for this long after an upstream was overloaded.
const SHED_MEMORY: Duration = Duration::from_secs(1);

/// A probe is late after this multiple of the median service time.
const PROBE_PATIENCE: f32 = 1.25;

/// Service time that is assumed before the first sample, in microseconds.
const ASSUMED_US: f32 = 5_000.0;

/// Share by which the lowest latency of a data centre rises with each sample above it, so that
/// it follows a route that became longer.
const FLOOR_RISE: f32 = 0.000_5;

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) slots: u32,
    pub(crate) retries: Bucket,
    pub(crate) latency: Latency,
    /// The last shed by the replica that shed last.
    last_shed: Option<(ReplicaKey, Time)>,
    overloaded_until: Time,
}

impl Upstream {
    /// Takes note of a shed. A single replica that sheds can be a straggler with a full queue;
    /// two at about the same time mean that the upstream has too much work.
    pub(crate) fn note_shed(&mut self, now: Time, key: ReplicaKey) {
        if let Some((other, at)) = self.last_shed
            && other != key
            && at + SHED_MEMORY > now
        {
            self.overloaded_until = now + SHED_MEMORY;
        }
        self.last_shed = Some((key, now));
    }

    /// Whether extra attempts would add to an overload.
    pub(crate) fn is_overloaded(&self, now: Time) -> bool {
        now < self.overloaded_until
    }
}

/// State of all upstreams and of the routes to data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstreams {
    list: Vec<Upstream>,
    /// Lowest latency seen per data centre in microseconds.
    floors: Vec<Option<f32>>,
}

impl Upstreams {
    pub(crate) fn bytes(&self) -> usize {
        self.list.capacity() * size_of::<Upstream>()
    }

    pub(crate) fn get(&self, index: UpstreamIx) -> &Upstream {
        &self.list[index as usize]
    }

    pub(crate) fn get_mut(&mut self, index: UpstreamIx) -> &mut Upstream {
        &mut self.list[index as usize]
    }

    /// Makes room for the upstreams and data centres that the table knows.
    pub(crate) fn grow(&mut self, replicas: &Replicas) {
        self.list.resize_with(replicas.upstream_count(), || Upstream {
            slots: 0,
            retries: Bucket::new(RETRY_BURST, RETRY_BURST),
            latency: Latency::new(),
            last_shed: None,
            overloaded_until: Time::ZERO,
        });
        self.floors.resize(replicas.data_centre_count(), None);
    }

    /// Median service time in microseconds, without the route to another data centre.
    pub(crate) fn median_us(&self, upstream: UpstreamIx) -> f32 {
        self.get(upstream).latency.median_us().unwrap_or(ASSUMED_US)
    }

    /// Time that the route to a data centre adds over the local one, in microseconds.
    pub(crate) fn route_us(&self, data_centre: DataCentreIx) -> f32 {
        let floor = |it: DataCentreIx| self.floors[it as usize];
        match (floor(data_centre), floor(LOCAL)) {
            (Some(floor), Some(local)) => (floor - local).max(0.0),
            _ => 0.0,
        }
    }

    /// Time after which a probe of an ejected replica is late: it is likely to be slow.
    pub(crate) fn probe_delay_us(&self, upstream: UpstreamIx, data_centre: DataCentreIx) -> f32 {
        PROBE_PATIENCE * self.median_us(upstream) + self.route_us(data_centre)
    }

    /// Time after which an attempt is late; `None` while too little is known.
    pub(crate) fn hedge_delay_us(
        &self,
        upstream: UpstreamIx,
        data_centre: DataCentreIx,
    ) -> Option<f32> {
        Some(self.get(upstream).latency.high_us()? + self.route_us(data_centre))
    }

    /// Takes a reply's latency into the estimates.
    pub(crate) fn note_reply(
        &mut self,
        now: Time,
        replicas: &mut Replicas,
        key: ReplicaKey,
        took: Time,
    ) {
        let Some(replica) = replicas.get_mut(key) else { return };
        let us = micros(took);
        let floor = self.floors[replica.data_centre as usize].get_or_insert(us);
        *floor = if us < *floor { us } else { *floor + (us - *floor) * FLOOR_RISE };
        let service_us = (us - self.route_us(replica.data_centre)).max(1.0);
        let upstream = &mut self.list[replica.upstream as usize];
        let is_outlier = replica.health.note_reply(now, service_us, upstream.latency.median_us());
        if !replica.health.is_ejected() {
            upstream.latency.record(service_us, HEDGE_QUANTILE);
        }
        if is_outlier {
            eject(now, replicas, key);
        }
    }

    /// Takes an attempt that was given up after `took` without a reply.
    pub(crate) fn note_abandoned(
        &self,
        now: Time,
        replicas: &mut Replicas,
        key: ReplicaKey,
        took: Time,
    ) {
        let Some(replica) = replicas.get_mut(key) else { return };
        let us = (micros(took) - self.route_us(replica.data_centre)).max(1.0);
        let median = self.get(replica.upstream).latency.median_us();
        if replica.health.note_abandoned(now, us, median) {
            eject(now, replicas, key);
        }
    }
}

/// Records a failure of a replica.
pub(crate) fn note_failure(now: Time, replicas: &mut Replicas, key: ReplicaKey) {
    let Some(replica) = replicas.get_mut(key) else { return };
    if replica.health.note_failure(now) {
        eject(now, replicas, key);
    }
}

/// Ejects a replica unless that would leave less than half of its upstream.
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
