//! Number of store calls per action. The rate limits of the store determine how many actions per
//! second the fleet can handle.

use rosemarybank_coordination::claim::{Action, Answer, Event, Machine, Spec, StoreReply};
use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};

/// Store calls by kind.
#[derive(Debug, Default, PartialEq, Eq)]
struct Calls {
    writes: u32,
    reads: u32,
    waits: u32,
}

#[derive(Default)]
struct Store {
    claim: Option<(Claim, u32)>,
    tag: u32,
    calls: Calls,
    /// Number of the write whose reply is lost, counted from 1; 0 loses none.
    lose_write: u32,
}

impl Store {
    fn call(&mut self, action: &Action) -> Option<Event> {
        let tag = |n: u32| compact_str::format_compact!("{n}");
        let (call, applies, claim) = match action {
            Action::Create { call, claim } => (*call, self.claim.is_none(), claim),
            Action::Update { call, claim, if_match } => {
                let matches = self.claim.as_ref().is_some_and(|(_, n)| tag(*n) == *if_match);
                (*call, matches, claim)
            }
            Action::Read { call } | Action::WaitForChange { call, .. } => {
                let is_read = matches!(action, Action::Read { .. });
                self.calls.reads += u32::from(is_read);
                self.calls.waits += u32::from(!is_read);
                let reply = match &self.claim {
                    Some((claim, n)) => StoreReply::Found { claim: claim.clone(), etag: tag(*n) },
                    None => StoreReply::Missing,
                };
                return Some(Event::Store { call: *call, reply });
            }
            Action::Dispatch { .. } | Action::Answer(_) => return None,
        };
        self.calls.writes += 1;
        let reply = match (applies, action) {
            (false, _) => StoreReply::Conflict,
            (true, Action::Create { .. }) => StoreReply::Created { etag: tag(self.tag + 1) },
            (true, _) => StoreReply::Updated { etag: tag(self.tag + 1) },
        };
        if applies {
            self.tag += 1;
            self.claim = Some((claim.clone(), self.tag));
        }
        let reply = if self.calls.writes == self.lose_write { StoreReply::Lost } else { reply };
        Some(Event::Store { call, reply })
    }
}

/// Runs one request to completion and returns its answer. `outcome` is what the query engine reports;
/// a wait for another owner ends with `settled` as its outcome.
fn run(store: &mut Store, nonce: u64, outcome: ActionOutcome, settled: ActionOutcome) -> Answer {
    store.calls = Calls::default();
    let deadline = Time::from_secs(1);
    let spec = Spec::builder().owner("a").nonce(nonce).fingerprint(1).deadline(deadline).build();
    let (mut machine, mut answer) = (Machine::new(spec), None);
    let mut now = Time::ZERO;
    let mut events = vec![Event::Start];
    while !machine.is_finished() {
        let event = events.pop().unwrap_or_else(|| {
            now = machine.next_wakeup().expect("a waiting machine has a timer");
            Event::Tick
        });
        let mut out = Vec::new();
        machine.handle(now, event, &mut out);
        for action in out {
            if let (Action::WaitForChange { .. }, Some((claim, _))) = (&action, &mut store.claim) {
                claim.state = ClaimState::Ended { outcome: settled.clone() };
                store.tag += 1;
                store.claim.as_mut().expect("the claim exists").1 = store.tag;
            }
            events.extend(store.call(&action));
            match action {
                Action::Dispatch { .. } => events.push(Event::Dispatched(outcome.clone())),
                Action::Answer(given) => answer = Some(given),
                _ => {}
            }
        }
    }
    answer.expect("every request is answered")
}

fn done() -> ActionOutcome {
    ActionOutcome::Done { result: "ok".into() }
}

fn not_run() -> ActionOutcome {
    ActionOutcome::NotRun { reason: "shed".into() }
}

fn answered_done() -> Answer {
    Answer::Done { result: "ok".into() }
}

#[test]
fn an_action_takes_two_writes() {
    let mut store = Store::default();
    assert_eq!(run(&mut store, 1, done(), done()), answered_done());
    assert_eq!(store.calls, Calls { writes: 2, ..Calls::default() });
}

#[test]
fn a_repeated_request_takes_one_write_and_one_read() {
    let mut store = Store::default();
    run(&mut store, 1, done(), done());
    assert_eq!(run(&mut store, 2, done(), done()), answered_done());
    assert_eq!(store.calls, Calls { writes: 1, reads: 1, waits: 0 });
}

#[test]
fn a_retry_after_not_run_takes_three_writes_and_one_read() {
    let mut store = Store::default();
    run(&mut store, 1, not_run(), done());
    assert_eq!(store.calls, Calls { writes: 2, ..Calls::default() });
    assert_eq!(run(&mut store, 2, done(), done()), answered_done());
    assert_eq!(store.calls, Calls { writes: 3, reads: 1, waits: 0 });
}

#[test]
fn a_request_that_waits_for_another_owner_takes_one_write_one_read_and_one_wait() {
    let mut store = Store::default();
    let state = ClaimState::Sending { owner: "b".into(), nonce: 9 };
    store.claim = Some((Claim { fingerprint: 1, state }, 0));
    assert_eq!(run(&mut store, 2, done(), done()), answered_done());
    assert_eq!(store.calls, Calls { writes: 1, reads: 1, waits: 1 });
}

#[test]
fn a_lost_reply_costs_one_read() {
    for lose_write in [1, 2] {
        let mut store = Store { lose_write, ..Store::default() };
        assert_eq!(run(&mut store, 1, done(), done()), answered_done());
        assert_eq!(store.calls, Calls { writes: 2, reads: 1, waits: 0 }, "write {lose_write}");
    }
}
