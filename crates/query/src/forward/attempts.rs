//! Sends to replicas: which one, what their ends mean, and when a further one is made.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    forward::{
        choice::{Choice, Chooser},
        forwarder::Forwarder,
        interface::{Action, AttemptKey, AttemptKind, Failure, ReplicaKey, Reply, RequestKey},
        request::{Attempt, Part, Request},
        waiting::Waiter,
    },
    latency::micros,
};

/// Part of the objective after which an attempt is late even if that is usual for its service: a
/// second replica then still has time to answer.
const LATE_SHARE: f32 = 0.35;

/// A late attempt that could not be hedged is looked at again after this time: about the time in
/// which another reply changes the budget or the choice.
const RECHECK: Duration = Duration::from_millis(10);

/// Time after which a part that waits for room looks again: about the time of a short request.
const LOOK_EVERY: Duration = Duration::from_millis(4);

/// Sends that replicas refused, beyond the attempts of the route, before a part is given up.
const MAX_REFUSED: u32 = 2;

/// Least time left for which another attempt is made.
const LEAST_LEFT: Duration = Duration::from_millis(8);

/// Time for which the connection of an unwanted attempt is kept open for its reply: pauses of
/// replicas end within it, and a client that left must not keep a replica busy for half a second.
const ABANDON_KEEP: Duration = Duration::from_millis(250);

/// Fewest connections that an instance may open to a replica, however many instances there are.
const LEAST_CONNECTIONS: u32 = 2;

impl Forwarder {
    /// Makes a part wait for a replica with room.
    pub(super) fn wait(&mut self, now: Time, key: RequestKey, index: usize) {
        let request = &mut self.requests[key];
        let rank = request.route.rank;
        let part = &mut request.parts[index];
        part.is_waiting = true;
        part.look_at = now + LOOK_EVERY;
        let name = part.service.clone();
        let waiter = Waiter { rank, since: now, request: key, part: index };
        self.service(&name).waiting.push(waiter);
    }

    /// Looks at a part that waits: it is sent if it is its turn and a replica has room, and given up
    /// when the time for waiting is over.
    pub(super) fn end_wait(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        let is_over = self.requests[key].is_wait_over(now);
        let name = self.requests[key].parts[index].service.clone();
        let turn = self.service(&name).waiting.next();
        let is_ours = turn.is_none_or(|it| (it.request, it.part) == (key, index));
        let choice = match is_ours || is_over {
            true => self.choose(now, key, index, AttemptKind::First),
            false => Choice::Busy,
        };
        if choice == Choice::Busy && !is_over {
            return self.wait(now, key, index);
        }
        let part = &mut self.requests[key].parts[index];
        part.is_waiting = false;
        part.look_at = Time::MAX;
        let waiting = &mut self.service(&name).waiting;
        match choice {
            Choice::Use(replica) => {
                waiting.served(key, index);
                self.send(now, key, index, replica, AttemptKind::First, out);
            }
            Choice::Busy | Choice::Nobody => {
                waiting.remove(key, index);
                self.settle(now, key, out);
            }
        }
    }

    /// Sends parts that wait for a service, in their order, while its replicas have room.
    pub(super) fn serve_waiting(&mut self, now: Time, name: &ServiceId, out: &mut Vec<Action>) {
        while let Some(it) = self.services.get(name).and_then(|it| it.waiting.next()) {
            let choice = self.choose(now, it.request, it.part, AttemptKind::First);
            let Choice::Use(replica) = choice else { return };
            let part = &mut self.requests[it.request].parts[it.part];
            part.is_waiting = false;
            self.service(name).waiting.served(it.request, it.part);
            self.send(now, it.request, it.part, replica, AttemptKind::First, out);
            self.arm(now, it.request);
        }
    }

    pub(super) fn choose(
        &mut self,
        now: Time,
        key: RequestKey,
        part: usize,
        kind: AttemptKind,
    ) -> Choice {
        let Some(request) = self.requests.get(key) else { return Choice::Nobody };
        let (objective, part) = (request.route.latency_objective, &request.parts[part]);
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
            AttemptKind::Hedge => chooser.best_for_hedge(&part.tried),
            AttemptKind::First | AttemptKind::Retry => chooser.best(&part.tried),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        replica_key: ReplicaKey,
        kind: AttemptKind,
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
        let cap = request.route.latency_objective.mul_f32(LATE_SHARE);
        let usual = &self.usual[&request.route.name];
        part.look_at = match kind {
            AttemptKind::Hedge => Time::MAX,
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
            is_at_most_once: !request.route.is_idempotent,
            service: part.service.clone(),
            kind,
        });
    }

    pub(super) fn note_sent(&mut self, key: AttemptKey) {
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
    pub(super) fn end_attempt(&mut self, key: AttemptKey) -> Option<(Attempt, bool)> {
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

    pub(super) fn replied(
        &mut self,
        now: Time,
        key: AttemptKey,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
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
            if is_good && let Some(service) = self.services.get_mut(&replica.info.service) {
                service.returns.note_answer(now);
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

    pub(super) fn failed(
        &mut self,
        now: Time,
        key: AttemptKey,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some((attempt, is_wanted)) = self.end_attempt(key) else { return };
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            match failure {
                Failure::NotSent => {}
                Failure::NotAccepted => replica.note_not_accepted(now),
                Failure::Unreachable | Failure::WrongReplica => replica.note_unreachable(now),
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
                    out.push(Action::Reconnect { replica, addr: it.info.addr });
                }
            }
            Failure::Unreachable => self.note_unreachable(now, attempt.replica, out),
            _ => {}
        }
        if !is_wanted {
            return;
        }
        match failure {
            Failure::WrongReplica => self.note_not_run(&attempt),
            Failure::NotAccepted => return self.wait_for_room(now, &attempt, out),
            _ => {}
        }
        self.part_failed(now, &attempt, out);
    }

    /// Attempts of a part that replicas have run or may still run. One whose connection is being
    /// opened counts, because its bytes follow without another decision.
    pub(super) fn may_run(&self, part: &Part) -> u32 {
        let is_unsent = |it: &&AttemptKey| self.attempts.get(**it).is_some_and(|it| !it.is_sent);
        part.runs + part.running.iter().filter(is_unsent).count() as u32
    }

    /// Tries a part again whose replica accepted no further connection: another replica at once, or
    /// the same one when it may have room.
    pub(super) fn wait_for_room(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(attempt.request) else { return };
        let part = &mut request.parts[attempt.part];
        part.tried.retain(|it| *it != attempt.replica);
        // A hedge that found no room leaves the first attempt as it is.
        if part.running.is_empty() {
            self.end_wait(now, attempt.request, attempt.part, out);
            self.arm(now, attempt.request);
        }
    }

    pub(super) fn note_unreachable(
        &mut self,
        now: Time,
        replica: ReplicaKey,
        out: &mut Vec<Action>,
    ) {
        let condemned = self.suspects.note_unreachable(now, replica);
        out.extend(condemned.into_iter().map(Action::Quarantine));
    }

    pub(super) fn note_not_run(&mut self, attempt: &Attempt) {
        if let Some(request) = self.requests.get_mut(attempt.request) {
            let part = &mut request.parts[attempt.part];
            part.runs = part.runs.saturating_sub(1);
            request.may_have_run = request.parts.iter().any(|it| it.runs > 0);
        }
    }

    /// Tries another replica for a part whose attempt failed, or gives the part up.
    pub(super) fn part_failed(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<Action>) {
        let (key, index) = (attempt.request, attempt.part);
        if self.may_retry(now, key, index)
            && let Choice::Use(replica) = self.choose(now, key, index, AttemptKind::Retry)
        {
            let part = &self.requests[key].parts[index];
            let (arrived, name) = (part.arrivals > 0, part.service.clone());
            if arrived {
                let budget = self.settings.budget;
                self.service(&name).account.add_extra(now, &budget);
            }
            self.send(now, key, index, replica, AttemptKind::Retry, out);
            self.arm(now, key);
            return;
        }
        self.settle(now, key, out);
    }

    pub(super) fn may_retry(&mut self, now: Time, key: RequestKey, index: usize) -> bool {
        let Some(request) = self.requests.get(key) else { return false };
        let part = &request.parts[index];
        let attempts = request.route.max_attempts.max(1);
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
        let (budget, share) = (self.settings.budget, self.membership.share(now));
        !arrived || self.service(&name).account.allows_retry(now, &budget, share)
    }

    /// Ends all that was begun for a request.
    pub(super) fn abandon_all(
        &mut self,
        now: Time,
        key: RequestKey,
        request: &Request,
        out: &mut Vec<Action>,
    ) {
        for (index, part) in request.parts.iter().enumerate() {
            if part.is_waiting {
                self.service(&part.service).waiting.remove(key, index);
            }
            self.abandon(now, &part.running, out);
        }
    }

    pub(super) fn abandon(&mut self, now: Time, attempts: &[AttemptKey], out: &mut Vec<Action>) {
        for key in attempts {
            if let Some(attempt) = self.attempts.get_mut(*key) {
                attempt.is_abandoned = true;
                out.push(Action::Abandon { attempt: *key, close_at: now + ABANDON_KEEP });
            }
        }
    }

    /// Asks a second replica for a part whose attempt is late.
    pub(super) fn hedge(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        let part = &mut self.requests[key].parts[index];
        part.look_at = now + RECHECK;
        let (tried, name) = (part.tried.len() as u32, part.service.clone());
        let running = part.running.clone();
        for attempt in &running {
            self.note_late(now, *attempt);
        }
        let request = &self.requests[key];
        let attempts = request.route.max_attempts;
        let runs = self.may_run(&request.parts[index]);
        let is_possible = running.len() < 2 && runs < attempts && tried < attempts + MAX_REFUSED;
        let is_condemned = self.suspects.quarantined_until(now, request.fingerprint).is_some();
        if is_condemned || !is_possible || request.time_left(now) < LEAST_LEFT {
            self.requests[key].parts[index].look_at = Time::MAX;
            return;
        }
        let (budget, share) = (self.settings.budget, self.membership.share(now));
        if !self.service(&name).account.allows_hedge(now, &budget, share) {
            return;
        }
        let Choice::Use(replica) = self.choose(now, key, index, AttemptKind::Hedge) else { return };
        self.service(&name).account.add_extra(now, &budget);
        self.send(now, key, index, replica, AttemptKind::Hedge, out);
    }

    /// The age of a late attempt alone shows that its replica is slow.
    pub(super) fn note_late(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if attempt.is_late || attempt.kind == AttemptKind::Hedge {
            return;
        }
        attempt.is_late = true;
        let (replica, age) = (attempt.replica, now.saturating_sub(attempt.sent));
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.note_latency(now, age);
        }
    }
}

/// Connections to one replica that are this instance's part.
fn connections(max: u32, instances: u32) -> usize {
    (max / instances.max(1)).max(LEAST_CONNECTIONS.min(max)) as usize
}
