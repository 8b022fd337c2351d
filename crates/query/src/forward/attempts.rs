//! Attempts: replica selection, replies and failures, retries and hedges.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    forward::{
        forwarder::Forwarder,
        interface::{
            Action, AttemptKey, AttemptKind, Failure, ReplicaKey, Reply, RequestKey, Resend,
        },
        replicas::Replica,
        request::{Attempt, Part, Request},
        selection::{ReplicaSelector, Selection},
        wait_queue::Waiter,
    },
    latency::micros,
};

/// Fraction of the latency objective after which an attempt always counts as late, even if its
/// route is usually slower. A second replica then still has time to reply.
const MAX_LATE_FRACTION: f32 = 0.35;

/// How often a late attempt that could not be hedged is checked again: roughly the time in which
/// another reply changes the budget or the selection.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How often a queued part checks for free capacity: roughly the duration of a short request.
const WAIT_RECHECK_INTERVAL: Duration = Duration::from_millis(4);

/// Number of attempts of a part that replicas may reject, in addition to the attempts of the route,
/// before the part fails.
const MAX_REJECTED_ATTEMPTS: u32 = 2;

/// How long a retry waits for a replica with free capacity: the time for which a replica counts as
/// full after it rejected work, and a recheck.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(30);

/// Minimum time until the deadline of a request for another attempt to be made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(8);

/// How long the connection of an abandoned attempt is kept open for its reply. Pauses of replicas
/// end within this time. Half a second would be too long, because a disconnected client would keep
/// a replica busy.
const ABANDONED_REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size in bytes of the body of a failed reply that is kept while its request is retried. There are as
/// many as requests in flight, and nothing else limits their sum.
const MAX_KEPT_FAILURE_LEN: usize = 4 << 10;

/// Minimum number of connections that an instance may open to a replica, regardless of the number
/// of instances.
const MIN_CONNECTIONS: u32 = 2;

impl Forwarder {
    /// Queues a part until a replica has free capacity.
    pub(super) fn enqueue(&mut self, now: Time, key: RequestKey, index: usize) {
        let request = &mut self.requests[key];
        let rank = request.route.rank;
        let part = &mut request.parts[index];
        part.is_waiting = true;
        part.recheck_at = now + WAIT_RECHECK_INTERVAL;
        let name = part.service.clone();
        let waiter = Waiter { rank, since: now, request: key, part: index };
        self.service_mut(&name).wait_queue.push(waiter);
    }

    /// Sends a part if no other one is ahead of it in the queue and a replica has free capacity.
    /// Otherwise keeps it in the queue, or adds it. Once its time in the queue is over, it is sent
    /// regardless of its turn or fails. It also fails when no replica is left or it may no longer be
    /// retried.
    pub(super) fn poll_waiting(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        let is_over = self.requests[key].is_wait_over(now, index);
        let name = self.requests[key].parts[index].service.clone();
        let turn = self.service_mut(&name).wait_queue.next();
        let is_ours = turn.is_none_or(|it| (it.request, it.part) == (key, index));
        let selection = match is_ours || is_over {
            true => self.select_for_waiting(now, key, index),
            false => Selection::Busy,
        };
        if selection == Selection::Busy && !is_over {
            return self.enqueue(now, key, index);
        }
        match selection {
            Selection::Replica(replica) => self.send_waiting(now, key, index, replica, out),
            Selection::Busy | Selection::NoCandidate => self.fail_waiting(now, key, index, out),
        }
    }

    /// Selects a replica for a queued part. There is none for a part that may not be retried.
    fn select_for_waiting(&mut self, now: Time, key: RequestKey, index: usize) -> Selection {
        if self.requests[key].parts[index].retry_until.is_none() {
            return self.select_replica(now, key, index, AttemptKind::First);
        }
        match self.may_retry(now, key, index) {
            true => self.select_replica(now, key, index, AttemptKind::Retry),
            false => Selection::NoCandidate,
        }
    }

    /// Removes a part from the queue and sends it.
    fn send_waiting(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        replica: ReplicaKey,
        out: &mut Vec<Action>,
    ) {
        let part = &mut self.requests[key].parts[index];
        part.is_waiting = false;
        let is_retry = part.retry_until.take().is_some();
        let name = part.service.clone();
        self.service_mut(&name).wait_queue.remove_served(key, index);
        match is_retry {
            true => self.send_retry(now, key, index, replica, out),
            false => self.send(now, key, index, replica, AttemptKind::First, out),
        }
    }

    /// Removes a part from the queue for which no replica is left.
    fn fail_waiting(&mut self, now: Time, key: RequestKey, index: usize, out: &mut Vec<Action>) {
        let part = &mut self.requests[key].parts[index];
        part.is_waiting = false;
        part.retry_until = None;
        part.recheck_at = Time::MAX;
        let name = part.service.clone();
        self.service_mut(&name).wait_queue.remove(key, index);
        self.try_answer(now, key, out);
    }

    /// Sends queued parts of a service in order while its replicas have free capacity.
    pub(super) fn dispatch_waiting(&mut self, now: Time, name: &ServiceId, out: &mut Vec<Action>) {
        while let Some(it) = self.services.get(name).and_then(|it| it.wait_queue.next()) {
            let is_retry = self.requests[it.request].parts[it.part].retry_until.is_some();
            match self.select_for_waiting(now, it.request, it.part) {
                Selection::Replica(replica) => {
                    self.send_waiting(now, it.request, it.part, replica, out);
                    self.schedule_timer(now, it.request);
                }
                // Replicas that this request has tried may have free capacity for the next one.
                Selection::NoCandidate if is_retry => {
                    self.fail_waiting(now, it.request, it.part, out);
                }
                Selection::Busy | Selection::NoCandidate => return,
            }
        }
    }

    pub(super) fn select_replica(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        kind: AttemptKind,
    ) -> Selection {
        let Some(request) = self.requests.get(key) else { return Selection::NoCandidate };
        let (objective, part) = (request.route.latency_objective, &request.parts[index]);
        let Some(service) = self.services.get(&part.service) else { return Selection::NoCandidate };
        let Some(latency) = self.route_latencies.get(&request.route.name) else {
            return Selection::NoCandidate;
        };
        let mut selector = ReplicaSelector {
            now,
            rng: &mut self.rng,
            max_connections: connection_limit(service.max_connections, self.instance_count),
            max_late_threshold: objective.mul_f32(MAX_LATE_FRACTION),
            service,
            latency,
            replica: |it| self.replicas.get(it),
        };
        let probe = selector.select_for_probe(&part.tried);
        let selection = match kind {
            AttemptKind::Hedge => selector.select_for_hedge(&part.tried),
            AttemptKind::First | AttemptKind::Retry => selector.select(&part.tried),
        };
        match probe {
            // The request is still served if the probe fails: by the selected replica, as a retry.
            Some(it)
                if kind == AttemptKind::First
                    && matches!(selection, Selection::Replica(_))
                    && request.route.is_idempotent
                    && request.route.max_attempts > 1
                    && self.allows_retry(now, &self.requests[key].parts[index].service.clone()) =>
            {
                Selection::Replica(it)
            }
            _ => selection,
        }
    }

    fn allows_retry(&mut self, now: Time, name: &ServiceId) -> bool {
        let (budget, share) = (self.settings.budget, self.membership.share(now));
        self.service_mut(name).budget_tracker.allows_retry(now, &budget, share)
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
        let resend = self.resend(key, index, replica_key);
        let request = &mut self.requests[key];
        let attempt = self.attempts.insert(Attempt {
            request: key,
            route: request.route.name.clone(),
            part: index,
            replica: replica_key,
            sent_at: now,
            fingerprint: request.fingerprint,
            max_late_threshold: request.route.latency_objective.mul_f32(MAX_LATE_FRACTION),
            kind,
            is_sent: false,
            is_abandoned: false,
            is_late: false,
        });
        let part = &mut request.parts[index];
        part.running.push(attempt);
        part.tried.push(replica_key);
        let replica = &mut self.replicas[replica_key];
        replica.begin_attempt(now, attempt);
        let max_late_threshold = request.route.latency_objective.mul_f32(MAX_LATE_FRACTION);
        let latency = &self.route_latencies[&request.route.name];
        part.recheck_at = match kind {
            AttemptKind::Hedge => Time::MAX,
            _ if !request.route.is_idempotent => Time::MAX,
            _ => now + latency.late_threshold(replica.distance, max_late_threshold),
        };
        out.push(Action::Send {
            attempt,
            request: key,
            replica: replica_key,
            id: replica.info.id.clone(),
            addr: replica.info.addr,
            deadline: request.deadline,
            resend,
            service: part.service.clone(),
            kind,
        });
    }

    /// Returns whether a part may be sent again after its next attempt, to the given replica.
    fn resend(&self, key: RequestKey, index: usize, next: ReplicaKey) -> Resend {
        let request = &self.requests[key];
        let part = &request.parts[index];
        if !request.route.is_idempotent {
            return Resend::NotIdempotent;
        }
        let is_other = |it: &&ReplicaKey| {
            **it != next
                && !part.tried.contains(it)
                && self.replicas.get(**it).is_some_and(Replica::accepts_requests)
        };
        let has_other = || {
            let service = self.services.get(&part.service);
            service.is_some_and(|it| it.replicas.iter().any(|it| is_other(&it)))
        };
        // A search is answered without the part, so a later part is no better than a missing one.
        let is_last = self.possible_runs(part) + 1 >= request.route.max_attempts || !has_other();
        match request.is_gather() || !is_last {
            true => Resend::Allowed,
            false => Resend::LastAttempt,
        }
    }

    pub(super) fn record_sent(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.is_sent = true;
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.may_have_run = true;
            request.parts[attempt.part].arrivals += 1;
            request.parts[attempt.part].runs += 1;
        }
    }

    /// Removes an attempt. Also returns whether the request still needs its result.
    pub(super) fn remove_attempt(&mut self, key: AttemptKey) -> Option<(Attempt, bool)> {
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

    pub(super) fn handle_reply(
        &mut self,
        now: Time,
        key: AttemptKey,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        self.record_withdrawal(now, key, &reply, out);
        let Some((attempt, is_wanted)) = self.remove_attempt(key) else { return };
        let took = now.saturating_sub(attempt.sent_at);
        let is_success = (200..300).contains(&reply.status) && reply.stamp.is_some();
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            let late_threshold =
                self.route_latencies.get(&attempt.route).map_or(attempt.max_late_threshold, |it| {
                    it.late_threshold(replica.distance, attempt.max_late_threshold)
                });
            match (is_success, reply.is_not_run) {
                (true, _) => replica.record_success(now, took, late_threshold),
                (_, true) => replica.record_full(now),
                _ => replica.record_failure(now),
            }
            if is_success && let Some(latency) = self.route_latencies.get_mut(&attempt.route) {
                latency.record(micros(took), replica.distance);
            }
            if is_success && let Some(service) = self.services.get_mut(&replica.info.service) {
                service.retry_after.record_reply(now);
            }
        }
        if is_success {
            self.crash_detector.record_success(now, attempt.fingerprint);
        }
        if !is_wanted {
            return;
        }
        if is_success {
            self.complete_part(now, &attempt, reply, out);
        } else if reply.is_not_run {
            self.record_not_run(&attempt);
            self.retry_part(now, &attempt, out);
        } else {
            // A search never relays the failure of a part.
            if let Some(request) = self.requests.get_mut(attempt.request)
                && !request.is_gather()
            {
                request.last_failure = Some(reply);
            }
            self.retry_part(now, &attempt, out);
            if let Some(request) = self.requests.get_mut(attempt.request) {
                request.last_failure.take_if(|it| it.body.len() > MAX_KEPT_FAILURE_LEN);
            }
        }
    }

    pub(super) fn handle_failure(
        &mut self,
        now: Time,
        key: AttemptKey,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some((attempt, is_wanted)) = self.remove_attempt(key) else { return };
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            match failure {
                // Neither says anything about the replica.
                Failure::NotSent | Failure::NoMemory => {}
                Failure::Overlong => replica.record_overlong(now),
                Failure::NotAccepted => replica.record_not_accepted(now),
                Failure::Unreachable | Failure::WrongReplica => replica.record_unreachable(now),
                Failure::Broken => replica.record_failure(now),
                Failure::Abandoned if attempt.is_late => {}
                Failure::Abandoned => {
                    replica.record_latency(now, now.saturating_sub(attempt.sent_at))
                }
            }
        }
        match failure {
            Failure::Broken if attempt.is_sent => {
                let Attempt { replica, fingerprint, sent_at, .. } = attempt;
                if let Some(it) = self.replicas.get(replica) {
                    let replica = (replica, &it.info);
                    self.crash_detector.record_broken(now, replica, fingerprint, sent_at);
                }
                self.reconnect(replica, out);
            }
            Failure::Unreachable => self.record_unreachable(now, attempt.replica, out),
            _ => {}
        }
        if !is_wanted {
            return;
        }
        match failure {
            Failure::WrongReplica => self.record_not_run(&attempt),
            // Nothing was sent. Replicas that are down are not selected.
            Failure::Unreachable => self.forget_tried(&attempt),
            Failure::NotAccepted => return self.retry_not_accepted(now, &attempt, out),
            _ => {}
        }
        self.retry_part(now, &attempt, out);
    }

    /// Returns the number of attempts of a part that replicas have executed or may still execute.
    /// An attempt that is still connecting counts, because its bytes follow without another
    /// decision.
    pub(super) fn possible_runs(&self, part: &Part) -> u32 {
        let is_unsent = |it: &&AttemptKey| self.attempts.get(**it).is_some_and(|it| !it.is_sent);
        part.runs + part.running.iter().filter(is_unsent).count() as u32
    }

    /// Retries a part whose replica accepted no further connection: on another replica at once, or
    /// on the same one when it may have free capacity again.
    pub(super) fn retry_not_accepted(
        &mut self,
        now: Time,
        attempt: &Attempt,
        out: &mut Vec<Action>,
    ) {
        self.forget_tried(attempt);
        let Some(request) = self.requests.get(attempt.request) else { return };
        // The first attempt goes on if its hedge was not accepted.
        if request.parts[attempt.part].running.is_empty() {
            self.poll_waiting(now, attempt.request, attempt.part, out);
            self.schedule_timer(now, attempt.request);
        }
    }

    /// Removes the replica of an attempt from those that its part has tried.
    fn forget_tried(&mut self, attempt: &Attempt) {
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.parts[attempt.part].tried.retain(|it| *it != attempt.replica);
        }
    }

    /// Opens a connection to a replica, which shows whether it has crashed.
    pub(super) fn reconnect(&self, replica: ReplicaKey, out: &mut Vec<Action>) {
        if let Some(it) = self.replicas.get(replica).filter(|it| it.is_listed) {
            out.push(Action::Reconnect { replica, addr: it.info.addr });
        }
    }

    pub(super) fn record_unreachable(
        &mut self,
        now: Time,
        replica: ReplicaKey,
        out: &mut Vec<Action>,
    ) {
        let quarantined = self.crash_detector.record_unreachable(now, replica);
        out.extend(quarantined.into_iter().map(Action::Quarantine));
    }

    pub(super) fn record_not_run(&mut self, attempt: &Attempt) {
        if let Some(request) = self.requests.get_mut(attempt.request) {
            let part = &mut request.parts[attempt.part];
            part.runs = part.runs.saturating_sub(1);
            request.may_have_run = request.parts.iter().any(|it| it.runs > 0);
        }
    }

    /// Retries a part on another replica after a failed attempt, queues it while the others are full
    /// for a moment, or fails the part.
    pub(super) fn retry_part(&mut self, now: Time, attempt: &Attempt, out: &mut Vec<Action>) {
        let (key, index) = (attempt.request, attempt.part);
        let selection = match self.may_retry(now, key, index) {
            true => self.select_replica(now, key, index, AttemptKind::Retry),
            false => Selection::NoCandidate,
        };
        match selection {
            Selection::Replica(replica) => self.send_retry(now, key, index, replica, out),
            Selection::Busy => {
                self.requests[key].parts[index].retry_until = Some(now + MAX_RETRY_WAIT);
                self.enqueue(now, key, index);
            }
            Selection::NoCandidate => return self.try_answer(now, key, out),
        }
        self.schedule_timer(now, key);
    }

    /// Sends a part again and counts the attempt against the budget.
    fn send_retry(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        replica: ReplicaKey,
        out: &mut Vec<Action>,
    ) {
        let part = &self.requests[key].parts[index];
        let (was_sent, name) = (part.arrivals > 0, part.service.clone());
        if was_sent {
            let budget = self.settings.budget;
            self.service_mut(&name).budget_tracker.add_extra_attempt(now, &budget);
        }
        self.send(now, key, index, replica, AttemptKind::Retry, out);
    }

    pub(super) fn may_retry(&mut self, now: Time, key: RequestKey, index: usize) -> bool {
        let Some(request) = self.requests.get(key) else { return false };
        let part = &request.parts[index];
        let attempts = request.route.max_attempts.max(1);
        let has_attempts_left = self.possible_runs(part) < attempts
            && (part.tried.len() as u32) < attempts.saturating_add(MAX_REJECTED_ATTEMPTS);
        let is_safe = request.route.is_idempotent || part.runs == 0;
        let is_quarantined =
            self.crash_detector.quarantined_until(now, request.fingerprint).is_some();
        if is_quarantined
            || !has_attempts_left
            || !is_safe
            || request.time_left(now) < MIN_TIME_LEFT
            || !part.running.is_empty()
        {
            return false;
        }
        let (was_sent, name) = (part.arrivals > 0, part.service.clone());
        !was_sent || self.allows_retry(now, &name)
    }

    /// Abandons all attempts and queue entries of a request.
    pub(super) fn abandon_all(
        &mut self,
        now: Time,
        key: RequestKey,
        request: &Request,
        out: &mut Vec<Action>,
    ) {
        for (index, part) in request.parts.iter().enumerate() {
            if part.is_waiting {
                self.service_mut(&part.service).wait_queue.remove(key, index);
            }
            self.abandon(now, &part.running, out);
        }
    }

    pub(super) fn abandon(&mut self, now: Time, attempts: &[AttemptKey], out: &mut Vec<Action>) {
        for key in attempts {
            if let Some(attempt) = self.attempts.get_mut(*key) {
                attempt.is_abandoned = true;
                out.push(Action::Abandon {
                    attempt: *key,
                    close_at: now + ABANDONED_REPLY_TIMEOUT,
                });
            }
        }
    }

    /// Sends a second attempt for a part whose attempt is late.
    pub(super) fn try_hedge(
        &mut self,
        now: Time,
        key: RequestKey,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        let part = &mut self.requests[key].parts[index];
        part.recheck_at = now + HEDGE_RECHECK_INTERVAL;
        let (tried, name) = (part.tried.len() as u32, part.service.clone());
        let running = part.running.clone();
        for attempt in &running {
            self.record_late(now, *attempt);
        }
        let request = &self.requests[key];
        let attempts = request.route.max_attempts;
        let runs = self.possible_runs(&request.parts[index]);
        let is_possible = running.len() < 2
            && runs < attempts
            && tried < attempts.saturating_add(MAX_REJECTED_ATTEMPTS);
        let is_quarantined =
            self.crash_detector.quarantined_until(now, request.fingerprint).is_some();
        if is_quarantined || !is_possible || request.time_left(now) < MIN_TIME_LEFT {
            self.requests[key].parts[index].recheck_at = Time::MAX;
            return;
        }
        let (budget, share) = (self.settings.budget, self.membership.share(now));
        if !self.service_mut(&name).budget_tracker.allows_hedge(now, &budget, share) {
            return;
        }
        let Selection::Replica(replica) = self.select_replica(now, key, index, AttemptKind::Hedge)
        else {
            return;
        };
        self.service_mut(&name).budget_tracker.add_extra_attempt(now, &budget);
        self.send(now, key, index, replica, AttemptKind::Hedge, out);
    }

    /// Records the age of a late attempt as a latency sample, because it already shows that the
    /// replica is slow.
    pub(super) fn record_late(&mut self, now: Time, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if attempt.is_late || attempt.kind == AttemptKind::Hedge {
            return;
        }
        attempt.is_late = true;
        let (replica, age) = (attempt.replica, now.saturating_sub(attempt.sent_at));
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.record_late(now, age);
        }
    }
}

/// Returns this instance's share of the connections to one replica.
fn connection_limit(max: u32, instances: u32) -> usize {
    (max / instances.max(1)).max(MIN_CONNECTIONS.min(max)) as usize
}
