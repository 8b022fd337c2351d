//! When a request is answered, and with what.

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
        request.top.add(&reply.body);
        request.stamps.extend(reply.stamp);
        let part = &mut request.parts[attempt.part];
        part.is_done = true;
        let losers = std::mem::take(&mut part.running);
        self.abandon(now, &losers, out);
        self.settle(now, key, out);
    }

    /// Answers a gathered request when it is complete, when nothing more can come, or when waiting
    /// longer is worth less than answering now.
    pub(super) fn settle(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(key) else { return };
        let (done, open, total) = (request.done(), request.open(), request.parts.len());
        let min = request.route.min_parts();
        if !request.is_gather() {
            if open == 0 {
                self.give_up(now, key, out);
            }
            return;
        }
        let is_over = done == total || open == 0 || now >= request.cut_at;
        if done >= min && is_over {
            self.merge(now, key, out);
        } else if done + open < min {
            self.give_up(now, key, out);
        }
    }

    pub(super) fn merge(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &mut self.requests[key];
        let answer = Answer::Merged {
            stamps: std::mem::take(&mut request.stamps),
            missing: request.parts.len() - request.done(),
            body: std::mem::replace(&mut request.top, TopRecords::new(0)).into_bytes(),
        };
        self.answer(now, key, answer, out);
    }

    /// Answers a request that cannot succeed any more.
    pub(super) fn give_up(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &mut self.requests[key];
        let is_once = !request.route.is_idempotent;
        if !request.may_have_run {
            let part = request.parts.iter().find(|it| !it.is_done).unwrap_or(&request.parts[0]);
            let (service, rank) = (part.service.clone(), request.route.rank);
            let retry_after = self.retry_after(now, &service, rank);
            self.refuse(now, key, ErrorKind::Overloaded, Some(retry_after), out);
        } else if let Some(reply) = request.failure.take()
            && !request.is_gather()
            && is_relayable(&reply)
        {
            self.answer(now, key, Answer::Relay(reply), out);
        } else if is_once {
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

    pub(super) fn check(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        if request.answer_at <= now {
            match request.is_gather() && request.done() >= request.route.min_parts() {
                true => self.merge(now, key, out),
                false => self.time_out(now, key, out),
            }
            return;
        }
        if request.cut_at <= now {
            self.settle(now, key, out);
        }
        let mut index = 0;
        while let Some(request) = self.requests.get(key)
            && let Some(part) = request.parts.get(index)
        {
            if !part.is_done && part.look_at <= now {
                match part.is_waiting {
                    true => self.end_wait(now, key, index, out),
                    false => self.hedge(now, key, index, out),
                }
            }
            index += 1;
        }
    }

    pub(super) fn time_out(&mut self, now: Time, key: RequestKey, out: &mut Vec<Action>) {
        let request = &self.requests[key];
        let kind = match (request.may_have_run, request.route.is_idempotent) {
            (false, _) => ErrorKind::DeadlineUnreachable,
            (true, true) => ErrorKind::Incomplete,
            (true, false) => ErrorKind::OutcomeUnknown,
        };
        self.refuse(now, key, kind, None, out);
    }
}

/// Whether a replica's failure may be passed on: a status that promises that nothing ran must not
/// be, since the replica did not state it.
fn is_relayable(reply: &Reply) -> bool {
    !matches!(reply.status, 408 | 421 | 429 | 503) && !(200..300).contains(&reply.status)
}
