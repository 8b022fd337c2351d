//! Model check of action claims: two instances handle racing or retried requests with one key, with
//! lost and late store calls, a store outage, crashes and pauses at every step.
//!
//! Pauses are not modelled as separate steps: an event that is delivered after the deadline is what
//! an instance sees after a pause.

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
const AFTER_DEADLINE: Time = Time::from_millis(100);

/// The safety guard that a test disables, to verify that the model check detects its absence.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum DisabledGuard {
    None,
    /// Without it, any claim in `Sending` is treated as belonging to the request.
    NonceComparison,
    /// Without it, a waiting request treats a claim of another owner as expired, like a lease.
    NoTakeover,
    /// Without it, a lost reply of the upstream is treated as "not run".
    UnknownIsFinal,
    /// Without it, the HTTP front end answers "not run" at the deadline while the machine continues.
    OnlyMachineAnswers,
    /// Without it, the clock of the machine never reaches the deadline.
    DeadlineCheck,
}

/// An outstanding store call.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Call {
    Sent(Action),
    Applied { call: u32, reply: StoreReply },
}

/// State of an action in the query engine.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Upstream {
    Idle,
    Sent,
    Executed,
    /// The engine reported an unknown outcome, but the request can still reach the replica.
    Abandoned,
    Closed,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Request {
    machine: Machine,
    started: bool,
    crashed: bool,
    call: Option<Call>,
    /// Writes that were reported as lost but can still be applied.
    late_writes: Vec<Action>,
    upstream: Upstream,
    effects: u8,
    answer: Option<Answer>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    disabled: DisabledGuard,
    now: Time,
    store: Option<(Claim, u32)>,
    writes: u32,
    store_up: bool,
    /// Outages, lost calls or replies, and crashes that may still happen.
    outages: u8,
    losses: u8,
    crashes: u8,
    requests: Vec<Request>,
    violated: Option<&'static str>,
}

struct Bounds {
    fingerprints: &'static [Fingerprint],
    losses: u8,
    crashes: u8,
    outages: u8,
}

impl World {
    fn new(disabled: DisabledGuard, bounds: &Bounds) -> World {
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
            late_writes: Vec::new(),
            upstream: Upstream::Idle,
            effects: 0,
            answer: None,
        };
        World {
            disabled,
            now: Time::ZERO,
            store: None,
            writes: 0,
            store_up: true,
            outages: bounds.outages,
            losses: bounds.losses,
            crashes: bounds.crashes,
            requests: bounds.fingerprints.iter().enumerate().map(request).collect(),
            violated: None,
        }
    }

    fn clock(&self) -> Time {
        if self.disabled == DisabledGuard::DeadlineCheck { Time::ZERO } else { self.now }
    }

    /// Passes one event to the machine under test and executes its actions.
    fn feed(&mut self, r: usize, event: Event) {
        let now = self.clock();
        let event = self.without_guard(r, event);
        let mut out = Vec::new();
        self.requests[r].machine.handle(now, event, &mut out);
        for action in out {
            self.execute(r, action);
        }
    }

    /// Modifies an input event as if the disabled guard did not exist.
    fn without_guard(&self, r: usize, event: Event) -> Event {
        let own = ClaimState::Sending { owner: ["a", "b"][r % 2].into(), nonce: r as u64 };
        match event {
            Event::Store { call, reply: StoreReply::Found { mut claim, etag } } => {
                let sending = matches!(claim.state, ClaimState::Sending { .. });
                if self.disabled == DisabledGuard::NonceComparison && sending {
                    claim.state = own;
                } else if self.disabled == DisabledGuard::NoTakeover
                    && sending
                    && claim.state != own
                {
                    let outcome = ActionOutcome::NotRun { reason: "expired".into() };
                    claim.state = ClaimState::Ended { outcome };
                }
                Event::Store { call, reply: StoreReply::Found { claim, etag } }
            }
            Event::Dispatched(ActionOutcome::Unknown { reason })
                if self.disabled == DisabledGuard::UnknownIsFinal =>
            {
                Event::Dispatched(ActionOutcome::NotRun { reason })
            }
            event => event,
        }
    }

    fn execute(&mut self, r: usize, action: Action) {
        match action {
            Action::Answer(answer) => {
                if self.disabled == DisabledGuard::OnlyMachineAnswers
                    && self.requests[r].answer.is_some()
                {
                    return;
                }
                if self.requests[r].answer.replace(answer).is_some() {
                    self.violated = Some("a request was answered twice");
                }
            }
            Action::Dispatch { .. } => {
                if self.requests[r].upstream != Upstream::Idle {
                    self.violated = Some("a machine dispatched twice");
                }
                if self.now >= DEADLINE {
                    self.violated = Some("an action was dispatched after its deadline");
                }
                let answered_unknown = |o: &Request| {
                    o.upstream != Upstream::Idle && matches!(o.answer, Some(Answer::Unknown { .. }))
                };
                if self.requests.iter().any(answered_unknown) {
                    self.violated = Some("an action was sent again after the answer was unknown");
                }
                self.requests[r].upstream = Upstream::Sent;
            }
            call => self.requests[r].call = Some(Call::Sent(call)),
        }
    }

    /// Applies a call to the store and returns its reply.
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

    /// Returns whether the store would reply to the call now.
    fn can_reply(&self, action: &Action) -> bool {
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
                if self.store_up && self.can_reply(action) {
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
                    w.add_late_write(r, action);
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
        for g in 0..request.late_writes.len() {
            if !self.store_up {
                break;
            }
            let mut w = self.clone();
            let write = w.requests[r].late_writes.remove(g);
            w.apply(&write);
            steps.push((format!("late {} of request {r} is applied", name_of(&write)), w));
        }
    }

    fn add_late_write(&mut self, r: usize, action: &Action) {
        if matches!(action, Action::Create { .. } | Action::Update { .. }) {
            self.requests[r].late_writes.push(action.clone());
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
            // The third request is a retry by the caller, so it starts only after the second one was
            // answered or crashed.
            if r < 2 || self.requests[r - 1].answer.is_some() || self.requests[r - 1].crashed {
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
        if self.disabled == DisabledGuard::OnlyMachineAnswers
            && self.now >= DEADLINE
            && request.answer.is_none()
        {
            let mut w = self.clone();
            let cause = rosemarybank_coordination::claim::NotRunCause::Deadline;
            w.requests[r].answer = Some(Answer::NotRun { cause });
            steps.push((format!("the front end answers request {r}"), w));
        }
        if self.crashes > 0 && !request.machine.is_finished() {
            let mut w = self.clone();
            w.crashes -= 1;
            w.requests[r].crashed = true;
            if let Some(Call::Sent(action)) = w.requests[r].call.take() {
                w.add_late_write(r, &action);
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
            steps.push((
                "the deadline passes".into(),
                World { now: AFTER_DEADLINE, ..self.clone() },
            ));
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
        let done = |r: &Request| matches!(r.answer, Some(Answer::Done { .. }));
        let unanswered = |r: &Request| {
            r.started
                && !r.crashed
                && r.answer.is_none()
                && r.call.is_none()
                && r.upstream == Upstream::Idle
                && r.machine.next_wakeup().is_none()
        };
        let violated = if effects > 1 {
            Some("an action took effect twice")
        } else if self.requests.iter().any(|r| is_not_run(&r.answer) && r.effects > 0) {
            Some("a request answered with not run took effect")
        } else if effects != 1 && self.requests.iter().any(done) {
            Some("a request answered with done took no effect")
        } else if self.requests.iter().any(unanswered) {
            Some("a request is never answered")
        } else {
            self.violated
        };
        violated.map(String::from)
    }
}

fn is_not_run(answer: &Option<Answer>) -> bool {
    matches!(answer, Some(Answer::NotRun { .. } | Answer::KeyConflict))
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
const COMBINED: Bounds = Bounds { fingerprints: &[1, 1], losses: 1, crashes: 1, outages: 1 };

#[test]
fn two_racing_requests_take_effect_at_most_once() {
    assert_holds("claims, race", World::new(DisabledGuard::None, &RACE), 100_000);
}

#[test]
fn a_store_outage_causes_no_second_effect() {
    assert_holds("claims, outage", World::new(DisabledGuard::None, &OUTAGE), 500_000);
}

#[test]
fn a_retry_after_an_answer_takes_effect_at_most_once() {
    assert_holds("claims, retry", World::new(DisabledGuard::None, &RETRY), 60_000);
}

#[test]
fn two_bodies_under_one_key_take_effect_at_most_once() {
    assert_holds("claims, other body", World::new(DisabledGuard::None, &OTHER_BODY), 40_000);
}

/// Combines all faults of the checks above.
#[test]
#[ignore = "1.4 million states, 30 s and 2 GB in the dev profile"]
fn all_faults_together_cause_no_second_effect() {
    assert_holds("claims, combined", World::new(DisabledGuard::None, &COMBINED), 1_000_000);
}

#[test]
fn without_nonce_comparison_an_action_runs_twice() {
    let world = World::new(DisabledGuard::NonceComparison, &RACE);
    assert_violates("claims without nonce comparison", world, "an action took effect twice");
}

#[test]
fn with_claim_takeover_an_action_runs_twice() {
    let world = World::new(DisabledGuard::NoTakeover, &RACE);
    assert_violates("claims with takeover", world, "an action took effect twice");
}

#[test]
fn treating_unknown_as_not_run_gives_a_false_answer() {
    let world = World::new(DisabledGuard::UnknownIsFinal, &RACE);
    let violation = "a request answered with not run took effect";
    assert_violates("claims with unknown as not run", world, violation);
}

#[test]
fn an_answer_from_outside_the_machine_can_be_false() {
    let world = World::new(DisabledGuard::OnlyMachineAnswers, &RACE);
    let violation = "a request answered with not run took effect";
    assert_violates("claims with answers of the front end", world, violation);
}

#[test]
fn without_a_deadline_check_an_action_is_dispatched_late() {
    let world = World::new(DisabledGuard::DeadlineCheck, &RACE);
    let violation = "an action was dispatched after its deadline";
    assert_violates("claims without deadline check", world, violation);
}
