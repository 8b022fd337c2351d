//! Property tests: invariants of the engine under arbitrary sequences of events.

mod common;
mod harness;

use common::{ms, settings};
use harness::{Harness, Outcome, REPLICAS, SHARDS};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rosemarybank_protocol::{prelude::*, upstream::UpstreamErrorKind};
use rosemarybank_query::{interface::Submission, settings::Policy};

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit { fingerprint: u64, priority: u8, is_complete: bool, timeout_ms: u64 },
    EndAttempt(usize, Outcome),
    RepeatOutcome(usize, Outcome),
    CallerGone(usize),
    Dispatch(u64),
    EndAction(usize, Outcome),
    Advance(u64),
    Report { replica: u64, snapshots: u8, restarted: bool },
    Drain(u64),
    Quarantine(u64, u64),
}

fn refusal() -> impl Strategy<Value = UpstreamErrorKind> {
    use UpstreamErrorKind as Kind;
    prop::sample::select(vec![
        Kind::Shed,
        Kind::Draining,
        Kind::Cold,
        Kind::SnapshotRetired,
        Kind::WrongRange,
        Kind::Expired,
        Kind::BadRequest,
        Kind::Failed,
    ])
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        12 => Just(Outcome::Complete),
        4 => any::<u8>().prop_map(Outcome::Partial),
        1 => Just(Outcome::ExtraRange),
        1 => Just(Outcome::WrongSnapshot),
        1 => Just(Outcome::StrayHit),
        4 => refusal().prop_map(Outcome::Refused),
        1 => Just(Outcome::NotSent),
        1 => Just(Outcome::Disconnected),
        1 => Just(Outcome::TimedOut),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..SHARDS * REPLICAS;
    prop_oneof![
        6 => (0..6_u64, 0..3_u8, any::<bool>(), 1..300_u64).prop_map(
            |(fingerprint, priority, is_complete, timeout_ms)| Step::Submit {
                fingerprint, priority, is_complete, timeout_ms
            }
        ),
        24 => (any::<usize>(), outcome()).prop_map(|(which, it)| Step::EndAttempt(which, it)),
        3 => (any::<usize>(), outcome()).prop_map(|(which, it)| Step::RepeatOutcome(which, it)),
        1 => any::<usize>().prop_map(Step::CallerGone),
        2 => (1..200_u64).prop_map(Step::Dispatch),
        4 => (any::<usize>(), outcome()).prop_map(|(which, it)| Step::EndAction(which, it)),
        6 => (1..40_u64).prop_map(Step::Advance),
        3 => (replica.clone(), 1..32_u8, any::<bool>()).prop_map(
            |(replica, snapshots, restarted)| Step::Report { replica, snapshots, restarted }
        ),
        1 => replica.prop_map(Step::Drain),
        1 => (0..6_u64, 0..300_u64).prop_map(|(it, until)| Step::Quarantine(it, until)),
    ]
}

fn run_steps(policy: Policy, seed: u64, steps: &[Step]) {
    let mut settings = settings();
    settings.policy = policy;
    let mut harness = Harness::new(settings, seed);
    let shard_and_index = |replica: u64| (replica / REPLICAS, replica % REPLICAS);
    let mut queries = Vec::new();
    for (number, step) in (1..).zip(steps) {
        match *step {
            Step::Submit { fingerprint, priority, is_complete, timeout_ms } => {
                queries.push(number);
                let coverage =
                    if is_complete { CoverageMode::Complete } else { CoverageMode::Partial };
                harness.submit(Submission {
                    query: number,
                    service: "records".into(),
                    fingerprint,
                    priority: Priority::ALL[priority as usize],
                    coverage,
                    limit: 1_000,
                    deadline: harness.now + ms(timeout_ms),
                });
            }
            Step::EndAttempt(which, outcome) => harness.end_attempt(which, outcome),
            Step::RepeatOutcome(which, outcome) => harness.repeat_outcome(which, outcome),
            Step::CallerGone(which) if !queries.is_empty() => {
                harness.disconnect_caller(queries[which % queries.len()]);
            }
            Step::CallerGone(_) => {}
            Step::Dispatch(timeout_ms) => harness.dispatch(number, harness.now + ms(timeout_ms)),
            Step::EndAction(which, outcome) => harness.end_action(which, outcome),
            Step::Advance(by) => harness.advance(ms(by)),
            Step::Report { replica, snapshots, restarted } => {
                let (s, r) = shard_and_index(replica);
                harness.report(s, r, snapshots, restarted);
            }
            Step::Drain(replica) => {
                let (s, r) = shard_and_index(replica);
                harness.drain(s, r);
            }
            Step::Quarantine(fingerprint, until) => harness.quarantine(fingerprint, ms(until)),
        }
    }
    harness.finish(policy);
}

fn config() -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against answers that mix snapshots, miscount coverage or belong to another query,
    /// against repeated or lost answers, wrong reports that nothing was run, exceeded budgets,
    /// attempts on draining replicas and repeated actions, for any order of late, repeated and
    /// wrong replies.
    #[test]
    fn invariants_hold_under_the_adaptive_policy(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..250),
    ) {
        run_steps(Policy::Adaptive, seed, &steps);
    }

    /// Guards against comparisons with a baseline policy whose answers are wrong.
    #[test]
    fn answers_are_exact_under_the_baseline_policy(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..250),
    ) {
        run_steps(Policy::Baseline, seed, &steps);
    }
}
