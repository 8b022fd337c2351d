//! Late attempts: hedges, and the fixed timeout of the baseline policy.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::{
    attempts::Attempt,
    engine::Engine,
    interface::{Action, SendKind},
    latency::micros,
    segments::SegmentState,
    settings::Policy,
    upstreams::note_failure,
};

/// A late segment that could not be hedged is looked at again after this time: about the time in
/// which a slot frees up or the budget earns a token.
const RECHECK: Duration = Duration::from_millis(2);

/// Tokens that attempts which are only a little late leave to those that are very late, so that
/// the usual tail can't use up the budget that a straggler needs.
const RESERVE: u32 = 5;

/// An attempt is very late after this multiple of the hedge delay.
const VERY_LATE: f32 = 1.25;

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
        let wanted_attempt = wanted.attempts.first().copied();
        let Some(late) = wanted_attempt.and_then(|it| self.attempts.get(it)).copied() else {
            return;
        };
        // Its age alone shows that the replica is slow; waiting for the reply would let more
        // queries run into it.
        let age = now.saturating_sub(late.sent);
        self.upstreams.note_abandoned(now, &mut self.replicas, late.replica, age);
        let upstream = self.replicas.get(late.replica).map(|it| it.upstream);
        if self.admission.gate(service).waiting() > 0
            || upstream.is_none_or(|it| self.upstreams.get(it).is_overloaded(now))
        {
            return;
        }
        let reserve = if self.is_very_late(now, late) { 0 } else { RESERVE };
        let Some(key) = self.choose_for(now, index, segment, SendKind::Hedge) else { return };
        if self.admission.gate(service).hedges.take_above(reserve) {
            self.begin_send(now, index, segment, key, SendKind::Hedge, out);
        }
    }

    fn is_very_late(&self, now: Time, attempt: Attempt) -> bool {
        let Some(replica) = self.replicas.get(attempt.replica) else { return true };
        let delay = self.upstreams.hedge_delay_us(replica.upstream, replica.data_centre);
        let took = micros(now.saturating_sub(attempt.sent));
        replica.health.is_ejected() || delay.is_none_or(|it| took >= VERY_LATE * it)
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
