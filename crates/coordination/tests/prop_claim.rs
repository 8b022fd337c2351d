//! The claim machine under arbitrary event orders, including orders that no store would produce.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_coordination::claim::{
    Action, Answer, Event, Machine, Settings, Spec, StoreReply,
};
use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};

const DEADLINE: Time = Time::from_millis(100);
const GRACE: Duration = Duration::from_millis(50);

/// An input to the machine.
#[derive(Clone, Debug)]
enum Input {
    /// Reply to the call that was issued `back` calls before the last one.
    Reply {
        back: u32,
        reply: StoreReply,
    },
    Other(Event),
}

fn outcome() -> impl Strategy<Value = ActionOutcome> {
    prop_oneof![
        Just(ActionOutcome::Done { result: "ok".into() }),
        Just(ActionOutcome::NotRun { reason: "shed".into() }),
        Just(ActionOutcome::Unknown { reason: "lost".into() }),
    ]
}

fn reply() -> impl Strategy<Value = StoreReply> {
    let etag = prop_oneof![Just("1"), Just("2"), Just("3")];
    let state = prop_oneof![
        (0u64..2).prop_map(|nonce| ClaimState::Sending { owner: "a".into(), nonce }),
        outcome().prop_map(|outcome| ClaimState::Ended { outcome }),
    ];
    let found = (state, 0u64..8, etag.clone()).prop_map(|(state, other, etag)| {
        let fingerprint = if other == 0 { 9 } else { 1 };
        StoreReply::Found { claim: Claim { fingerprint, state }, etag: etag.into() }
    });
    prop_oneof![
        etag.clone().prop_map(|etag| StoreReply::Created { etag: etag.into() }),
        etag.prop_map(|etag| StoreReply::Updated { etag: etag.into() }),
        found,
        Just(StoreReply::Missing),
        Just(StoreReply::Conflict),
        Just(StoreReply::Failed),
        Just(StoreReply::Lost),
    ]
}

fn input() -> impl Strategy<Value = (u64, Input)> {
    let input = prop_oneof![
        6 => (0u32..8, reply())
            .prop_map(|(back, reply)| Input::Reply { back: back.saturating_sub(6), reply }),
        2 => outcome().prop_map(|outcome| Input::Other(Event::Dispatched(outcome))),
        1 => Just(Input::Other(Event::Tick)),
        1 => Just(Input::Other(Event::Start)),
    ];
    (0u64..15, input)
}

/// Actions of the machine so far.
#[derive(Default)]
struct Observed {
    calls: u32,
    dispatched: bool,
    answer: Option<Answer>,
    last_report: Option<ActionOutcome>,
}

impl Observed {
    fn check(&mut self, now: Time, action: Action) -> Result<(), TestCaseError> {
        match action {
            Action::Dispatch { deadline } => {
                prop_assert!(!self.dispatched, "dispatched twice");
                prop_assert!(self.answer.is_none(), "dispatched after the answer");
                prop_assert!(now < deadline, "dispatched after the deadline");
                self.dispatched = true;
            }
            Action::Answer(answer) => {
                prop_assert!(self.answer.is_none(), "answered twice");
                if let Answer::NotRun { .. } | Answer::KeyConflict = answer {
                    let reported = matches!(self.last_report, Some(ActionOutcome::NotRun { .. }));
                    prop_assert!(!self.dispatched || reported, "answered not run after a dispatch");
                }
                self.answer = Some(answer);
            }
            Action::Create { call, .. }
            | Action::Update { call, .. }
            | Action::Read { call }
            | Action::WaitForChange { call, .. } => {
                prop_assert_eq!(call, self.calls, "calls are numbered without gaps");
                self.calls += 1;
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x0c1a_1300),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_event_order_gives_one_answer_and_one_dispatch_at_most(
        inputs in proptest::collection::vec(input(), 0..30),
    ) {
        let settings = Settings { dispatch_grace: GRACE, ..Settings::default() };
        let spec = Spec::builder()
            .owner("a").nonce(0).fingerprint(1).deadline(DEADLINE).settings(settings).build();
        let (mut machine, mut observed, mut now) = (Machine::new(spec), Observed::default(), Time::ZERO);
        let last = (200, Input::Other(Event::Tick));
        let start = (0, Input::Other(Event::Start));
        for (wait, input) in [start].into_iter().chain(inputs).chain([last]) {
            now += Duration::from_millis(wait);
            let event = match input {
                Input::Reply { back, reply } => {
                    let call = observed.calls.saturating_sub(1 + back);
                    Event::Store { call, reply }
                }
                Input::Other(event) => event,
            };
            if let Event::Dispatched(outcome) = &event {
                if !observed.dispatched {
                    continue;
                }
                observed.last_report.get_or_insert(outcome.clone());
            }
            let mut out = Vec::new();
            machine.handle(now, event, &mut out);
            for action in out {
                observed.check(now, action)?;
            }
            prop_assert_eq!(machine.is_answered(), observed.answer.is_some());
        }
        prop_assert!(observed.answer.is_some(), "no answer after the deadline and the grace period");
    }
}
