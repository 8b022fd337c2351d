//! Searches in flight: from submission to the one answer.

use std::sync::Arc;

use rosemarybank_protocol::{
    prelude::*,
    upstream::{ShardReply, UpstreamErrorKind},
};

use crate::{
    attempts::{Attempt, Owner},
    choice,
    engine::Engine,
    interface::{
        Action, AttemptId, AttemptOutcome, QueryId, Refusal, SearchResult, Send, SendKind,
        Submission,
    },
    layout::Layout,
    merge::Merge,
    replicas::ServiceIx,
    segments::{SegmentState, Segments},
    timers::Timer,
};

/// A search that is not answered yet.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) serial: u64,
    pub(crate) submission: Submission,
    pub(crate) service: ServiceIx,
    pub(crate) layout: Arc<Layout>,
    pub(crate) segments: Segments,
    pub(crate) merge: Merge,
    /// Attempts made for it so far.
    pub(crate) sends: u32,
}

impl Engine {
    pub(crate) fn submit(&mut self, now: Time, submission: Submission, out: &mut Vec<Action>) {
        if self.query_by_id.contains_key(&submission.query) {
            return;
        }
        self.counters.submitted += 1;
        let service = match self.check(now, &submission) {
            Ok(service) => service,
            Err(kind) => {
                self.refuse(submission.query, kind, out);
                return;
            }
        };
        self.query_serial += 1;
        let query = Query {
            serial: self.query_serial,
            service,
            layout: Arc::default(),
            segments: Segments::default(),
            merge: Merge::new(submission.limit),
            sends: 0,
            submission,
        };
        let id = query.submission.query;
        let index = self.queries.insert(query) as u32;
        self.query_by_id.insert(id, index);
        self.start(now, index, out);
    }

    fn check(&mut self, now: Time, submission: &Submission) -> Result<ServiceIx, ErrorKind> {
        if !self.is_configured {
            return Err(ErrorKind::NotReady);
        }
        let service = self.replicas.find_service(&submission.service);
        let plan = service.and_then(|it| Some((it, self.services.get(&it)?)));
        let Some((service, plan)) = plan else { return Err(ErrorKind::UnknownService) };
        if plan.kind != ServiceKind::Search {
            return Err(ErrorKind::InvalidArgument);
        }
        if submission.deadline <= now + self.settings.answer_margin {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        Ok(service)
    }

    fn refuse(&mut self, query: QueryId, kind: ErrorKind, out: &mut Vec<Action>) {
        self.counters.refused += 1;
        let refusal =
            Refusal { kind, execution: Execution::NotRun, retry_after: None, coverage: None };
        out.push(Action::Answer { query, answer: Err(refusal) });
    }

    pub(crate) fn caller_gone(&mut self, _now: Time, id: QueryId, out: &mut Vec<Action>) {
        let Some(index) = self.query_by_id.get(&id).copied() else { return };
        self.drop_query(index, out);
    }

    fn start(&mut self, now: Time, index: u32, out: &mut Vec<Action>) {
        let query = &mut self.queries[index as usize];
        let serial = query.serial;
        let answer_at = query.submission.deadline - self.settings.answer_margin;
        if let Some(layout) = self.replicas.choose_layout(query.service) {
            query.segments = Segments::new(&layout);
            query.layout = layout;
        }
        self.timers.arm(answer_at, Timer::Query { index, serial });
        let count = query.segments.len();
        for segment in 0..count {
            self.send_segment(now, index, segment, SendKind::First, out);
        }
        self.settle(now, index, out);
    }

    /// Sends a segment to another replica, or gives it up.
    fn send_segment(
        &mut self,
        _now: Time,
        index: u32,
        segment: usize,
        kind: SendKind,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[index as usize];
        let wanted = query.segments.get_mut(segment);
        let candidates = &query.layout.segments[wanted.origin as usize].replicas;
        let chosen = choice::uniform(&mut self.rng, &self.replicas, candidates, &wanted.tried);
        let owner = Owner::Query { index, segment: segment as u32 };
        let begun = chosen.and_then(|replica| {
            let id = self.begin_attempt(Attempt { owner, replica })?;
            Some((replica, id))
        });
        let query = &mut self.queries[index as usize];
        let Some((key, attempt)) = begun else {
            let wanted = query.segments.get(segment);
            let never_sent = wanted.tried.is_empty();
            let reason = if never_sent { MissingReason::NoReplica } else { wanted.reason };
            query.segments.give_up(segment, reason);
            return;
        };
        let wanted = query.segments.get_mut(segment);
        wanted.state = SegmentState::Running;
        wanted.tried.push(key);
        wanted.attempts.push(attempt);
        let range = wanted.range;
        query.sends += 1;
        match kind {
            SendKind::First => self.counters.first_sends += 1,
            SendKind::Retry => self.counters.retries += 1,
            SendKind::Hedge => self.counters.hedges += 1,
        }
        if let Some(replica) = self.replicas.get(key) {
            out.push(Action::Send(Send {
                attempt,
                query: query.submission.query,
                replica: replica.id.clone(),
                addr: replica.addr,
                snapshot: query.layout.snapshot,
                range,
                deadline: query.submission.deadline - self.settings.answer_margin,
                kind,
            }));
        }
    }

    pub(crate) fn query_outcome(
        &mut self,
        now: Time,
        index: u32,
        segment: u32,
        (id, attempt): (AttemptId, Attempt),
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let segment = segment as usize;
        let wanted = self.queries[index as usize].segments.get_mut(segment);
        wanted.attempts.retain(|it| *it != id);
        let reason = match outcome {
            AttemptOutcome::Reply(reply) => {
                if self.take_reply(now, index, segment, reply, out) {
                    self.settle(now, index, out);
                    return;
                }
                self.counters.rejected_replies += 1;
                MissingReason::Failed
            }
            AttemptOutcome::Refused { error, .. } => self.note_refusal(index, attempt, error),
            AttemptOutcome::ActionReply(_)
            | AttemptOutcome::NotSent
            | AttemptOutcome::Disconnected => MissingReason::Failed,
            AttemptOutcome::TimedOut => MissingReason::Deadline,
        };
        let wanted = self.queries[index as usize].segments.get_mut(segment);
        wanted.reason = reason;
        if wanted.attempts.is_empty() {
            self.send_segment(now, index, segment, SendKind::Retry, out);
        }
        self.settle(now, index, out);
    }

    fn note_refusal(
        &mut self,
        index: u32,
        attempt: Attempt,
        error: UpstreamErrorKind,
    ) -> MissingReason {
        let query = &self.queries[index as usize];
        match error {
            UpstreamErrorKind::Shed => {
                self.counters.upstream_sheds += 1;
                MissingReason::Shed
            }
            UpstreamErrorKind::Draining => {
                self.replicas.drain(attempt.replica);
                MissingReason::NoReplica
            }
            UpstreamErrorKind::SnapshotRetired => {
                let snapshot = query.layout.snapshot;
                self.replicas.drop_snapshot(attempt.replica, query.service, snapshot);
                MissingReason::SnapshotRetired
            }
            UpstreamErrorKind::Cold | UpstreamErrorKind::WrongRange => MissingReason::NoReplica,
            UpstreamErrorKind::Expired => MissingReason::Deadline,
            UpstreamErrorKind::BadRequest | UpstreamErrorKind::Failed => MissingReason::Failed,
        }
    }

    /// Merges a reply; `false` when it does not fit what was asked.
    fn take_reply(
        &mut self,
        now: Time,
        index: u32,
        segment: usize,
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
        let Ok(rest) = query.segments.cover(segment, &reply.covered) else { return false };
        query.merge.add(reply.hits);
        let losers = std::mem::take(&mut query.segments.get_mut(segment).attempts);
        let count = query.segments.len();
        for loser in losers {
            self.end_attempt(loser);
            out.push(Action::Cancel { attempt: loser });
        }
        for rest in count - rest..count {
            self.send_segment(now, index, rest, SendKind::First, out);
        }
        true
    }

    pub(crate) fn query_timer(
        &mut self,
        now: Time,
        index: u32,
        serial: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get(index as usize) else { return };
        if query.serial == serial && query.submission.deadline <= now + self.settings.answer_margin
        {
            self.finish(index, out);
        }
    }

    /// Answers the query once nothing more can be gained.
    fn settle(&mut self, _now: Time, index: u32, out: &mut Vec<Action>) {
        let query = &self.queries[index as usize];
        let is_lost =
            query.submission.coverage == CoverageMode::Complete && query.segments.given_up_any();
        if is_lost || query.segments.is_settled() {
            self.finish(index, out);
        }
    }

    fn finish(&mut self, index: u32, out: &mut Vec<Action>) {
        let query = &mut self.queries[index as usize];
        let coverage = query.segments.coverage();
        let has_result = match query.submission.coverage {
            CoverageMode::Complete => query.segments.covered_any() && coverage.is_complete(),
            CoverageMode::Partial => query.segments.covered_any(),
        };
        let answer = if has_result {
            self.counters.answered += 1;
            self.counters.complete += u64::from(coverage.is_complete());
            let hits = query.merge.finish();
            Ok(SearchResult { snapshot: query.layout.snapshot, coverage, hits })
        } else {
            self.counters.refused += 1;
            let (kind, execution) = match query.sends {
                0 => (ErrorKind::NoReplica, Execution::NotRun),
                _ => (ErrorKind::Incomplete, Execution::Partial),
            };
            Err(Refusal { kind, execution, retry_after: None, coverage: Some(coverage) })
        };
        out.push(Action::Answer { query: query.submission.query, answer });
        self.drop_query(index, out);
    }

    /// Forgets a query and cancels its attempts.
    fn drop_query(&mut self, index: u32, out: &mut Vec<Action>) {
        let query = self.queries.remove(index as usize);
        self.query_by_id.remove(&query.submission.query);
        for attempt in query.segments.iter().flat_map(|it| &it.attempts) {
            self.end_attempt(*attempt);
            out.push(Action::Cancel { attempt: *attempt });
        }
    }
}
