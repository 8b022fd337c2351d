//! Chooses the replica for an attempt.
//!
//! Load pattern: replicas stop for a moment, turn slow, fail part of their requests or refuse work
//! while their check is good, and no instance sees the load of the others. Each candidate gets the
//! time that a request sent to it is expected to take; the least wins. The data centre of the
//! instance is preferred, because links between data centres are slow and priced.

use std::time::Duration;

use fastrand::Rng;
use rosemarybank_protocol::prelude::*;

use crate::{
    forward::{
        interface::ReplicaKey,
        replicas::Replica,
        services::{Service, Usual},
    },
    latency::micros,
};

/// Price of each distance beyond its latency, in microseconds.
const CROSSING_US: [f32; 3] = [0.0, 6_000.0, 15_000.0];

/// Time to open a connection at each distance, in microseconds: one round trip and the handshake.
const CONNECT_US: [f32; 3] = [6_000.0, 15_000.0, 30_000.0];

/// What a failure costs: the time to notice it and to ask another replica, in microseconds.
const FAILURE_US: f32 = 200_000.0;

/// Expected rest of a pause that has shown itself by a late attempt, in microseconds.
const STALL_US: f32 = 150_000.0;

/// How much longer requests take at a replica that has just started.
const COLD_FACTOR: f32 = 1.6;

/// Random part of the cost, so that instances which know the same do not all choose the same.
const JITTER: f32 = 0.1;

/// What the choice found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Choice {
    /// The candidate with the least expected time.
    Use(ReplicaKey),
    /// Candidates are there, but each has as many requests as it may get; one ends soon.
    Busy,
    /// No candidate.
    Nobody,
}

/// What the choice depends on.
pub(crate) struct Chooser<'a, R> {
    pub(crate) now: Time,
    pub(crate) rng: &'a mut Rng,
    pub(crate) service: &'a Service,
    pub(crate) usual: &'a Usual,
    pub(crate) replica: R,
    /// Connections that this instance may have to one replica.
    pub(crate) connections: usize,
    /// Longest age at which an attempt is not late.
    pub(crate) late_cap: Duration,
}

impl<'a, R: Fn(ReplicaKey) -> Option<&'a Replica>> Chooser<'a, R> {
    /// The candidate with the least expected time that was not tried.
    pub(crate) fn best(&mut self, tried: &[ReplicaKey]) -> Choice {
        self.least(tried, f32::MAX)
    }

    /// The best candidate that does not stall, for a hedge.
    pub(crate) fn best_for_hedge(&mut self, tried: &[ReplicaKey]) -> Choice {
        self.least(tried, STALL_US)
    }

    fn least(&mut self, tried: &[ReplicaKey], limit_us: f32) -> Choice {
        let mut best: Option<(ReplicaKey, f32)> = None;
        let mut is_busy = false;
        for key in &self.service.replicas {
            let Some(replica) = (self.replica)(*key) else { continue };
            if !replica.takes_work() || replica.is_down(self.now) || tried.contains(key) {
                continue;
            }
            if replica.in_flight.len() >= self.connections || replica.is_full(self.now) {
                is_busy = true;
                continue;
            }
            let cost = self.cost(replica) * (1.0 + JITTER * self.rng.f32());
            if cost < limit_us && best.is_none_or(|it| cost < it.1) {
                best = Some((*key, cost));
            }
        }
        match best {
            Some((key, _)) => Choice::Use(key),
            None if is_busy => Choice::Busy,
            None => Choice::Nobody,
        }
    }

    fn cost(&self, replica: &Replica) -> f32 {
        let now = self.now;
        let latency_us = replica.latency_us(now, self.usual.median_us(replica.distance));
        let slots = replica.info.slots.max(1) as f32;
        let beyond = (replica.in_flight.len() as f32 + 1.0 - slots).max(0.0);
        let mut cost = latency_us * (1.0 + beyond / slots);
        if now < replica.cold_until {
            cost *= COLD_FACTOR;
        }
        cost += CROSSING_US[replica.distance as usize];
        if !replica.is_warm(now) {
            cost += CONNECT_US[replica.distance as usize];
        }
        cost += replica.failing(now) * FAILURE_US;
        let age = replica.oldest_age(now);
        let late = self.usual.late_after(replica.distance, self.late_cap);
        if age > late {
            cost += (STALL_US - micros(age)).max(STALL_US / 2.0);
        }
        cost
    }
}
