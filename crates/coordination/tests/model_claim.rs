//! Model check of action claims: two instances, one key, requests that race or retry, lost and
//! late store calls, an outage, crashes and pauses at every step.
//!
//! A pause needs no step of its own: an event that is delivered after the clock moved past the
//! deadline is what a paused instance sees.

use std::time::Duration;

use rosemarybank_coordination::claim::{
    Action, Answer, Event, Machine, Settings, Spec, StoreReply,
};
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};

const DEADLINE: Time = Time::from_millis(10);
const LATE: Time = Time::from_millis(100);

/// The guard that a variant removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Guard {
    AllKept,
    /// A claim in `Sending` is taken for the machine's own without a look at the nonce.
    NonceComparison,
    /// A waiter treats a claim in `Sending` as lapsed, as a lease would.
    NoTakeOver,
    /// A lost reply of the upstream is treated as "not run".
    UnknownIsKept,
    /// The front answers "not run" at the deadline while the machine goes on.
    AnswerComesFromMachine,
    /// The machine's clock stands still.
    DeadlineBeforeDispatch,
}

/// A store call on its way.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Call {
    Sent(Action),
    Applied { call: u32, reply: StoreReply },
}

/// An action handed to the engine.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Upstream {
    Idle,
    Sent,
    Executed,
    /// The engine gave up, but the request can still reach the replica.
    Abandoned,
    Closed,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Request {
    machine: Machine,
    started: bool,
    crashed: bool,
    call: Option<Call>,
    /// Writes whose reply was given up but which can still be applied.
    ghosts: Vec<Action>,
    upstream: Upstream,
    effects: u8,
    told: Option<Answer>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    guard: Guard,
    now: Time,
    store: Option<(Claim, u32)>,
    writes: u32,
    store_up: bool,
    outages: u8,
    losses: u8,
    crashes: u8,
    requests: Vec<Request>,
    broken: Option<&'static str>,
}

struct Bounds {
    fingerprints: &'static [Fingerprint],
    losses: u8,
    crashes: u8,
    outages: u8,
}

impl World {
    fn new(guard: Guard, bounds: &Bounds) -> World {
        let settings = Settings {
            attempts: 2,
            retry_after: Duration::ZERO,
            dispatch_grace: Duration::ZERO,
            background_attempts: 2,
            background_retry_after: Duration::ZERO,
        };
        let request = |(i, fingerprint): (usize, &Fingerprint)| Request {
            machine: Machine::new(
                Spec::builder()
                    .owner(["a", "b"][i % 2])
                    .nonce(i as u64)
                    .fingerprint(*fingerprint)
                    .deadline(DEADLINE)
                    .settings(settings.clone())
                    .build(),
            ),
            started: false,
            crashed: false,
            call: None,
            ghosts: Vec::new(),
            upstream: Upstream::Idle,
            effects: 0,
            told: None,
        };
        World {
            guard,
            now: Time::ZERO,
            store: None,
            writes: 0,
            store_up: true,
            outages: bounds.outages,
            losses: bounds.losses,
            crashes: bounds.crashes,
            requests: bounds.fingerprints.iter().enumerate().map(request).collect(),
            broken: None,
        }
    }

    fn clock(&self) -> Time {
        if self.guard == Guard::DeadlineBeforeDispatch { Time::ZERO } else { self.now }
    }

    /// Runs one event through the real machine and carries out its actions.
    fn feed(&mut self, r: usize, event: Event) {
        let now = self.clock();
        let event = self.weaken(r, event);
        let mut out = Vec::new();
        self.requests[r].machine.handle(now, event, &mut out);
        for action in out {
            self.carry_out(r, action);
        }
    }

    /// Alters the input of the machine as the removed guard demands.
    fn weaken(&self, r: usize, event: Event) -> Event {
        let ours = ClaimState::Sending { owner: ["a", "b"][r % 2].into(), nonce: r as u64 };
        match event {
            Event::Store { call, reply: StoreReply::Found { mut claim, etag } } => {
                let sending = matches!(claim.state, ClaimState::Sending { .. });
                if self.guard == Guard::NonceComparison && sending {
                    claim.state = ours;
                } else if self.guard == Guard::NoTakeOver && sending && claim.state != ours {
                    let outcome = ActionOutcome::NotRun { reason: "lapsed".into() };
                    claim.state = ClaimState::Ended { outcome };
                }
                Event::Store { call, reply: StoreReply::Found { claim, etag } }
            }
            Event::Dispatched(ActionOutcome::Unknown { reason })
                if self.guard == Guard::UnknownIsKept =>
            {
                Event::Dispatched(ActionOutcome::NotRun { reason })
            }
            event => event,
        }
    }

    fn carry_out(&mut self, r: usize, action: Action) {
        match action {
            Action::Answer(answer) => {
                if self.guard == Guard::AnswerComesFromMachine && self.requests[r].told.is_some() {
                    return;
                }
                if self.requests[r].told.replace(answer).is_some() {
                    self.broken = Some("a request was answered twice");
                }
            }
            Action::Dispatch { .. } => {
                if self.requests[r].upstream != Upstream::Idle {
                    self.broken = Some("a machine dispatched twice");
                }
                if self.now >= DEADLINE {
                    self.broken = Some("an action was dispatched after its deadline");
                }
                let unknown = |o: &Request| {
                    o.upstream != Upstream::Idle && matches!(o.told, Some(Answer::Unknown { .. }))
                };
                if self.requests.iter().any(unknown) {
                    self.broken = Some("an action was sent again after its owner told unknown");
                }
                self.requests[r].upstream = Upstream::Sent;
            }
            call => self.requests[r].call = Some(Call::Sent(call)),
        }
    }

    /// Applies a call at the store and returns its reply.
    fn apply(&mut self, action: &Action) -> StoreReply {
        let tag = |n: u32| compact_str::format_compact!("{n}");
        match action {
            Action::Create { claim, .. } if self.store.is_none() => {
                self.writes += 1;
                self.store = Some((claim.clone(), self.writes));
                StoreReply::Created { etag: tag(self.writes) }
            }
            Action::Update { claim, if_match, .. }
                if self.store.as_ref().is_some_and(|(_, n)| tag(*n) == *if_match) =>
            {
                self.writes += 1;
                self.store = Some((claim.clone(), self.writes));
                StoreReply::Updated { etag: tag(self.writes) }
            }
            Action::Create { .. } | Action::Update { .. } => StoreReply::Conflict,
            _ => match &self.store {
                Some((claim, n)) => StoreReply::Found { claim: claim.clone(), etag: tag(*n) },
                None => StoreReply::Missing,
            },
        }
    }

    /// Whether the store would answer the call now.
    fn is_due(&self, action: &Action) -> bool {
        match action {
            Action::WaitForChange { after, .. } => {
                self.now >= DEADLINE
                    || self.store.as_ref().is_none_or(|(_, n)| format!("{n}") != *after)
            }
            _ => true,
        }
    }

    fn store_steps(&self, r: usize, steps: &mut Vec<(String, World)>) {
        let request = &self.requests[r];
        match &request.call {
            Some(Call::Sent(action)) => {
                let call = call_of(action);
                if self.store_up && self.is_due(action) {
                    let mut w = self.clone();
                    let reply = w.apply(action);
                    let name = format!("store applies {} of request {r}", name_of(action));
                    w.requests[r].call = Some(Call::Applied { call, reply });
                    steps.push((name, w));
                }
                if !self.store_up {
                    let mut w = self.clone();
                    w.requests[r].call = None;
                    w.feed(r, Event::Store { call, reply: StoreReply::Failed });
                    steps.push((format!("call of request {r} fails, not applied"), w));
                }
                if self.losses > 0 {
                    let mut w = self.clone();
                    w.losses -= 1;
                    w.requests[r].call = None;
                    w.keep_ghost(r, action);
                    w.feed(r, Event::Store { call, reply: StoreReply::Lost });
                    steps.push((format!("call of request {r} is lost, may apply later"), w));
                }
            }
            Some(Call::Applied { call, reply }) => {
                let mut w = self.clone();
                w.requests[r].call = None;
                w.feed(r, Event::Store { call: *call, reply: reply.clone() });
                steps.push((format!("reply reaches request {r}"), w));
                if self.losses > 0 {
                    let mut w = self.clone();
                    w.losses -= 1;
                    w.requests[r].call = None;
                    w.feed(r, Event::Store { call: *call, reply: StoreReply::Lost });
                    steps.push((format!("reply to request {r} is lost after the write"), w));
                }
            }
            None => {}
        }
        for g in 0..request.ghosts.len() {
            if !self.store_up {
                break;
            }
            let mut w = self.clone();
            let ghost = w.requests[r].ghosts.remove(g);
            w.apply(&ghost);
            steps.push((format!("late {} of request {r} is applied", name_of(&ghost)), w));
        }
    }

    fn keep_ghost(&mut self, r: usize, action: &Action) {
        if matches!(action, Action::Create { .. } | Action::Update { .. }) {
            self.requests[r].ghosts.push(action.clone());
        }
    }

    fn upstream_steps(&self, r: usize, steps: &mut Vec<(String, World)>) {
        let mut step = |name: &str, to: Upstream, effects: u8, outcome: Option<ActionOutcome>| {
            let mut w = self.clone();
            w.requests[r].upstream = to;
            w.requests[r].effects += effects;
            if let Some(outcome) = outcome.filter(|_| !w.requests[r].crashed) {
                w.feed(r, Event::Dispatched(outcome));
            }
            steps.push((format!("{name} (request {r})"), w));
        };
        let not_run = ActionOutcome::NotRun { reason: "shed".into() };
        let unknown = ActionOutcome::Unknown { reason: "disconnect".into() };
        let done = ActionOutcome::Done { result: "ok".into() };
        match self.requests[r].upstream {
            Upstream::Sent => {
                step("upstream executes", Upstream::Executed, 1, None);
                step("upstream refuses", Upstream::Closed, 0, Some(not_run));
                step("upstream disconnects early", Upstream::Abandoned, 0, Some(unknown));
            }
            Upstream::Executed => {
                step("upstream replies", Upstream::Closed, 0, Some(done));
                step("upstream's reply is lost", Upstream::Closed, 0, Some(unknown));
            }
            Upstream::Abandoned => step("upstream executes late", Upstream::Closed, 1, None),
            Upstream::Idle | Upstream::Closed => {}
        }
    }

    fn request_steps(&self, r: usize, steps: &mut Vec<(String, World)>) {
        let request = &self.requests[r];
        if !request.started {
            // A third request is the caller's retry after an answer, not another race.
            if r < 2 || self.requests[r - 1].told.is_some() || self.requests[r - 1].crashed {
                let mut w = self.clone();
                w.requests[r].started = true;
                w.feed(r, Event::Start);
                steps.push((format!("request {r} arrives"), w));
            }
            return;
        }
        self.upstream_steps(r, steps);
        self.store_steps(r, steps);
        if request.crashed {
            return;
        }
        if request.machine.next_wakeup().is_some_and(|at| at <= self.clock()) {
            let mut w = self.clone();
            w.feed(r, Event::Tick);
            steps.push((format!("timer of request {r}"), w));
        }
        if self.guard == Guard::AnswerComesFromMachine
            && self.now >= DEADLINE
            && request.told.is_none()
        {
            let mut w = self.clone();
            let cause = rosemarybank_coordination::claim::NotRunCause::Deadline;
            w.requests[r].told = Some(Answer::NotRun { cause });
            steps.push((format!("the front answers request {r} itself"), w));
        }
        if self.crashes > 0 && !request.machine.is_finished() {
            let mut w = self.clone();
            w.crashes -= 1;
            w.requests[r].crashed = true;
            if let Some(Call::Sent(action)) = w.requests[r].call.take() {
                w.keep_ghost(r, &action);
            }
            steps.push((format!("instance of request {r} crashes"), w));
        }
    }
}

impl Model for World {
    fn steps(&self) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for r in 0..self.requests.len() {
            self.request_steps(r, &mut steps);
        }
        if self.now < DEADLINE {
            steps.push(("the deadline passes".into(), World { now: LATE, ..self.clone() }));
        }
        if self.store_up && self.outages > 0 {
            let outages = self.outages - 1;
            let w = World { store_up: false, outages, ..self.clone() };
            steps.push(("the store goes down".into(), w));
        }
        if !self.store_up {
            steps.push(("the store comes back".into(), World { store_up: true, ..self.clone() }));
        }
        steps
    }

    fn violation(&self) -> Option<String> {
        let effects: u8 = self.requests.iter().map(|r| r.effects).sum();
        let done = |r: &Request| matches!(r.told, Some(Answer::Done { .. }));
        let stuck = |r: &Request| {
            r.started
                && !r.crashed
                && r.told.is_none()
                && r.call.is_none()
                && r.upstream == Upstream::Idle
                && r.machine.next_wakeup().is_none()
        };
        let broken = if effects > 1 {
            Some("an action took effect twice")
        } else if self.requests.iter().any(|r| is_not_run(&r.told) && r.effects > 0) {
            Some("a request that was told not run took effect")
        } else if effects != 1 && self.requests.iter().any(done) {
            Some("a request was told done without an effect")
        } else if self.requests.iter().any(stuck) {
            Some("a request is never answered")
        } else {
            self.broken
        };
        broken.map(String::from)
    }
}

fn is_not_run(told: &Option<Answer>) -> bool {
    matches!(told, Some(Answer::NotRun { .. } | Answer::KeyConflict))
}

fn call_of(action: &Action) -> u32 {
    match action {
        Action::Create { call, .. }
        | Action::Update { call, .. }
        | Action::Read { call }
        | Action::WaitForChange { call, .. } => *call,
        Action::Dispatch { .. } | Action::Answer(_) => unreachable!("not a store call"),
    }
}

fn name_of(action: &Action) -> &'static str {
    match action {
        Action::Create { .. } => "create",
        Action::Update { .. } => "update",
        Action::Read { .. } => "read",
        _ => "wait",
    }
}

const RACE: Bounds = Bounds { fingerprints: &[1, 1], losses: 1, crashes: 1, outages: 0 };
const OUTAGE: Bounds = Bounds { fingerprints: &[1, 1], losses: 1, crashes: 0, outages: 1 };
const RETRY: Bounds = Bounds { fingerprints: &[1, 1, 1], losses: 0, crashes: 1, outages: 0 };
const OTHER_BODY: Bounds = Bounds { fingerprints: &[1, 2], losses: 1, crashes: 1, outages: 0 };
const WIDE: Bounds = Bounds { fingerprints: &[1, 1], losses: 1, crashes: 1, outages: 1 };

#[test]
fn two_racing_requests_take_effect_at_most_once() {
    assert_holds("claims, race", World::new(Guard::AllKept, &RACE), 100_000);
}

#[test]
fn a_store_outage_causes_no_second_effect() {
    assert_holds("claims, outage", World::new(Guard::AllKept, &OUTAGE), 500_000);
}

#[test]
fn a_retry_after_an_answer_takes_effect_at_most_once() {
    assert_holds("claims, retry", World::new(Guard::AllKept, &RETRY), 60_000);
}

#[test]
fn another_body_under_the_same_key_never_runs_too() {
    assert_holds("claims, other body", World::new(Guard::AllKept, &OTHER_BODY), 40_000);
}

/// All faults of the checks above together.
#[test]
#[ignore = "1.4 million states, 30 s and 2 GB in the dev profile"]
fn all_faults_together_cause_no_second_effect() {
    assert_holds("claims, wide", World::new(Guard::AllKept, &WIDE), 1_000_000);
}

#[test]
fn without_nonce_comparison_an_action_runs_twice() {
    let world = World::new(Guard::NonceComparison, &RACE);
    assert_violates("claims without nonce comparison", world, "an action took effect twice");
}

#[test]
fn with_take_over_an_action_runs_twice() {
    let world = World::new(Guard::NoTakeOver, &RACE);
    assert_violates("claims with take-over", world, "an action took effect twice");
}

#[test]
fn with_unknown_as_not_run_a_caller_is_told_a_falsehood() {
    let world = World::new(Guard::UnknownIsKept, &RACE);
    let violation = "a request that was told not run took effect";
    assert_violates("claims with unknown as not run", world, violation);
}

#[test]
fn with_answers_of_the_front_a_caller_is_told_a_falsehood() {
    let world = World::new(Guard::AnswerComesFromMachine, &RACE);
    let violation = "a request that was told not run took effect";
    assert_violates("claims with answers of the front", world, violation);
}

#[test]
fn without_the_clock_an_action_is_dispatched_late() {
    let world = World::new(Guard::DeadlineBeforeDispatch, &RACE);
    let violation = "an action was dispatched after its deadline";
    assert_violates("claims without the clock", world, violation);
}
