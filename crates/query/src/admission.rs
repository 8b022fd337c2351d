//! Admission: concurrency limits, the queue and its order, and early refusal.

use std::{collections::BTreeMap, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::{
    budget::Bucket,
    latency::{from_micros, micros},
    services::ServiceIx,
    settings::Policy,
};

/// Starts between two guaranteed starts of a waiting class: each class gets at least 5%.
const GUARANTEED_EVERY: u32 = 20;

/// Each class keeps this part of the queue when higher classes fill it.
const GUARANTEED_PLACES: u32 = 16;

/// Limit of a service before anything is known of its upstreams.
const FIRST_LIMIT: f32 = 8.0;

/// Factor of the limit after congestion.
const DECREASE: f32 = 0.85;

/// Share of the typical query time below which a deadline can't be met.
const UNREACHABLE: f32 = 0.5;

/// The same when other queries wait: those with more time left make better use of the upstreams.
const UNREACHABLE_IN_QUEUE: f32 = 1.5;

/// Estimates older than this refuse nobody, or a service that refuses all would never recover.
const ESTIMATE_LIFE: Duration = Duration::from_secs(1);

/// Hedges that may follow each other at once when the budget was saved up. A replica that becomes
/// slow holds up to ten requests in its slots and queue before it is noticed.
const HEDGE_BURST: u32 = 30;

/// A query that waits: its deadline and number give the order, the value is its slab index.
type Queue = BTreeMap<(Time, u64), u32>;

/// Admission of one service.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    limit: f32,
    running: u32,
    is_starting: bool,
    cut_at: Time,
    /// Budget of hedges.
    pub(crate) hedges: Bucket,
    queues: [Queue; 3],
    passed_over: [u32; 3],
    typical_us: f32,
    typical_at: Time,
}

impl Default for Gate {
    fn default() -> Gate {
        Gate {
            limit: FIRST_LIMIT,
            running: 0,
            is_starting: true,
            cut_at: Time::ZERO,
            hedges: Bucket::new(0, HEDGE_BURST),
            queues: Default::default(),
            passed_over: [0; 3],
            typical_us: 0.0,
            typical_at: Time::ZERO,
        }
    }
}

/// Admission of all services of an instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    gates: Vec<Gate>,
    running: u32,
    queued: u32,
    next_service: usize,
    /// The limit of every service, when it does not follow the congestion of the upstreams.
    fixed: Option<f32>,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) service: ServiceIx,
    pub(crate) priority: Priority,
    pub(crate) deadline: Time,
    pub(crate) serial: u64,
}

/// How a running query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// With all it asked for.
    Well,
    /// Upstreams showed that they have too much work.
    Congested,
    /// For another reason.
    Otherwise,
}

impl Admission {
    /// Takes over the limits of a bundle.
    pub(crate) fn configure(&mut self, limits: &Limits, policy: Policy) {
        let cap = limits.concurrent_queries as f32;
        self.fixed = (policy == Policy::Baseline).then_some(cap);
        for gate in &mut self.gates {
            gate.limit = self.fixed.unwrap_or(gate.limit.min(cap));
        }
    }

    pub(crate) fn gate(&mut self, service: ServiceIx) -> &mut Gate {
        let index = service as usize;
        if self.gates.len() <= index {
            let limit = self.fixed.unwrap_or(FIRST_LIMIT);
            self.gates.resize_with(index + 1, || Gate { limit, ..Gate::default() });
        }
        &mut self.gates[index]
    }

    pub(crate) fn queued(&self) -> u32 {
        self.queued
    }

    pub(crate) fn enqueue(&mut self, place: Place, index: u32) {
        let queue = &mut self.gate(place.service).queues[place.priority as usize];
        queue.insert((place.deadline, place.serial), index);
        self.queued += 1;
    }

    /// Takes a query out of the queue.
    pub(crate) fn withdraw(&mut self, place: Place) {
        let queue = &mut self.gate(place.service).queues[place.priority as usize];
        if queue.remove(&(place.deadline, place.serial)).is_some() {
            self.queued -= 1;
        }
    }

    /// Takes the next query that may start, and counts it as running.
    pub(crate) fn next(&mut self, limits: &Limits) -> Option<u32> {
        if self.queued == 0 || self.running >= limits.concurrent_queries {
            return None;
        }
        let count = self.gates.len();
        let order = (0..count).map(|it| (it + self.next_service) % count);
        let best = order
            .filter(|it| self.gates[*it].has_room())
            .filter_map(|it| Some((self.gates[it].next_class()?, it)))
            .min_by_key(|it| it.0)?;
        let (class, service) = best;
        self.next_service = service + 1;
        self.queued -= 1;
        self.running += 1;
        self.gates[service].start(class)
    }

    /// Notes that a running query ended.
    pub(crate) fn end(
        &mut self,
        now: Time,
        service: ServiceIx,
        started: Time,
        ended: Ended,
        limits: &Limits,
    ) {
        self.running -= 1;
        let cap = self.fixed.is_none().then_some(limits.concurrent_queries as f32);
        self.gate(service).end(now, started, ended, cap);
    }

    /// Takes the query that is shed when the queue is longer than its limit: the latest of the
    /// lowest class that has more than its guaranteed places, in the longest queue.
    pub(crate) fn shed(&mut self, limits: &Limits) -> Option<u32> {
        if self.queued <= limits.queued_queries {
            return None;
        }
        let guaranteed = (limits.queued_queries / GUARANTEED_PLACES) as usize;
        let longest = self.gates.iter_mut().max_by_key(|it| it.waiting())?;
        let queues = &mut longest.queues;
        let over = queues.iter_mut().rev().find(|it| it.len() > guaranteed);
        let (_, index) = match over {
            Some(queue) => queue.pop_last()?,
            None => queues.iter_mut().rev().find_map(BTreeMap::pop_last)?,
        };
        self.queued -= 1;
        Some(index)
    }
}

impl Gate {
    /// Queries of this service that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(BTreeMap::len).sum()
    }

    /// Time until a query of the class would start if it joined the queue now.
    pub(crate) fn wait(&self, priority: Priority) -> Duration {
        let ahead: usize = self.queues[..=priority as usize].iter().map(BTreeMap::len).sum();
        if ahead == 0 && self.has_room() {
            return Duration::ZERO;
        }
        // As many queries as the limit allows leave per typical query time.
        from_micros((ahead + 1) as f32 * self.typical_us / self.limit)
    }

    /// Whether a query that starts at `start` can't be answered by `deadline`.
    pub(crate) fn is_unreachable(&self, now: Time, start: Time, deadline: Time) -> bool {
        if self.typical_at + ESTIMATE_LIFE <= now {
            return deadline <= now;
        }
        let share = if self.waiting() > 0 { UNREACHABLE_IN_QUEUE } else { UNREACHABLE };
        start + from_micros(share * self.typical_us) > deadline
    }

    fn has_room(&self) -> bool {
        (self.running as f32) < self.limit
    }

    fn next_class(&self) -> Option<usize> {
        let waits = |it: &usize| !self.queues[*it].is_empty();
        let owed = (0..3).filter(waits).find(|it| self.passed_over[*it] >= GUARANTEED_EVERY);
        owed.or_else(|| (0..3).find(waits))
    }

    fn start(&mut self, class: usize) -> Option<u32> {
        self.running += 1;
        self.passed_over[class] = 0;
        for other in (0..3).filter(|it| *it != class) {
            if !self.queues[other].is_empty() {
                self.passed_over[other] += 1;
            }
        }
        self.queues[class].pop_first().map(|(_, index)| index)
    }

    /// Takes the end of a query; the limit changes only when it has a cap.
    fn end(&mut self, now: Time, started: Time, ended: Ended, cap: Option<f32>) {
        let was_binding = self.running as f32 + 1.0 > self.limit || self.waiting() > 0;
        self.running -= 1;
        let took = micros(now.saturating_sub(started));
        if ended == Ended::Well {
            let weight = if self.typical_us == 0.0 { 1.0 } else { 0.1 };
            self.typical_us += weight * (took - self.typical_us);
            self.typical_at = now;
        }
        let Some(cap) = cap else { return };
        match ended {
            // Queries that started before the last cut saw the old limit.
            Ended::Congested if started >= self.cut_at => {
                self.limit = (self.limit * DECREASE).max(1.0);
                self.is_starting = false;
                self.cut_at = now;
            }
            Ended::Well if was_binding => {
                let step = if self.is_starting { 1.0 } else { 1.0 / self.limit };
                self.limit = (self.limit + step).min(cap);
            }
            _ => {}
        }
    }
}
