//! What the engine learnt of a replica from its own attempts: load, service time and failures.

use std::time::Duration;

use rosemarybank_protocol::{prelude::*, upstream::Load};

use crate::latency::micros;

/// A reported load counts for this long and fades linearly, because a queue of two slots turns
/// over within some tens of milliseconds.
const LOAD_DECAY: Duration = Duration::from_millis(100);

/// A service-time estimate fades to the upstream's median over this time, so that a replica that
/// was slow once is tried again.
const ESTIMATE_DECAY: Duration = Duration::from_secs(10);

/// Weight of a new service-time sample.
const EWMA_WEIGHT: f32 = 0.1;

/// Samples of a 20x straggler that eject it; fewer would eject on a single slow reply.
const MIN_OUTLIER_SAMPLES: u32 = 3;

/// A replica is an outlier above this multiple of its upstream's median.
const OUTLIER_FACTOR: f32 = 4.0;

/// An attempt that was cut off would have taken longer. Hedges cut off a straggler after about
/// four medians, so that without this factor its estimate stays below the outlier limit.
const CENSORED_FACTOR: f32 = 2.0;

/// A probe that was cut off after this multiple of the median has failed.
const FAILED_PROBE_FACTOR: f32 = 2.0;

/// Failures in a row that make an outlier.
const OUTLIER_FAILURES: u32 = 3;

/// First and longest time until an ejected replica is probed.
const EJECTION_PERIOD: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// After a shed the replica counts as full for this long.
const FULL_AFTER_SHED: Duration = Duration::from_millis(20);

/// After a broken or refused connection the replica is avoided for this long, unless a poll
/// succeeds before.
const AVOID_AFTER_CONNECTION_LOSS: Duration = Duration::from_secs(1);

/// Polls that must fail in a row before the replica counts as unreachable.
const UNREACHABLE_POLLS: u32 = 2;

/// Load, speed and failures of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) in_flight: u32,
    other_load: f32,
    load_reported_at: Time,
    service_us: f32,
    samples: u32,
    sampled_at: Time,
    full_until: Time,
    avoid_until: Time,
    consecutive_failures: u32,
    failed_polls: u32,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    probe_at: Time,
    failed_probes: u32,
}

impl Health {
    /// Requests of this instance, and of other_load as far as a recent report tells.
    pub(crate) fn load(&self, now: Time) -> f32 {
        let age = micros(now.saturating_sub(self.load_reported_at)) / micros(LOAD_DECAY);
        self.in_flight as f32 + self.other_load * (1.0 - age).max(0.0)
    }

    /// Service time in microseconds; `median` stands in for what is not known.
    pub(crate) fn estimate_us(&self, now: Time, median: f32) -> f32 {
        if self.samples == 0 {
            return median;
        }
        let age = micros(now.saturating_sub(self.sampled_at)) / micros(ESTIMATE_DECAY);
        median + (self.service_us - median) / (1.0 + age)
    }

    /// Service time in microseconds as last measured.
    pub(crate) fn last_estimate_us(&self, median: f32) -> f32 {
        if self.samples == 0 { median } else { self.service_us }
    }

    /// Whether it would probably shed: it did a moment ago, or twice its slots wait.
    pub(crate) fn is_full(&self, now: Time, slots: u32) -> bool {
        now < self.full_until || (slots > 0 && self.load(now) >= (3 * slots) as f32)
    }

    /// Whether a slot is free, as far as is known.
    pub(crate) fn is_idle(&self, now: Time, slots: u32) -> bool {
        now >= self.full_until && (slots == 0 || self.load(now) < slots as f32)
    }

    pub(crate) fn is_avoided(&self, now: Time) -> bool {
        self.ejection.is_some() || now < self.avoid_until || self.is_unreachable()
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.failed_polls >= UNREACHABLE_POLLS
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether an ejected replica should get one request to show whether it has recovered.
    pub(crate) fn is_probe_due(&self, now: Time) -> bool {
        let is_due = self.ejection.is_some_and(|it| it.probe_at <= now);
        is_due && self.in_flight == 0 && now >= self.avoid_until && !self.is_unreachable()
    }

    /// Keeps further probes away while one is in flight.
    pub(crate) fn start_probe(&mut self, now: Time) {
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_at = now + EJECTION_PERIOD.0;
        }
    }

    pub(crate) fn record_load(&mut self, now: Time, load: Load) {
        let total = load.in_flight.saturating_add(load.queued);
        self.other_load = total.saturating_sub(self.in_flight) as f32;
        self.load_reported_at = now;
    }

    /// Takes a service time in microseconds. Returns whether the replica is an outlier.
    pub(crate) fn record_reply(&mut self, now: Time, us: f32, median: Option<f32>) -> bool {
        self.consecutive_failures = 0;
        self.avoid_until = Time::ZERO;
        self.sample(now, us);
        let Some(median) = median else { return false };
        match &mut self.ejection {
            Some(_) if us <= OUTLIER_FACTOR * median => {
                self.ejection = None;
                self.service_us = us;
                false
            }
            Some(ejection) => {
                ejection.extend(now);
                false
            }
            None => self.is_slow(median),
        }
    }

    /// Takes the time after which an attempt was given up without a reply; the service time is
    /// at least that. Returns whether the replica is an outlier.
    pub(crate) fn record_abandoned(&mut self, now: Time, us: f32, median: Option<f32>) -> bool {
        // A probe that lost against another attempt shows that the replica is still slow, even if
        // it was cut off long before it would have replied.
        if let Some(ejection) = &mut self.ejection {
            if median.is_some_and(|it| us > FAILED_PROBE_FACTOR * it) {
                ejection.extend(now);
            }
            return false;
        }
        if self.samples > 0 && us <= self.service_us {
            return false;
        }
        let is_unusual = median.is_some_and(|it| us > FAILED_PROBE_FACTOR * it);
        self.sample(now, if is_unusual { CENSORED_FACTOR * us } else { us });
        median.is_some_and(|it| self.is_slow(it))
    }

    /// Takes a failure. Returns whether the replica is an outlier.
    pub(crate) fn record_failure(&mut self, now: Time) -> bool {
        self.consecutive_failures += 1;
        if let Some(ejection) = &mut self.ejection {
            ejection.extend(now);
            return false;
        }
        self.consecutive_failures >= OUTLIER_FAILURES
    }

    pub(crate) fn record_loss(&mut self, now: Time) {
        self.avoid_until = now + AVOID_AFTER_CONNECTION_LOSS;
    }

    pub(crate) fn record_shed(&mut self, now: Time) {
        self.full_until = now + FULL_AFTER_SHED;
    }

    pub(crate) fn record_poll(&mut self) {
        self.failed_polls = 0;
        self.avoid_until = Time::ZERO;
    }

    pub(crate) fn record_poll_failure(&mut self) {
        self.failed_polls = self.failed_polls.saturating_add(1);
    }

    pub(crate) fn eject(&mut self, now: Time) {
        self.ejection = Some(Ejection { probe_at: now + EJECTION_PERIOD.0, failed_probes: 0 });
    }

    /// Forgets all but the requests in flight; a new process starts with a clean record.
    pub(crate) fn reset(&mut self) {
        *self = Health { in_flight: self.in_flight, ..Health::default() };
    }

    fn is_slow(&self, median: f32) -> bool {
        self.samples >= MIN_OUTLIER_SAMPLES && self.service_us > OUTLIER_FACTOR * median
    }

    fn sample(&mut self, now: Time, us: f32) {
        if self.samples == 0 {
            self.service_us = us;
        } else {
            self.service_us += EWMA_WEIGHT * (us - self.service_us);
        }
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
    }
}

impl Ejection {
    fn extend(&mut self, now: Time) {
        self.failed_probes = self.failed_probes.saturating_add(1);
        let pause =
            EJECTION_PERIOD.0.saturating_mul(1 << self.failed_probes.min(5)).min(EJECTION_PERIOD.1);
        self.probe_at = now + pause;
    }
}
