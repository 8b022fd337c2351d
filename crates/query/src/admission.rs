//! Admission: concurrency limits, the queue and its order, and early refusal.

use std::{collections::BTreeMap, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::{
    budget::TokenBucket,
    latency::{from_micros, micros},
    services::ServiceIndex,
    settings::Policy,
};

/// Starts between two guaranteed starts of a waiting class: each class gets at least 5%.
const GUARANTEED_START_INTERVAL: u32 = 20;

/// Each class keeps this part of the queue when higher classes fill it.
const GUARANTEED_QUEUE_DIVISOR: u32 = 16;

/// Limit of a service before anything is known of its upstreams.
const INITIAL_LIMIT: f32 = 8.0;

/// Factor of the limit after congestion.
const LIMIT_DECREASE_FACTOR: f32 = 0.85;

/// Share of the typical query time below which a deadline can't be met.
const UNREACHABLE_SHARE: f32 = 0.5;

/// The same when other queries wait: those with more time left make better use of the upstreams.
const UNREACHABLE_SHARE_WHEN_QUEUED: f32 = 1.5;

/// Estimates older than this refuse nobody, or a service that refuses all would never recover.
const ESTIMATE_TTL: Duration = Duration::from_secs(1);

/// Hedges that may follow each other at once when the budget was saved up. A replica that becomes
/// slow holds up to ten requests in its slots and queue before it is noticed.
const HEDGE_BURST: u32 = 30;

/// A query that waits: its deadline and number give the order, the value is its slab index.
type Queue = BTreeMap<(Time, u64), u32>;

/// Admission of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAdmission {
    limit: f32,
    running: u32,
    is_slow_start: bool,
    decreased_at: Time,
    /// Budget of hedges.
    pub(crate) hedge_budget: TokenBucket,
    queues: [Queue; 3],
    starts_passed_over: [u32; 3],
    mean_query_us: f32,
    mean_updated_at: Time,
}

impl Default for ServiceAdmission {
    fn default() -> ServiceAdmission {
        ServiceAdmission {
            limit: INITIAL_LIMIT,
            running: 0,
            is_slow_start: true,
            decreased_at: Time::ZERO,
            hedge_budget: TokenBucket::new(0, HEDGE_BURST),
            queues: Default::default(),
            starts_passed_over: [0; 3],
            mean_query_us: 0.0,
            mean_updated_at: Time::ZERO,
        }
    }
}

/// Admission of all services of an instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    services: Vec<ServiceAdmission>,
    running: u32,
    queued: u32,
    next_service: usize,
    /// The limit of every service, when it does not follow the congestion of the upstreams.
    fixed_limit: Option<f32>,
}

/// A position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    pub(crate) service: ServiceIndex,
    pub(crate) priority: Priority,
    pub(crate) deadline: Time,
    pub(crate) serial: u64,
}

/// How a running query end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryEnd {
    /// With all it asked for.
    Complete,
    /// Upstreams showed that they have too much work.
    Congested,
    /// For another reason.
    Other,
}

impl Admission {
    /// Takes over the limits of a bundle.
    pub(crate) fn configure(&mut self, limits: &Limits, policy: Policy) {
        let cap = limits.concurrent_queries as f32;
        self.fixed_limit = (policy == Policy::Baseline).then_some(cap);
        for service in &mut self.services {
            service.limit = self.fixed_limit.unwrap_or(service.limit.min(cap));
        }
    }

    pub(crate) fn service(&mut self, service: ServiceIndex) -> &mut ServiceAdmission {
        let index = service as usize;
        if self.services.len() <= index {
            let limit = self.fixed_limit.unwrap_or(INITIAL_LIMIT);
            self.services.resize_with(index + 1, || ServiceAdmission {
                limit,
                ..ServiceAdmission::default()
            });
        }
        &mut self.services[index]
    }

    pub(crate) fn queued(&self) -> u32 {
        self.queued
    }

    pub(crate) fn enqueue(&mut self, position: QueuePosition, index: u32) {
        let queue = &mut self.service(position.service).queues[position.priority as usize];
        queue.insert((position.deadline, position.serial), index);
        self.queued += 1;
    }

    /// Takes a query out of the queue.
    pub(crate) fn remove(&mut self, position: QueuePosition) {
        let queue = &mut self.service(position.service).queues[position.priority as usize];
        if queue.remove(&(position.deadline, position.serial)).is_some() {
            self.queued -= 1;
        }
    }

    /// Takes the next query that may start, and counts it as running.
    pub(crate) fn next(&mut self, limits: &Limits) -> Option<u32> {
        if self.queued == 0 || self.running >= limits.concurrent_queries {
            return None;
        }
        let count = self.services.len();
        let order = (0..count).map(|it| (it + self.next_service) % count);
        let best = order
            .filter(|it| self.services[*it].is_below_limit())
            .filter_map(|it| Some((self.services[it].next_class()?, it)))
            .min_by_key(|it| it.0)?;
        let (class, service) = best;
        self.next_service = service + 1;
        self.queued -= 1;
        self.running += 1;
        self.services[service].start(class)
    }

    /// Notes that a running query end.
    pub(crate) fn end(
        &mut self,
        now: Time,
        service: ServiceIndex,
        started: Time,
        end: QueryEnd,
        limits: &Limits,
    ) {
        self.running -= 1;
        let cap = self.fixed_limit.is_none().then_some(limits.concurrent_queries as f32);
        self.service(service).end(now, started, end, cap);
    }

    /// Takes the query that is shed when the queue is longer than its limit: the latest of the
    /// lowest class that has more than its guaranteed places, in the longest queue.
    pub(crate) fn shed(&mut self, limits: &Limits) -> Option<u32> {
        if self.queued <= limits.queued_queries {
            return None;
        }
        let guaranteed = (limits.queued_queries / GUARANTEED_QUEUE_DIVISOR) as usize;
        let longest = self.services.iter_mut().max_by_key(|it| it.waiting())?;
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

impl ServiceAdmission {
    /// Queries of this service that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queues.iter().map(BTreeMap::len).sum()
    }

    /// Time until a query of the class would start if it joined the queue now.
    pub(crate) fn estimated_wait(&self, priority: Priority) -> Duration {
        let ahead: usize = self.queues[..=priority as usize].iter().map(BTreeMap::len).sum();
        if ahead == 0 && self.is_below_limit() {
            return Duration::ZERO;
        }
        // As many queries as the limit allows leave per typical query time.
        from_micros((ahead + 1) as f32 * self.mean_query_us / self.limit)
    }

    /// Whether a query that starts at `start` can't be answered by `deadline`.
    pub(crate) fn is_unreachable(&self, now: Time, start: Time, deadline: Time) -> bool {
        if self.mean_updated_at + ESTIMATE_TTL <= now {
            return deadline <= now;
        }
        let share =
            if self.waiting() > 0 { UNREACHABLE_SHARE_WHEN_QUEUED } else { UNREACHABLE_SHARE };
        start + from_micros(share * self.mean_query_us) > deadline
    }

    fn is_below_limit(&self) -> bool {
        (self.running as f32) < self.limit
    }

    fn next_class(&self) -> Option<usize> {
        let waits = |it: &usize| !self.queues[*it].is_empty();
        let starved = (0..3)
            .filter(waits)
            .find(|it| self.starts_passed_over[*it] >= GUARANTEED_START_INTERVAL);
        starved.or_else(|| (0..3).find(waits))
    }

    fn start(&mut self, class: usize) -> Option<u32> {
        self.running += 1;
        self.starts_passed_over[class] = 0;
        for other in (0..3).filter(|it| *it != class) {
            if !self.queues[other].is_empty() {
                self.starts_passed_over[other] += 1;
            }
        }
        self.queues[class].pop_first().map(|(_, index)| index)
    }

    /// Takes the end of a query; the limit changes only when it has a cap.
    fn end(&mut self, now: Time, started: Time, end: QueryEnd, cap: Option<f32>) {
        let was_binding = self.running as f32 + 1.0 > self.limit || self.waiting() > 0;
        self.running -= 1;
        let took = micros(now.saturating_sub(started));
        if end == QueryEnd::Complete {
            let weight = if self.mean_query_us == 0.0 { 1.0 } else { 0.1 };
            self.mean_query_us += weight * (took - self.mean_query_us);
            self.mean_updated_at = now;
        }
        let Some(cap) = cap else { return };
        match end {
            // Queries that started before the last cut saw the old limit.
            QueryEnd::Congested if started >= self.decreased_at => {
                self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
                self.is_slow_start = false;
                self.decreased_at = now;
            }
            QueryEnd::Complete if was_binding => {
                let step = if self.is_slow_start { 1.0 } else { 1.0 / self.limit };
                self.limit = (self.limit + step).min(cap);
            }
            _ => {}
        }
    }
}
