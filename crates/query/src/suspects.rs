//! Crash signs, canaries and quarantine as they act on queries in flight.

use rosemarybank_protocol::prelude::*;

use crate::{
    attempts::Attempt,
    crash::{Suspect, Verdict},
    engine::Engine,
    interface::Action,
    segments::SegmentState,
    timers::Timer,
};

impl Engine {
    /// Notes a connection that broke under a search. Returns whether the query was ended by it.
    pub(crate) fn crash_sign(
        &mut self,
        now: Time,
        (index, segment): (u32, usize),
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) -> bool {
        self.counters.crash_signs += 1;
        let query = &self.queries[index as usize];
        let suspect = query.suspect();
        let range = query.segments.get(segment).range;
        let may_succeed = self
            .queries_of(suspect)
            .into_iter()
            .any(|it| self.queries[it as usize].segments.iter().any(|it| !it.attempts.is_empty()));
        let sign = (attempt.replica, range, attempt.sent);
        match self.crashes.sign(suspect, sign, may_succeed, self.settings.max_quarantine, now) {
            Verdict::Suspected { paused_until } => {
                if paused_until > now {
                    self.timers.arm(paused_until, Timer::Canary(suspect));
                }
                false
            }
            Verdict::Condemned { crashes, quarantine } => {
                self.counters.quarantined += 1;
                let service = self.replicas.services.name(suspect.0).clone();
                out.push(Action::Quarantine {
                    service,
                    fingerprint: suspect.1,
                    crashes,
                    quarantine,
                });
                self.quarantine(now, suspect, now + quarantine, out);
                true
            }
        }
    }

    /// Quarantines a fingerprint until a time, or releases it when the time has passed.
    pub(crate) fn quarantine(
        &mut self,
        now: Time,
        suspect: Suspect,
        until: Time,
        out: &mut Vec<Action>,
    ) {
        self.crashes.set_quarantine(suspect, until, now);
        self.resumable.push(suspect);
        if until <= now {
            return;
        }
        for index in self.queries_of(suspect) {
            let query = &mut self.queries[index as usize];
            if query.started.is_some() {
                query.segments.give_up_open(MissingReason::Quarantined);
                self.finish(now, index, Some(ErrorKind::Quarantined), out);
            } else {
                self.refuse_waiting(now, index, ErrorKind::Quarantined, out);
            }
        }
    }

    /// Sends what was held for canaries and pauses that ended.
    pub(crate) fn resume(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(suspect) = self.resumable.pop() {
            for index in self.queries_of(suspect) {
                let query = &self.queries[index as usize];
                let holds_some = query.segments.iter().any(|it| it.state == SegmentState::Waiting);
                if query.started.is_some() && holds_some {
                    self.send_all(now, index, out);
                }
            }
        }
    }

    /// Crash signs are rare, so no index of fingerprints is kept for the queries in flight.
    fn queries_of(&self, suspect: Suspect) -> Vec<u32> {
        let found = self.queries.iter().filter(|(_, it)| it.suspect() == suspect);
        found.map(|(index, _)| index as u32).collect()
    }
}
