//! State of a replica as observed through an instance's own requests.

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

/// Weight of a failure in the failure rate. A success has half the weight, so that a replica that
/// fails every third request does not look healthy between two failures.
const FAILURE_WEIGHT: f32 = 0.3;

/// Half-life of estimates without new samples, so that an avoided replica is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Backoff after the first failed connect; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff after failed connects, and so the longest time until a recovered replica is used
/// again.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// Backoff after the replica rejected a request because its queue was full.
const FULL_BACKOFF: Duration = Duration::from_millis(25);

/// How long after a reply its connection is likely to be open. Replicas close idle connections
/// after a few seconds.
const WARM_DURATION: Duration = Duration::from_secs(4);

/// Backoff after the replica accepted no further connection. Other instances close unneeded
/// connections within a second, so one may become free at any moment.
const NOT_ACCEPTED_BACKOFF: Duration = Duration::from_millis(10);

/// Number of overlong replies in a row after which a replica is in backoff. A sound replica has successes in
/// between, also if a large reply is given up because the memory for replies is used up.
const MAX_OVERLONG_REPLIES: u32 = 3;

/// What a replica has asked for in its replies.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WithdrawalState {
    /// Whether it leaves, and wants no further requests.
    pub(crate) is_leaving: bool,
    /// Time until which it wants no further requests.
    pub(crate) until: Time,
}

/// One lifetime of a replica.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) info: ReplicaInfo,
    /// Whether the replica list still contains this lifetime.
    pub(crate) is_listed: bool,
    pub(crate) distance: Distance,
    pub(crate) cold_until: Time,
    /// Attempts in flight and their start times, oldest first.
    pub(crate) in_flight: Vec<(AttemptKey, Time)>,
    full_until: Time,
    down_until: Time,
    /// What it has asked for in its replies.
    pub(crate) withdrawal: WithdrawalState,
    /// Length of the next backoff.
    backoff: Duration,
    /// Number of overlong replies since its last success.
    overlong_replies: u32,
    /// Latency estimate as of `sampled_at`; 0 before the first sample.
    latency_us: f32,
    failure_rate: f32,
    /// Number of late events since the last reply in time. A pause, which makes all attempts in
    /// flight late, is one event.
    late_events: u32,
    /// End of the last late event as far as known: attempts that began before belong to it.
    late_until: Time,
    /// When the estimates last got a sample.
    sampled_at: Time,
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
            withdrawal: WithdrawalState::default(),
            backoff: INITIAL_BACKOFF,
            overlong_replies: 0,
            latency_us: 0.0,
            failure_rate: 0.0,
            late_events: 0,
            late_until: Time::ZERO,
            sampled_at: Time::ZERO,
            warm_until: Time::ZERO,
        }
    }

    /// Whether it may receive new requests, now or after a backoff.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.is_listed && self.info.state == ReplicaState::Ready && !self.withdrawal.is_leaving
    }

    /// Whether it has asked for no requests for a time that is not over.
    pub(crate) fn is_withdrawn(&self, now: Time) -> bool {
        now < self.withdrawal.until
    }

    /// Whether it is in backoff after a failed connect.
    pub(crate) fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Whether it sends replies without end. It gets requests only as probes, or if there is no other replica.
    pub(crate) fn is_suspect(&self) -> bool {
        self.overlong_replies >= MAX_OVERLONG_REPLIES
    }

    /// Whether it is in backoff because its queue or its connections were full.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Returns the end of its backoff.
    pub(crate) fn available_at(&self) -> Time {
        self.down_until.max(self.full_until).max(self.withdrawal.until)
    }

    /// Records a new attempt. A replica that was down gets at most one request per backoff until a
    /// request succeeds.
    pub(crate) fn begin_attempt(&mut self, now: Time, attempt: AttemptKey) {
        self.in_flight.push((attempt, now));
        if self.backoff > INITIAL_BACKOFF {
            self.down_until = now + self.backoff;
        }
    }

    /// Whether a connection is likely to be open.
    pub(crate) fn is_warm(&self, now: Time) -> bool {
        now < self.warm_until
    }

    /// Returns the age of the oldest attempt in flight.
    pub(crate) fn oldest_age(&self, now: Time) -> Duration {
        self.in_flight.first().map_or(Duration::ZERO, |it| now.saturating_sub(it.1))
    }

    /// Returns the expected latency in microseconds. The estimate approaches `default_us`, the
    /// median of its route, as it ages.
    pub(crate) fn latency_us(&self, now: Time, default_us: f32) -> f32 {
        let weight = self.estimate_weight(now);
        if self.latency_us == 0.0 { default_us } else { lerp(default_us, self.latency_us, weight) }
    }

    /// Returns the estimated fraction of its requests that fail.
    pub(crate) fn failure_rate(&self, now: Time) -> f32 {
        self.failure_rate * self.estimate_weight(now)
    }

    /// Records the successful reply to an attempt that took at least `late_threshold` if it was late.
    pub(crate) fn record_success(&mut self, now: Time, took: Duration, late_threshold: Duration) {
        if took < late_threshold {
            self.late_events = 0;
            self.record_latency(now, took);
        } else {
            self.record_late(now, took);
        }
        self.warm_until = now + WARM_DURATION;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT / 2.0;
        self.backoff = INITIAL_BACKOFF;
        self.overlong_replies = 0;
        self.down_until = Time::ZERO;
    }

    pub(crate) fn record_failure(&mut self, now: Time) {
        self.failure_rate = lerp(self.failure_rate(now), 1.0, FAILURE_WEIGHT);
        self.sampled_at = now;
    }

    pub(crate) fn record_full(&mut self, now: Time) {
        self.record_failure(now);
        self.full_until = now + FULL_BACKOFF;
    }

    /// Records that it accepted no connection, which does not count as a failed request.
    pub(crate) fn record_not_accepted(&mut self, now: Time) {
        self.full_until = now + NOT_ACCEPTED_BACKOFF;
    }

    pub(crate) fn record_unreachable(&mut self, now: Time) {
        self.record_failure(now);
        self.down_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Records that a reply was given up for its length. A replica that does this again and again without a
    /// success is in backoff like an unreachable one: each further request would take memory until it is given
    /// up too.
    pub(crate) fn record_overlong(&mut self, now: Time) {
        self.overlong_replies = self.overlong_replies.saturating_add(1);
        match self.is_suspect() && !self.is_down(now) {
            true => self.record_unreachable(now),
            false => self.record_failure(now),
        }
    }

    /// Records the latency of a late reply, or the age of a late attempt without a reply. A replica
    /// that is late once has often paused and is as fast as before afterwards, so only further late
    /// events without a reply in time change the estimate.
    pub(crate) fn record_late(&mut self, now: Time, took: Duration) {
        if now.saturating_sub(took) >= self.late_until {
            self.late_events += 1;
        }
        self.late_until = now;
        if self.late_events > 1 {
            self.record_latency(now, took);
        }
    }

    /// Records the latency of a reply, or the age of an attempt without a reply.
    pub(crate) fn record_latency(&mut self, now: Time, took: Duration) {
        let sample = micros(took);
        let weight = self.estimate_weight(now);
        self.latency_us = match self.latency_us {
            0.0 => sample,
            // The older the estimate, the more weight the sample gets.
            it => lerp(sample, it, weight * (1.0 - LATENCY_WEIGHT)),
        };
        self.sampled_at = now;
    }

    /// Returns the weight of the estimates, which halves with every [`HALF_LIFE`] since the last
    /// sample.
    fn estimate_weight(&self, now: Time) -> f32 {
        let age = now.saturating_sub(self.sampled_at);
        (-age.as_secs_f32() / HALF_LIFE.as_secs_f32()).exp2()
    }
}

fn lerp(from: f32, to: f32, share: f32) -> f32 {
    from + (to - from) * share
}
