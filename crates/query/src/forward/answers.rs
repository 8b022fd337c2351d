//! Decides when and how a request is answered.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::forward::{
    TopRecords,
    forwarder::Forwarder,
    interface::{Action, Answer, Reply, RequestKey},
    request::Attempt,
};

impl Forwarder {
    pub(super) fn complete_part(
        &mut self,
        now: Time,
        attempt: &Attempt,
        reply: Reply,
        out: &mut Vec<Action>,
    ) {
        let key = attempt.request;
        let Some(request) = self.requests.get_mut(key) else { return };
        if !request.is_gather() {
            self.answer(now, key, Answer::Relay(reply), out);
            return;
        }
        request.top_records.add(&reply.body);
        request.stamps.extend(reply.stamp);
        let part = &mut request.parts[attempt.part];
        part.is_done = true;
        let superseded = std::mem::take(&mut part.running);
        self.abandon(now, &superseded, out);
        self.try_answer(now, key, out);
    }

    /// Answers a gather request once it is complete, no more replies can arrive, or an incomplete
    /// answer is worth more than waiting. Answers any request with a failure once the minimum
    /// number of parts can no longer be reached.
    pub(super) fn try_answer(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(key) else { return };
        let (done, pending, total) =
            (request.done_parts(), request.pending_parts(), request.parts.len());
        let min = request.route.min_parts();
        if !request.is_gather() {
            if pending == 0 {
                self.answer_failure(now, key, out);
            }
            return;
        }
        let is_over = done == total || pending == 0 || now >= request.partial_answer_at;
        if done >= min && is_over {
            self.answer_merged(now, key, out);
        } else if done + pending < min {
            self.answer_failure(now, key, out);
        }
    }

    pub(super) fn answer_merged(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &mut self.requests[key];
        let answer = Answer::Merged {
            stamps: std::mem::take(&mut request.stamps),
            missing: request.parts.len() - request.done_parts(),
            body: std::mem::replace(&mut request.top_records, TopRecords::new(0)).into_bytes(),
        };
        self.answer(now, key, answer, out);
    }

    /// Answers a request that can no longer succeed.
    pub(super) fn answer_failure(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &mut self.requests[key];
        let is_at_most_once = !request.route.is_idempotent;
        if !request.may_have_run {
            let part = request.parts.iter().find(|it| !it.is_done).unwrap_or(&request.parts[0]);
            let (service, rank) = (part.service.clone(), request.route.rank);
            let retry_after = self.retry_after(now, &service, rank);
            self.refuse(now, key, ErrorKind::Overloaded, Some(retry_after), out);
        } else if let Some(reply) = request.last_failure.take()
            && !request.is_gather()
            && is_relayable(&reply)
        {
            self.answer(now, key, Answer::Relay(reply), out);
        } else if is_at_most_once {
            self.refuse(now, key, ErrorKind::OutcomeUnknown, None, out);
        } else {
            self.refuse(now, key, ErrorKind::Incomplete, None, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        now: Time,
        key: RequestKey,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.answer(now, key, Answer::Refused { kind, retry_after }, out);
    }

    pub(super) fn answer(
        &mut self,
        now: Time,
        key: RequestKey,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.remove(key) else { return };
        self.abandon_all(now, key, &request, out);
        out.push(Action::Answer { request: key, answer });
    }

    pub(super) fn run_timers(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        if request.answer_at <= now {
            match request.is_gather() && request.done_parts() >= request.route.min_parts() {
                true => self.answer_merged(now, key, out),
                false => self.answer_timeout(now, key, out),
            }
            return;
        }
        if request.partial_answer_at <= now {
            self.try_answer(now, key, out);
        }
        let mut index = 0;
        while let Some(request) = self.requests.get(key)
            && let Some(part) = request.parts.get(index)
        {
            if !part.is_done && part.recheck_at <= now {
                match part.is_waiting {
                    true => self.poll_waiting(now, key, index, out),
                    false => self.try_hedge(now, key, index, out),
                }
            }
            index += 1;
        }
    }

    pub(super) fn answer_timeout(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        let kind = match (request.may_have_run, request.route.is_idempotent) {
            (false, _) => ErrorKind::DeadlineUnreachable,
            (true, true) => ErrorKind::Incomplete,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        self.refuse(now, key, kind, None, out);
    }
}

/// Whether the last failed reply may be relayed. Statuses which imply that the request was not
/// executed are excluded, because the replica did not state that. A 2xx reply is excluded, because
/// it failed for lack of a server stamp.
fn is_relayable(reply: &Reply) -> bool {
    !matches!(reply.status, 408 | 421 | 429 | 503) && !(200..300).contains(&reply.status)
}
