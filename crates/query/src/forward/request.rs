//! State of a request in flight.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use smallvec::SmallVec;

use crate::forward::{
    gather::TopRecords,
    interface::{AttemptKey, AttemptKind, ReplicaKey, Reply, RequestKey},
    routes::{Route, Target},
};

/// A request sent to one replica.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestKey,
    /// Name of the request's route.
    pub(crate) route: CompactString,
    pub(crate) part: usize,
    pub(crate) replica: ReplicaKey,
    /// When the attempt began, which may be before its connection was open.
    pub(crate) sent_at: Time,
    pub(crate) fingerprint: Fingerprint,
    /// Upper bound of the age from which it is late.
    pub(crate) max_late_threshold: Duration,
    pub(crate) kind: AttemptKind,
    /// Whether its bytes were sent, in which case the replica may execute the request.
    pub(crate) is_sent: bool,
    /// Whether its reply is no longer needed.
    pub(crate) is_abandoned: bool,
    /// Whether its age has already been recorded as a latency sample.
    pub(crate) is_late: bool,
}

/// The part of a request that is served by one service.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) service: ServiceId,
    pub(crate) is_done: bool,
    /// Attempts in flight.
    pub(crate) running: SmallVec<[AttemptKey; 2]>,
    pub(crate) tried: SmallVec<[ReplicaKey; 3]>,
    /// Attempts that replicas may have executed.
    pub(crate) runs: u32,
    /// Attempts whose bytes may have reached a replica, including those it rejected.
    pub(crate) arrivals: u32,
    /// Whether it is queued for a replica with free capacity.
    pub(crate) is_waiting: bool,
    /// Time until which a retry may be queued; `None` unless it is queued for a retry.
    pub(crate) retry_until: Option<Time>,
    /// When to check it again, because its attempt becomes late or a replica may have free
    /// capacity.
    pub(crate) recheck_at: Time,
}

impl Part {
    fn new(service: ServiceId) -> Part {
        Part {
            service,
            is_done: false,
            running: SmallVec::new(),
            tried: SmallVec::new(),
            runs: 0,
            arrivals: 0,
            is_waiting: false,
            retry_until: None,
            recheck_at: Time::MAX,
        }
    }
}

/// Points in time that control a request; see [`Request`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadlines {
    pub(crate) wait_until: Time,
    pub(crate) partial_answer_at: Time,
    pub(crate) answer_at: Time,
    pub(crate) deadline: Time,
}

/// A client request in flight.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) route: Arc<Route>,
    /// Time until which a part may be queued before its first attempt.
    pub(crate) wait_until: Time,
    /// Time from which an incomplete answer is worth more than waiting for the missing parts.
    pub(crate) partial_answer_at: Time,
    /// Latest time for the final answer.
    pub(crate) answer_at: Time,
    /// Deadline passed on to replicas.
    pub(crate) deadline: Time,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) parts: Vec<Part>,
    pub(crate) stamps: Vec<CompactString>,
    pub(crate) top_records: TopRecords,
    /// The last reply that was neither successful nor marked as not executed.
    pub(crate) last_failure: Option<Reply>,
    /// Whether a replica may have executed any part of it.
    pub(crate) may_have_run: bool,
    /// Time of its earliest scheduled timer.
    pub(crate) timer_at: Time,
}

impl Request {
    pub(crate) fn new(
        route: Arc<Route>,
        services: impl Iterator<Item = ServiceId>,
        deadlines: Deadlines,
        fingerprint: Fingerprint,
    ) -> Request {
        let top_k = match route.target {
            Target::Gather { top_k, .. } => top_k,
            Target::Split(_) => 0,
        };
        let Deadlines { wait_until, partial_answer_at, answer_at, deadline } = deadlines;
        Request {
            parts: services.map(Part::new).collect(),
            route,
            wait_until,
            partial_answer_at,
            answer_at,
            deadline,
            fingerprint,
            stamps: Vec::new(),
            top_records: TopRecords::new(top_k),
            last_failure: None,
            may_have_run: false,
            timer_at: Time::MAX,
        }
    }

    /// Moves all points in time that are later than `answer_by` to that time.
    pub(crate) fn limit(&mut self, answer_by: Time) {
        for it in [
            &mut self.wait_until,
            &mut self.partial_answer_at,
            &mut self.answer_at,
            &mut self.deadline,
        ] {
            *it = (*it).min(answer_by);
        }
    }

    pub(crate) fn is_gather(&self) -> bool {
        matches!(self.route.target, Target::Gather { .. })
    }

    /// Returns the number of parts with a reply.
    pub(crate) fn done_parts(&self) -> usize {
        self.parts.iter().filter(|it| it.is_done).count()
    }

    /// Returns the number of unfinished parts that are queued or have an attempt in flight.
    pub(crate) fn pending_parts(&self) -> usize {
        let is_open = |it: &&Part| !it.is_done && (it.is_waiting || !it.running.is_empty());
        self.parts.iter().filter(is_open).count()
    }

    /// Whether a part has been queued for long enough. A request without any attempt is refused
    /// early so that the client can try another instance. Once other parts have been sent, a queued
    /// part is worth as much as one whose reply is late.
    pub(crate) fn is_wait_over(&self, now: Time, index: usize) -> bool {
        if let Some(until) = self.parts[index].retry_until {
            return now >= until;
        }
        let is_started = self.parts.iter().any(|it| it.is_done || !it.running.is_empty());
        now >= if is_started {
            self.partial_answer_at.max(self.wait_until)
        } else {
            self.wait_until
        }
    }

    /// Returns the time of its next timer.
    pub(crate) fn next_timer(&self, now: Time) -> Time {
        let recheck = self.parts.iter().filter(|it| !it.is_done).map(|it| it.recheck_at).min();
        let partial = if self.partial_answer_at > now { self.partial_answer_at } else { Time::MAX };
        self.answer_at.min(partial).min(recheck.unwrap_or(Time::MAX))
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Time) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
