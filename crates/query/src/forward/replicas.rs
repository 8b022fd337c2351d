//! What an instance knows of a replica from its own traffic.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    forward::{
        interface::AttemptKey,
        routes::{ReplicaInfo, ReplicaState},
        services::Distance,
    },
    latency::micros,
};

/// Weight of a new sample in the latency estimate.
const LATENCY_WEIGHT: f32 = 0.2;

/// Weight of a failure in the failure estimate. A success weighs half, so that a replica which
/// fails every third request does not look healthy between two failures.
const FAILURE_WEIGHT: f32 = 0.3;

/// Time in which an estimate without new samples loses half of its meaning, so that a replica which
/// was avoided is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Time without use after the first failed connect; it doubles with each further one.
const FIRST_REST: Duration = Duration::from_millis(200);

/// Longest time without use after failed connects. A replica that returned is found this late.
const LONGEST_REST: Duration = Duration::from_millis(1_600);

/// Time without use after the replica refused a request because its queue was full.
const FULL_REST: Duration = Duration::from_millis(25);

/// Time after a reply for which its connection is likely to be open; replicas close idle ones after
/// some seconds.
const WARM: Duration = Duration::from_secs(4);

/// Time without use after the replica accepted no further connection. Other instances close
/// connections that they no longer need within a second, some of them at any moment.
const NO_CONNECTION_REST: Duration = Duration::from_millis(10);

/// A lifetime of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) info: ReplicaInfo,
    /// Whether the list still has this lifetime.
    pub(crate) is_listed: bool,
    pub(crate) distance: Distance,
    pub(crate) cold_until: Time,
    /// Attempts in flight with their start, the oldest first.
    pub(crate) in_flight: Vec<(AttemptKey, Time)>,
    full_until: Time,
    down_until: Time,
    /// Length of the next time without use.
    rest: Duration,
    latency_us: f32,
    failing: f32,
    sampled: Time,
    /// Time until which a connection is likely to be open.
    warm_until: Time,
}

impl Replica {
    pub(crate) fn new(now: Time, info: ReplicaInfo, distance: Distance) -> Replica {
        Replica {
            cold_until: now.saturating_add(info.cold),
            info,
            is_listed: true,
            distance,
            in_flight: Vec::new(),
            full_until: Time::ZERO,
            down_until: Time::ZERO,
            rest: FIRST_REST,
            latency_us: 0.0,
            failing: 0.0,
            sampled: Time::ZERO,
            warm_until: Time::ZERO,
        }
    }

    /// Whether new requests may go to it.
    pub(crate) fn takes_work(&self) -> bool {
        self.is_listed && self.info.state == ReplicaState::Ready
    }

    /// Whether it could not be reached lately and is left alone.
    pub(crate) fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Whether it refused a request a moment ago because its queue was full.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Time from which it may be used again.
    pub(crate) fn room_at(&self) -> Time {
        self.down_until.max(self.full_until)
    }

    /// Notes that a request is sent. A replica that was down gets one at a time until it answers.
    pub(crate) fn begin(&mut self, now: Time, attempt: AttemptKey) {
        self.in_flight.push((attempt, now));
        if self.rest > FIRST_REST {
            self.down_until = now + self.rest;
        }
    }

    /// Whether a connection is likely to be open.
    pub(crate) fn is_warm(&self, now: Time) -> bool {
        now < self.warm_until
    }

    /// Age of the oldest attempt.
    pub(crate) fn oldest_age(&self, now: Time) -> Duration {
        self.in_flight.first().map_or(Duration::ZERO, |it| now.saturating_sub(it.1))
    }

    /// Expected latency in microseconds, given what is usual for its service.
    pub(crate) fn latency_us(&self, now: Time, usual_us: f32) -> f32 {
        let known = self.weight(now);
        if self.latency_us == 0.0 { usual_us } else { lerp(usual_us, self.latency_us, known) }
    }

    /// Share of its requests that fail, as far as it is known.
    pub(crate) fn failing(&self, now: Time) -> f32 {
        self.failing * self.weight(now)
    }

    pub(crate) fn note_success(&mut self, now: Time, took: Duration) {
        self.note_latency(now, took);
        self.warm_until = now + WARM;
        self.failing *= 1.0 - FAILURE_WEIGHT / 2.0;
        self.rest = FIRST_REST;
        self.down_until = Time::ZERO;
    }

    pub(crate) fn note_failure(&mut self, now: Time) {
        self.failing = lerp(self.failing(now), 1.0, FAILURE_WEIGHT);
        self.sampled = now;
    }

    pub(crate) fn note_full(&mut self, now: Time) {
        self.note_failure(now);
        self.full_until = now + FULL_REST;
    }

    /// The replica accepted no connection, which says nothing of how it treats requests.
    pub(crate) fn note_not_accepted(&mut self, now: Time) {
        self.full_until = now + NO_CONNECTION_REST;
    }

    pub(crate) fn note_unreachable(&mut self, now: Time) {
        self.note_failure(now);
        self.down_until = now + self.rest;
        self.rest = (self.rest * 2).min(LONGEST_REST);
    }

    /// Records the time of a reply, or the age of an attempt that has none yet.
    pub(crate) fn note_latency(&mut self, now: Time, took: Duration) {
        let sample = micros(took);
        let known = self.weight(now);
        self.latency_us = match self.latency_us {
            0.0 => sample,
            // An estimate that has lost its meaning yields to the sample.
            it => lerp(sample, it, known * (1.0 - LATENCY_WEIGHT)),
        };
        self.sampled = now;
    }

    fn weight(&self, now: Time) -> f32 {
        let age = now.saturating_sub(self.sampled);
        (-age.as_secs_f32() / HALF_LIFE.as_secs_f32()).exp2()
    }
}

fn lerp(from: f32, to: f32, share: f32) -> f32 {
    from + (to - from) * share
}
