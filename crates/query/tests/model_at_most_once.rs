//! Model check of a request that must not run twice: connections that fail, break or carry a
//! refusal, replies that are lost, requests that replicas read late, timeouts, a client that
//! leaves, and changes of the configuration and of the replicas at every step.

mod forward_harness;

use std::hash::{DefaultHasher, Hash, Hasher};

use forward_harness::{Harness, plain_route, rejected_reply, replica, reply, route_table};
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::error::Execution;
use rosemarybank_query::forward::{Answer, Event, Failure, RequestKey, Route};

const TWICE: &str = "the request ran twice";
const FALSE_REFUSAL: &str = "the client was told that nothing ran, and it ran";

/// The guard that a variant removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Guard {
    AllKept,
    /// The route says that the request may run again.
    Once,
    /// The driver sends an attempt that was abandoned while it connected.
    Abandon,
    /// The driver takes a break for the statement of a replica that nothing ran.
    Break,
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Place {
    /// Its connection is being opened.
    Opening,
    /// Its bytes were sent and the replica has not decided.
    Sent,
    /// The replica ran it, and the reply is on its way.
    Ran,
    /// The replica refused to run it, and the reply is on its way.
    Rejected,
    /// Its end was reported, but the replica may still read its bytes.
    Loose,
    /// Nothing more can come of it.
    Ended,
}

#[derive(Clone)]
struct State {
    guard: Guard,
    harness: Harness,
    request: RequestKey,
    places: Vec<Place>,
    runs: u8,
    breaks: u8,
    changes: u8,
    leaves: u8,
}

impl State {
    fn new(guard: Guard) -> State {
        let route = Route { is_idempotent: guard == Guard::Once, ..plain_route("pay", "s") };
        let replicas = vec![replica("r1", "s", "a"), replica("r2", "s", "a")];
        let mut harness = Harness::new(vec![route], replicas);
        let request = harness.submit("pay");
        let places = vec![Place::Opening; harness.sent.len()];
        State { guard, harness, request, places, runs: 0, breaks: 2, changes: 1, leaves: 1 }
    }

    /// The state after an event of an attempt.
    fn with(&self, index: usize, place: Place, event: impl FnOnce(&mut Harness)) -> State {
        let mut next = self.clone();
        next.places[index] = place;
        event(&mut next.harness);
        next.places.resize(next.harness.sent.len(), Place::Opening);
        next
    }

    fn attempt_steps(&self, index: usize, out: &mut Vec<(String, State)>) {
        let mut add = |label: &str, next: State| out.push((format!("{index}: {label}"), next));
        let key = self.harness.sent[index].attempt;
        let fails = |place, failure| self.with(index, place, |it| it.fail(index, failure));
        match self.places[index] {
            Place::Opening => {
                let is_abandoned = self.harness.abandoned.contains(&key);
                if is_abandoned && self.guard != Guard::Abandon {
                    add("is dropped", fails(Place::Ended, Failure::Abandoned));
                } else {
                    add("is sent", self.with(index, Place::Sent, |it| it.mark_sent(index)));
                }
                for failure in [Failure::NotSent, Failure::Unreachable, Failure::NotAccepted] {
                    if self.breaks > 0 {
                        let mut next = fails(Place::Ended, failure);
                        next.breaks -= 1;
                        add(&format!("fails: {failure:?}"), next);
                    }
                }
            }
            Place::Sent => {
                let mut next = self.with(index, Place::Ran, |_| {});
                next.runs += 1;
                add("runs", next);
                add("is rejected", self.with(index, Place::Rejected, |_| {}));
                if self.breaks > 0 {
                    let failure = match self.guard {
                        Guard::Break => Failure::WrongReplica,
                        _ => Failure::Broken,
                    };
                    let mut next = fails(Place::Loose, failure);
                    next.breaks -= 1;
                    add("breaks before the replica has read it", next);
                }
            }
            Place::Ran => {
                for (label, it) in [
                    ("replies", reply(200, "proof", b"")),
                    ("replies with a failure", reply(500, "proof", b"")),
                    ("replies with a bare 503", reply(503, "", b"")),
                ] {
                    let event = |harness: &mut Harness| harness.handle(Event::Replied(key, it));
                    add(label, self.with(index, Place::Ended, event));
                }
                if self.breaks > 0 {
                    let mut next = fails(Place::Ended, Failure::Broken);
                    next.breaks -= 1;
                    add("breaks before the reply", next);
                }
            }
            Place::Rejected => {
                let event =
                    |harness: &mut Harness| harness.handle(Event::Replied(key, rejected_reply()));
                add("reply of the rejection", self.with(index, Place::Ended, event));
                add("is another replica", fails(Place::Ended, Failure::WrongReplica));
            }
            Place::Loose => {
                let mut next = self.with(index, Place::Ended, |_| {});
                next.runs += 1;
                add("is read late and runs", next);
            }
            Place::Ended => {}
        }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        let visible = |it: &State| (it.guard, it.runs, it.breaks, it.changes, it.leaves);
        visible(self) == visible(other)
            && self.places == other.places
            && self.harness.answers == other.harness.answers
            && format!("{:?}", self.harness.forwarder) == format!("{:?}", other.harness.forwarder)
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let mut hasher = DefaultHasher::new();
        format!("{:?}", self.harness.forwarder).hash(&mut hasher);
        (hasher.finish(), &self.places, self.runs, self.breaks, self.changes, self.leaves)
            .hash(state);
    }
}

impl Model for State {
    fn steps(&self) -> Vec<(String, State)> {
        let mut out = Vec::new();
        for index in 0..self.places.len() {
            self.attempt_steps(index, &mut out);
        }
        let is_open = self.harness.answers.is_empty();
        let mut add = |label: &str, change: &dyn Fn(&mut State)| {
            let mut next = self.clone();
            change(&mut next);
            next.places.resize(next.harness.sent.len(), Place::Opening);
            out.push((label.into(), next));
        };
        if is_open && let Some(at) = self.harness.forwarder.next_wakeup() {
            add("a timer fires", &|it| {
                it.harness.now = it.harness.now.max(at);
                it.harness.handle(Event::Tick);
            });
        }
        if is_open && self.leaves > 0 {
            add("the client leaves", &|it| {
                it.leaves -= 1;
                it.harness.handle(Event::ClientDisconnected(it.request));
            });
        }
        if self.changes > 0 {
            add("the configuration moves the route", &|it| {
                it.changes -= 1;
                let moved = route_table(2, vec![plain_route("pay", "other")]);
                it.harness.handle(Event::Configure(Box::new(moved)));
            });
            add("a replica is born again", &|it| {
                it.changes -= 1;
                let mut reborn = replica("r1", "s", "a");
                reborn.born_ms += 1;
                let list = vec![reborn, replica("r2", "s", "a")];
                it.harness.handle(Event::Replicas(list));
            });
            add("the replicas leave", &|it| {
                it.changes -= 1;
                it.harness.handle(Event::Replicas(Vec::new()));
            });
        }
        out
    }

    fn violation(&self) -> Option<String> {
        let tells_not_run = |it: &Answer| match it {
            Answer::Refused { kind, .. } => kind.answer().execution == Execution::NotRun,
            Answer::Relay(reply) => matches!(reply.status, 408 | 421 | 429 | 503),
            Answer::Merged { .. } => false,
        };
        if self.runs > 1 {
            return Some(TWICE.into());
        }
        let is_false = self.runs > 0 && self.harness.answers.iter().any(|it| tells_not_run(&it.1));
        is_false.then(|| FALSE_REFUSAL.into())
    }
}

#[test]
fn a_request_that_must_run_once_never_runs_twice() {
    assert_holds("once", State::new(Guard::AllKept), 1_000);
}

#[test]
fn a_request_that_may_be_repeated_runs_twice() {
    assert_violates("repeatable", State::new(Guard::Once), TWICE);
}

/// The request was answered with "not run" at its deadline, and its connection opens after that.
#[test]
fn sending_an_abandoned_attempt_makes_a_refusal_false() {
    assert_violates("abandoned", State::new(Guard::Abandon), FALSE_REFUSAL);
}

#[test]
fn a_break_that_is_taken_for_a_rejection_makes_a_refusal_false() {
    assert_violates("break", State::new(Guard::Break), FALSE_REFUSAL);
}
