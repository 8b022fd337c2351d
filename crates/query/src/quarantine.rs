//! Applies crash signs, canaries and quarantines to queries in flight.

use rosemarybank_protocol::prelude::*;

use crate::{
    attempts::Attempt,
    crash_tracker::{ServiceFingerprint, Verdict},
    engine::Engine,
    interface::Action,
    segments::SegmentState,
    timers::Timer,
};

impl Engine {
    /// Handles a connection that broke during a search. Returns whether this quarantined the
    /// request and so ended the query.
    pub(crate) fn handle_crash_sign(
        &mut self,
        now: Time,
        (query_index, segment_index): (u32, usize),
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) -> bool {
        self.counters.crash_signs += 1;
        let query = &self.queries[query_index as usize];
        let request = query.service_fingerprint();
        let range = query.segments.get(segment_index).range;
        let may_succeed = self
            .queries_with(request)
            .into_iter()
            .any(|it| self.queries[it as usize].segments.iter().any(|it| !it.attempts.is_empty()));
        let sign = (attempt.replica, range, attempt.sent);
        match self.crash_tracker.record_crash_sign(
            request,
            sign,
            may_succeed,
            self.settings.max_quarantine,
            now,
        ) {
            Verdict::Suspected { paused_until } => {
                if paused_until > now {
                    self.timers.arm(paused_until, Timer::CanaryPause(request));
                }
                false
            }
            Verdict::Quarantined { crashes, quarantine } => {
                self.counters.quarantined += 1;
                let service = self.replicas.services.name(request.0).clone();
                out.push(Action::Quarantine {
                    service,
                    fingerprint: request.1,
                    crashes,
                    quarantine,
                });
                self.apply_quarantine(now, request, now + quarantine, out);
                true
            }
        }
    }

    /// Quarantines a fingerprint until the given time and ends its queries. A time that is not in
    /// the future releases it.
    pub(crate) fn apply_quarantine(
        &mut self,
        now: Time,
        request: ServiceFingerprint,
        until: Time,
        out: &mut Vec<Action>,
    ) {
        self.crash_tracker.set_quarantine(request, until, now);
        self.resumable_requests.push(request);
        if until <= now {
            return;
        }
        for query_index in self.queries_with(request) {
            let query = &mut self.queries[query_index as usize];
            if query.started.is_some() {
                query.segments.give_up_open(MissingReason::Quarantined);
                self.answer_query(now, query_index, Some(ErrorKind::Quarantined), out);
            } else {
                self.refuse_unsent(now, query_index, ErrorKind::Quarantined, out);
            }
        }
    }

    /// Sends the segments that were held back by a canary or a pause that has ended.
    pub(crate) fn resume_requests(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(request) = self.resumable_requests.pop() {
            for query_index in self.queries_with(request) {
                let query = &self.queries[query_index as usize];
                let has_waiting_segments =
                    query.segments.iter().any(|it| it.state == SegmentState::Waiting);
                if query.started.is_some() && has_waiting_segments {
                    self.send_waiting_segments(now, query_index, out);
                }
            }
        }
    }

    /// Queries in flight with this fingerprint. Crash signs are rare, so a scan is fast enough.
    fn queries_with(&self, request: ServiceFingerprint) -> Vec<u32> {
        let found = self.queries.iter().filter(|(_, it)| it.service_fingerprint() == request);
        found.map(|(query_index, _)| query_index as u32).collect()
    }
}
