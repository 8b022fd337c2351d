//! Health of a replica as seen by this instance: load, service time, failures and ejection.

use std::time::Duration;

use rosemarybank_protocol::{prelude::*, upstream::Load};

use crate::latency::micros;

/// A reported load decays linearly to zero over this time, because the queue of a replica with two
/// slots changes completely within some tens of milliseconds.
const LOAD_DECAY: Duration = Duration::from_millis(100);

/// Time after which the difference between an estimated service time and the upstream's median is
/// halved, so that a replica that was slow once is tried again.
const ESTIMATE_DECAY: Duration = Duration::from_secs(10);

/// Weight of a new sample in the moving average of the service time.
const EWMA_WEIGHT: f32 = 0.1;

/// Samples needed to eject a slow replica. A replica 20 times slower than the median is ejected
/// after this many; with fewer, a single slow reply could eject a replica.
const MIN_OUTLIER_SAMPLES: u32 = 3;

/// A replica is an outlier if its service time exceeds the upstream's median by this factor.
const OUTLIER_FACTOR: f32 = 4.0;

/// Factor for the elapsed time of a cancelled attempt, which would have taken longer. Hedges cancel
/// the attempts of a slow replica after about four medians, so without this factor its estimate
/// would stay below the outlier threshold.
const CENSORED_FACTOR: f32 = 2.0;

/// A probe that is cancelled after more than this multiple of the median has failed.
const FAILED_PROBE_FACTOR: f32 = 2.0;

/// Consecutive failures that make a replica an outlier.
const OUTLIER_FAILURES: u32 = 3;

/// Shortest and longest time until an ejected replica is probed. It doubles with each failed probe.
const EJECTION_PERIOD: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Time for which a replica counts as full after it shed a request.
const FULL_AFTER_SHED: Duration = Duration::from_millis(20);

/// Time for which a replica is avoided after a broken or refused connection, or after it refused a
/// request because it is cold. A successful poll or request ends it early.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Consecutive failed polls after which a replica counts as unreachable.
const UNREACHABLE_POLLS: u32 = 2;

/// Load, service time and failures of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) in_flight: u32,
    /// Requests of other instances according to the last load report.
    other_load: f32,
    load_reported_at: Time,
    /// Moving average of the service time in microseconds.
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
    /// Estimated requests at the replica: those of this instance in flight, and those of other
    /// instances from the last load report.
    pub(crate) fn load(&self, now: Time) -> f32 {
        let age = micros(now.saturating_sub(self.load_reported_at)) / micros(LOAD_DECAY);
        self.in_flight as f32 + self.other_load * (1.0 - age).max(0.0)
    }

    /// Estimated service time in microseconds, which drifts to `median` with the age of the last
    /// sample.
    pub(crate) fn estimate_us(&self, now: Time, median: f32) -> f32 {
        if self.samples == 0 {
            return median;
        }
        let age = micros(now.saturating_sub(self.sampled_at)) / micros(ESTIMATE_DECAY);
        median + (self.service_us - median) / (1.0 + age)
    }

    /// Service time in microseconds as of the last sample; `median` if there is none.
    pub(crate) fn last_estimate_us(&self, median: f32) -> f32 {
        if self.samples == 0 { median } else { self.service_us }
    }

    /// Whether the replica would probably shed a request: it has just shed one, or about twice as
    /// many requests as it has slots are queued.
    pub(crate) fn is_full(&self, now: Time, slots: u32) -> bool {
        now < self.full_until || (slots > 0 && self.load(now) >= (3 * slots) as f32)
    }

    /// Whether a slot is probably free.
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

    /// Whether all its samples were slow, but too few to eject it. Its estimate alone would keep all
    /// requests away from it as long as another replica is idle.
    pub(crate) fn is_doubtful(&self, median: f32) -> bool {
        let is_known = (1..MIN_OUTLIER_SAMPLES).contains(&self.samples);
        is_known && self.ejection.is_none() && self.service_us > OUTLIER_FACTOR * median
    }

    /// Whether the replica should get a request as a probe, because it is ejected or doubtful.
    pub(crate) fn is_probe_due(&self, now: Time, median: f32) -> bool {
        let is_due = match self.ejection {
            Some(it) => it.probe_at <= now,
            None => self.is_doubtful(median) && self.sampled_at + EJECTION_PERIOD.0 <= now,
        };
        is_due && self.in_flight == 0 && now >= self.avoid_until && !self.is_unreachable()
    }

    /// Postpones the next probe, because one is about to be sent.
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

    /// Records the service time of a reply in microseconds. Returns whether the replica is an
    /// outlier.
    pub(crate) fn record_reply(&mut self, now: Time, us: f32, median: Option<f32>) -> bool {
        self.consecutive_failures = 0;
        self.avoid_until = Time::ZERO;
        let was_doubtful = median.is_some_and(|it| self.is_doubtful(it));
        self.add_sample(now, us);
        let Some(median) = median else { return false };
        if was_doubtful && us <= OUTLIER_FACTOR * median {
            self.service_us = us;
        }
        match &mut self.ejection {
            Some(_) if us <= OUTLIER_FACTOR * median => {
                self.ejection = None;
                self.service_us = us;
                false
            }
            Some(ejection) => {
                ejection.fail_probe(now);
                false
            }
            None => self.is_slow(median),
        }
    }

    /// Records the time that an unanswered attempt has taken so far, which is a lower bound of its
    /// service time. Returns whether the replica is an outlier.
    pub(crate) fn record_abandoned(&mut self, now: Time, us: f32, median: Option<f32>) -> bool {
        // A probe that another attempt has overtaken shows that the replica is still slow, even if
        // it was cancelled long before its reply.
        if let Some(ejection) = &mut self.ejection {
            if median.is_some_and(|it| us > FAILED_PROBE_FACTOR * it) {
                ejection.fail_probe(now);
            }
            return false;
        }
        // A slow probe of a doubtful replica counts, although another attempt overtook it early.
        if median.is_some_and(|it| self.is_doubtful(it) && us > FAILED_PROBE_FACTOR * it) {
            let service_us = self.service_us.max(CENSORED_FACTOR * us);
            self.add_sample(now, service_us);
            return median.is_some_and(|it| self.is_slow(it));
        }
        if self.samples > 0 && us <= self.service_us {
            return false;
        }
        let is_slow_attempt = median.is_some_and(|it| us > FAILED_PROBE_FACTOR * it);
        self.add_sample(now, if is_slow_attempt { CENSORED_FACTOR * us } else { us });
        median.is_some_and(|it| self.is_slow(it))
    }

    /// Records a failure. Returns whether the replica is an outlier.
    pub(crate) fn record_failure(&mut self, now: Time) -> bool {
        self.consecutive_failures += 1;
        if let Some(ejection) = &mut self.ejection {
            ejection.fail_probe(now);
            return false;
        }
        self.consecutive_failures >= OUTLIER_FAILURES
    }

    /// Avoids the replica for a short time.
    pub(crate) fn avoid_temporarily(&mut self, now: Time) {
        self.avoid_until = now + AVOID_DURATION;
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

    /// Resets everything but the requests in flight, after the replica has restarted.
    pub(crate) fn reset(&mut self) {
        *self = Health { in_flight: self.in_flight, ..Health::default() };
    }

    fn is_slow(&self, median: f32) -> bool {
        self.samples >= MIN_OUTLIER_SAMPLES && self.service_us > OUTLIER_FACTOR * median
    }

    fn add_sample(&mut self, now: Time, us: f32) {
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
    fn fail_probe(&mut self, now: Time) {
        self.failed_probes = self.failed_probes.saturating_add(1);
        let pause =
            EJECTION_PERIOD.0.saturating_mul(1 << self.failed_probes.min(5)).min(EJECTION_PERIOD.1);
        self.probe_at = now + pause;
    }
}
