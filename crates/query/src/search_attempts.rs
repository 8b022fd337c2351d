//! Attempts of searches: sending segments and handling the outcomes.

use rosemarybank_protocol::{
    prelude::*,
    upstream::{ShardReply, UpstreamErrorKind},
};

use crate::{
    attempts::{Attempt, Owner},
    engine::Engine,
    interface::{Action, AttemptId, AttemptOutcome, Send, SendKind},
    latency::{from_micros, micros},
    replica_choice::ReplicaChooser,
    replicas::ReplicaKey,
    segments::SegmentState,
    settings::Policy,
    upstreams::record_failure,
};

/// Maximum number of retries per segment under the baseline policy.
const MAX_BASELINE_RETRIES: usize = 3;

/// Late times are rounded up to a multiple of this number of nanoseconds, so that one timer serves
/// many segments.
const LATENESS_GRANULARITY_NS: u64 = 500_000;

impl Engine {
    /// Sends a segment to a replica that was not tried. Gives it up if there is none, if the retry
    /// budget is used up or if too many attempts are in flight. If the query is a suspect, the
    /// segment waits while a canary is in flight or the next one is paused.
    pub(crate) fn send_segment(
        &mut self,
        now: Time,
        query_index: u32,
        segment_index: usize,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[query_index as usize];
        let request = query.service_fingerprint();
        let is_suspect = self.crash_tracker.is_suspect(request, now);
        if is_suspect && !self.crash_tracker.may_send(request, now) {
            query.segments.get_mut(segment_index).state = SegmentState::Waiting;
            return;
        }
        let kind = query.segments.get(segment_index).kind;
        let chosen = self.choose_replica(now, query_index, segment_index, kind);
        let chosen = chosen.filter(|key| kind != SendKind::Retry || self.take_retry_token(*key));
        let sent =
            chosen.and_then(|key| self.send_to(now, query_index, segment_index, key, kind, out));
        match sent {
            Some(attempt) if is_suspect => self.crash_tracker.set_canary(request, attempt),
            Some(_) => {}
            None => {
                let segments = &mut self.queries[query_index as usize].segments;
                let segment = segments.get(segment_index);
                let never_sent = segment.tried.is_empty();
                let reason = if never_sent { MissingReason::NoReplica } else { segment.reason };
                segments.give_up(segment_index, reason);
            }
        }
    }

    /// Chooses a replica for another attempt.
    pub(crate) fn choose_replica(
        &mut self,
        now: Time,
        query_index: u32,
        segment_index: usize,
        kind: SendKind,
    ) -> Option<ReplicaKey> {
        let query = &self.queries[query_index as usize];
        let segment = query.segments.get(segment_index);
        let pool = query.layout.segments[segment.layout_segment as usize].pool();
        // The first attempts are made right after the layout was chosen, so it is not outdated,
        // except for segments that were held back by a canary.
        let is_current = kind == SendKind::First && segment.tried.is_empty();
        let mut chooser = ReplicaChooser {
            now,
            rng: &mut self.rng,
            replicas: &self.replicas,
            upstreams: &self.upstreams,
            cross_data_centre_us: micros(self.settings.cross_data_centre_penalty),
            required_snapshot: (!is_current).then_some((query.service, query.layout.snapshot)),
        };
        match self.settings.policy {
            Policy::Adaptive => chooser.pick_balanced(pool, &segment.tried, kind),
            Policy::Baseline => chooser.pick_uniform(pool, &segment.tried),
        }
    }

    /// Sends a segment to a replica. Returns `None` if too many attempts are in flight.
    pub(crate) fn send_to(
        &mut self,
        now: Time,
        query_index: u32,
        segment_index: usize,
        key: ReplicaKey,
        kind: SendKind,
        out: &mut Vec<Action>,
    ) -> Option<AttemptId> {
        let owner = Owner::Query { query_index, segment_index: segment_index as u32 };
        let attempt = self.begin_attempt(Attempt { owner, replica: key, sent: now })?;
        self.count_send(query_index, key, kind);
        let late_at = self.late_at(now, key, kind);
        let replica = self.replicas.get(key)?;
        let query = &mut self.queries[query_index as usize];
        query.sends += 1;
        let segment = query.segments.get_mut(segment_index);
        segment.state = SegmentState::Running;
        segment.tried.push(key);
        segment.attempts.push(attempt);
        segment.late_at = late_at;
        out.push(Action::Send(Send {
            attempt,
            query: query.submission.query,
            replica: replica.id.clone(),
            addr: replica.addr,
            snapshot: query.layout.snapshot,
            range: segment.range,
            deadline: query.submission.deadline.saturating_sub(self.settings.answer_margin),
            kind,
        }));
        Some(attempt)
    }

    /// Counts an attempt. A first attempt also adds to the hedge and retry budgets.
    fn count_send(&mut self, query_index: u32, key: ReplicaKey, kind: SendKind) {
        match kind {
            SendKind::First => self.counters.first_sends += 1,
            SendKind::Retry => self.counters.retries += 1,
            SendKind::Hedge => self.counters.hedges += 1,
        }
        if kind != SendKind::First {
            return;
        }
        let service = self.queries[query_index as usize].service;
        self.admission.service(service).hedge_budget.deposit_percent(self.limits.hedge_percent);
        if let Some(replica) = self.replicas.get(key) {
            self.upstreams
                .get_mut(replica.upstream)
                .retry_budget
                .deposit_percent(self.limits.retry_percent);
        }
    }

    /// When an attempt becomes late. Under the adaptive policy, a hedge never does.
    fn late_at(&self, now: Time, key: ReplicaKey, kind: SendKind) -> Time {
        if self.settings.policy == Policy::Baseline {
            return now + self.settings.baseline_timeout;
        }
        let replica = self.replicas.get(key).filter(|_| kind != SendKind::Hedge);
        let delay = replica
            .and_then(|it| {
                let median = self.upstreams.median_us(it.upstream);
                match it.health.is_ejected() || it.health.is_doubtful(median) {
                    true => Some(self.upstreams.probe_delay_us(it.upstream, it.data_centre)),
                    false => self.upstreams.hedge_delay_us(it.upstream, it.data_centre),
                }
            })
            .map(from_micros);
        delay.map_or(Time::MAX, |delay| {
            let nanos = (now + delay).as_nanos() as u64;
            Time::from_nanos(nanos.next_multiple_of(LATENESS_GRANULARITY_NS))
        })
    }

    /// Handles the outcome of an attempt of a search.
    pub(crate) fn handle_query_outcome(
        &mut self,
        now: Time,
        owner: (u32, usize),
        (id, attempt): (AttemptId, Attempt),
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let (query_index, segment_index) = owner;
        self.queries[query_index as usize]
            .segments
            .get_mut(segment_index)
            .attempts
            .retain(|it| *it != id);
        let failure = match outcome {
            AttemptOutcome::Reply(reply) => {
                if self.merge_reply(now, owner, attempt, reply, out) {
                    self.answer_if_settled(now, query_index, out);
                    return;
                }
                self.counters.rejected_replies += 1;
                record_failure(now, &mut self.replicas, attempt.replica);
                MissingReason::Failed
            }
            AttemptOutcome::Refused { error, .. } => {
                self.record_refusal(now, query_index, attempt, error)
            }
            AttemptOutcome::ActionReply(_) => MissingReason::Failed,
            AttemptOutcome::NotSent => {
                self.record_connection_loss(now, attempt.replica);
                MissingReason::Failed
            }
            AttemptOutcome::Disconnected => {
                self.record_connection_loss(now, attempt.replica);
                if self.settings.policy == Policy::Adaptive
                    && self.handle_crash_sign(now, owner, attempt, out)
                {
                    return;
                }
                MissingReason::Failed
            }
            AttemptOutcome::TimedOut => {
                self.record_timeout(now, attempt);
                MissingReason::Deadline
            }
        };
        self.retry(now, owner, failure, out);
    }

    /// Retries a failed segment if possible, and answers the query if nothing is left to do.
    pub(crate) fn retry(
        &mut self,
        now: Time,
        (query_index, segment_index): (u32, usize),
        reason: MissingReason,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[query_index as usize];
        let segment = query.segments.get_mut(segment_index);
        segment.reason = reason;
        if !segment.attempts.is_empty() {
            return;
        }
        segment.kind = SendKind::Retry;
        let attempts = segment.tried.len();
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        let may_retry = answer_at > now
            && match self.settings.policy {
                Policy::Baseline => attempts <= MAX_BASELINE_RETRIES,
                Policy::Adaptive => true,
            };
        if may_retry {
            self.send_segment(now, query_index, segment_index, out);
        } else {
            let query = &mut self.queries[query_index as usize];
            query.segments.give_up(segment_index, reason);
        }
        let segment = self.queries[query_index as usize].segments.get(segment_index);
        let late_at = segment.late_at;
        let is_retired = segment.state == SegmentState::GivenUp
            && segment.reason == MissingReason::SnapshotRetired;
        if is_retired && self.rerun(now, query_index, out) {
            return;
        }
        self.arm_query_timer(query_index, late_at);
        self.answer_if_settled(now, query_index, out);
    }

    /// Takes a token from the retry budget of the upstream. The baseline policy has no budget.
    pub(crate) fn take_retry_token(&mut self, key: ReplicaKey) -> bool {
        let upstream = self.replicas.get(key).map(|it| it.upstream);
        self.settings.policy == Policy::Baseline
            || upstream.is_some_and(|it| self.upstreams.get_mut(it).retry_budget.try_take())
    }

    /// Records a refusal and returns the reason for the missing keys.
    pub(crate) fn record_refusal(
        &mut self,
        now: Time,
        query_index: u32,
        attempt: Attempt,
        error: UpstreamErrorKind,
    ) -> MissingReason {
        let query = &mut self.queries[query_index as usize];
        let (service, snapshot) = (query.service, query.layout.snapshot);
        match error {
            UpstreamErrorKind::Shed => {
                query.congestion_signals += 1;
                self.record_unavailable(now, attempt.replica, error);
                MissingReason::Shed
            }
            UpstreamErrorKind::Draining | UpstreamErrorKind::Cold => {
                self.record_unavailable(now, attempt.replica, error);
                MissingReason::NoReplica
            }
            UpstreamErrorKind::SnapshotRetired | UpstreamErrorKind::WrongRange => {
                // The next status reports what the replica holds now.
                self.replicas.drop_snapshot(attempt.replica, service, snapshot);
                match error {
                    UpstreamErrorKind::SnapshotRetired => MissingReason::SnapshotRetired,
                    _ => MissingReason::NoReplica,
                }
            }
            UpstreamErrorKind::Expired => MissingReason::Deadline,
            UpstreamErrorKind::BadRequest => MissingReason::Failed,
            UpstreamErrorKind::Failed => {
                record_failure(now, &mut self.replicas, attempt.replica);
                MissingReason::Failed
            }
        }
    }

    /// Records that a replica does not take work at the moment.
    pub(crate) fn record_unavailable(
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
                replica.health.record_shed(now);
                self.upstreams.get_mut(replica.upstream).record_shed(now, key);
                self.counters.upstream_sheds += 1;
            }
            UpstreamErrorKind::Cold => replica.health.avoid_temporarily(now),
            _ => {}
        }
    }

    /// Records a broken or refused connection.
    pub(crate) fn record_connection_loss(&mut self, now: Time, key: ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.health.avoid_temporarily(now);
        }
        record_failure(now, &mut self.replicas, key);
    }

    /// Records an attempt that timed out.
    pub(crate) fn record_timeout(&mut self, now: Time, attempt: Attempt) {
        let took = now.saturating_sub(attempt.sent);
        self.upstreams.record_abandoned(now, &mut self.replicas, attempt.replica, took);
        record_failure(now, &mut self.replicas, attempt.replica);
    }

    /// Merges a reply. Returns `false` if it does not match the request.
    fn merge_reply(
        &mut self,
        now: Time,
        (query_index, segment_index): (u32, usize),
        attempt: Attempt,
        reply: ShardReply,
        out: &mut Vec<Action>,
    ) -> bool {
        let query = &mut self.queries[query_index as usize];
        let is_covered = |key| reply.covered.iter().any(|it| it.range.contains(key));
        let is_mismatched = reply.snapshot != query.layout.snapshot
            || !reply.hits.iter().all(|hit| is_covered(hit.key));
        if is_mismatched {
            return false;
        }
        let range = query.segments.get(segment_index).range;
        let Ok(uncovered) = query.segments.cover(segment_index, &reply.covered) else {
            return false;
        };
        query.merger.add(reply.hits);
        let load = reply.load;
        query.congestion_signals += u32::from(load.slots > 0 && load.queued >= 2 * load.slots);
        let request = query.service_fingerprint();
        let losing_attempts = std::mem::take(&mut query.segments.get_mut(segment_index).attempts);
        let count = query.segments.len();
        for losing_attempt in losing_attempts {
            let Some(cancelled) = self.cancel_attempt(now, losing_attempt, out) else { continue };
            // The replica of the cancelled attempt may still be asked for the keys that the reply
            // does not cover.
            for open_index in count - uncovered..count {
                let segment = self.queries[query_index as usize].segments.get_mut(open_index);
                segment.tried.retain(|it| *it != cancelled.replica);
            }
        }
        self.upstreams.record_reply(
            now,
            &mut self.replicas,
            attempt.replica,
            now.saturating_sub(attempt.sent),
        );
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            replica.health.record_load(now, load);
        }
        if self.crash_tracker.has_records()
            && self.crash_tracker.record_success(request, range, now)
        {
            self.resumable_requests.push(request);
        }
        for open_index in count - uncovered..count {
            self.send_segment(now, query_index, open_index, out);
        }
        true
    }
}
