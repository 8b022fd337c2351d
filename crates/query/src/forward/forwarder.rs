//! The state machine.

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
    account::RetryBudget,
    choice::Choice,
    interface::{
        Action, Answer, AttemptKey, AttemptKind, Event, ReplicaKey, RequestKey, Submission,
    },
    membership::Membership,
    replicas::Replica,
    request::{Attempt, Request, Times},
    routes::{ReplicaInfo, Route, RouteTable, Target},
    services::{Distance, Service, Usual},
    splits::Split,
    suspects::Suspects,
};

/// Time between the answer and its arrival at the client that the objective has to cover: the way
/// back and the work that the instance has queued.
const RETURN_MARGIN: Duration = Duration::from_millis(14);

/// Time before the limit of a request at which its final answer is given.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Part of the objective for which a part waits for a replica with room. After it the client is
/// better served by another instance.
const WAIT_SHARE: f32 = 0.25;

/// Retry-After when no replica is known. The list is read each 700 ms.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Least Retry-After while replicas are busy: about the time in which a short queue drains.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry-After while the instance has no configuration.
const RETRY_AFTER_START: Duration = Duration::from_millis(500);

/// Instances that are assumed to share the connections until their number is known.
const FIRST_INSTANCES: u32 = 16;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Data centres of its region.
    pub region: Vec<DataCentre>,
    /// RetryBudget of extra sends.
    pub budget: RetryBudget,
    /// Seed of random choices.
    pub seed: u64,
}

/// Forwards requests.
#[derive(Clone, Debug)]
pub struct Forwarder {
    pub(super) settings: Settings,
    pub(super) rng: Rng,
    /// Instances that share the connections of replicas.
    pub(super) instances: u32,
    pub(super) membership: Membership,
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) services: HashMap<ServiceId, Service>,
    pub(super) splits: HashMap<CompactString, Split>,
    /// Usual latency by route.
    pub(super) usual: HashMap<CompactString, Usual>,
    pub(super) replicas: SlotMap<ReplicaKey, Replica>,
    pub(super) by_id: HashMap<ReplicaId, ReplicaKey>,
    pub(super) requests: SlotMap<RequestKey, Request>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) suspects: Suspects,
    pub(super) timers: BinaryHeap<Reverse<(Time, RequestKey)>>,
}

impl Forwarder {
    /// Builds a forwarder that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Forwarder {
        Forwarder {
            rng: Rng::with_seed(settings.seed),
            membership: Membership::new(settings.budget.window),
            settings,
            instances: FIRST_INSTANCES,
            table: None,
            services: HashMap::new(),
            splits: HashMap::new(),
            usual: HashMap::new(),
            replicas: SlotMap::with_key(),
            by_id: HashMap::new(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            suspects: Suspects::default(),
            timers: BinaryHeap::new(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Number of replicas that take work, and of all that are known.
    #[must_use]
    pub fn replica_counts(&self) -> (usize, usize) {
        let usable = self.replicas.values().filter(|it| it.takes_work()).count();
        (usable, self.replicas.len())
    }

    /// Takes over a budget of extra sends.
    pub fn set_budget(&mut self, budget: RetryBudget) {
        self.settings.budget = budget;
        self.membership.set_window(budget.window);
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Requests in quarantine and the time that is left.
    pub fn quarantined(&self, now: Time) -> impl Iterator<Item = (Fingerprint, Duration)> + '_ {
        self.suspects.quarantined(now)
    }

    /// Number of changes of the quarantine.
    #[must_use]
    pub fn quarantine_seq(&self) -> u64 {
        self.suspects.seq()
    }

    /// Time of the next timer.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.peek().map(|it| it.0.0)
    }

    /// Takes a request. Its answer may be among the actions already.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that has no route.
    pub fn submit(
        &mut self,
        now: Time,
        submission: &Submission,
        out: &mut Vec<Action>,
    ) -> Result<RequestKey, Answer> {
        let refused = |kind, retry_after| Answer::Refused { kind, retry_after };
        let Some(table) = self.table.clone() else {
            return Err(refused(ErrorKind::NotReady, Some(RETRY_AFTER_START)));
        };
        let Some(route) = table.find(&submission.host, &submission.path) else {
            return Err(refused(ErrorKind::NotFound, None));
        };
        let quarantined = self.suspects.quarantined_until(now, submission.fingerprint);
        if let Some(until) = quarantined {
            return Err(refused(ErrorKind::Quarantined, Some(until - now)));
        }
        let Some(services) = self.services_of(route) else {
            return Err(refused(ErrorKind::NoReplica, Some(RETRY_AFTER)));
        };
        let wait = submission.client_timeout.map_or(route.timeout, |it| it.min(route.timeout));
        let deadline = now + wait;
        let answer_at = deadline.saturating_sub(ANSWER_MARGIN.min(wait / 4));
        let times = Times {
            wait_until: now + route.latency_objective.mul_f32(WAIT_SHARE).min(wait / 4),
            cut_at: (now + route.latency_objective).saturating_sub(RETURN_MARGIN).min(answer_at),
            answer_at,
            deadline,
        };
        let request =
            Request::new(route.clone(), services.into_iter(), times, submission.fingerprint);
        if !self.usual.contains_key(&route.name) {
            self.usual.insert(route.name.clone(), Usual::new());
        }
        let key = self.requests.insert(request);
        self.begin(now, key, out);
        Ok(key)
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::ClientDisconnected(key) => {
                if let Some(request) = self.requests.remove(key) {
                    self.abandon_all(now, key, &request, out);
                }
            }
            Event::Sent(attempt) => self.note_sent(attempt),
            Event::Replied(attempt, reply) => {
                let service = self.service_of(attempt);
                self.replied(now, attempt, reply, out);
                self.serve_freed(now, service, out);
            }
            Event::Failed(attempt, failure) => {
                let service = self.service_of(attempt);
                self.failed(now, attempt, failure, out);
                self.serve_freed(now, service, out);
            }
            Event::Unreachable(replica) => {
                if let Some(it) = self.replicas.get_mut(replica) {
                    it.note_unreachable(now);
                }
                self.note_unreachable(now, replica, out);
            }
            Event::Configure(table) => self.configure(*table),
            Event::Replicas(list) => self.set_replicas(now, list, out),
            Event::PeerQuarantined(fingerprint, left) => {
                self.suspects.learn(now, fingerprint, left)
            }
            Event::Instances { requested_at, count, is_listed } => {
                self.instances = count.max(1);
                self.membership.looked(requested_at, count, is_listed);
            }
            Event::Stopping => self.membership.leave(),
            Event::Tick => self.tick(now, out),
        }
    }

    pub(super) fn services_of(&mut self, route: &Route) -> Option<Vec<ServiceId>> {
        match &route.target {
            Target::Gather { shards, .. } => Some(shards.clone()),
            Target::Split(parts) if parts.len() == 1 => Some(vec![parts[0].0.clone()]),
            Target::Split(parts) => {
                let split = self.splits.entry(route.name.clone()).or_default();
                Some(vec![split.next(parts)?.clone()])
            }
        }
    }

    pub(super) fn begin(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        let (min, rank) = (request.route.min_parts(), request.route.rank);
        let services: Vec<ServiceId> = request.parts.iter().map(|it| it.service.clone()).collect();
        for service in &services {
            let budget = self.settings.budget;
            self.service(service).account.add_request(now, &budget);
        }
        let mut chosen = Vec::with_capacity(services.len());
        for (part, service) in services.iter().enumerate() {
            chosen.push(match self.services.get(service) {
                Some(it) if it.waiting.is_ahead_of(rank) => Choice::Busy,
                _ => self.choose(now, key, part, AttemptKind::First),
            });
        }
        let possible = chosen.iter().filter(|it| **it != Choice::Nobody).count();
        if possible < min {
            let without = chosen.iter().position(|it| *it == Choice::Nobody).unwrap_or(0);
            let retry_after = self.retry_after(now, &services[without], rank);
            self.refuse(now, key, ErrorKind::NoReplica, Some(retry_after), out);
            return;
        }
        for (part, choice) in chosen.into_iter().enumerate() {
            match choice {
                Choice::Use(replica) => self.send(now, key, part, replica, AttemptKind::First, out),
                Choice::Busy => {
                    self.wait(now, key, part);
                    // A replica that was full may have room by now, for the first that waits.
                    self.serve_waiting(now, &services[part], out);
                }
                Choice::Nobody => {}
            }
        }
        self.arm(now, key);
    }

    /// When a client that is refused for want of a replica of a service should come back.
    pub(super) fn retry_after(&mut self, now: Time, name: &ServiceId, rank: u32) -> Duration {
        let Some(service) = self.services.get_mut(name) else { return RETRY_AFTER };
        let replicas = service.replicas.iter().filter_map(|it| self.replicas.get(*it));
        let room_at = replicas.filter(|it| it.takes_work()).map(Replica::room_at).min();
        let room_at = room_at.map_or(now + RETRY_AFTER, |it| it.max(now + LEAST_RETRY_AFTER));
        service.returns.next(now, rank, room_at)
    }

    /// Service of an attempt, if parts wait for it.
    fn service_of(&self, attempt: AttemptKey) -> Option<ServiceId> {
        let attempt = self.attempts.get(attempt)?;
        let name = &self.replicas.get(attempt.replica)?.info.service;
        let service = self.services.get(name)?;
        service.waiting.next().is_some().then(|| name.clone())
    }

    /// Gives the room that an attempt has left to the parts that wait.
    fn serve_freed(&mut self, now: Time, service: Option<ServiceId>, out: &mut Vec<Action>) {
        if let Some(name) = service {
            self.serve_waiting(now, &name, out);
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(Reverse((at, key))) = self.timers.peek().copied()
            && at <= now
        {
            self.timers.pop();
            let Some(request) = self.requests.get_mut(key) else { continue };
            if request.armed != at {
                continue;
            }
            request.armed = Time::MAX;
            self.check(now, key, out);
            self.arm(now, key);
        }
    }

    pub(super) fn arm(&mut self, now: Time, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let at = request.next_timer(now);
        if at < request.armed {
            request.armed = at;
            self.timers.push(Reverse((at, key)));
        }
    }

    pub(super) fn configure(&mut self, table: RouteTable) {
        if self.table.as_ref().is_some_and(|it| it.version >= table.version) {
            return;
        }
        let names: Vec<ServiceId> =
            table.routes().flat_map(|it| it.services().cloned().collect::<Vec<_>>()).collect();
        for name in names {
            self.service(&name);
        }
        self.usual.retain(|name, _| table.routes().any(|it| it.name == *name));
        for (name, info) in &table.services {
            self.service(name).max_connections = info.max_connections;
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
            let key = self.renew(now, known, info, out);
            self.by_id.insert(self.replicas[key].info.id.clone(), key);
        }
        for (_, key) in before {
            self.unlist(key, out);
        }
        for service in self.services.values_mut() {
            service.replicas.clear();
        }
        let members: Vec<(ServiceId, ReplicaKey)> =
            self.by_id.values().map(|it| (self.replicas[*it].info.service.clone(), *it)).collect();
        for (service, key) in members {
            self.service(&service).replicas.push(key);
        }
        for service in self.services.values_mut() {
            service.replicas.sort_unstable();
        }
    }

    /// Takes over the news of a known lifetime, or begins a new one.
    pub(super) fn renew(
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
            self.unlist(key, out);
        }
        let distance = if info.data_centre == self.settings.data_centre {
            Distance::Local
        } else if self.settings.region.contains(&info.data_centre) {
            Distance::Near
        } else {
            Distance::Far
        };
        self.replicas.insert(Replica::new(now, info, distance))
    }

    pub(super) fn unlist(&mut self, key: ReplicaKey, out: &mut Vec<Action>) {
        out.push(Action::RemoveReplica(key));
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.is_listed = false;
            if replica.in_flight.is_empty() {
                self.replicas.remove(key);
            }
        }
    }

    pub(super) fn service(&mut self, name: &ServiceId) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), Service::new());
        }
        self.services.get_mut(name).expect("the service was just added")
    }
}
