//! Collectors of old claims against a store with any claims, failures and changes of duty.

use std::{collections::BTreeMap, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::claim_gc::{
    Action, ClaimRef, DeleteResult, Event, MIN_AGE_MS, Machine, Settings, collector,
};
use rosemarybank_protocol::prelude::*;

const UNIX_MS: u64 = 1_764_800_000_000;
const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;
const JUNK: &str = "claims/desk/not-a-key";

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

fn duty(is_collector: bool) -> Event {
    Event::RoleChanged { is_collector, callers: vec!["desk".into(), "portal".into()] }
}

/// A call of one collector that was not answered yet.
type Pending = (usize, Action);

/// A store with claims, two collectors and the calls in progress.
struct Bench {
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

impl Bench {
    fn new(ages_ms: &[(u64, bool)]) -> Bench {
        let claim = |(age, desk): &(u64, bool)| {
            (path(if *desk { "desk" } else { "portal" }, UNIX_MS - age), 1)
        };
        Bench {
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

    fn feed(&mut self, number: usize, event: Event) {
        let mut out = Vec::new();
        self.machines[number].handle(self.now, event, &mut out);
        for action in out {
            match &action {
                Action::Delete(claim) => {
                    self.check_age(&claim.path);
                    let last = self.last_delete[number].replace(self.now);
                    let least = Duration::from_millis(20);
                    assert!(last.is_none_or(|it| self.now - it >= least), "over the rate");
                }
                Action::List { .. } => {
                    let last = self.last_list[number].replace(self.now);
                    let least = Duration::from_millis(200);
                    assert!(last.is_none_or(|it| self.now - it >= least), "over the rate");
                }
                Action::Unreadable { path } => {
                    assert_eq!(path, JUNK);
                    self.reported += 1;
                    continue;
                }
            }
            self.pending.push((number, action));
        }
    }

    fn check_age(&self, path: &str) {
        assert_ne!(path, JUNK);
        let age = UNIX_MS + self.now.as_millis() as u64 - created_ms(path);
        assert!(age >= MIN_AGE_MS, "a claim of {age} ms is deleted");
    }

    /// Answers a call. A confused store lists everything, whatever the prefix.
    fn answer(&mut self, index: usize, kind: Answer) {
        if self.pending.is_empty() {
            return;
        }
        let (number, action) = self.pending.swap_remove(index % self.pending.len());
        let event = match action {
            Action::List { prefix } if kind == Answer::Fail => Event::ListFailed { prefix },
            Action::List { prefix } => {
                let is_listed = |it: &str| kind == Answer::Confused || it.starts_with(&*prefix);
                let claims = self.claims.iter().filter(|(path, _)| is_listed(path));
                let claim = |(path, etag): (&String, &u64)| ClaimRef {
                    path: path.as_str().into(),
                    etag: etag.to_string().into(),
                };
                let mut claims: Vec<_> = claims.map(claim).collect();
                if kind == Answer::Confused {
                    claims.push(ClaimRef { path: JUNK.into(), etag: "1".into() });
                }
                Event::Listed { prefix, claims }
            }
            Action::Delete(claim) if kind == Answer::Fail => {
                Event::Deleted { claim, result: DeleteResult::Failed }
            }
            Action::Delete(claim) => {
                let held = self.claims.get(claim.path.as_str());
                let is_same = held.is_some_and(|it| it.to_string() == claim.etag.as_str());
                let result = if is_same {
                    self.claims.remove(claim.path.as_str());
                    self.deleted += 1;
                    // The reply of an applied deletion can be lost.
                    let is_lost = kind == Answer::Lost;
                    if is_lost { DeleteResult::Failed } else { DeleteResult::Deleted }
                } else {
                    self.conflicts += 1;
                    DeleteResult::Conflict
                };
                Event::Deleted { claim, result }
            }
            Action::Unreadable { .. } => unreachable!("reports are not answered"),
        };
        self.feed(number, event);
    }

    /// Runs one collector until it waits for a slot to grow old.
    fn run_alone(&mut self, number: usize, until: Time) {
        self.feed(number, Event::Tick);
        loop {
            if !self.pending.is_empty() {
                self.answer(0, Answer::Right);
                continue;
            }
            let Some(at) = self.machines[number].next_wakeup().filter(|at| *at <= until) else {
                return;
            };
            self.now = self.now.max(at);
            self.feed(number, Event::Tick);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Right,
    Fail,
    Lost,
    Confused,
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Tick(usize),
    Duty(usize, bool),
    Answer(usize, Answer),
}

fn ages() -> impl Strategy<Value = Vec<(u64, bool)>> {
    // Around the minimum age, the look-back of 2 h and the present.
    let age = prop_oneof![
        3 => MIN_AGE_MS..MIN_AGE_MS + HOUR,
        2 => MIN_AGE_MS - 120 * SECOND..MIN_AGE_MS + 120 * SECOND,
        1 => 0..MIN_AGE_MS,
    ];
    prop::collection::vec((age, any::<bool>()), 0..40)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let answer = prop_oneof![
        6 => Just(Answer::Right),
        1 => Just(Answer::Fail),
        1 => Just(Answer::Lost),
        2 => Just(Answer::Confused),
    ];
    let step = prop_oneof![
        2 => (0_u64..400).prop_map(Step::Wait),
        1 => (0_u64..100_000).prop_map(Step::Wait),
        4 => (0_usize..2).prop_map(Step::Tick),
        1 => ((0_usize..2), any::<bool>()).prop_map(|(it, duty)| Step::Duty(it, duty)),
        6 => (0_usize..8, answer).prop_map(|(index, kind)| Step::Answer(index, kind)),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(48), ..ProptestConfig::with_cases(256) })]

    /// Guards against a claim that is deleted before its key is refused everywhere, a collector
    /// above its rate, a path that is no claim and is deleted, and two collectors or changes of
    /// duty that keep old claims from being deleted.
    #[test]
    fn deletes_old_claims_only_and_within_its_rate(ages in ages(), steps in steps()) {
        let mut bench = Bench::new(&ages);
        bench.feed(0, duty(true));
        bench.feed(1, duty(true));
        for step in steps {
            match step {
                Step::Wait(ms) => bench.now += Duration::from_millis(ms),
                Step::Tick(number) => bench.feed(number, Event::Tick),
                Step::Duty(number, is_collector) => bench.feed(number, duty(is_collector)),
                Step::Answer(index, kind) => bench.answer(index, kind),
            }
        }
        while !bench.pending.is_empty() {
            bench.answer(0, Answer::Right);
        }
        // One collector is left, and no call fails any more.
        bench.feed(1, duty(false));
        bench.feed(0, duty(true));
        let until = bench.now + Duration::from_secs(1_200);
        bench.run_alone(0, until);
        bench.now = until;
        bench.run_alone(0, until);
        let slot_ms = 1 << 16;
        let now_ms = UNIX_MS + until.as_millis() as u64;
        let left = bench.claims.keys().map(|it| now_ms - created_ms(it));
        for age in left {
            prop_assert!(age < MIN_AGE_MS + slot_ms, "a claim of {age} ms is left");
        }
    }
}

/// Guards against checks above that never see a deletion, a conflict or a report.
#[test]
fn two_collectors_at_once_are_harmless() {
    let ages: Vec<_> = (0..20).map(|it| (MIN_AGE_MS + HOUR + it * 100, true)).collect();
    let mut bench = Bench::new(&ages);
    bench.claims.insert(path("desk", UNIX_MS - HOUR), 1);
    for number in [0, 1] {
        bench.feed(number, duty(true));
    }
    for step in 0..20_000 {
        bench.now += Duration::from_millis(20);
        bench.feed(step % 2, Event::Tick);
        if step % 3 == 0 {
            bench.answer(step, if step % 2 == 0 { Answer::Confused } else { Answer::Right });
        }
    }
    assert_eq!((bench.deleted, bench.claims.len()), (20, 1));
    assert!(bench.conflicts > 0 && bench.reported > 0);
}

/// Guards against claims that were listed before a loss of duty and are forgotten, and a list asked
/// for before it that counts for another caller.
#[test]
fn a_loss_of_duty_forgets_no_claim() {
    let ages: Vec<_> = (0..60).map(|it| (MIN_AGE_MS + HOUR + it * 10, it % 2 == 0)).collect();
    for calls in 0..200 {
        let mut bench = Bench::new(&ages);
        bench.feed(0, duty(true));
        for _ in 0..calls {
            bench.answer(0, Answer::Right);
            bench.now = bench.now.max(bench.machines[0].next_wakeup().unwrap_or_default());
            bench.feed(0, Event::Tick);
        }
        bench.feed(0, duty(false));
        bench.feed(0, duty(true));
        let until = bench.now + Duration::from_secs(600);
        bench.run_alone(0, until);
        assert_eq!(bench.claims.len(), 0, "after {calls} calls");
    }
}

/// Guards against a list of another caller's claims that counts as that of a new first caller,
/// whose claims would then stay.
#[test]
fn a_change_of_callers_skips_no_caller() {
    let mut bench = Bench::new(&[]);
    bench.feed(0, duty(true));
    for _ in 0..20 {
        bench.answer(0, Answer::Right);
        bench.now = bench.now.max(bench.machines[0].next_wakeup().unwrap_or_default());
        bench.feed(0, Event::Tick);
        let Some((_, Action::List { prefix })) = bench.pending.first().cloned() else { panic!() };
        let slot = prefix.rsplit('/').next().expect("a path has parts").to_owned();
        let callers = vec!["new".into(), "desk".into(), "portal".into()];
        bench.feed(0, Event::RoleChanged { is_collector: true, callers });
        bench.answer(0, Answer::Right);
        bench.now += Duration::from_secs(1);
        bench.feed(0, Event::Tick);
        let Some((_, Action::List { prefix })) = bench.pending.first().cloned() else { panic!() };
        assert_eq!(prefix, format!("claims/new/{slot}"));
        bench.feed(0, duty(true));
        bench.answer(0, Answer::Right);
        bench.now += Duration::from_secs(1);
        bench.feed(0, Event::Tick);
    }
}

/// Guards against members that agree on the live instances and choose different collectors.
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
