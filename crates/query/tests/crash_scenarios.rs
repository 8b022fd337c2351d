//! Simulations of repeated searches that crash replicas, or that run while replicas are lost for
//! other reasons.

mod common;

use std::collections::BTreeMap;

use common::*;
use fastrand::Rng;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::{Action, AttemptOutcome, Event, Send, Submission};

const REPLICAS: u64 = 4;
const SEEDS: u64 = 200;

/// Which replicas the search crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crashes {
    None,
    All,
    /// Those of the first shard.
    FirstShard,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    shards: u64,
    crashes: Crashes,
    /// Number of replicas of the first shard that are lost, and the time between two losses in
    /// milliseconds.
    losses: u64,
    loss_interval: u64,
    /// Time between two submissions of the search, and length of the run, in milliseconds.
    submit_interval: u64,
    until: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    crashes: u64,
    /// Crashes before the first quarantine by attempts that were sent after the first crash.
    crashes_after_first: u64,
    /// Crashes by attempts that were sent after the first quarantine had begun.
    crashes_after_quarantine: u64,
    quarantined: u64,
    complete: u64,
    refused: u64,
    /// Time from the first quarantine to the next complete answer, in milliseconds.
    recovered_after: Option<u64>,
}

/// Simulates a scenario. A harmless search takes 50 to 400 ms on a shard; one that crashes the
/// replica takes 1 to 20 ms. A lost replica returns after 2 s.
fn run(scenario: Scenario, seed: u64) -> Observed {
    let mut rng = Rng::with_seed(seed);
    let mut engine = engine(settings(), scenario.shards, REPLICAS);
    // Attempts in flight: when each was sent and ends, its request, and whether it crashes the
    // replica.
    let mut open: BTreeMap<u64, (u64, u64, Send, bool)> = BTreeMap::new();
    let mut observed = Observed::default();
    let mut down: BTreeMap<ReplicaId, u64> = BTreeMap::new();
    let mut lost: Vec<u64> = (0..REPLICAS).collect();
    rng.shuffle(&mut lost);
    let (mut first_crash, mut quarantined_at) = (None, None);
    for now in 1..scenario.until {
        let mut events = Vec::new();
        if now % scenario.submit_interval == 1 {
            let submission = submission(now, ms(now + 2_000));
            events.push(Event::Submit(Submission { fingerprint: 42, ..submission }));
        }
        let since = now.checked_sub(300).filter(|it| it % scenario.loss_interval == 0);
        let loss = since.map(|it| it / scenario.loss_interval).filter(|it| *it < scenario.losses);
        if let Some(loss) = loss {
            let replica = name(0, lost[loss as usize]);
            for (attempt, _) in open.iter().filter(|(_, it)| it.2.replica == replica) {
                events.push(done(*attempt, AttemptOutcome::Disconnected));
            }
            down.insert(replica, now + 2_000);
        }
        let ended: Vec<_> = open.iter().filter(|(_, it)| it.1 <= now).map(|it| *it.0).collect();
        for attempt in ended {
            let (_, _, send, crashes) = &open[&attempt];
            let is_down = down.get(&send.replica).is_some_and(|it| *it > now);
            events.push(match (is_down, crashes) {
                (true, _) => done(attempt, AttemptOutcome::NotSent),
                (false, true) => done(attempt, AttemptOutcome::Disconnected),
                (false, false) => done(attempt, reply(send)),
            });
        }
        if engine.next_wakeup().is_some_and(|it| it <= ms(now)) {
            events.push(Event::Tick);
        }
        for event in events {
            if let Event::AttemptDone { attempt, outcome } = &event {
                let Some((sent, _, send, crashes)) = open.remove(attempt) else { continue };
                if crashes && *outcome == AttemptOutcome::Disconnected {
                    let first = *first_crash.get_or_insert(now);
                    observed.crashes += 1;
                    observed.crashes_after_first +=
                        u64::from(quarantined_at.is_none() && sent >= first);
                    observed.crashes_after_quarantine +=
                        u64::from(quarantined_at.is_some_and(|it| sent > it));
                    down.insert(send.replica, now + 2_000);
                }
            }
            for action in feed(&mut engine, ms(now), event) {
                match action {
                    Action::Send(send) => {
                        let crashes = match scenario.crashes {
                            Crashes::None => false,
                            Crashes::All => true,
                            Crashes::FirstShard => send.range.first() == 0,
                        };
                        let is_down = down.get(&send.replica).is_some_and(|it| *it > now);
                        let took = match (is_down, crashes) {
                            (true, _) => 1,
                            (_, true) => rng.u64(1..=20),
                            _ => rng.u64(50..=400),
                        };
                        open.insert(send.attempt, (now, now + took, send, crashes));
                    }
                    Action::Cancel { attempt } => {
                        open.remove(&attempt);
                    }
                    Action::Quarantine { .. } => {
                        observed.quarantined += 1;
                        quarantined_at.get_or_insert(now);
                    }
                    Action::Answer { answer: Ok(it), .. } if it.coverage.is_complete() => {
                        observed.complete += 1;
                        if let Some(at) = quarantined_at {
                            observed.recovered_after.get_or_insert(now - at);
                        }
                    }
                    Action::Answer { answer: Err(it), .. } => {
                        observed.refused += u64::from(it.kind == ErrorKind::Quarantined);
                    }
                    _ => {}
                }
            }
        }
    }
    observed
}

fn run_all_seeds(scenario: Scenario) -> Vec<Observed> {
    let all: Vec<_> = (0..SEEDS).map(|seed| run(scenario, seed)).collect();
    let quarantined = all.iter().filter(|it| it.quarantined > 0).count();
    let most = all.iter().map(|it| it.crashes).max().unwrap_or(0);
    let sum: u64 = all.iter().map(|it| it.crashes).sum();
    let later = all.iter().map(|it| it.crashes_after_first).max().unwrap_or(0);
    let recovered = all.iter().filter_map(|it| it.recovered_after).max();
    println!(
        "{scenario:?}: quarantined in {quarantined}/{SEEDS}, crashes {:.1} mean {most} most, \
         {later} after the first, recovered after at most {recovered:?} ms",
        sum as f64 / SEEDS as f64
    );
    all
}

fn losses(shards: u64, losses: u64, loss_interval: u64, until: u64) -> Scenario {
    Scenario { shards, crashes: Crashes::None, losses, loss_interval, submit_interval: 50, until }
}

/// Guards against a quarantine of a harmless search of many shards when its canary runs on another
/// replica that is lost.
#[test]
fn independent_losses_do_not_quarantine_a_search_of_ten_shards() {
    let mut quarantined = Vec::new();
    for count in [2, 3] {
        for loss_interval in [20, 150, 500] {
            let all = run_all_seeds(losses(10, count, loss_interval, 3_000));
            quarantined.push(all.iter().filter(|it| it.quarantined > 0).count());
        }
    }
    assert_eq!(quarantined, [0; 6]);
}

/// Guards against a long quarantine of a harmless search of one shard. Independent losses can't be
/// told from crashes that the search causes, so the first quarantine must be short.
#[test]
fn a_wrong_quarantine_of_a_search_of_one_shard_is_short() {
    let all: Vec<_> = [2, 3]
        .into_iter()
        .flat_map(|count| {
            [20, 150, 500]
                .map(|loss_interval| run_all_seeds(losses(1, count, loss_interval, 34_000)))
        })
        .collect();
    for observed in all.into_iter().flatten() {
        let recovered = observed.recovered_after.is_some_and(|it| it <= 31_000);
        assert!(observed.quarantined == 0 || recovered, "{observed:?}");
        assert!(observed.quarantined <= 1, "{observed:?}");
    }
}

/// Guards against unbounded crashes by a search that its caller repeats. Allowed are the attempts
/// in flight at the first crash and two more, then one for each end of the quarantine, after 30,
/// 90, 210 and 450 s.
#[test]
fn crashes_by_a_repeated_search_are_bounded() {
    let mut exceeded = Vec::new();
    for (shards, crashes) in [(1, Crashes::All), (10, Crashes::All), (10, Crashes::FirstShard)] {
        let scenario = Scenario {
            shards,
            crashes,
            losses: 0,
            loss_interval: 1,
            submit_interval: 100,
            until: 100_000,
        };
        for (seed, observed) in run_all_seeds(scenario).into_iter().enumerate() {
            let is_bounded = observed.crashes_after_first <= 2
                && observed.crashes_after_quarantine == 2
                && observed.quarantined == 3;
            if !is_bounded {
                exceeded.push((scenario, seed, observed));
            }
        }
    }
    assert!(exceeded.is_empty(), "{} runs, first {:?}", exceeded.len(), exceeded.first());
}
