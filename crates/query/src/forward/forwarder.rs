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

use crate::{
    forward::{
        account::Budget,
        choice::{Choice, Chooser},
        interface::{
            Action, Answer, AttemptKey, Event, Failure, ReplicaKey, Reply, RequestKey, SendKind,
            Submission,
        },
        replicas::Replica,
        request::{Attempt, Part, Request, Times},
        routes::{ReplicaInfo, Route, RouteTable, Target},
        services::{Distance, Service, Usual},
        splits::Split,
        suspects::Suspects,
    },
    latency::micros,
};

/// Time between the answer and its arrival at the client that the objective has to cover: the way
/// back and the work that the instance has queued.
const RETURN_MARGIN: Duration = Duration::from_millis(14);

/// Time before the limit of a request at which its final answer is given.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// Part of the objective after which an attempt is late even if that is usual for its service: a
/// second replica then still has time to answer.
const LATE_SHARE: f32 = 0.35;

/// A late attempt that could not be hedged is looked at again after this time: about the time in
/// which another reply changes the budget or the choice.
const RECHECK: Duration = Duration::from_millis(10);

/// Part of the objective for which a part waits for a replica with room. After it the client is
/// better served by another instance.
const WAIT_SHARE: f32 = 0.25;

/// Time after which a part that waits for room looks again: about the time of a short request.
const LOOK_EVERY: Duration = Duration::from_millis(4);

/// Sends that replicas refused, beyond the attempts of the route, before a part is given up.
const MAX_REFUSED: u32 = 2;

/// Least time left for which another attempt is made.
const LEAST_LEFT: Duration = Duration::from_millis(8);

/// Time for which the connection of an unwanted attempt is kept open for its reply: pauses of
/// replicas end within it, and a client that left must not keep a replica busy for half a second.
const ABANDON_KEEP: Duration = Duration::from_millis(250);

/// Retry-After of a refusal when replicas are missing or busy. Replicas that restart or drain their
/// queue need some hundred milliseconds.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry-After while the instance has no configuration.
const RETRY_AFTER_START: Duration = Duration::from_millis(500);

/// Instances that are assumed until their number is known.
const FIRST_INSTANCES: u32 = 16;

/// Fewest connections that an instance may open to a replica, however many instances there are.
const LEAST_CONNECTIONS: u32 = 2;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Data centres of its region.
    pub region: Vec<DataCentre>,
    /// Budget of extra sends.
    pub budget: Budget,
    /// Seed of random choices.
    pub seed: u64,
}

/// Forwards requests.
#[derive(Debug)]
pub struct Forwarder {
    settings: Settings,
    rng: Rng,
    instances: u32,
    table: Option<Arc<RouteTable>>,
    services: HashMap<ServiceId, Service>,
    splits: HashMap<CompactString, Split>,
    /// Usual latency by route.
    usual: HashMap<CompactString, Usual>,
    replicas: SlotMap<ReplicaKey, Replica>,
    by_id: HashMap<ReplicaId, ReplicaKey>,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    suspects: Suspects,
    timers: BinaryHeap<Reverse<(Time, RequestKey)>>,
}

impl Forwarder {
    /// Builds a forwarder that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings) -> Forwarder {
        Forwarder {
            rng: Rng::with_seed(settings.seed),
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
    pub fn set_budget(&mut self, budget: Budget) {
        self.settings.budget = budget;
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
        let wait = submission.wait.map_or(route.timeout, |it| it.min(route.timeout));
        let deadline = now + wait;
        let answer_at = deadline.saturating_sub(ANSWER_MARGIN.min(wait / 4));
        let times = Times {
            wait_until: now + route.objective.mul_f32(WAIT_SHARE).min(wait / 4),
            cut_at: (now + route.objective).saturating_sub(RETURN_MARGIN).min(answer_at),
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
            Event::ClientGone(key) => {
                if let Some(request) = self.requests.remove(key) {
                    self.abandon_all(now, &request, out);
                }
            }
            Event::Sent(attempt) => self.note_sent(attempt),
            Event::Replied(attempt, reply) => self.replied(now, attempt, reply, out),
            Event::Failed(attempt, failure) => self.failed(now, attempt, failure, out),
            Event::Unreachable(replica) => {
                if let Some(it) = self.replicas.get_mut(replica) {
                    it.note_unreachable(now);
                }
                self.note_unreachable(now, replica, out);
            }
            Event::Configure(table) => self.configure(*table),
            Event::Replicas(list) => self.set_replicas(now, list, out),
            Event::Condemned(fingerprint, left) => self.suspects.learn(now, fingerprint, left),
            Event::Instances(count) => self.instances = count.max(1),
            Event::Tick => self.tick(now, out),
        }
    }

    fn services_of(&mut self, route: &Route) -> Option<Vec<ServiceId>> {
        match &route.target {
            Target::Gather { shards, .. } => Some(shards.clone()),
            Target::Split(parts) if parts.len() == 1 => Some(vec![parts[0].0.clone()]),
            Target::Split(parts) => {
                let split = self.splits.entry(route.name.clone()).or_default();
                Some(vec![split.next(parts)?.clone()])
            }
        }
    }

    fn begin(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        let min = request.route.min_parts();
        let services: Vec<ServiceId> = request.parts.iter().map(|it| it.service.clone()).collect();
        for service in &services {
            let budget = self.settings.budget;
            self.service(service).account.add_request(now, &budget);
        }
        let chosen: Vec<Choice> =
            (0..services.len()).map(|part| self.choose(now, key, part, SendKind::First)).collect();
        let possible = chosen.iter().filter(|it| **it != Choice::Nobody).count();
        if possible < min {
            self.refuse(now, key, ErrorKind::NoReplica, Some(RETRY_AFTER), out);
            return;
        }
        for (part, choice) in chosen.into_iter().enumerate() {
            match choice {
                Choice::Use(replica) => self.send(now, key, part, replica, SendKind::First, out),
                Choice::Busy => self.wait(now, key, part),
                Choice::Nobody => {}
            }
        }
        self.arm(now, key);
    }

    /// Makes a part wait for a replica with room.
    fn wait(&mut self, now: Time, key: RequestKey, part: usize) {
        let part = &mut self.requests[key].parts[part];
        part.is_waiting = true;
        part.look_at = now + LOOK_EVERY;
    }

    /// Sends a part that waits, if a replica has room by now.
    fn end_wait(&mut self, now: Time, key: RequestKey, index: usize, out: &mut Vec<Action>) {
        let is_over = now >= self.requests[key].wait_until;
        let choice = self.choose(now, key, index, SendKind::First);
        if choice == Choice::Busy && !is_over {
            return self.wait(now, key, index);
        }
        let part = &mut self.requests[key].parts[index];
        part.is_waiting = false;
        part.look_at = Time::MAX;
        match choice {
            Choice::Use(replica) => self.send(now, key, index, replica, SendKind::First, out),
            Choice::Busy | Choice::Nobody => self.settle(now, key, out),
        }
    }

    fn choose(&mut self, now: Time, key: RequestKey, part: usize, kind: SendKind) -> Choice {
        let Some(request) = self.requests.get(key) else { return Choice::Nobody };
        let (objective, part) = (request.route.objective, &request.parts[part]);
        let Some(service) = self.services.get(&part.service) else { return Choice::Nobody };
        let Some(usual) = self.usual.get(&request.route.name) else { return Choice::Nobody };
        let mut chooser = Chooser {
            now,
            rng: &mut self.rng,
            connections: connections(service.max_connections, self.instances),
            late_cap: objective.mul_f32(LATE_SHARE),
            service,
            usual,
            replica: |it| self.replicas.get(it),
        };
        match kind {
            SendKind::Hedge => chooser.best_for_hedge(&part.tried),
            SendKind::First | SendKind::Retry => chooser.best(&part.tried),
        }
    }

    fn send(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        replica_key: ReplicaKey,
        kind: SendKind,
        out: &mut Vec<Action>,
    ) {
        let request = &mut self.requests[key];
        let attempt = self.attempts.insert(Attempt {
            request: key,
            route: request.route.name.clone(),
            part: index,
            replica: replica_key,
            sent: now,
            fingerprint: request.fingerprint,
            kind,
            is_sent: false,
            is_abandoned: false,
            is_late: false,
        });
        let part = &mut request.parts[index];
        part.running.push(attempt);
        part.tried.push(replica_key);
        let replica = &mut self.replicas[replica_key];
        replica.begin(now, attempt);
        let cap = request.route.objective.mul_f32(LATE_SHARE);
        let usual = &self.usual[&request.route.name];
        part.look_at = match kind {
            SendKind::Hedge => Time::MAX,
            _ if !request.route.is_idempotent => Time::MAX,
            _ => now + usual.late_after(replica.distance, cap),
        };
        out.push(Action::Send {
            attempt,
            request: key,
            replica: replica_key,
            id: replica.info.id.clone(),
            addr: replica.info.addr,
            deadline: request.deadline,
            is_once: !request.route.is_idempotent,
            service: part.service.clone(),
            kind,
        });
    }

    fn note_sent(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.is_sent = true;
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.may_have_run = true;
            request.parts[attempt.part].arrivals += 1;
            request.parts[attempt.part].runs += 1;
        }
    }

    /// Takes an attempt off the books. Returns it with the index of its part if the request still
    /// waits for it.
    fn end_attempt(&mut self, key: AttemptKey) -> Option<(Attempt, bool)> {
        let attempt = self.attempts.remove(key)?;
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            replica.in_flight.retain(|it| it.0 != key);
            if !replica.is_listed && replica.in_flight.is_empty() {
                self.replicas.remove(attempt.replica);
            }
        }
        let request = self.requests.get_mut(attempt.request);
        let Some(part) = request.map(|it| &mut it.parts[attempt.part]) else {
            return Some((attempt, false));
        };
        part.running.retain(|it| *it != key);
        let is_wanted = !attempt.is_abandoned && !part.is_done;
        Some((attempt, is_wanted))
    }

    fn replied(&mut self, now: Time, key: AttemptKey, reply: Reply, out: &mut Vec<Action>) {
        let Some((attempt, is_wanted)) = self.end_attempt(key) else { return };
        let took = now.saturating_sub(attempt.sent);
        let is_good = (200..300).contains(&reply.status) && reply.stamp.is_some();
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            match (is_good, reply.is_not_run) {
                (true, _) => replica.note_success(now, took),
                (_, true) => replica.note_full(now),
                _ => replica.note_failure(now),
            }
            if is_good && let Some(usual) = self.usual.get_mut(&attempt.route) {
                usual.record(micros(took), replica.distance);
            }
        }
        if is_good {
            self.suspects.note_success(now, attempt.fingerprint);
        }
        if !is_wanted {
            return;
        }
        if is_good {
            self.complete_part(now, &attempt, reply, out);
        } else if reply.is_not_run {
            self.note_not_run(&attempt);
            self.part_failed(now, &attempt, out);
        } else {
            if let Some(request) = self.requests.get_mut(attempt.request) {
                request.failure = Some(reply);
            }
            self.part_failed(now, &attempt, out);
        }
    }

    fn failed(&mut self, now: Time, key: AttemptKey, failure: Failure, out: &mut Vec<Action>) {
        let Some((attempt, is_wanted)) = self.end_attempt(key) else { return };
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            match failure {
                Failure::NotSent => {}
                Failure::NotAccepted => replica.note_not_accepted(now),
                Failure::Unreachable | Failure::OtherReplica => replica.note_unreachable(now),
                Failure::Broken => replica.note_failure(now),
                Failure::Abandoned if attempt.is_late => {}
                Failure::Abandoned => replica.note_latency(now, now.saturating_sub(attempt.sent)),
            }
        }
        match failure {
            Failure::Broken if attempt.is_sent => {
                let Attempt { replica, fingerprint, sent, .. } = attempt;
                self.suspects.note_broken(now, replica, fingerprint, sent);
                if let Some(it) = self.replicas.get(replica).filter(|it| it.is_listed) {
                    out.push(Action::Reopen { replica, addr: it.info.addr });
                }
            }
            Failure::Unreachable => self.note_unreachable(now, attempt.replica, out),
            _ => {}
        }
        if !is_wanted {
            return;
        }
        match failure {
            Failure::OtherReplica => self.note_not_run(&attempt),
            Failure::NotAccepted => return self.wait_for_room(now, &attempt, out),
            _ => {}
        }
        self.part_failed(now, &attempt, out);
    }

    /// Attempts of a part that replicas have run or may still run. One whose connection is being
    /// opened counts, because its bytes follow without another decision.
    fn may_run(&self, part: &Part) -> u32 {
        let is_unsent = |it: &&AttemptKey| self.attempts.get(**it).is_some_and(|it| !it.is_sent);
        part.runs + part.running.iter().filter(is_unsent).count() as u32
    }

    /// Tries a part again whose replica accepted no further connection: another replica at once, or
    /// the same one when it may have room.
    fn wait_for_room(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let part = &mut request.parts[attempt.part];
        part.tried.retain(|it| *it != attempt.replica);
        // A hedge that found no room leaves the first attempt as it is.
        if part.running.is_empty() {
            self.end_wait(now, attempt.request, attempt.part, out);
            self.arm(now, attempt.request);
        }
    }

    fn note_unreachable(&mut self, now: Time, replica: ReplicaKey, out: &mut Vec<Action>) {
        let condemned = self.suspects.note_unreachable(now, replica);
        out.extend(condemned.into_iter().map(Action::Condemn));
    }

    fn note_not_run(&mut self, attempt: &Attempt) {
        if let Some(request) = self.requests.get_mut(attempt.request) {
            let part = &mut request.parts[attempt.part];
            part.runs = part.runs.saturating_sub(1);
            request.may_have_run = request.parts.iter().any(|it| it.runs > 0);
        }
    }

    fn complete_part(&mut self, now: Time, attempt: &Attempt, reply: Reply, out: &mut Vec<Action>) {
        let key = attempt.request;
        let Some(request) = self.requests.get_mut(key) else { return };
        if !request.is_gather() {
            self.answer(now, key, Answer::Relay(reply), out);
            return;
        }
        request.top.add(&reply.body);
        request.stamps.extend(reply.stamp);
        let part = &mut request.parts[attempt.part];
        part.is_done = true;
        let losers = std::mem::take(&mut part.running);
        self.abandon(now, &losers, out);
        self.settle(now, key, out);
    }

    /// Tries another replica for a part whose attempt failed, or gives the part up.
    fn part_failed(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<Action>) {
        let (key, index) = (attempt.request, attempt.part);
        if self.may_retry(now, key, index)
            && let Choice::Use(replica) = self.choose(now, key, index, SendKind::Retry)
        {
            let part = &self.requests[key].parts[index];
            let (arrived, name) = (part.arrivals > 0, part.service.clone());
            if arrived {
                let budget = self.settings.budget;
                self.service(&name).account.add_extra(now, &budget);
            }
            self.send(now, key, index, replica, SendKind::Retry, out);
            self.arm(now, key);
            return;
        }
        self.settle(now, key, out);
    }

    fn may_retry(&mut self, now: Time, key: RequestKey, index: usize) -> bool {
        let Some(request) = self.requests.get(key) else { return false };
        let part = &request.parts[index];
        let attempts = request.route.attempts.max(1);
        let has_room =
            self.may_run(part) < attempts && (part.tried.len() as u32) < attempts + MAX_REFUSED;
        let is_safe = request.route.is_idempotent || part.runs == 0;
        let is_condemned = self.suspects.quarantined_until(now, request.fingerprint).is_some();
        if is_condemned
            || !has_room
            || !is_safe
            || request.time_left(now) < LEAST_LEFT
            || !part.running.is_empty()
        {
            return false;
        }
        let (arrived, name) = (part.arrivals > 0, part.service.clone());
        let (budget, instances) = (self.settings.budget, self.instances);
        !arrived || self.service(&name).account.allows_retry(now, &budget, instances)
    }

    /// Answers a gathered request when it is complete, when nothing more can come, or when waiting
    /// longer is worth less than answering now.
    fn settle(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(key) else { return };
        let (done, open, total) = (request.done(), request.open(), request.parts.len());
        let min = request.route.min_parts();
        if !request.is_gather() {
            if open == 0 {
                self.give_up(now, key, out);
            }
            return;
        }
        let is_over = done == total || open == 0 || now >= request.cut_at;
        if done >= min && is_over {
            self.merge(now, key, out);
        } else if done + open < min {
            self.give_up(now, key, out);
        }
    }

    fn merge(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &mut self.requests[key];
        let answer = Answer::Merged {
            stamps: std::mem::take(&mut request.stamps),
            missing: request.parts.len() - request.done(),
            body: std::mem::replace(&mut request.top, crate::forward::TopRecords::new(0))
                .into_bytes(),
        };
        self.answer(now, key, answer, out);
    }

    /// Answers a request that cannot succeed any more.
    fn give_up(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &mut self.requests[key];
        let is_once = !request.route.is_idempotent;
        if !request.may_have_run {
            self.refuse(now, key, ErrorKind::Overloaded, Some(RETRY_AFTER), out);
        } else if let Some(reply) = request.failure.take()
            && !request.is_gather()
            && is_relayable(&reply)
        {
            self.answer(now, key, Answer::Relay(reply), out);
        } else if is_once {
            self.refuse(now, key, ErrorKind::OutcomeUnknown, None, out);
        } else {
            self.refuse(now, key, ErrorKind::Incomplete, None, out);
        }
    }

    fn refuse(
        &mut self,
        now: Time,
        key: RequestKey,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.answer(now, key, Answer::Refused { kind, retry_after }, out);
    }

    fn answer(&mut self, now: Time, key: RequestKey, answer: Answer, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(key) else { return };
        self.abandon_all(now, &request, out);
        out.push(Action::Answer { request: key, answer });
    }

    fn abandon_all(&mut self, now: Time, request: &Request, out: &mut Vec<Action>) {
        for part in &request.parts {
            self.abandon(now, &part.running, out);
        }
    }

    fn abandon(&mut self, now: Time, attempts: &[AttemptKey], out: &mut Vec<Action>) {
        for key in attempts {
            if let Some(attempt) = self.attempts.get_mut(*key) {
                attempt.is_abandoned = true;
                out.push(Action::Abandon { attempt: *key, close_at: now + ABANDON_KEEP });
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
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

    fn check(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        if request.answer_at <= now {
            match request.is_gather() && request.done() >= request.route.min_parts() {
                true => self.merge(now, key, out),
                false => self.time_out(now, key, out),
            }
            return;
        }
        if request.cut_at <= now {
            self.settle(now, key, out);
        }
        let mut index = 0;
        while let Some(request) = self.requests.get(key)
            && let Some(part) = request.parts.get(index)
        {
            if !part.is_done && part.look_at <= now {
                match part.is_waiting {
                    true => self.end_wait(now, key, index, out),
                    false => self.hedge(now, key, index, out),
                }
            }
            index += 1;
        }
    }

    fn time_out(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        let kind = match (request.may_have_run, request.route.is_idempotent) {
            (false, _) => ErrorKind::DeadlineUnreachable,
            (true, true) => ErrorKind::Incomplete,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        self.refuse(now, key, kind, None, out);
    }

    /// Asks a second replica for a part whose attempt is late.
    fn hedge(&mut self, now: Time, key: RequestKey, index: usize, out: &mut Vec<Action>) {
        let part = &mut self.requests[key].parts[index];
        part.look_at = now + RECHECK;
        let (tried, name) = (part.tried.len() as u32, part.service.clone());
        let running = part.running.clone();
        for attempt in &running {
            self.note_late(now, *attempt);
        }
        let request = &self.requests[key];
        let attempts = request.route.attempts;
        let runs = self.may_run(&request.parts[index]);
        let is_possible = running.len() < 2 && runs < attempts && tried < attempts + MAX_REFUSED;
        let is_condemned = self.suspects.quarantined_until(now, request.fingerprint).is_some();
        if is_condemned || !is_possible || request.time_left(now) < LEAST_LEFT {
            self.requests[key].parts[index].look_at = Time::MAX;
            return;
        }
        let (budget, instances) = (self.settings.budget, self.instances);
        if !self.service(&name).account.allows_hedge(now, &budget, instances) {
            return;
        }
        let Choice::Use(replica) = self.choose(now, key, index, SendKind::Hedge) else { return };
        self.service(&name).account.add_extra(now, &budget);
        self.send(now, key, index, replica, SendKind::Hedge, out);
    }

    /// The age of a late attempt alone shows that its replica is slow.
    fn note_late(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if attempt.is_late || attempt.kind == SendKind::Hedge {
            return;
        }
        attempt.is_late = true;
        let (replica, age) = (attempt.replica, now.saturating_sub(attempt.sent));
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.note_latency(now, age);
        }
    }

    fn arm(&mut self, now: Time, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let at = request.next_timer(now);
        if at < request.armed {
            request.armed = at;
            self.timers.push(Reverse((at, key)));
        }
    }

    fn configure(&mut self, table: RouteTable) {
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

    fn set_replicas(&mut self, now: Time, list: Vec<ReplicaInfo>, out: &mut Vec<Action>) {
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
    fn renew(
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

    fn unlist(&mut self, key: ReplicaKey, out: &mut Vec<Action>) {
        out.push(Action::Forget(key));
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.is_listed = false;
            if replica.in_flight.is_empty() {
                self.replicas.remove(key);
            }
        }
    }

    fn service(&mut self, name: &ServiceId) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.clone(), Service::new());
        }
        self.services.get_mut(name).expect("the service was just added")
    }
}

/// Connections to one replica that are this instance's part.
fn connections(max: u32, instances: u32) -> usize {
    (max / instances.max(1)).max(LEAST_CONNECTIONS.min(max)) as usize
}

/// Whether a replica's failure may be passed on: a status that promises that nothing ran must not
/// be, since the replica did not state it.
fn is_relayable(reply: &Reply) -> bool {
    !matches!(reply.status, 408 | 421 | 429 | 503) && !(200..300).contains(&reply.status)
}
