//! Life cycle of a search, from submission to its answer.

use std::{sync::Arc, time::Duration};

use rosemarybank_protocol::{bundle::Canary, prelude::*};

use crate::{
    admission::{QueryEnd, QueuePosition},
    crash_tracker::ServiceFingerprint,
    engine::Engine,
    interface::{Action, QueryId, Refusal, SearchResult, Submission},
    layout::Layout,
    merge::HitMerger,
    segments::{SegmentState, Segments},
    services::ServiceIndex,
    timers::Timer,
};

/// Maximum number of times that a query is restarted on another snapshot.
const MAX_RERUNS: u32 = 2;

/// Shortest retry delay that a refused caller is given, so that its retry does not meet the same
/// queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A search that has not been answered.
#[derive(Debug)]
pub(crate) struct Query {
    pub(crate) serial: u64,
    pub(crate) submission: Submission,
    pub(crate) service: ServiceIndex,
    /// When it left the queue; `None` while it is queued.
    pub(crate) started: Option<Time>,
    pub(crate) layout: Arc<Layout>,
    pub(crate) segments: Segments,
    pub(crate) merger: HitMerger,
    /// Number of attempts made for it.
    pub(crate) sends: u32,
    /// Number of shed attempts, and of replies from replicas with at least two queued requests per
    /// slot.
    pub(crate) congestion_signals: u32,
    pub(crate) reruns: u32,
    /// Whether its deadline passed before all replies arrived.
    pub(crate) is_timed_out: bool,
    /// When its earliest armed timer fires.
    pub(crate) armed_at: Time,
}

impl Query {
    pub(crate) fn service_fingerprint(&self) -> ServiceFingerprint {
        (self.service, self.submission.fingerprint)
    }

    /// Estimated memory in bytes, without the layout, which queries share.
    pub(crate) fn bytes(&self) -> usize {
        size_of::<Query>() + self.segments.bytes() + self.merger.bytes()
    }

    fn queue_position(&self) -> QueuePosition {
        QueuePosition {
            service: self.service,
            priority: self.submission.priority,
            deadline: self.submission.deadline,
            serial: self.serial,
        }
    }

    /// How it ended, as input for the concurrency limit.
    fn end_kind(&self) -> QueryEnd {
        let mut late = 0;
        let mut shed = 0;
        for segment in self.segments.iter().filter(|it| it.state != SegmentState::Covered) {
            late += u32::from(self.is_timed_out && segment.reason == MissingReason::Deadline);
            shed += u32::from(segment.reason == MissingReason::Shed);
        }
        // More than a quarter of the segments must be affected, unless keys are missing because of
        // shed requests. One slow replica, or one with a wrong load report, then does not decrease
        // the limit of a query with four segments or more.
        let is_congested =
            shed > 0 || 4 * (late + self.congestion_signals) > self.segments.len() as u32;
        match is_congested {
            true => QueryEnd::Congested,
            false if self.segments.is_covered() => QueryEnd::Complete,
            false => QueryEnd::Other,
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
        let service = match self.check_submission(now, &submission) {
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
            merger: HitMerger::new(submission.limit),
            sends: 0,
            congestion_signals: 0,
            reruns: 0,
            is_timed_out: false,
            armed_at: Time::MAX,
            submission,
        };
        let position = query.queue_position();
        let query_index = self.queries.insert(query) as u32;
        self.query_by_id.insert(id, query_index);
        self.admission.enqueue(position, query_index);
        self.admit(now, out);
        self.shed_excess(now, out);
        if let Some(query) = self.queries.get(query_index as usize)
            && query.serial == position.serial
            && query.started.is_none()
        {
            self.arm_query_timer(
                query_index,
                position.deadline.saturating_sub(self.settings.answer_margin),
            );
        }
    }

    /// Checks whether a search may be queued. Returns its service, or the error and the retry
    /// delay. Also makes the fingerprint a suspect if its quarantine has ended recently, or if no
    /// success of it is known and the service requires a canary for such requests.
    fn check_submission(
        &mut self,
        now: Time,
        submission: &Submission,
    ) -> Result<ServiceIndex, (ErrorKind, Option<Duration>)> {
        if !self.is_configured {
            return Err((ErrorKind::NotReady, None));
        }
        let service = self.replicas.services.find(&submission.service);
        let found = service.and_then(|it| Some((it, self.services.get(&it)?)));
        let Some((service, settings)) = found else {
            return Err((ErrorKind::UnknownService, None));
        };
        if settings.kind != ServiceKind::Search {
            return Err((ErrorKind::InvalidArgument, None));
        }
        let canary = settings.canary;
        let request = (service, submission.fingerprint);
        if let Some(until) = self.crash_tracker.quarantined_until(request, now) {
            return Err((ErrorKind::Quarantined, Some(until - now)));
        }
        let answer_at = submission.deadline.saturating_sub(self.settings.answer_margin);
        let admission = self.admission.service(service);
        let wait = admission.estimated_wait(submission.priority);
        if answer_at <= now || admission.is_unreachable(now, now, answer_at) {
            return Err((ErrorKind::DeadlineUnreachable, Some(wait)));
        }
        if admission.is_unreachable(now, now + wait, answer_at) {
            return Err((ErrorKind::Overloaded, Some(wait)));
        }
        self.crash_tracker.suspect_after_quarantine(request, now);
        if canary == Canary::Unseen {
            self.crash_tracker.suspect_unseen(request, now);
        }
        Ok(service)
    }

    /// Refuses a search for which no attempt was sent.
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
        let Some(query_index) = self.query_by_id.get(&id).copied() else { return };
        self.remove_query(now, query_index, out);
    }

    /// Starts queued queries as far as the concurrency limits allow.
    pub(crate) fn admit(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(query_index) = self.admission.start_next(&self.limits) {
            let query = &mut self.queries[query_index as usize];
            query.started = Some(now);
            let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
            let admission = self.admission.service(query.service);
            if answer_at <= now || admission.is_unreachable(now, now, answer_at) {
                self.refuse_unsent(now, query_index, ErrorKind::DeadlineUnreachable, out);
            } else {
                self.start_query(now, query_index, out);
            }
        }
    }

    /// Sheds queries while the queue exceeds its limit.
    fn shed_excess(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(query_index) = self.admission.shed(&self.limits) {
            self.refuse_unsent(now, query_index, ErrorKind::Overloaded, out);
        }
    }

    /// Removes and refuses a query for which no attempt was sent.
    pub(crate) fn refuse_unsent(
        &mut self,
        now: Time,
        query_index: u32,
        kind: ErrorKind,
        out: &mut Vec<Action>,
    ) {
        let query = &self.queries[query_index as usize];
        let submission = &query.submission;
        let id = submission.query;
        let retry_after = match kind {
            ErrorKind::Quarantined => self
                .crash_tracker
                .quarantined_until(query.service_fingerprint(), now)
                .map(|it| it - now),
            _ => Some(self.admission.service(query.service).estimated_wait(submission.priority)),
        };
        self.remove_query(now, query_index, out);
        self.refuse(id, kind, retry_after, out);
    }

    fn start_query(&mut self, now: Time, query_index: u32, out: &mut Vec<Action>) {
        let query = &mut self.queries[query_index as usize];
        let layout = self.replicas.choose_layout(query.service);
        query.layout = layout.unwrap_or_else(|| Arc::new(Layout::unserved()));
        query.segments = Segments::new(&query.layout);
        if query.submission.coverage == CoverageMode::Complete && !query.layout.is_complete {
            query.segments.give_up_unserved(&query.layout);
            self.answer_query(now, query_index, None, out);
            return;
        }
        self.send_waiting_segments(now, query_index, out);
    }

    /// Sends every waiting segment, and answers the query if nothing is left to do. If the query is
    /// a suspect, the first segment sent becomes the canary, so a segment that overlaps the keys of
    /// the first crash sign comes first.
    pub(crate) fn send_waiting_segments(
        &mut self,
        now: Time,
        query_index: u32,
        out: &mut Vec<Action>,
    ) {
        let query = &self.queries[query_index as usize];
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        let request = query.service_fingerprint();
        let sign_range = self.crash_tracker.first_sign_range(request);
        let canary_segment = sign_range.and_then(|sign_range| {
            query.segments.iter().position(|it| {
                it.state == SegmentState::Waiting && it.range.intersect(sign_range).is_some()
            })
        });
        for segment in canary_segment.into_iter().chain(0..query.segments.len()) {
            let query = &self.queries[query_index as usize];
            if query.segments.get(segment).state == SegmentState::Waiting {
                self.send_segment(now, query_index, segment, out);
            }
        }
        let late_at = self.queries[query_index as usize].segments.next_late_at();
        self.arm_query_timer(query_index, late_at.min(answer_at));
        self.answer_if_settled(now, query_index, out);
    }

    /// Answers the query if no further attempt can improve the answer.
    pub(crate) fn answer_if_settled(&mut self, now: Time, query_index: u32, out: &mut Vec<Action>) {
        let query = &self.queries[query_index as usize];
        let has_failed =
            query.submission.coverage == CoverageMode::Complete && query.segments.has_given_up();
        if has_failed || query.segments.is_settled() {
            self.answer_query(now, query_index, None, out);
        }
    }

    /// Restarts the query on another snapshot after its snapshot was retired, if another one can be
    /// searched, enough time is left and the limit of restarts is not reached. Returns whether it
    /// was restarted.
    pub(crate) fn rerun(&mut self, now: Time, query_index: u32, out: &mut Vec<Action>) -> bool {
        let query = &self.queries[query_index as usize];
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        let is_late = self.admission.service(query.service).is_unreachable(now, now, answer_at);
        if query.reruns >= MAX_RERUNS || is_late || answer_at <= now {
            return false;
        }
        let Some(layout) = self.replicas.choose_layout(query.service) else { return false };
        let needs_complete = query.submission.coverage == CoverageMode::Complete;
        if layout.snapshot == query.layout.snapshot || (needs_complete && !layout.is_complete) {
            return false;
        }
        self.cancel_attempts(now, query_index, out);
        let query = &mut self.queries[query_index as usize];
        query.reruns += 1;
        query.merger.clear();
        query.segments = Segments::new(&layout);
        query.layout = layout;
        self.counters.reruns += 1;
        self.send_waiting_segments(now, query_index, out);
        true
    }

    /// Answers the query with its result, or with the error `cause` if there is no result. Without
    /// a cause, the error is `Incomplete` if an attempt was sent, and `NoReplica` otherwise.
    pub(crate) fn answer_query(
        &mut self,
        now: Time,
        query_index: u32,
        cause: Option<ErrorKind>,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[query_index as usize];
        let coverage = query.segments.coverage();
        let has_result = match query.submission.coverage {
            CoverageMode::Complete => query.segments.is_covered(),
            CoverageMode::Partial => query.segments.has_covered(),
        };
        let answer = if has_result {
            self.crash_tracker.record_unsuspected_success(query.service_fingerprint(), now);
            self.counters.answered += 1;
            self.counters.complete += u64::from(coverage.is_complete());
            let hits = query.merger.take_best_hits();
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
                // By then the replicas have been polled again, unless there are so many replicas or
                // instances that the poll interval is longer.
                ErrorKind::NoReplica => Some(self.settings.poll_interval),
                ErrorKind::Quarantined => self
                    .crash_tracker
                    .quarantined_until(query.service_fingerprint(), now)
                    .map(|it| it - now),
                _ => None,
            };
            Err(Refusal { kind, execution, retry_after, coverage: Some(coverage) })
        };
        let id = query.submission.query;
        self.remove_query(now, query_index, out);
        out.push(Action::Answer { query: id, answer });
    }

    /// Removes a query and cancels its attempts.
    pub(crate) fn remove_query(&mut self, now: Time, query_index: u32, out: &mut Vec<Action>) {
        self.cancel_attempts(now, query_index, out);
        let query = self.queries.remove(query_index as usize);
        self.query_by_id.remove(&query.submission.query);
        match query.started {
            Some(started) => {
                let query_end = query.end_kind();
                self.admission.finish_query(now, query.service, started, query_end, &self.limits);
            }
            None => self.admission.remove(query.queue_position()),
        }
    }

    pub(crate) fn arm_query_timer(&mut self, query_index: u32, at: Time) {
        let query = &mut self.queries[query_index as usize];
        if at < query.armed_at {
            query.armed_at = at;
            let serial = query.serial;
            self.timers.arm(at, Timer::Query { query_index, serial });
        }
    }

    fn cancel_attempts(&mut self, now: Time, query_index: u32, out: &mut Vec<Action>) {
        let query = &mut self.queries[query_index as usize];
        let open = query.segments.take_attempts();
        for attempt in open {
            self.cancel_attempt(now, attempt, out);
        }
    }
}
