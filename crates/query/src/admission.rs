//! Admission control: concurrency limits, the priority queue and early refusal of searches.

use std::{collections::BTreeMap, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::{
    budget::TokenBucket,
    latency::{from_micros, micros},
    services::ServiceIndex,
    settings::Policy,
};

/// Within a service, a priority class with queued queries is served after at most about this many
/// starts of other classes, so it gets about 5% of the starts or more.
const GUARANTEED_START_INTERVAL: u32 = 20;

/// Each priority class may use at least the queue capacity divided by this, even when higher
/// classes fill the queue.
const GUARANTEED_QUEUE_DIVISOR: u32 = 16;

/// Concurrency limit of a service before its first query has ended.
const INITIAL_LIMIT: f32 = 8.0;

/// Multiplicative decrease of the concurrency limit after congestion.
const LIMIT_DECREASE_FACTOR: f32 = 0.85;

/// A deadline counts as unreachable if less than this share of the mean query time is left.
const UNREACHABLE_SHARE: f32 = 0.5;

/// The same share while other queries are queued. Upstream capacity is then better spent on queries
/// with more time left.
const UNREACHABLE_SHARE_WHEN_QUEUED: f32 = 1.5;

/// Age at which the mean query time is no longer used to refuse queries. Otherwise a service that
/// refuses every query would never measure a new query time and never recover.
const ESTIMATE_TTL: Duration = Duration::from_secs(1);

/// Maximum burst of hedges, in tokens. A replica that becomes slow holds up to ten requests in its
/// slots and queue before it is detected.
const HEDGE_BURST: u32 = 30;

/// Queued queries, ordered by deadline and then by serial number. The value is the slab index of
/// the query.
type Queue = BTreeMap<(Time, u64), u32>;

/// Admission state of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceAdmission {
    limit: f32,
    running: u32,
    /// Whether the limit has not been decreased yet and grows by one for each completed query.
    is_slow_start: bool,
    /// When the limit was last decreased.
    decreased_at: Time,
    /// Token bucket that limits the hedges of this service.
    pub(crate) hedge_budget: TokenBucket,
    /// One queue per priority class, highest first.
    queues: [Queue; 3],
    /// Starts of other classes since the last start of each class, while it had queued queries.
    starts_passed_over: [u32; 3],
    /// Moving average of the time from start to answer of complete queries, in microseconds.
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

/// Admission state of all services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    services: Vec<ServiceAdmission>,
    running: u32,
    queued: u32,
    /// Service that is considered first at the next start.
    next_service: usize,
    /// The same limit for every service, set under the baseline policy. `None` if the limits adapt
    /// to the congestion of the upstreams.
    fixed_limit: Option<f32>,
}

/// Position of a query in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    pub(crate) service: ServiceIndex,
    pub(crate) priority: Priority,
    pub(crate) deadline: Time,
    pub(crate) serial: u64,
}

/// How a running query ended, as input for the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryEnd {
    /// All keys were covered, without congestion.
    Complete,
    /// Replicas shed requests, reported long queues or replied too late.
    Congested,
    /// Keys are missing for a reason other than congestion.
    Other,
}

impl Admission {
    /// Applies the limits of a bundle.
    pub(crate) fn configure(&mut self, limits: &Limits, policy: Policy) {
        let max_limit = limits.concurrent_queries as f32;
        self.fixed_limit = (policy == Policy::Baseline).then_some(max_limit);
        for service in &mut self.services {
            service.limit = self.fixed_limit.unwrap_or(service.limit.min(max_limit));
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

    /// Removes a query from the queue.
    pub(crate) fn remove(&mut self, position: QueuePosition) {
        let queue = &mut self.service(position.service).queues[position.priority as usize];
        if queue.remove(&(position.deadline, position.serial)).is_some() {
            self.queued -= 1;
        }
    }

    /// Removes the next query that may start from the queue and counts it as running. Services take
    /// turns within a class.
    pub(crate) fn start_next(&mut self, limits: &Limits) -> Option<u32> {
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
        self.services[service].start_query(class)
    }

    /// Records the end of a running query.
    pub(crate) fn finish_query(
        &mut self,
        now: Time,
        service: ServiceIndex,
        started: Time,
        query_end: QueryEnd,
        limits: &Limits,
    ) {
        self.running -= 1;
        let max_limit = self.fixed_limit.is_none().then_some(limits.concurrent_queries as f32);
        self.service(service).finish_query(now, started, query_end, max_limit);
    }

    /// Removes the query to shed if the queue exceeds its limit. This is the query with the latest
    /// deadline in the lowest class that uses more than its reserved part, within the service that
    /// has the most queued queries.
    pub(crate) fn shed(&mut self, limits: &Limits) -> Option<u32> {
        if self.queued <= limits.queued_queries {
            return None;
        }
        let guaranteed = (limits.queued_queries / GUARANTEED_QUEUE_DIVISOR) as usize;
        let longest = self.services.iter_mut().max_by_key(|it| it.queue_len())?;
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
    /// Number of queued queries of this service.
    pub(crate) fn queue_len(&self) -> usize {
        self.queues.iter().map(BTreeMap::len).sum()
    }

    /// Estimated time until a query of this class would start if it were queued now.
    pub(crate) fn estimated_wait(&self, priority: Priority) -> Duration {
        let ahead: usize = self.queues[..=priority as usize].iter().map(BTreeMap::len).sum();
        if ahead == 0 && self.is_below_limit() {
            return Duration::ZERO;
        }
        // In each mean query time, `limit` running queries end.
        from_micros((ahead + 1) as f32 * self.mean_query_us / self.limit)
    }

    /// Whether a query that starts at `start` is unlikely to be answered by `deadline`.
    pub(crate) fn is_unreachable(&self, now: Time, start: Time, deadline: Time) -> bool {
        if self.mean_updated_at + ESTIMATE_TTL <= now {
            return deadline <= now;
        }
        let share =
            if self.queue_len() > 0 { UNREACHABLE_SHARE_WHEN_QUEUED } else { UNREACHABLE_SHARE };
        start + from_micros(share * self.mean_query_us) > deadline
    }

    fn is_below_limit(&self) -> bool {
        (self.running as f32) < self.limit
    }

    fn next_class(&self) -> Option<usize> {
        let is_waiting = |it: &usize| !self.queues[*it].is_empty();
        let starved = (0..3)
            .filter(is_waiting)
            .find(|it| self.starts_passed_over[*it] >= GUARANTEED_START_INTERVAL);
        starved.or_else(|| (0..3).find(is_waiting))
    }

    fn start_query(&mut self, class: usize) -> Option<u32> {
        self.running += 1;
        self.starts_passed_over[class] = 0;
        for other in (0..3).filter(|it| *it != class) {
            if !self.queues[other].is_empty() {
                self.starts_passed_over[other] += 1;
            }
        }
        self.queues[class].pop_first().map(|(_, index)| index)
    }

    /// Updates the mean query time and, if `max_limit` is set, the concurrency limit: slow start at
    /// first, then additive increase and multiplicative decrease.
    fn finish_query(
        &mut self,
        now: Time,
        started: Time,
        query_end: QueryEnd,
        max_limit: Option<f32>,
    ) {
        let was_at_limit = self.running as f32 + 1.0 > self.limit || self.queue_len() > 0;
        self.running -= 1;
        let took = micros(now.saturating_sub(started));
        if query_end == QueryEnd::Complete {
            let weight = if self.mean_query_us == 0.0 { 1.0 } else { 0.1 };
            self.mean_query_us += weight * (took - self.mean_query_us);
            self.mean_updated_at = now;
        }
        let Some(max_limit) = max_limit else { return };
        match query_end {
            // Queries that started before the last decrease ran under the old limit.
            QueryEnd::Congested if started >= self.decreased_at => {
                self.limit = (self.limit * LIMIT_DECREASE_FACTOR).max(1.0);
                self.is_slow_start = false;
                self.decreased_at = now;
            }
            QueryEnd::Complete if was_at_limit => {
                let step = if self.is_slow_start { 1.0 } else { 1.0 / self.limit };
                self.limit = (self.limit + step).min(max_limit);
            }
            _ => {}
        }
    }
}
