//! Searches in flight: from submission to the one answer.

use std::{sync::Arc, time::Duration};

use rosemarybank_protocol::{bundle::Canary, prelude::*};

use crate::{
    admission::{Ended, Place},
    crash::Suspect,
    engine::Engine,
    interface::{Action, QueryId, Refusal, SearchResult, Submission},
    layout::Layout,
    merge::Merge,
    segments::{SegmentState, Segments},
    services::ServiceIx,
    timers::Timer,
};

/// A query is run again on another snapshot this often at most.
const MAX_RERUNS: u32 = 2;

/// Shortest time after which a refused caller is asked to come back, so that its retry does not
/// meet the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A search that is not answered yet.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) serial: u64,
    pub(crate) submission: Submission,
    pub(crate) service: ServiceIx,
    /// When it left the queue; `None` while it waits.
    pub(crate) started: Option<Time>,
    pub(crate) layout: Arc<Layout>,
    pub(crate) segments: Segments,
    pub(crate) merge: Merge,
    /// Attempts made for it so far.
    pub(crate) sends: u32,
    /// Sheds and replies of replicas whose queue is as long as their slots.
    pub(crate) congestion: u32,
    pub(crate) reruns: u32,
    /// Whether its deadline came before its last reply.
    pub(crate) is_timed_out: bool,
    /// When its earliest timer fires.
    pub(crate) armed: Time,
}

impl Query {
    pub(crate) fn suspect(&self) -> Suspect {
        (self.service, self.submission.fingerprint)
    }

    /// Estimated memory, without the layout that all queries of a snapshot share.
    pub(crate) fn bytes(&self) -> usize {
        size_of::<Query>() + self.segments.bytes() + self.merge.bytes()
    }

    fn place(&self) -> Place {
        Place {
            service: self.service,
            priority: self.submission.priority,
            deadline: self.submission.deadline,
            serial: self.serial,
        }
    }

    /// How it ended, for the concurrency limit.
    fn ended(&self) -> Ended {
        let mut late = 0;
        let mut shed = 0;
        for segment in self.segments.iter().filter(|it| it.state != SegmentState::Covered) {
            late += u32::from(self.is_timed_out && segment.reason == MissingReason::Deadline);
            shed += u32::from(segment.reason == MissingReason::Shed);
        }
        // One slow or misleading replica among many must not shrink the limit.
        let is_congested = shed > 0 || 4 * (late + self.congestion) > self.segments.len() as u32;
        match is_congested {
            true => Ended::Congested,
            false if self.segments.is_covered() => Ended::Well,
            false => Ended::Otherwise,
        }
    }
}

impl Engine {
    pub(crate) fn submit(&mut self, now: Time, submission: Submission, out: &mut Vec<Action>) {
        let id = submission.query;
        if self.query_by_id.contains_key(&id) {
            return;
        }
        self.counters.submitted += 1;
        let service = match self.check(now, &submission) {
            Ok(service) => service,
            Err((kind, retry_after)) => {
                self.refuse(id, kind, retry_after, out);
                return;
            }
        };
        self.query_serial += 1;
        let query = Query {
            serial: self.query_serial,
            service,
            started: None,
            layout: Arc::default(),
            segments: Segments::default(),
            merge: Merge::new(submission.limit),
            sends: 0,
            congestion: 0,
            reruns: 0,
            is_timed_out: false,
            armed: Time::MAX,
            submission,
        };
        let place = query.place();
        let index = self.queries.insert(query) as u32;
        self.query_by_id.insert(id, index);
        self.admission.enqueue(place, index);
        self.admit(now, out);
        self.shed(now, out);
        if let Some(query) = self.queries.get(index as usize)
            && query.serial == place.serial
            && query.started.is_none()
        {
            self.arm_query(index, place.deadline.saturating_sub(self.settings.answer_margin));
        }
    }

    /// Whether a search may be queued, or why it is refused.
    fn check(
        &mut self,
        now: Time,
        submission: &Submission,
    ) -> Result<ServiceIx, (ErrorKind, Option<Duration>)> {
        if !self.is_configured {
            return Err((ErrorKind::NotReady, None));
        }
        let service = self.replicas.services.find(&submission.service);
        let plan = service.and_then(|it| Some((it, self.services.get(&it)?)));
        let Some((service, plan)) = plan else { return Err((ErrorKind::UnknownService, None)) };
        if plan.kind != ServiceKind::Search {
            return Err((ErrorKind::InvalidArgument, None));
        }
        let canary = plan.canary;
        let suspect = (service, submission.fingerprint);
        if let Some(until) = self.crashes.quarantined_until(suspect, now) {
            return Err((ErrorKind::Quarantined, Some(until - now)));
        }
        let answer_at = submission.deadline.saturating_sub(self.settings.answer_margin);
        let gate = self.admission.gate(service);
        let wait = gate.wait(submission.priority);
        if answer_at <= now || gate.is_unreachable(now, now, answer_at) {
            return Err((ErrorKind::DeadlineUnreachable, Some(wait)));
        }
        if gate.is_unreachable(now, now + wait, answer_at) {
            return Err((ErrorKind::Overloaded, Some(wait)));
        }
        self.crashes.note_return(suspect, now);
        if canary == Canary::Unseen {
            self.crashes.suspect_unseen(suspect, now);
        }
        Ok(service)
    }

    /// Refuses a search of which nothing was sent.
    fn refuse(
        &mut self,
        query: QueryId,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.counters.refused += 1;
        self.counters.sheds +=
            u64::from(matches!(kind, ErrorKind::Overloaded | ErrorKind::DeadlineUnreachable));
        let execution = Execution::NotRun;
        let retry_after = retry_after.map(|it| it.max(MIN_RETRY_AFTER));
        let refusal = Refusal { kind, execution, retry_after, coverage: None };
        out.push(Action::Answer { query, answer: Err(refusal) });
    }

    pub(crate) fn caller_gone(&mut self, now: Time, id: QueryId, out: &mut Vec<Action>) {
        let Some(index) = self.query_by_id.get(&id).copied() else { return };
        self.drop_query(now, index, out);
    }

    /// Starts queries as long as the concurrency limits allow.
    pub(crate) fn admit(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(index) = self.admission.next(&self.limits) {
            let query = &mut self.queries[index as usize];
            query.started = Some(now);
            let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
            let gate = self.admission.gate(query.service);
            if answer_at <= now || gate.is_unreachable(now, now, answer_at) {
                self.refuse_waiting(now, index, ErrorKind::DeadlineUnreachable, out);
            } else {
                self.start(now, index, out);
            }
        }
    }

    /// Sheds queries that the queue has no room for.
    fn shed(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(index) = self.admission.shed(&self.limits) {
            self.refuse_waiting(now, index, ErrorKind::Overloaded, out);
        }
    }

    /// Refuses a query before its first attempt.
    pub(crate) fn refuse_waiting(
        &mut self,
        now: Time,
        index: u32,
        kind: ErrorKind,
        out: &mut Vec<Action>,
    ) {
        let query = &self.queries[index as usize];
        let submission = &query.submission;
        let id = submission.query;
        let retry_after = match kind {
            ErrorKind::Quarantined => {
                self.crashes.quarantined_until(query.suspect(), now).map(|it| it - now)
            }
            _ => Some(self.admission.gate(query.service).wait(submission.priority)),
        };
        self.drop_query(now, index, out);
        self.refuse(id, kind, retry_after, out);
    }

    fn start(&mut self, now: Time, index: u32, out: &mut Vec<Action>) {
        let query = &mut self.queries[index as usize];
        let layout = self.replicas.choose_layout(query.service);
        query.layout = layout.unwrap_or_else(|| Arc::new(Layout::unserved()));
        query.segments = Segments::new(&query.layout);
        if query.submission.coverage == CoverageMode::Complete && !query.layout.is_full {
            query.segments.give_up_unserved(&query.layout);
            self.finish(now, index, None, out);
            return;
        }
        self.send_all(now, index, out);
    }

    /// Sends every segment that waits, and answers when nothing can be sent.
    pub(crate) fn send_all(&mut self, now: Time, index: u32, out: &mut Vec<Action>) {
        let query = &self.queries[index as usize];
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        let suspect = query.suspect();
        let sign = self.crashes.sign_range(suspect);
        let proof = sign.and_then(|sign| {
            query.segments.iter().position(|it| {
                it.state == SegmentState::Waiting && it.range.intersect(sign).is_some()
            })
        });
        for segment in proof.into_iter().chain(0..query.segments.len()) {
            let query = &self.queries[index as usize];
            if query.segments.get(segment).state == SegmentState::Waiting {
                self.send_segment(now, index, segment, out);
            }
        }
        let late_at = self.queries[index as usize].segments.next_late();
        self.arm_query(index, late_at.min(answer_at));
        self.settle(now, index, out);
    }

    /// Answers the query once nothing more can be gained.
    pub(crate) fn settle(&mut self, now: Time, index: u32, out: &mut Vec<Action>) {
        let query = &self.queries[index as usize];
        let is_lost =
            query.submission.coverage == CoverageMode::Complete && query.segments.given_up_any();
        if is_lost || query.segments.is_settled() {
            self.finish(now, index, None, out);
        }
    }

    /// Runs the whole query on another snapshot, when its snapshot was retired and time is left.
    pub(crate) fn rerun(&mut self, now: Time, index: u32, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[index as usize];
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        let is_late = self.admission.gate(query.service).is_unreachable(now, now, answer_at);
        if query.reruns >= MAX_RERUNS || is_late || answer_at <= now {
            return false;
        }
        let Some(layout) = self.replicas.choose_layout(query.service) else { return false };
        let needs_all = query.submission.coverage == CoverageMode::Complete;
        if layout.snapshot == query.layout.snapshot || (needs_all && !layout.is_full) {
            return false;
        }
        self.cancel_attempts(now, index, out);
        let query = &mut self.queries[index as usize];
        query.reruns += 1;
        query.merge.clear();
        query.segments = Segments::new(&layout);
        query.layout = layout;
        self.counters.reruns += 1;
        self.send_all(now, index, out);
        true
    }

    /// Gives the answer. `cause` is the error when there is no result to give.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        index: u32,
        cause: Option<ErrorKind>,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[index as usize];
        let coverage = query.segments.coverage();
        let has_result = match query.submission.coverage {
            CoverageMode::Complete => query.segments.is_covered(),
            CoverageMode::Partial => query.segments.covered_any(),
        };
        let answer = if has_result {
            self.crashes.prove(query.suspect(), now);
            self.counters.answered += 1;
            self.counters.complete += u64::from(coverage.is_complete());
            let hits = query.merge.finish();
            Ok(SearchResult { snapshot: query.layout.snapshot, coverage, hits })
        } else {
            self.counters.refused += 1;
            let was_sent = query.sends > 0;
            let kind = match cause {
                Some(kind) => kind,
                None if was_sent => ErrorKind::Incomplete,
                None => ErrorKind::NoReplica,
            };
            let execution = if was_sent { Execution::Partial } else { Execution::NotRun };
            let retry_after = match kind {
                // By then every replica has been polled again.
                ErrorKind::NoReplica => Some(self.settings.poll_interval),
                ErrorKind::Quarantined => {
                    self.crashes.quarantined_until(query.suspect(), now).map(|it| it - now)
                }
                _ => None,
            };
            Err(Refusal { kind, execution, retry_after, coverage: Some(coverage) })
        };
        let id = query.submission.query;
        self.drop_query(now, index, out);
        out.push(Action::Answer { query: id, answer });
    }

    /// Forgets a query and cancels its attempts.
    pub(crate) fn drop_query(&mut self, now: Time, index: u32, out: &mut Vec<Action>) {
        self.cancel_attempts(now, index, out);
        let query = self.queries.remove(index as usize);
        self.query_by_id.remove(&query.submission.query);
        match query.started {
            Some(started) => {
                let ended = query.ended();
                self.admission.end(now, query.service, started, ended, &self.limits);
            }
            None => self.admission.withdraw(query.place()),
        }
    }

    pub(crate) fn arm_query(&mut self, index: u32, at: Time) {
        let query = &mut self.queries[index as usize];
        if at < query.armed {
            query.armed = at;
            let serial = query.serial;
            self.timers.arm(at, Timer::Query { index, serial });
        }
    }

    fn cancel_attempts(&mut self, now: Time, index: u32, out: &mut Vec<Action>) {
        let query = &mut self.queries[index as usize];
        let open = query.segments.take_attempts();
        for attempt in open {
            self.cancel(now, attempt, out);
        }
    }
}
