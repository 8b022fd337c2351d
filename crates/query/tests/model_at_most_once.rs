//! Model check of a request that must be executed at most once. Connections fail, break or carry a
//! rejection, replies are lost, replicas read requests late, timers fire, the client disconnects,
//! and the configuration and the replicas change at any step.

mod forward_harness;

use std::hash::{DefaultHasher, Hash, Hasher};

use forward_harness::{Harness, plain_route, rejected_reply, replica, reply, route_table};
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::error::Execution;
use rosemarybank_query::forward::{Answer, Event, Failure, RequestKey, Route};

const EXECUTED_TWICE: &str = "the request was executed twice";
const FALSE_REFUSAL: &str = "the client was told that the request was not executed, but it was";

/// The safeguard that a variant of the model removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Variant {
    Unchanged,
    /// The route declares the request idempotent.
    Idempotent,
    /// The driver sends an attempt that was abandoned while it was connecting.
    SendsAbandoned,
    /// The driver treats a broken connection as a rejection by the replica.
    BrokenAsRejected,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum AttemptState {
    /// Its connection is being opened.
    Opening,
    /// It was sent, and the replica has neither executed nor rejected it.
    Sent,
    /// The replica executed it; the reply is pending.
    Executed,
    /// The replica rejected it; the reply is pending.
    Rejected,
    /// The driver reported its end, but the replica may still read and execute it.
    Detached,
    /// Nothing more can happen to it.
    Ended,
}

#[derive(Clone)]
struct ModelState {
    variant: Variant,
    harness: Harness,
    request: RequestKey,
    attempts: Vec<AttemptState>,
    executions: u8,
    /// Failures, changes and disconnects that may still happen.
    failures: u8,
    changes: u8,
    disconnects: u8,
}

impl ModelState {
    fn new(variant: Variant) -> ModelState {
        let route =
            Route { is_idempotent: variant == Variant::Idempotent, ..plain_route("pay", "s") };
        let replicas = vec![replica("r1", "s", "a"), replica("r2", "s", "a")];
        let mut harness = Harness::new(vec![route], replicas);
        let request = harness.submit("pay");
        let attempts = vec![AttemptState::Opening; harness.sent.len()];
        ModelState {
            variant,
            harness,
            request,
            attempts,
            executions: 0,
            failures: 2,
            changes: 1,
            disconnects: 1,
        }
    }

    /// Returns the state after an event of an attempt.
    fn after(
        &self,
        index: usize,
        state: AttemptState,
        event: impl FnOnce(&mut Harness),
    ) -> ModelState {
        let mut next = self.clone();
        next.attempts[index] = state;
        event(&mut next.harness);
        next.attempts.resize(next.harness.sent.len(), AttemptState::Opening);
        next
    }

    fn attempt_steps(&self, index: usize, out: &mut Vec<(String, ModelState)>) {
        let mut add = |label: &str, next: ModelState| out.push((format!("{index}: {label}"), next));
        let key = self.harness.sent[index].attempt;
        let fails = |state, failure| self.after(index, state, |it| it.fail(index, failure));
        match self.attempts[index] {
            AttemptState::Opening => {
                let is_abandoned = self.harness.abandoned.contains(&key);
                if is_abandoned && self.variant != Variant::SendsAbandoned {
                    add("is dropped", fails(AttemptState::Ended, Failure::Abandoned));
                } else {
                    add("is sent", self.after(index, AttemptState::Sent, |it| it.mark_sent(index)));
                }
                for failure in [Failure::NotSent, Failure::Unreachable, Failure::NotAccepted] {
                    if self.failures > 0 {
                        let mut next = fails(AttemptState::Ended, failure);
                        next.failures -= 1;
                        add(&format!("fails: {failure:?}"), next);
                    }
                }
            }
            AttemptState::Sent => {
                let mut next = self.after(index, AttemptState::Executed, |_| {});
                next.executions += 1;
                add("is executed", next);
                add("is rejected", self.after(index, AttemptState::Rejected, |_| {}));
                if self.failures > 0 {
                    let failure = match self.variant {
                        Variant::BrokenAsRejected => Failure::WrongReplica,
                        _ => Failure::Broken,
                    };
                    let mut next = fails(AttemptState::Detached, failure);
                    next.failures -= 1;
                    add("breaks before the replica has read it", next);
                }
            }
            AttemptState::Executed => {
                for (label, it) in [
                    ("replies", reply(200, "stamp", b"")),
                    ("replies with an error", reply(500, "stamp", b"")),
                    ("replies with 503 without a stamp", reply(503, "", b"")),
                ] {
                    let event = |harness: &mut Harness| harness.handle(Event::Replied(key, it));
                    add(label, self.after(index, AttemptState::Ended, event));
                }
                if self.failures > 0 {
                    let mut next = fails(AttemptState::Ended, Failure::Broken);
                    next.failures -= 1;
                    add("breaks before the reply", next);
                }
            }
            AttemptState::Rejected => {
                let event =
                    |harness: &mut Harness| harness.handle(Event::Replied(key, rejected_reply()));
                add("reply of the rejection", self.after(index, AttemptState::Ended, event));
                add("is another replica", fails(AttemptState::Ended, Failure::WrongReplica));
            }
            AttemptState::Detached => {
                let mut next = self.after(index, AttemptState::Ended, |_| {});
                next.executions += 1;
                add("is read late and executed", next);
            }
            AttemptState::Ended => {}
        }
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        let visible =
            |it: &ModelState| (it.variant, it.executions, it.failures, it.changes, it.disconnects);
        visible(self) == visible(other)
            && self.attempts == other.attempts
            && self.harness.answers == other.harness.answers
            && format!("{:?}", self.harness.forwarder) == format!("{:?}", other.harness.forwarder)
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let mut hasher = DefaultHasher::new();
        format!("{:?}", self.harness.forwarder).hash(&mut hasher);
        (
            hasher.finish(),
            &self.attempts,
            self.executions,
            self.failures,
            self.changes,
            self.disconnects,
        )
            .hash(state);
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<(String, ModelState)> {
        let mut out = Vec::new();
        for index in 0..self.attempts.len() {
            self.attempt_steps(index, &mut out);
        }
        let is_open = self.harness.answers.is_empty();
        let mut add = |label: &str, change: &dyn Fn(&mut ModelState)| {
            let mut next = self.clone();
            change(&mut next);
            next.attempts.resize(next.harness.sent.len(), AttemptState::Opening);
            out.push((label.into(), next));
        };
        if is_open && let Some(at) = self.harness.forwarder.next_wakeup() {
            add("a timer fires", &|it| {
                it.harness.now = it.harness.now.max(at);
                it.harness.handle(Event::Tick);
            });
        }
        if is_open && self.disconnects > 0 {
            add("the client disconnects", &|it| {
                it.disconnects -= 1;
                it.harness.handle(Event::ClientDisconnected(it.request));
            });
        }
        if self.changes > 0 {
            add("the configuration moves the route", &|it| {
                it.changes -= 1;
                let moved = route_table(2, vec![plain_route("pay", "other")]);
                it.harness.handle(Event::Configure(Box::new(moved)));
            });
            add("a replica restarts", &|it| {
                it.changes -= 1;
                let mut restarted = replica("r1", "s", "a");
                restarted.born_ms += 1;
                let list = vec![restarted, replica("r2", "s", "a")];
                it.harness.handle(Event::Replicas(list));
            });
            add("the replicas are removed", &|it| {
                it.changes -= 1;
                it.harness.handle(Event::Replicas(Vec::new()));
            });
        }
        out
    }

    fn violation(&self) -> Option<String> {
        let states_not_executed = |it: &Answer| match it {
            Answer::Refused { kind, .. } => kind.spec().execution == Execution::NotRun,
            Answer::Relay(reply) => matches!(reply.status, 408 | 421 | 429 | 503),
            Answer::Merged { .. } => false,
        };
        if self.executions > 1 {
            return Some(EXECUTED_TWICE.into());
        }
        let is_false =
            self.executions > 0 && self.harness.answers.iter().any(|it| states_not_executed(&it.1));
        is_false.then(|| FALSE_REFUSAL.into())
    }
}

#[test]
fn an_at_most_once_request_is_never_executed_twice() {
    assert_holds("at most once", ModelState::new(Variant::Unchanged), 1_000);
}

#[test]
fn an_idempotent_request_may_be_executed_twice() {
    assert_violates("idempotent", ModelState::new(Variant::Idempotent), EXECUTED_TWICE);
}

/// The request is answered as not executed at its deadline, and the connection of its attempt opens
/// later.
#[test]
fn sending_an_abandoned_attempt_makes_a_refusal_false() {
    assert_violates("abandoned", ModelState::new(Variant::SendsAbandoned), FALSE_REFUSAL);
}

#[test]
fn treating_a_broken_connection_as_a_rejection_makes_a_refusal_false() {
    assert_violates("broken connection", ModelState::new(Variant::BrokenAsRejected), FALSE_REFUSAL);
}
