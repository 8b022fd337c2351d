//! Garbage collection of claims under arbitrary claims, store failures and role changes.

use std::{collections::BTreeMap, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::claim_gc::{
    Action, ClaimRef, DeleteResult, Event, MIN_AGE_MS, Machine, Settings, collector,
};
use rosemarybank_protocol::prelude::*;

const UNIX_MS: u64 = 1_764_800_000_000;
const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;
const INVALID_PATH: &str = "claims/desk/not-a-key";

fn path(caller: &str, created_ms: u64) -> String {
    let (high, low) = (created_ms >> 16, created_ms & 0xffff);
    format!("claims/{caller}/{high:08x}-{low:04x}-7abc-8def-0123456789ab")
}

fn created_ms(path: &str) -> u64 {
    let key = path.rsplit('/').next().expect("a path has parts");
    u64::from_str_radix(&[&key[..8], &key[9..13]].concat(), 16).expect("the test wrote the path")
}

fn machine() -> Machine {
    let look_back = Duration::from_secs(2 * 3_600);
    Machine::new(Settings::builder().unix_ms_at_zero(UNIX_MS).look_back(look_back).build())
}

fn role_changed(is_collector: bool) -> Event {
    Event::RoleChanged { is_collector, callers: vec!["desk".into(), "portal".into()] }
}

/// An outstanding store call and the index of the collector that made it.
type Pending = (usize, Action);

/// A store with claims, two collectors and their outstanding calls.
struct Simulation {
    now: Time,
    machines: [Machine; 2],
    claims: BTreeMap<String, u64>,
    pending: Vec<Pending>,
    last_delete: [Option<Time>; 2],
    last_list: [Option<Time>; 2],
    deleted: usize,
    conflicts: usize,
    reported: usize,
}

impl Simulation {
    fn new(ages_ms: &[(u64, bool)]) -> Simulation {
        let claim = |(age, desk): &(u64, bool)| {
            (path(if *desk { "desk" } else { "portal" }, UNIX_MS - age), 1)
        };
        Simulation {
            now: Time::ZERO,
            machines: [machine(), machine()],
            claims: ages_ms.iter().map(claim).collect(),
            pending: Vec::new(),
            last_delete: [None; 2],
            last_list: [None; 2],
            deleted: 0,
            conflicts: 0,
            reported: 0,
        }
    }

    fn feed(&mut self, instance: usize, event: Event) {
        let mut out = Vec::new();
        self.machines[instance].handle(self.now, event, &mut out);
        for action in out {
            match &action {
                Action::Delete(claim) => {
                    self.check_age(&claim.path);
                    let last = self.last_delete[instance].replace(self.now);
                    let least = Duration::from_millis(20);
                    assert!(last.is_none_or(|it| self.now - it >= least), "rate limit exceeded");
                }
                Action::List { .. } => {
                    let last = self.last_list[instance].replace(self.now);
                    let least = Duration::from_millis(200);
                    assert!(last.is_none_or(|it| self.now - it >= least), "rate limit exceeded");
                }
                Action::Unreadable { path } => {
                    assert_eq!(path, INVALID_PATH);
                    self.reported += 1;
                    continue;
                }
            }
            self.pending.push((instance, action));
        }
    }

    fn check_age(&self, path: &str) {
        assert_ne!(path, INVALID_PATH);
        let age = UNIX_MS + self.now.as_millis() as u64 - created_ms(path);
        assert!(age >= MIN_AGE_MS, "a claim aged {age} ms was deleted");
    }

    /// Completes an outstanding call. With [`Response::IgnorePrefix`] the store lists all objects.
    fn respond(&mut self, index: usize, response: Response) {
        if self.pending.is_empty() {
            return;
        }
        let (instance, action) = self.pending.swap_remove(index % self.pending.len());
        let event = match action {
            Action::List { prefix } if response == Response::Fail => Event::ListFailed { prefix },
            Action::List { prefix } => {
                let is_listed =
                    |it: &str| response == Response::IgnorePrefix || it.starts_with(&*prefix);
                let claims = self.claims.iter().filter(|(path, _)| is_listed(path));
                let claim = |(path, etag): (&String, &u64)| ClaimRef {
                    path: path.as_str().into(),
                    etag: etag.to_string().into(),
                };
                let mut claims: Vec<_> = claims.map(claim).collect();
                if response == Response::IgnorePrefix {
                    claims.push(ClaimRef { path: INVALID_PATH.into(), etag: "1".into() });
                }
                Event::Listed { prefix, claims }
            }
            Action::Delete(claim) if response == Response::Fail => {
                Event::Deleted { claim, result: DeleteResult::Failed }
            }
            Action::Delete(claim) => {
                let held = self.claims.get(claim.path.as_str());
                let is_same = held.is_some_and(|it| it.to_string() == claim.etag.as_str());
                let result = if is_same {
                    self.claims.remove(claim.path.as_str());
                    self.deleted += 1;
                    // The reply of an applied deletion can be lost.
                    let is_lost = response == Response::LoseReply;
                    if is_lost { DeleteResult::Failed } else { DeleteResult::Deleted }
                } else {
                    self.conflicts += 1;
                    DeleteResult::Conflict
                };
                Event::Deleted { claim, result }
            }
            Action::Unreadable { .. } => unreachable!("reports are not store calls"),
        };
        self.feed(instance, event);
    }

    /// Runs one collector until it has no work left before `until`.
    fn run_alone(&mut self, instance: usize, until: Time) {
        self.feed(instance, Event::Tick);
        loop {
            if !self.pending.is_empty() {
                self.respond(0, Response::Correct);
                continue;
            }
            let Some(at) = self.machines[instance].next_wakeup().filter(|at| *at <= until) else {
                return;
            };
            self.now = self.now.max(at);
            self.feed(instance, Event::Tick);
        }
    }
}

/// How the store responds to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Response {
    Correct,
    Fail,
    LoseReply,
    IgnorePrefix,
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Tick(usize),
    ChangeRole(usize, bool),
    Respond(usize, Response),
}

fn ages() -> impl Strategy<Value = Vec<(u64, bool)>> {
    // Ages within an hour above the minimum age (the look-back is 2 h), close to it, and below it.
    let age = prop_oneof![
        3 => MIN_AGE_MS..MIN_AGE_MS + HOUR,
        2 => MIN_AGE_MS - 120 * SECOND..MIN_AGE_MS + 120 * SECOND,
        1 => 0..MIN_AGE_MS,
    ];
    prop::collection::vec((age, any::<bool>()), 0..40)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let response = prop_oneof![
        6 => Just(Response::Correct),
        1 => Just(Response::Fail),
        1 => Just(Response::LoseReply),
        2 => Just(Response::IgnorePrefix),
    ];
    let step = prop_oneof![
        2 => (0_u64..400).prop_map(Step::Wait),
        1 => (0_u64..100_000).prop_map(Step::Wait),
        4 => (0_usize..2).prop_map(Step::Tick),
        1 => ((0_usize..2), any::<bool>()).prop_map(|(it, is_collector)| Step::ChangeRole(it, is_collector)),
        6 => (0_usize..8, response).prop_map(|(index, response)| Step::Respond(index, response)),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(48), ..ProptestConfig::with_cases(256) })]

    /// Guards against deleting a claim before every instance refuses its key, exceeding the rate
    /// limits, deleting objects that are not claims, and leaving expired claims behind because of two
    /// collectors or role changes.
    #[test]
    fn deletes_only_expired_claims_within_the_rate_limits(ages in ages(), steps in steps()) {
        let mut simulation = Simulation::new(&ages);
        simulation.feed(0, role_changed(true));
        simulation.feed(1, role_changed(true));
        for step in steps {
            match step {
                Step::Wait(ms) => simulation.now += Duration::from_millis(ms),
                Step::Tick(instance) => simulation.feed(instance, Event::Tick),
                Step::ChangeRole(instance, is_collector) => simulation.feed(instance, role_changed(is_collector)),
                Step::Respond(index, response) => simulation.respond(index, response),
            }
        }
        while !simulation.pending.is_empty() {
            simulation.respond(0, Response::Correct);
        }
        // One collector remains and no call fails any more.
        simulation.feed(1, role_changed(false));
        simulation.feed(0, role_changed(true));
        let until = simulation.now + Duration::from_secs(1_200);
        simulation.run_alone(0, until);
        simulation.now = until;
        simulation.run_alone(0, until);
        let slot_ms = 1 << 16;
        let now_ms = UNIX_MS + until.as_millis() as u64;
        let left = simulation.claims.keys().map(|it| now_ms - created_ms(it));
        for age in left {
            prop_assert!(age < MIN_AGE_MS + slot_ms, "a claim aged {age} ms was left");
        }
    }
}

/// Also verifies that the simulation produces deletions, conflicts and reports of invalid paths.
#[test]
fn two_collectors_at_once_are_harmless() {
    let ages: Vec<_> = (0..20).map(|it| (MIN_AGE_MS + HOUR + it * 100, true)).collect();
    let mut simulation = Simulation::new(&ages);
    simulation.claims.insert(path("desk", UNIX_MS - HOUR), 1);
    for instance in [0, 1] {
        simulation.feed(instance, role_changed(true));
    }
    for step in 0..20_000 {
        simulation.now += Duration::from_millis(20);
        simulation.feed(step % 2, Event::Tick);
        if step % 3 == 0 {
            simulation.respond(
                step,
                if step % 2 == 0 { Response::IgnorePrefix } else { Response::Correct },
            );
        }
    }
    assert_eq!((simulation.deleted, simulation.claims.len()), (20, 1));
    assert!(simulation.conflicts > 0 && simulation.reported > 0);
}

/// Guards against forgetting claims that were listed before the role was lost, and against using the
/// result of an earlier list call for another caller.
#[test]
fn losing_and_regaining_the_role_forgets_no_claim() {
    let ages: Vec<_> = (0..60).map(|it| (MIN_AGE_MS + HOUR + it * 10, it % 2 == 0)).collect();
    for calls in 0..200 {
        let mut simulation = Simulation::new(&ages);
        simulation.feed(0, role_changed(true));
        for _ in 0..calls {
            simulation.respond(0, Response::Correct);
            simulation.now =
                simulation.now.max(simulation.machines[0].next_wakeup().unwrap_or_default());
            simulation.feed(0, Event::Tick);
        }
        simulation.feed(0, role_changed(false));
        simulation.feed(0, role_changed(true));
        let until = simulation.now + Duration::from_secs(600);
        simulation.run_alone(0, until);
        assert_eq!(simulation.claims.len(), 0, "after {calls} calls");
    }
}

/// Guards against using the list of one caller for a caller that was added before it, whose claims
/// would then never be deleted.
#[test]
fn a_change_of_callers_skips_no_caller() {
    let mut simulation = Simulation::new(&[]);
    simulation.feed(0, role_changed(true));
    for _ in 0..20 {
        simulation.respond(0, Response::Correct);
        simulation.now =
            simulation.now.max(simulation.machines[0].next_wakeup().unwrap_or_default());
        simulation.feed(0, Event::Tick);
        let Some((_, Action::List { prefix })) = simulation.pending.first().cloned() else {
            panic!()
        };
        let slot = prefix.rsplit('/').next().expect("a path has parts").to_owned();
        let callers = vec!["new".into(), "desk".into(), "portal".into()];
        simulation.feed(0, Event::RoleChanged { is_collector: true, callers });
        simulation.respond(0, Response::Correct);
        simulation.now += Duration::from_secs(1);
        simulation.feed(0, Event::Tick);
        let Some((_, Action::List { prefix })) = simulation.pending.first().cloned() else {
            panic!()
        };
        assert_eq!(prefix, format!("claims/new/{slot}"));
        simulation.feed(0, role_changed(true));
        simulation.respond(0, Response::Correct);
        simulation.now += Duration::from_secs(1);
        simulation.feed(0, Event::Tick);
    }
}

/// Guards against instances that agree on the live instances but select different collectors.
#[test]
fn the_collector_changes_only_when_it_leaves() {
    let live: Vec<InstanceId> = (0..8).map(|it| format!("entry-{it}").into()).collect();
    let chosen = collector(&live).expect("there are live instances");
    for gone in live.iter().filter(|it| *it != chosen) {
        assert_eq!(collector(live.iter().filter(|it| *it != gone)), Some(chosen));
    }
    assert_ne!(collector(live.iter().filter(|it| *it != chosen)), Some(chosen));
    assert_eq!(collector(&[]), None);
}
