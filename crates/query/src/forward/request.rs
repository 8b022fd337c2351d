//! A request in flight.

use std::{sync::Arc, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use smallvec::SmallVec;

use crate::forward::{
    gather::TopRecords,
    interface::{AttemptKey, AttemptKind, ReplicaKey, Reply, RequestKey},
    routes::{Route, Target},
};

/// A request to one replica.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestKey,
    /// Name of its route.
    pub(crate) route: CompactString,
    pub(crate) part: usize,
    pub(crate) replica: ReplicaKey,
    pub(crate) sent: Time,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) kind: AttemptKind,
    /// Whether its bytes were sent, so that the replica may run it.
    pub(crate) is_sent: bool,
    /// Whether the request no longer waits for it.
    pub(crate) is_abandoned: bool,
    /// Whether its age was already counted as a latency.
    pub(crate) is_late: bool,
}

/// The part of a request that one service answers.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) service: ServiceId,
    pub(crate) is_done: bool,
    /// Attempts in flight.
    pub(crate) running: SmallVec<[AttemptKey; 2]>,
    pub(crate) tried: SmallVec<[ReplicaKey; 3]>,
    /// Attempts that replicas may have run.
    pub(crate) runs: u32,
    /// Attempts that may have arrived at a replica.
    pub(crate) arrivals: u32,
    /// Whether it waits for a replica that has room.
    pub(crate) is_waiting: bool,
    /// Time to look at it again: the running attempt is late, or a replica may have room.
    pub(crate) look_at: Time,
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
            look_at: Time::MAX,
        }
    }
}

/// Times of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    pub(crate) wait_until: Time,
    pub(crate) cut_at: Time,
    pub(crate) answer_at: Time,
    pub(crate) deadline: Time,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) route: Arc<Route>,
    /// Time until which a part may wait for room before its first attempt.
    pub(crate) wait_until: Time,
    /// Time from which an answer with parts missing is worth more than waiting.
    pub(crate) cut_at: Time,
    /// Time of the final answer at the latest.
    pub(crate) answer_at: Time,
    /// Time that replicas are given.
    pub(crate) deadline: Time,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) parts: Vec<Part>,
    pub(crate) stamps: Vec<CompactString>,
    pub(crate) top: TopRecords,
    /// The last failure that a replica answered with.
    pub(crate) failure: Option<Reply>,
    /// Whether a replica may have run any part of it.
    pub(crate) may_have_run: bool,
    /// Time of the earliest timer.
    pub(crate) armed: Time,
}

impl Request {
    pub(crate) fn new(
        route: Arc<Route>,
        services: impl Iterator<Item = ServiceId>,
        times: Times,
        fingerprint: Fingerprint,
    ) -> Request {
        let top = match route.target {
            Target::Gather { top_k, .. } => top_k,
            Target::Split(_) => 0,
        };
        let Times { wait_until, cut_at, answer_at, deadline } = times;
        Request {
            parts: services.map(Part::new).collect(),
            route,
            wait_until,
            cut_at,
            answer_at,
            deadline,
            fingerprint,
            stamps: Vec::new(),
            top: TopRecords::new(top),
            failure: None,
            may_have_run: false,
            armed: Time::MAX,
        }
    }

    pub(crate) fn is_gather(&self) -> bool {
        matches!(self.route.target, Target::Gather { .. })
    }

    /// Parts that are in.
    pub(crate) fn done(&self) -> usize {
        self.parts.iter().filter(|it| it.is_done).count()
    }

    /// Parts that an attempt may still bring.
    pub(crate) fn open(&self) -> usize {
        let is_open = |it: &&Part| !it.is_done && (it.is_waiting || !it.running.is_empty());
        self.parts.iter().filter(is_open).count()
    }

    /// Whether its parts have waited long enough for a replica. A request of which nothing was sent
    /// is refused early, so that the client can turn to another instance. Once other parts are under
    /// way, a part that waits is worth as much as one that is late.
    pub(crate) fn is_wait_over(&self, now: Time) -> bool {
        let is_begun = self.parts.iter().any(|it| it.is_done || !it.running.is_empty());
        now >= if is_begun { self.cut_at.max(self.wait_until) } else { self.wait_until }
    }

    /// Time of the next timer.
    pub(crate) fn next_timer(&self, now: Time) -> Time {
        let look = self.parts.iter().filter(|it| !it.is_done).map(|it| it.look_at).min();
        let cut = if self.cut_at > now { self.cut_at } else { Time::MAX };
        self.answer_at.min(cut).min(look.unwrap_or(Time::MAX))
    }

    /// Time that replicas have left.
    pub(crate) fn time_left(&self, now: Time) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
