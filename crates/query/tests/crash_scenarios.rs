//! Searches that are repeated while replicas are lost, and searches that crash what runs them.

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
    /// Replicas of the first shard that are lost, and the time between two losses.
    losses: u64,
    gap: u64,
    /// Time between two copies of the search and end of the run, in milliseconds.
    every: u64,
    until: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    crashes: u64,
    /// Crashes up to the first condemnation by attempts that were sent after the first crash.
    later_crashes: u64,
    /// Crashes by attempts that were sent after the first condemnation.
    returned_crashes: u64,
    condemned: u64,
    complete: u64,
    refused: u64,
    /// Time from the first condemnation to the next complete answer.
    healed_after: Option<u64>,
}

/// An innocent search takes 50 to 400 ms on a shard; a search that crashes, 1 to 20 ms. A lost
/// replica is back after 2 s.
fn run(scenario: Scenario, seed: u64) -> Seen {
    let mut rng = Rng::with_seed(seed);
    let mut engine = engine(settings(), scenario.shards, REPLICAS);
    let mut open: BTreeMap<u64, (u64, u64, Send, bool)> = BTreeMap::new();
    let mut seen = Seen::default();
    let mut down: BTreeMap<ReplicaId, u64> = BTreeMap::new();
    let mut lost: Vec<u64> = (0..REPLICAS).collect();
    rng.shuffle(&mut lost);
    let (mut first_crash, mut condemned_at) = (None, None);
    for now in 1..scenario.until {
        let mut events = Vec::new();
        if now % scenario.every == 1 {
            let submission = submission(now, ms(now + 2_000));
            events.push(Event::Submit(Submission { fingerprint: 42, ..submission }));
        }
        let since = now.checked_sub(300).filter(|it| it % scenario.gap == 0);
        let loss = since.map(|it| it / scenario.gap).filter(|it| *it < scenario.losses);
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
                    seen.crashes += 1;
                    seen.later_crashes += u64::from(condemned_at.is_none() && sent >= first);
                    seen.returned_crashes += u64::from(condemned_at.is_some_and(|it| sent > it));
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
                        seen.condemned += 1;
                        condemned_at.get_or_insert(now);
                    }
                    Action::Answer { answer: Ok(it), .. } if it.coverage.is_complete() => {
                        seen.complete += 1;
                        if let Some(at) = condemned_at {
                            seen.healed_after.get_or_insert(now - at);
                        }
                    }
                    Action::Answer { answer: Err(it), .. } => {
                        seen.refused += u64::from(it.kind == ErrorKind::Quarantined);
                    }
                    _ => {}
                }
            }
        }
    }
    seen
}

fn runs(scenario: Scenario) -> Vec<Seen> {
    let all: Vec<_> = (0..SEEDS).map(|seed| run(scenario, seed)).collect();
    let condemned = all.iter().filter(|it| it.condemned > 0).count();
    let most = all.iter().map(|it| it.crashes).max().unwrap_or(0);
    let sum: u64 = all.iter().map(|it| it.crashes).sum();
    let later = all.iter().map(|it| it.later_crashes).max().unwrap_or(0);
    let healed = all.iter().filter_map(|it| it.healed_after).max();
    println!(
        "{scenario:?}: condemned in {condemned}/{SEEDS}, crashes {:.1} mean {most} most, \
         {later} after the first, healed after at most {healed:?} ms",
        sum as f64 / SEEDS as f64
    );
    all
}

fn losses(shards: u64, losses: u64, gap: u64, until: u64) -> Scenario {
    Scenario { shards, crashes: Crashes::None, losses, gap, every: 50, until }
}

/// Guards against condemning an innocent search of many shards whose canary meets the loss of
/// another replica.
#[test]
fn independent_losses_do_not_condemn_a_search_of_ten_shards() {
    let mut condemned = Vec::new();
    for count in [2, 3] {
        for gap in [20, 150, 500] {
            let all = runs(losses(10, count, gap, 3_000));
            condemned.push(all.iter().filter(|it| it.condemned > 0).count());
        }
    }
    assert_eq!(condemned, [0; 6]);
}

/// Guards against an innocent search of one shard that stays condemned: it can't be told from a
/// search that crashes both replicas, so the first condemnation is short.
#[test]
fn a_false_condemnation_of_a_search_of_one_shard_heals() {
    let all: Vec<_> = [2, 3]
        .into_iter()
        .flat_map(|count| [20, 150, 500].map(|gap| runs(losses(1, count, gap, 34_000))))
        .collect();
    for seen in all.into_iter().flatten() {
        let healed = seen.healed_after.is_some_and(|it| it <= 31_000);
        assert!(seen.condemned == 0 || healed, "{seen:?}");
        assert!(seen.condemned <= 1, "{seen:?}");
    }
}

/// Guards against unbounded crashes of a search that its caller repeats. The bound is the attempts
/// in flight at the first crash and two more, then one for each time that the quarantine ends:
/// after 30, 90, 210 and 450 s.
#[test]
fn a_repeated_crash_causing_search_is_bounded() {
    let mut exceeded = Vec::new();
    for (shards, crashes) in [(1, Crashes::All), (10, Crashes::All), (10, Crashes::FirstShard)] {
        let scenario = Scenario { shards, crashes, losses: 0, gap: 1, every: 100, until: 100_000 };
        for (seed, seen) in runs(scenario).into_iter().enumerate() {
            let is_bounded =
                seen.later_crashes <= 2 && seen.returned_crashes == 2 && seen.condemned == 3;
            if !is_bounded {
                exceeded.push((scenario, seed, seen));
            }
        }
    }
    assert!(exceeded.is_empty(), "{} runs, first {:?}", exceeded.len(), exceeded.first());
}
