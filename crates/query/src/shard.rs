//! Attempts of searches: sending a segment, and what follows from each outcome.

use rosemarybank_protocol::{
    prelude::*,
    upstream::{ShardReply, UpstreamErrorKind},
};

use crate::{
    attempts::{Attempt, Owner},
    choice::Chooser,
    engine::Engine,
    interface::{Action, AttemptId, AttemptOutcome, Send, SendKind},
    latency::{from_micros, micros},
    replicas::ReplicaKey,
    segments::SegmentState,
    settings::Policy,
    upstreams::note_failure,
};

/// Retries per segment under the baseline policy.
const BASELINE_RETRIES: usize = 3;

/// Attempts are checked for lateness at multiples of this, so that one timer serves many segments.
const LATE_GRID_NS: u64 = 500_000;

impl Engine {
    /// Sends a segment to a replica that was not tried, or gives it up. A suspect's segment waits
    /// while the canary is in flight or paused.
    pub(crate) fn send_segment(
        &mut self,
        now: Time,
        index: u32,
        segment: usize,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[index as usize];
        let suspect = query.suspect();
        let is_suspect = self.crashes.is_suspect(suspect, now);
        if is_suspect && !self.crashes.may_send(suspect, now) {
            query.segments.get_mut(segment).state = SegmentState::Waiting;
            return;
        }
        let kind = query.segments.get(segment).kind;
        let chosen = self.choose_for(now, index, segment, kind);
        let chosen = chosen.filter(|key| kind != SendKind::Retry || self.take_retry(*key));
        let begun = chosen.and_then(|key| self.begin_send(now, index, segment, key, kind, out));
        match begun {
            Some(attempt) if is_suspect => self.crashes.set_canary(suspect, attempt),
            Some(_) => {}
            None => {
                let segments = &mut self.queries[index as usize].segments;
                let wanted = segments.get(segment);
                let never_sent = wanted.tried.is_empty();
                let reason = if never_sent { MissingReason::NoReplica } else { wanted.reason };
                segments.give_up(segment, reason);
            }
        }
    }

    /// Chooses a replica for another attempt.
    pub(crate) fn choose_for(
        &mut self,
        now: Time,
        index: u32,
        segment: usize,
        kind: SendKind,
    ) -> Option<ReplicaKey> {
        let query = &self.queries[index as usize];
        let wanted = query.segments.get(segment);
        let pool = query.layout.segments[wanted.origin as usize].pool();
        // The layout is current when the first attempts are made.
        let is_current = kind == SendKind::First && wanted.tried.is_empty();
        let mut chooser = Chooser {
            now,
            rng: &mut self.rng,
            replicas: &self.replicas,
            upstreams: &self.upstreams,
            crossing_us: micros(self.settings.cross_data_centre_penalty),
            holds: (!is_current).then_some((query.service, query.layout.snapshot)),
        };
        match self.settings.policy {
            Policy::Adaptive => chooser.balanced(pool, &wanted.tried, kind),
            Policy::Baseline => chooser.uniform(pool, &wanted.tried),
        }
    }

    /// Sends a segment to a replica; `None` when too many attempts are in flight.
    pub(crate) fn begin_send(
        &mut self,
        now: Time,
        index: u32,
        segment: usize,
        key: ReplicaKey,
        kind: SendKind,
        out: &mut Vec<Action>,
    ) -> Option<AttemptId> {
        let owner = Owner::Query { index, segment: segment as u32 };
        let attempt = self.begin_attempt(Attempt { owner, replica: key, sent: now })?;
        self.count_send(index, key, kind);
        let late_at = self.late_at(now, key, kind);
        let replica = self.replicas.get(key)?;
        let query = &mut self.queries[index as usize];
        query.sends += 1;
        let wanted = query.segments.get_mut(segment);
        wanted.state = SegmentState::Running;
        wanted.tried.push(key);
        wanted.attempts.push(attempt);
        wanted.late_at = late_at;
        out.push(Action::Send(Send {
            attempt,
            query: query.submission.query,
            replica: replica.id.clone(),
            addr: replica.addr,
            snapshot: query.layout.snapshot,
            range: wanted.range,
            deadline: query.submission.deadline.saturating_sub(self.settings.answer_margin),
            kind,
        }));
        Some(attempt)
    }

    /// Counts a send and lets first sends earn the budgets.
    fn count_send(&mut self, index: u32, key: ReplicaKey, kind: SendKind) {
        match kind {
            SendKind::First => self.counters.first_sends += 1,
            SendKind::Retry => self.counters.retries += 1,
            SendKind::Hedge => self.counters.hedges += 1,
        }
        if kind != SendKind::First {
            return;
        }
        let service = self.queries[index as usize].service;
        self.admission.gate(service).hedges.earn(self.limits.hedge_percent);
        if let Some(replica) = self.replicas.get(key) {
            self.upstreams.get_mut(replica.upstream).retries.earn(self.limits.retry_percent);
        }
    }

    fn late_at(&self, now: Time, key: ReplicaKey, kind: SendKind) -> Time {
        if self.settings.policy == Policy::Baseline {
            return now + self.settings.baseline_timeout;
        }
        let replica = self.replicas.get(key).filter(|_| kind != SendKind::Hedge);
        let delay = replica
            .and_then(|it| match it.health.is_ejected() {
                true => Some(self.upstreams.probe_delay_us(it.upstream, it.data_centre)),
                false => self.upstreams.hedge_delay_us(it.upstream, it.data_centre),
            })
            .map(from_micros);
        delay.map_or(Time::MAX, |delay| {
            let nanos = (now + delay).as_nanos() as u64;
            Time::from_nanos(nanos.next_multiple_of(LATE_GRID_NS))
        })
    }

    pub(crate) fn query_outcome(
        &mut self,
        now: Time,
        owner: (u32, usize),
        (id, attempt): (AttemptId, Attempt),
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let (index, segment) = owner;
        self.queries[index as usize].segments.get_mut(segment).attempts.retain(|it| *it != id);
        let failure = match outcome {
            AttemptOutcome::Reply(reply) => {
                if self.take_reply(now, owner, attempt, reply, out) {
                    self.settle(now, index, out);
                    return;
                }
                self.counters.rejected_replies += 1;
                note_failure(now, &mut self.replicas, attempt.replica);
                MissingReason::Failed
            }
            AttemptOutcome::Refused { error, .. } => self.note_refusal(now, index, attempt, error),
            AttemptOutcome::ActionReply(_) => MissingReason::Failed,
            AttemptOutcome::NotSent => {
                self.note_loss(now, attempt.replica);
                MissingReason::Failed
            }
            AttemptOutcome::Disconnected => {
                self.note_loss(now, attempt.replica);
                if self.settings.policy == Policy::Adaptive
                    && self.crash_sign(now, owner, attempt, out)
                {
                    return;
                }
                MissingReason::Failed
            }
            AttemptOutcome::TimedOut => {
                self.note_timeout(now, attempt);
                MissingReason::Deadline
            }
        };
        self.retry(now, owner, failure, out);
    }

    /// Tries a failed segment again and settles the query.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        (index, segment): (u32, usize),
        reason: MissingReason,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[index as usize];
        let wanted = query.segments.get_mut(segment);
        wanted.reason = reason;
        if !wanted.attempts.is_empty() {
            return;
        }
        wanted.kind = SendKind::Retry;
        let attempts = wanted.tried.len();
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        let may_retry = answer_at > now
            && match self.settings.policy {
                Policy::Baseline => attempts <= BASELINE_RETRIES,
                Policy::Adaptive => true,
            };
        if may_retry {
            self.send_segment(now, index, segment, out);
        } else {
            let query = &mut self.queries[index as usize];
            query.segments.give_up(segment, reason);
        }
        let wanted = self.queries[index as usize].segments.get(segment);
        let late_at = wanted.late_at;
        let is_retired = wanted.state == SegmentState::GivenUp
            && wanted.reason == MissingReason::SnapshotRetired;
        if is_retired && self.rerun(now, index, out) {
            return;
        }
        self.arm_query(index, late_at);
        self.settle(now, index, out);
    }

    /// Takes a retry from the budget of the upstream that it goes to. The baseline has no budget.
    pub(crate) fn take_retry(&mut self, key: ReplicaKey) -> bool {
        let upstream = self.replicas.get(key).map(|it| it.upstream);
        self.settings.policy == Policy::Baseline
            || upstream.is_some_and(|it| self.upstreams.get_mut(it).retries.take())
    }

    /// Takes note of a refusal and names the reason for the missing keys.
    pub(crate) fn note_refusal(
        &mut self,
        now: Time,
        index: u32,
        attempt: Attempt,
        error: UpstreamErrorKind,
    ) -> MissingReason {
        let query = &mut self.queries[index as usize];
        let (service, snapshot) = (query.service, query.layout.snapshot);
        match error {
            UpstreamErrorKind::Shed => {
                query.congestion += 1;
                self.note_unavailable(now, attempt.replica, error);
                MissingReason::Shed
            }
            UpstreamErrorKind::Draining | UpstreamErrorKind::Cold => {
                self.note_unavailable(now, attempt.replica, error);
                MissingReason::NoReplica
            }
            UpstreamErrorKind::SnapshotRetired | UpstreamErrorKind::WrongRange => {
                // The next status tells what the replica holds now.
                self.replicas.drop_snapshot(attempt.replica, service, snapshot);
                match error {
                    UpstreamErrorKind::SnapshotRetired => MissingReason::SnapshotRetired,
                    _ => MissingReason::NoReplica,
                }
            }
            UpstreamErrorKind::Expired => MissingReason::Deadline,
            UpstreamErrorKind::BadRequest => MissingReason::Failed,
            UpstreamErrorKind::Failed => {
                note_failure(now, &mut self.replicas, attempt.replica);
                MissingReason::Failed
            }
        }
    }

    /// Takes note that a replica does not take work at the moment.
    pub(crate) fn note_unavailable(
        &mut self,
        now: Time,
        key: ReplicaKey,
        error: UpstreamErrorKind,
    ) {
        if error == UpstreamErrorKind::Draining {
            self.replicas.drain(key);
        }
        let Some(replica) = self.replicas.get_mut(key) else { return };
        match error {
            UpstreamErrorKind::Shed => {
                replica.health.note_shed(now);
                self.upstreams.get_mut(replica.upstream).note_shed(now, key);
                self.counters.upstream_sheds += 1;
            }
            UpstreamErrorKind::Cold => replica.health.note_loss(now),
            _ => {}
        }
    }

    /// Takes note of a connection that broke or was refused.
    pub(crate) fn note_loss(&mut self, now: Time, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.note_loss(now);
        }
        note_failure(now, &mut self.replicas, key);
    }

    pub(crate) fn note_timeout(&mut self, now: Time, attempt: Attempt) {
        let took = now.saturating_sub(attempt.sent);
        self.upstreams.note_abandoned(now, &mut self.replicas, attempt.replica, took);
        note_failure(now, &mut self.replicas, attempt.replica);
    }

    /// Merges a reply; `false` when it does not fit what was asked.
    fn take_reply(
        &mut self,
        now: Time,
        (index, segment): (u32, usize),
        attempt: Attempt,
        reply: ShardReply,
        out: &mut Vec<Action>,
    ) -> bool {
        let query = &mut self.queries[index as usize];
        let lies_covered = |key| reply.covered.iter().any(|it| it.range.contains(key));
        let is_foreign = reply.snapshot != query.layout.snapshot
            || !reply.hits.iter().all(|hit| lies_covered(hit.key));
        if is_foreign {
            return false;
        }
        let range = query.segments.get(segment).range;
        let Ok(rest) = query.segments.cover(segment, &reply.covered) else { return false };
        query.merge.add(reply.hits);
        let load = reply.load;
        query.congestion += u32::from(load.slots > 0 && load.queued >= 2 * load.slots);
        let suspect = query.suspect();
        let losers = std::mem::take(&mut query.segments.get_mut(segment).attempts);
        let count = query.segments.len();
        for loser in losers {
            let Some(loser) = self.cancel(now, loser, out) else { continue };
            // What the reply leaves open may still be asked of the replica that was cut off.
            for rest in count - rest..count {
                let rest = self.queries[index as usize].segments.get_mut(rest);
                rest.tried.retain(|it| *it != loser.replica);
            }
        }
        self.upstreams.note_reply(
            now,
            &mut self.replicas,
            attempt.replica,
            now.saturating_sub(attempt.sent),
        );
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            replica.health.note_load(now, load);
        }
        if self.crashes.has_records() && self.crashes.success(suspect, range, now) {
            self.resumable.push(suspect);
        }
        for rest in count - rest..count {
            self.send_segment(now, index, rest, out);
        }
        true
    }
}
