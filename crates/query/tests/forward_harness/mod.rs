//! Test harness that drives a forwarder and records its actions.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::HashMap, time::Duration};

use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Action, Answer, AttemptKey, AttemptKind, ClientLimits, Event, Failure, Forwarder, ReplicaInfo,
    ReplicaKey, ReplicaState, Reply, RequestKey, Resend, RetryBudget, Route, RouteTable,
    ServiceInfo, Settings, Submission, Target, Withdrawal,
};

/// Returns a time in milliseconds.
pub const fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// An attempt that the forwarder requested.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub attempt: AttemptKey,
    pub request: RequestKey,
    pub replica_id: ReplicaId,
    pub replica: ReplicaKey,
    pub service: ServiceId,
    pub kind: AttemptKind,
    pub resend: Resend,
    pub sent_at: Time,
    pub deadline: Time,
}

/// A forwarder, its clock and the actions that it returned.
#[derive(Clone)]
pub struct Harness {
    pub forwarder: Forwarder,
    pub now: Time,
    pub sent: Vec<SentAttempt>,
    pub abandoned: Vec<AttemptKey>,
    pub answers: Vec<(RequestKey, Answer)>,
    /// Fingerprint of the next submitted request.
    pub fingerprint: Fingerprint,
    pub quarantined: Vec<Fingerprint>,
    /// Replicas to which the forwarder requested a new connection.
    pub reconnects: Vec<ReplicaKey>,
    /// Replicas that asked for no further requests.
    pub withdrawn: Vec<(ReplicaId, Withdrawal)>,
}

/// Returns a replica. The forwarder is in data centre `a`.
pub fn replica(id: &str, service: &str, data_centre: &str) -> ReplicaInfo {
    ReplicaInfo {
        id: id.into(),
        service: service.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.into(),
        slots: 2,
        state: ReplicaState::Ready,
        cold: Duration::ZERO,
        born_ms: 1,
    }
}

/// Returns a route to one service.
pub fn plain_route(name: &str, service: &str) -> Route {
    route(name, Target::Split(vec![(service.into(), 1.0)]))
}

/// Returns a gather route over several shards.
pub fn gather_route(name: &str, shards: &[&str], min_share: f32) -> Route {
    let shards = shards.iter().map(|it| (*it).into()).collect();
    route(name, Target::Gather { shards, top_k: 3, min_share })
}

fn route(name: &str, target: Target) -> Route {
    Route {
        name: name.into(),
        host: "h.example".into(),
        prefix: format!("/{name}/").into(),
        is_idempotent: true,
        timeout: ms(1_000),
        latency_objective: ms(100),
        max_attempts: 2,
        rank: 1,
        target,
    }
}

/// Returns a configuration with these routes.
pub fn route_table(version: u64, routes: Vec<Route>) -> RouteTable {
    let names: Vec<ServiceId> = routes.iter().flat_map(|it| it.services().cloned()).collect();
    let services: HashMap<_, _> =
        names.into_iter().map(|it| (it, ServiceInfo { max_connections: 40 })).collect();
    RouteTable::new(version, routes, services, ClientLimits::default())
}

/// Returns a complete reply, without a stamp if `stamp` is empty.
pub fn reply(status: u16, stamp: &str, body: &[u8]) -> Reply {
    Reply {
        status,
        stamp: (!stamp.is_empty()).then(|| stamp.into()),
        body: body.to_vec(),
        ..Reply::default()
    }
}

/// Returns a reply in which the replica states that it did not execute the request.
pub fn rejected_reply() -> Reply {
    Reply { is_not_run: true, ..reply(503, "", b"") }
}

impl Harness {
    pub fn new(routes: Vec<Route>, replicas: Vec<ReplicaInfo>) -> Harness {
        let budget = RetryBudget { ratio: 0.2, allowance: 100.0, window: Duration::from_secs(10) };
        let settings =
            Settings { data_centre: "a".into(), region: vec!["a".into()], budget, seed: 7 };
        let mut harness = Harness {
            forwarder: Forwarder::new(settings),
            now: ms(60_000),
            sent: Vec::new(),
            abandoned: Vec::new(),
            answers: Vec::new(),
            fingerprint: 0,
            quarantined: Vec::new(),
            reconnects: Vec::new(),
            withdrawn: Vec::new(),
        };
        harness.set_instance_count(1);
        harness.handle(Event::Configure(Box::new(route_table(1, routes))));
        harness.handle(Event::Replicas(replicas));
        harness
    }

    /// Makes the instance one of `count` that have been listed for long enough to use a full share
    /// of the allowance.
    pub fn set_instance_count(&mut self, count: u32) {
        for requested_at in [Time::ZERO, self.now] {
            self.handle(Event::Instances { requested_at, count, is_listed: true });
        }
    }

    /// Passes an event to the forwarder and records its actions.
    pub fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.forwarder.handle(self.now, event, &mut out);
        self.collect(out);
    }

    /// Returns a request that matches a route.
    pub fn submission(&self, route: &str) -> Submission {
        Submission {
            host: "h.example".into(),
            path: format!("/{route}/x").into(),
            client_timeout: Some(ms(1_000)),
            fingerprint: self.fingerprint,
        }
    }

    /// Submits a request that matches a route.
    pub fn submit(&mut self, route: &str) -> RequestKey {
        self.try_submit(route).expect("a known route and no quarantine")
    }

    /// Submits a request that matches a route. Fails with the answer if the request is refused before
    /// anything is sent.
    pub fn try_submit(&mut self, route: &str) -> Result<RequestKey, Answer> {
        let submission = self.submission(route);
        let mut out = Vec::new();
        let submitted = self.forwarder.submit(self.now, &submission, &mut out);
        self.collect(out);
        submitted
    }

    /// Returns the remaining quarantine time of the next submitted request.
    pub fn quarantine_left(&self) -> Option<Duration> {
        let mut quarantined = self.forwarder.quarantined(self.now);
        quarantined.find(|it| it.0 == self.fingerprint).map(|it| it.1)
    }

    /// Advances the clock and fires all timers that are due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.forwarder.next_wakeup()
            && at <= end
        {
            self.now = self.now.max(at);
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    /// Reports an attempt as sent.
    pub fn mark_sent(&mut self, index: usize) {
        self.handle(Event::Sent(self.sent[index].attempt));
    }

    /// Reports an attempt as sent and replied to.
    pub fn reply_to(&mut self, index: usize, reply: Reply) {
        self.mark_sent(index);
        self.handle(Event::Replied(self.sent[index].attempt, reply));
    }

    /// Reports an attempt as failed.
    pub fn fail(&mut self, index: usize, failure: Failure) {
        self.handle(Event::Failed(self.sent[index].attempt, failure));
    }

    /// Returns the answer; there must be exactly one so far.
    pub fn only_answer(&self) -> &Answer {
        assert_eq!(self.answers.len(), 1, "{:?}", self.answers);
        &self.answers[0].1
    }

    /// Returns the error of the only answer, which must be a refusal.
    pub fn refusal_kind(&self) -> ErrorKind {
        match self.only_answer() {
            Answer::Refused { kind, .. } => *kind,
            other => panic!("not refused: {other:?}"),
        }
    }

    fn collect(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    request,
                    replica,
                    id,
                    service,
                    kind,
                    resend,
                    deadline,
                    ..
                } => {
                    self.sent.push(SentAttempt {
                        attempt,
                        request,
                        replica_id: id,
                        replica,
                        service,
                        kind,
                        resend,
                        sent_at: self.now,
                        deadline,
                    });
                }
                Action::Abandon { attempt, .. } => self.abandoned.push(attempt),
                Action::Answer { request, answer } => self.answers.push((request, answer)),
                Action::Quarantine(it) => self.quarantined.push(it),
                Action::Reconnect { replica, .. } => self.reconnects.push(replica),
                Action::RemoveReplica(_) => {}
                Action::Withdrawn { id, withdrawal } => self.withdrawn.push((id, withdrawal)),
            }
        }
    }
}
