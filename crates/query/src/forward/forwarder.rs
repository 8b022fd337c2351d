//! State machine that forwards requests to replicas and combines their replies.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use fastrand::Rng;
use rosemarybank_protocol::prelude::*;
use slotmap::SlotMap;

use crate::forward::{
    crash_detector::CrashDetector,
    interface::{
        Action, Answer, AttemptInfo, AttemptKey, AttemptKind, CrashSign, Event, ReplicaKey,
        RequestKey, Submission,
    },
    membership::Membership,
    replicas::Replica,
    request::{Attempt, Deadlines, Request},
    retry_budget::RetryBudget,
    routes::{ReplicaInfo, Route, RouteTable, Target},
    selection::Selection,
    services::{Distance, RouteLatency, Service},
    weighted_round_robin::WeightedRoundRobin,
    withdrawals::RemovedReplicas,
};

/// Time reserved for an answer to reach the client within the latency objective: the network delay
/// and the work already queued at the instance.
const RESPONSE_MARGIN: Duration = Duration::from_millis(14);

/// How long before the deadline of a request its final answer is sent.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Fraction of the latency objective that a part may wait for a replica with free capacity. After
/// that, another instance is likely to serve the client sooner.
const MAX_WAIT_FRACTION: f32 = 0.25;

/// `Retry-After` when no replica is known. The replica list is read every 700 ms.
const RETRY_AFTER_NO_REPLICA: Duration = Duration::from_millis(250);

/// Minimum `Retry-After` while all replicas are busy: roughly the time a short queue takes to
/// drain.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` before the instance has loaded a configuration.
const RETRY_AFTER_NO_CONFIG: Duration = Duration::from_millis(500);

/// Number of instances assumed to share the connections to replicas until the first list arrives.
const INITIAL_INSTANCE_COUNT: u32 = 16;

/// Settings of a [`Forwarder`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// Data centres in the region of this instance.
    pub region: Vec<DataCentre>,
    /// Limit on extra attempts (retries and hedges).
    pub budget: RetryBudget,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Selects replicas, retries failed attempts, hedges late ones, and decides when and how to answer.
#[derive(Clone, Debug)]
pub struct Forwarder {
    pub(super) settings: Settings,
    pub(super) rng: Rng,
    /// Number of instances that share the connections to replicas.
    pub(super) instance_count: u32,
    pub(super) membership: Membership,
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) services: HashMap<ServiceId, Service>,
    /// Traffic split state by route name.
    pub(super) splits: HashMap<CompactString, WeightedRoundRobin>,
    /// Observed latencies by route name.
    pub(super) route_latencies: HashMap<CompactString, RouteLatency>,
    pub(super) replicas: SlotMap<ReplicaKey, Replica>,
    pub(super) by_id: HashMap<ReplicaId, ReplicaKey>,
    pub(super) requests: SlotMap<RequestKey, Request>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) removed_replicas: RemovedReplicas,
    pub(super) crash_detector: CrashDetector,
    pub(super) timers: BinaryHeap<Reverse<(Time, RequestKey)>>,
    /// Latest time for an answer, because the process exits; [`Time::MAX`] before a shutdown.
    answer_by: Time,
}

impl Forwarder {
    /// Creates a forwarder without a configuration or replicas.
    #[must_use]
    pub fn new(settings: Settings) -> Forwarder {
        Forwarder {
            rng: Rng::with_seed(settings.seed),
            membership: Membership::new(settings.budget.window),
            settings,
            instance_count: INITIAL_INSTANCE_COUNT,
            table: None,
            services: HashMap::new(),
            splits: HashMap::new(),
            route_latencies: HashMap::new(),
            replicas: SlotMap::with_key(),
            by_id: HashMap::new(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            removed_replicas: RemovedReplicas::default(),
            crash_detector: CrashDetector::default(),
            timers: BinaryHeap::new(),
            answer_by: Time::MAX,
        }
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the number of replicas that accept requests, and the number of known replicas.
    #[must_use]
    pub fn replica_counts(&self) -> (usize, usize) {
        let usable = self.replicas.values().filter(|it| it.accepts_requests()).count();
        (usable, self.replicas.len())
    }

    /// Describes an attempt in flight, for logs.
    #[must_use]
    pub fn attempt_info(&self, attempt: AttemptKey) -> Option<AttemptInfo<'_>> {
        let attempt = self.attempts.get(attempt)?;
        Some(AttemptInfo {
            request: attempt.request,
            replica: self.replicas.get(attempt.replica).map_or("", |it| &it.info.id),
            started_at: attempt.sent_at,
        })
    }

    /// Replaces the limit on extra attempts.
    pub fn set_budget(&mut self, budget: RetryBudget) {
        self.settings.budget = budget;
        self.membership.set_window(budget.window);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the quarantined requests with their remaining quarantine time.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (Fingerprint, Duration)> + '_ {
        self.crash_detector.quarantined(now)
    }

    /// Returns the newest crashes that this instance knows of, for other instances.
    pub fn crash_signs(&self, now: Time) -> impl Iterator<Item = CrashSign> + '_ {
        self.crash_detector.crash_signs(now)
    }

    /// Returns a counter that increases with every crash and every request that is quarantined, but not
    /// at the end of a quarantine.
    #[must_use]
    pub fn quarantine_seq(&self) -> u64 {
        self.crash_detector.seq()
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.peek().map(|it| it.0.0)
    }

    /// Accepts a client request. The returned actions may already contain its answer.
    ///
    /// # Errors
    ///
    /// Returns the answer directly if there is no configuration, no service or no matching route,
    /// or if the request is quarantined.
    pub fn submit(
        &mut self,
        now: Time,
        submission: &Submission,
        out: &mut Vec<Action>,
    ) -> Result<RequestKey, Answer> {
        let refused = |kind, retry_after| Answer::Refused { kind, retry_after };
        let Some(table) = self.table.clone() else {
            return Err(refused(ErrorKind::NotReady, Some(RETRY_AFTER_NO_CONFIG)));
        };
        let Some(route) = table.find(&submission.host, &submission.path) else {
            return Err(refused(ErrorKind::NotFound, None));
        };
        let quarantined = self.crash_detector.quarantined_until(now, submission.fingerprint);
        if let Some(until) = quarantined {
            return Err(refused(ErrorKind::Quarantined, Some(until - now)));
        }
        if self.exits_too_soon(now, route) {
            return Err(refused(ErrorKind::NotReady, Some(Duration::ZERO)));
        }
        if submission.client_timeout.is_some_and(|it| it.is_zero()) {
            return Err(refused(ErrorKind::DeadlineUnreachable, None));
        }
        let Some(services) = self.target_services(route) else {
            return Err(refused(ErrorKind::NoReplica, Some(RETRY_AFTER_NO_REPLICA)));
        };
        let timeout = submission.client_timeout.map_or(route.timeout, |it| it.min(route.timeout));
        let deadline = now + timeout;
        let answer_at = deadline.saturating_sub(FINAL_ANSWER_MARGIN.min(timeout / 4));
        let deadlines = Deadlines {
            wait_until: now + route.latency_objective.mul_f32(MAX_WAIT_FRACTION).min(timeout / 4),
            partial_answer_at: (now + route.latency_objective)
                .saturating_sub(RESPONSE_MARGIN)
                .min(answer_at),
            answer_at,
            deadline,
        };
        let mut request =
            Request::new(route.clone(), services.into_iter(), deadlines, submission.fingerprint);
        request.limit(self.answer_by);
        if !self.route_latencies.contains_key(&route.name) {
            self.route_latencies.insert(route.name.clone(), RouteLatency::new());
        }
        let key = self.requests.insert(request);
        self.start_request(now, key, out);
        Ok(key)
    }

    /// Whether the process exits before a new request of the route is likely to be answered. It is refused
    /// then, because another instance can still serve it.
    fn exits_too_soon(&self, now: Time, route: &Route) -> bool {
        let latency = self.route_latencies.get(&route.name);
        let usual = latency.map_or(Duration::ZERO, RouteLatency::usual_duration);
        now.saturating_add(usual) >= self.answer_by
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::ClientDisconnected(key) => {
                if let Some(request) = self.requests.remove(key) {
                    self.abandon_all(now, key, &request, out);
                }
            }
            Event::Sent(attempt) => self.record_sent(attempt),
            Event::Replied(attempt, reply) => {
                let service = self.service_with_waiters(attempt);
                self.handle_reply(now, attempt, reply, out);
                self.dispatch_after_end(now, service, out);
            }
            Event::Failed(attempt, failure) => {
                let service = self.service_with_waiters(attempt);
                self.handle_failure(now, attempt, failure, out);
                self.dispatch_after_end(now, service, out);
            }
            Event::Unreachable(replica) => {
                if let Some(it) = self.replicas.get_mut(replica) {
                    it.record_unreachable(now);
                }
                self.record_unreachable(now, replica, out);
            }
            Event::ClosedUnused(replica) => {
                if self.crash_detector.is_reconnect_due(now, replica) {
                    self.reconnect(replica, out);
                }
            }
            Event::Configure(table) => self.configure(*table),
            Event::Replicas(list) => self.set_replicas(now, list, out),
            Event::PeerQuarantined(fingerprint, left) => {
                self.crash_detector.add_peer_quarantine(now, fingerprint, left)
            }
            Event::PeerCrash(sign) => {
                if self.crash_detector.add_peer_crash(now, &sign) {
                    out.push(Action::Quarantine(sign.fingerprint));
                }
            }
            Event::Instances { requested_at, count, is_listed } => {
                self.instance_count = count.max(1);
                self.membership.record_list(requested_at, count, is_listed);
            }
            Event::Stopping { answer_by } => self.stop(now, answer_by),
            Event::Tick => self.tick(now, out),
        }
    }

    pub(super) fn target_services(&mut self, route: &Route) -> Option<Vec<ServiceId>> {
        match &route.target {
            Target::Gather { shards, .. } if shards.is_empty() => None,
            Target::Gather { shards, .. } => Some(shards.clone()),
            Target::Split(parts) if parts.len() == 1 => Some(vec![parts[0].0.clone()]),
            Target::Split(parts) => {
                let split = self.splits.entry(route.name.clone()).or_default();
                Some(vec![split.next(parts)?.clone()])
            }
        }
    }

    pub(super) fn start_request(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        let (min, rank) = (request.route.min_parts(), request.route.rank);
        let services: Vec<ServiceId> = request.parts.iter().map(|it| it.service.clone()).collect();
        for service in &services {
            let budget = self.settings.budget;
            self.service_mut(service).budget_tracker.add_request(now, &budget);
        }
        let mut selections = Vec::with_capacity(services.len());
        for (part, service) in services.iter().enumerate() {
            selections.push(match self.services.get(service) {
                Some(it) if it.wait_queue.has_waiter_ahead_of(rank) => Selection::Busy,
                _ => self.select_replica(now, key, part, AttemptKind::First),
            });
        }
        let possible = selections.iter().filter(|it| **it != Selection::NoCandidate).count();
        if possible < min {
            let missing =
                selections.iter().position(|it| *it == Selection::NoCandidate).unwrap_or(0);
            let retry_after = self.retry_after(now, &services[missing], rank);
            self.refuse(now, key, ErrorKind::NoReplica, Some(retry_after), out);
            return;
        }
        for (part, selection) in selections.into_iter().enumerate() {
            match selection {
                Selection::Replica(replica) => {
                    self.send(now, key, part, replica, AttemptKind::First, out)
                }
                Selection::Busy => {
                    self.enqueue(now, key, part);
                    // A full replica may have free capacity again. It goes to the first part in the
                    // queue.
                    self.dispatch_waiting(now, &services[part], out);
                }
                Selection::NoCandidate => {}
            }
        }
        self.schedule_timer(now, key);
    }

    /// Returns the `Retry-After` of a client that is refused because no replica of a service is
    /// available.
    pub(super) fn retry_after(&mut self, now: Time, name: &ServiceId, rank: u32) -> Duration {
        let Some(service) = self.services.get_mut(name) else { return RETRY_AFTER_NO_REPLICA };
        let replicas = service.replicas.iter().filter_map(|it| self.replicas.get(*it));
        let available_at =
            replicas.filter(|it| it.accepts_requests()).map(Replica::available_at).min();
        let available_at =
            available_at.map_or(now + RETRY_AFTER_NO_REPLICA, |it| it.max(now + MIN_RETRY_AFTER));
        service.retry_after.next_delay(now, rank, available_at)
    }

    /// Returns the service of an attempt if other parts are queued for it.
    fn service_with_waiters(&self, attempt: AttemptKey) -> Option<ServiceId> {
        let attempt = self.attempts.get(attempt)?;
        let name = &self.replicas.get(attempt.replica)?.info.service;
        let service = self.services.get(name)?;
        service.wait_queue.next().is_some().then(|| name.clone())
    }

    /// Assigns the capacity that an ended attempt has freed to queued parts.
    fn dispatch_after_end(&mut self, now: Time, service: Option<ServiceId>, out: &mut Vec<Action>) {
        if let Some(name) = service {
            self.dispatch_waiting(now, &name, out);
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(Reverse((at, key))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            let Some(request) = self.requests.get_mut(key) else { continue };
            if request.timer_at != at {
                continue;
            }
            request.timer_at = Time::MAX;
            self.run_timers(now, key, out);
            self.schedule_timer(now, key);
        }
    }

    pub(super) fn schedule_timer(&mut self, now: Time, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let at = request.next_timer(now);
        if at < request.timer_at {
            request.timer_at = at;
            self.timers.push(Reverse((at, key)));
        }
    }

    /// Limits the time of all requests, because the process exits.
    fn stop(&mut self, now: Time, answer_by: Time) {
        self.membership.leave();
        self.answer_by = answer_by;
        let keys: Vec<RequestKey> = self.requests.keys().collect();
        for key in keys {
            self.requests[key].limit(answer_by);
            self.schedule_timer(now, key);
        }
    }

    pub(super) fn configure(&mut self, table: RouteTable) {
        if self.table.as_ref().is_some_and(|it| it.version >= table.version) {
            return;
        }
        let names: Vec<ServiceId> =
            table.routes().flat_map(|it| it.services().cloned().collect::<Vec<_>>()).collect();
        for name in names {
            self.service_mut(&name);
        }
        self.route_latencies.retain(|name, _| table.routes().any(|it| it.name == *name));
        for (name, info) in &table.services {
            self.service_mut(name).max_connections = info.max_connections;
        }
        self.table = Some(Arc::new(table));
    }

    pub(super) fn set_replicas(
        &mut self,
        now: Time,
        list: Vec<ReplicaInfo>,
        out: &mut Vec<Action>,
    ) {
        let mut before = std::mem::take(&mut self.by_id);
        for info in list {
            let known = before.remove(&info.id);
            let key = self.update_replica(now, known, info, out);
            self.by_id.insert(self.replicas[key].info.id.clone(), key);
        }
        for (_, key) in before {
            self.remove_replica(now, key, out);
        }
        for service in self.services.values_mut() {
            service.replicas.clear();
        }
        let members: Vec<(ServiceId, ReplicaKey)> =
            self.by_id.values().map(|it| (self.replicas[*it].info.service.clone(), *it)).collect();
        for (service, key) in members {
            self.service_mut(&service).replicas.push(key);
        }
        for service in self.services.values_mut() {
            service.replicas.sort_unstable();
        }
    }

    /// Updates a known replica, or adds a new one if its address, start time or service differs.
    pub(super) fn update_replica(
        &mut self,
        now: Time,
        known: Option<ReplicaKey>,
        info: ReplicaInfo,
        out: &mut Vec<Action>,
    ) -> ReplicaKey {
        if let Some(key) = known {
            let replica = &mut self.replicas[key];
            let old = &replica.info;
            if (old.addr, old.born_ms, &old.service) == (info.addr, info.born_ms, &info.service) {
                replica.info = info;
                return key;
            }
            self.remove_replica(now, key, out);
        }
        let distance = if info.data_centre == self.settings.data_centre {
            Distance::Local
        } else if self.settings.region.contains(&info.data_centre) {
            Distance::Near
        } else {
            Distance::Far
        };
        let withdrawal = self.removed_replicas.find(now, &info).unwrap_or_default();
        let mut replica = Replica::new(now, info, distance);
        replica.withdrawal = withdrawal;
        self.replicas.insert(replica)
    }

    pub(super) fn remove_replica(&mut self, now: Time, key: ReplicaKey, out: &mut Vec<Action>) {
        self.remember_withdrawal(now, key);
        out.push(Action::RemoveReplica(key));
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.is_listed = false;
            if replica.in_flight.is_empty() {
                self.replicas.remove(key);
            }
        }
    }

    pub(super) fn service_mut(&mut self, name: &ServiceId) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), Service::new());
        }
        self.services.get_mut(name).expect("the service was just added")
    }
}
