//! Handling of late attempts: hedging, and the fixed timeout of the baseline policy.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    attempts::Attempt,
    engine::Engine,
    interface::{Action, SendKind},
    latency::micros,
    segments::SegmentState,
    settings::Policy,
    upstreams::record_failure,
};

/// Interval at which a late segment that could not be hedged is checked again: about the time in
/// which a slot becomes free or the budget gains a token.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Tokens that are reserved for very late attempts, so that the normal tail of the latency
/// distribution does not use up the budget needed for slow replicas.
const HEDGE_TOKEN_RESERVE: u32 = 5;

/// An attempt is very late after this multiple of the hedge delay.
const VERY_LATE_FACTOR: f32 = 1.25;

/// Attempts of one segment that may be in flight at the same time.
const MAX_ATTEMPTS: usize = 2;

impl Engine {
    /// Handles the timer of a query: its deadline, or a late attempt.
    pub(crate) fn handle_query_timer(
        &mut self,
        now: Time,
        query_index: u32,
        serial: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(query_index as usize) else { return };
        if query.serial != serial || query.armed_at > now {
            return;
        }
        query.armed_at = Time::MAX;
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        if answer_at <= now {
            query.is_timed_out = true;
            match query.started {
                Some(_) => self.answer_query(now, query_index, None, out),
                None => self.refuse_unsent(now, query_index, ErrorKind::DeadlineUnreachable, out),
            }
            return;
        }
        if query.started.is_some() {
            self.handle_late_segments(now, query_index, serial, out);
        }
        // The query may have ended, and its slab index may belong to another query.
        if let Some(query) = self.queries.get(query_index as usize)
            && query.serial == serial
        {
            self.arm_query_timer(query_index, query.segments.next_late_at().min(answer_at));
        }
    }

    fn handle_late_segments(
        &mut self,
        now: Time,
        query_index: u32,
        serial: u64,
        out: &mut Vec<Action>,
    ) {
        let mut segment_index = 0;
        while let Some(query) = self.queries.get(query_index as usize)
            && query.serial == serial
            && segment_index < query.segments.len()
        {
            let segment = query.segments.get(segment_index);
            if segment.state == SegmentState::Running && segment.late_at <= now {
                match self.settings.policy {
                    Policy::Adaptive => self.hedge_segment(now, query_index, segment_index, out),
                    Policy::Baseline => self.time_out_segment(now, query_index, segment_index, out),
                }
            }
            segment_index += 1;
        }
    }

    /// Sends the keys of a late attempt to a second replica, unless that would add to an overload.
    fn hedge_segment(
        &mut self,
        now: Time,
        query_index: u32,
        segment_index: usize,
        out: &mut Vec<Action>,
    ) {
        let query = &mut self.queries[query_index as usize];
        let (service, request) = (query.service, query.service_fingerprint());
        let segment = query.segments.get_mut(segment_index);
        if segment.attempts.len() >= MAX_ATTEMPTS || self.crash_tracker.is_suspect(request, now) {
            segment.late_at = Time::MAX;
            return;
        }
        segment.late_at = now + HEDGE_RECHECK_INTERVAL;
        let first_attempt = segment.attempts.first().copied();
        let Some(late_attempt) = first_attempt.and_then(|it| self.attempts.get(it)).copied() else {
            return;
        };
        // The age of the attempt already shows that the replica is slow. Recording it now, before a
        // reply, keeps further queries from choosing this replica.
        let age = now.saturating_sub(late_attempt.sent);
        self.upstreams.record_abandoned(now, &mut self.replicas, late_attempt.replica, age);
        let upstream = self.replicas.get(late_attempt.replica).map(|it| it.upstream);
        if self.admission.service(service).queue_len() > 0
            || upstream.is_none_or(|it| self.upstreams.get(it).is_overloaded(now))
        {
            return;
        }
        let reserve = if self.is_very_late(now, late_attempt) { 0 } else { HEDGE_TOKEN_RESERVE };
        let Some(key) = self.choose_replica(now, query_index, segment_index, SendKind::Hedge)
        else {
            return;
        };
        if self.admission.service(service).hedge_budget.try_take_above(reserve) {
            self.send_to(now, query_index, segment_index, key, SendKind::Hedge, out);
        }
    }

    fn is_very_late(&self, now: Time, attempt: Attempt) -> bool {
        let Some(replica) = self.replicas.get(attempt.replica) else { return true };
        let delay = self.upstreams.hedge_delay_us(replica.upstream, replica.data_centre);
        let took = micros(now.saturating_sub(attempt.sent));
        replica.health.is_ejected() || delay.is_none_or(|it| took >= VERY_LATE_FACTOR * it)
    }

    /// Cancels the attempt of a segment after the fixed timeout and retries the segment.
    fn time_out_segment(
        &mut self,
        now: Time,
        query_index: u32,
        segment_index: usize,
        out: &mut Vec<Action>,
    ) {
        let segment = self.queries[query_index as usize].segments.get_mut(segment_index);
        segment.late_at = Time::MAX;
        let Some(id) = segment.attempts.pop() else { return };
        let Some(attempt) = self.cancel_attempt(now, id, out) else { return };
        record_failure(now, &mut self.replicas, attempt.replica);
        self.retry(now, (query_index, segment_index), MissingReason::Deadline, out);
    }
}
