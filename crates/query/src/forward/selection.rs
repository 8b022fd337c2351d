//! Selects the replica for an attempt.
//!
//! Load pattern: replicas pause, become slow, fail some of their requests, or reject work although
//! their health check passes, and no instance sees the load from the others. Each candidate gets a
//! cost, the expected time to a reply, and the lowest cost wins. Replicas in the instance's own
//! data centre are preferred, because links between data centres are slow and expensive.

use std::time::Duration;

use fastrand::Rng;
use rosemarybank_protocol::prelude::*;

use crate::{
    forward::{
        interface::ReplicaKey,
        replicas::Replica,
        services::{RouteLatency, Service},
    },
    latency::micros,
};

/// Cost of each [`Distance`](crate::forward::services::Distance) in addition to its latency, in
/// microseconds.
const DISTANCE_PENALTY_US: [f32; 3] = [0.0, 6_000.0, 15_000.0];

/// Cost of opening a connection at each distance, in microseconds: one round trip and the
/// handshake.
const CONNECT_COST_US: [f32; 3] = [6_000.0, 15_000.0, 30_000.0];

/// Cost of a failure, in microseconds: the time to notice it and to ask another replica.
const FAILURE_COST_US: f32 = 200_000.0;

/// Expected total length of a pause once an attempt is late, in microseconds.
const STALL_COST_US: f32 = 150_000.0;

/// Latency factor of a replica that has just started.
const COLD_FACTOR: f32 = 1.6;

/// Maximum random surcharge as a fraction of the cost, so that instances with the same information
/// do not all select the same replica.
const JITTER: f32 = 0.1;

/// Result of a selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Selection {
    /// The candidate with the lowest cost.
    Replica(ReplicaKey),
    /// All candidates are at their limit, and one will have free capacity soon.
    Busy,
    /// There is no candidate.
    NoCandidate,
}

/// Selects one of a service's replicas for an attempt.
pub(crate) struct ReplicaSelector<'a, R> {
    pub(crate) now: Time,
    pub(crate) rng: &'a mut Rng,
    pub(crate) service: &'a Service,
    pub(crate) latency: &'a RouteLatency,
    /// Looks up a replica by its key.
    pub(crate) replica: R,
    /// Maximum number of connections from this instance to one replica.
    pub(crate) max_connections: usize,
    /// Upper bound of the age from which an attempt is late.
    pub(crate) max_late_threshold: Duration,
}

impl<'a, R: Fn(ReplicaKey) -> Option<&'a Replica>> ReplicaSelector<'a, R> {
    /// Selects the untried candidate with the lowest cost.
    pub(crate) fn select(&mut self, tried: &[ReplicaKey]) -> Selection {
        match self.select_below(tried, f32::MAX, false) {
            Selection::NoCandidate => self.select_below(tried, f32::MAX, true),
            selection => selection,
        }
    }

    /// Selects the untried candidate with the lowest cost for a hedge, leaving out those that cost
    /// as much as a paused replica.
    pub(crate) fn select_for_hedge(&mut self, tried: &[ReplicaKey]) -> Selection {
        self.select_below(tried, STALL_COST_US, false)
    }

    /// Selects the suspect replica that is due for a probe.
    pub(crate) fn select_for_probe(&self, tried: &[ReplicaKey]) -> Option<ReplicaKey> {
        let is_due = |key: &&ReplicaKey| {
            (self.replica)(**key)
                .is_some_and(|it| it.is_suspect() && it.in_flight.is_empty() && self.is_usable(it))
                && !tried.contains(key)
        };
        self.service.replicas.iter().find(is_due).copied()
    }

    fn is_usable(&self, replica: &Replica) -> bool {
        replica.accepts_requests() && !replica.is_down(self.now) && !replica.is_withdrawn(self.now)
    }

    fn select_below(
        &mut self,
        tried: &[ReplicaKey],
        max_cost_us: f32,
        is_suspect: bool,
    ) -> Selection {
        let mut best: Option<(ReplicaKey, f32)> = None;
        let mut is_busy = false;
        for key in &self.service.replicas {
            let Some(replica) = (self.replica)(*key) else { continue };
            if replica.is_suspect() != is_suspect || !self.is_usable(replica) || tried.contains(key)
            {
                continue;
            }
            if replica.in_flight.len() >= self.max_connections || replica.is_full(self.now) {
                is_busy = true;
                continue;
            }
            let cost = self.cost(replica) * (1.0 + JITTER * self.rng.f32());
            if cost < max_cost_us && best.is_none_or(|it| cost < it.1) {
                best = Some((*key, cost));
            }
        }
        match best {
            Some((key, _)) => Selection::Replica(key),
            None if is_busy => Selection::Busy,
            None => Selection::NoCandidate,
        }
    }

    fn cost(&self, replica: &Replica) -> f32 {
        let now = self.now;
        let latency_us = replica.latency_us(now, self.latency.median_us(replica.distance));
        let slots = replica.info.slots.max(1) as f32;
        let excess = (replica.in_flight.len() as f32 + 1.0 - slots).max(0.0);
        let mut cost = latency_us * (1.0 + excess / slots);
        if now < replica.cold_until {
            cost *= COLD_FACTOR;
        }
        cost += DISTANCE_PENALTY_US[replica.distance as usize];
        if !replica.is_warm(now) {
            cost += CONNECT_COST_US[replica.distance as usize];
        }
        cost += replica.failure_rate(now) * FAILURE_COST_US;
        let age = replica.oldest_age(now);
        let threshold = self.latency.late_threshold(replica.distance, self.max_late_threshold);
        if age > threshold {
            cost += (STALL_COST_US - micros(age)).max(STALL_COST_US / 2.0);
        }
        cost
    }
}
