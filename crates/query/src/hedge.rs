//! Late attempts: hedges, and the fixed timeout of the baseline policy.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    engine::Engine,
    interface::{Action, SendKind},
    segments::SegmentState,
    settings::Policy,
    upstreams::note_failure,
};

/// A late segment that could not be hedged is looked at again after this time: about the time in
/// which a slot frees up or the budget earns a token.
const RECHECK: Duration = Duration::from_millis(4);

/// Attempts of one segment that may be in flight at once.
const MAX_ATTEMPTS: usize = 2;

impl Engine {
    pub(crate) fn query_timer(
        &mut self,
        now: Time,
        index: u32,
        serial: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(index as usize) else { return };
        if query.serial != serial || query.armed > now {
            return;
        }
        query.armed = Time::MAX;
        let answer_at = query.submission.deadline.saturating_sub(self.settings.answer_margin);
        if answer_at <= now {
            query.is_timed_out = true;
            match query.started {
                Some(_) => self.finish(now, index, None, out),
                None => self.refuse_waiting(now, index, ErrorKind::DeadlineUnreachable, out),
            }
            return;
        }
        if query.started.is_some() {
            self.handle_late(now, index, serial, out);
        }
        // The query may have ended, and another may have its place.
        if let Some(query) = self.queries.get(index as usize)
            && query.serial == serial
        {
            self.arm_query(index, query.segments.next_late().min(answer_at));
        }
    }

    fn handle_late(&mut self, now: Time, index: u32, serial: u64, out: &mut Vec<Action>) {
        let mut segment = 0;
        while let Some(query) = self.queries.get(index as usize)
            && query.serial == serial
            && segment < query.segments.len()
        {
            let it = query.segments.get(segment);
            if it.state == SegmentState::Running && it.late_at <= now {
                match self.settings.policy {
                    Policy::Adaptive => self.hedge(now, index, segment, out),
                    Policy::Baseline => self.time_out(now, index, segment, out),
                }
            }
            segment += 1;
        }
    }

    /// Asks a second replica for the keys of a late attempt, unless that would add to an overload.
    fn hedge(&mut self, now: Time, index: u32, segment: usize, out: &mut Vec<Action>) {
        let query = &mut self.queries[index as usize];
        let (service, suspect) = (query.service, query.suspect());
        let wanted = query.segments.get_mut(segment);
        if wanted.attempts.len() >= MAX_ATTEMPTS || self.crashes.is_suspect(suspect, now) {
            wanted.late_at = Time::MAX;
            return;
        }
        wanted.late_at = now + RECHECK;
        if self.admission.gate(service).is_overloaded(now) {
            return;
        }
        let Some(key) = self.choose_for(now, index, segment, SendKind::Hedge) else { return };
        if self.admission.gate(service).hedges.take() {
            self.begin_send(now, index, segment, key, SendKind::Hedge, out);
        }
    }

    fn time_out(&mut self, now: Time, index: u32, segment: usize, out: &mut Vec<Action>) {
        let wanted = self.queries[index as usize].segments.get_mut(segment);
        wanted.late_at = Time::MAX;
        let Some(id) = wanted.attempts.pop() else { return };
        let Some(attempt) = self.cancel(now, id, out) else { return };
        note_failure(now, &mut self.replicas, attempt.replica);
        self.retry(now, (index, segment), MissingReason::Deadline, out);
    }
}
