//! Failures of all kinds, one after the other and together, under searches and actions.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use rosemarybank_protocol::key_range::KeyRange;
use rosemarybank_standins::{
    fleet::{
        ReportedOutcome, Signal, Site, new_idempotency_key,
        site::{RECORDS, bundle_yaml},
        wait_until,
    },
    platform::{LoseReplies, PlatformFaults},
    upstream::{Command, ReplicaFaults, records::Records},
};
use serde_json::Value;

const SEED: u64 = 20;
const ROUNDS: u32 = 8;

/// What the callers have seen so far.
#[derive(Default)]
struct Seen {
    stop: Cell<bool>,
    searches: Cell<u32>,
    complete: Cell<u32>,
    /// Key and last answer of each action.
    actions: RefCell<Vec<(String, ReportedOutcome)>>,
}

/// Guards against double effects, untrue answers and instances that do not recover, when
/// failures meet.
#[tokio::test]
async fn invariants_hold_while_failures_meet() {
    let mut site = Site::with_instances(3).await;
    let seen = Seen::default();
    let version = {
        let site = &site;
        let faults = async {
            let version = fail_in_turns(site, &seen).await;
            seen.stop.set(true);
            version
        };
        let searches = async { tokio::join!(search(site, &seen, 1), search(site, &seen, 2)) };
        let actions = async { tokio::join!(act(site, &seen, 3), act(site, &seen, 4)) };
        tokio::join!(faults, searches, actions).0
    };
    for instance in &mut site.instances {
        if instance.process.has_exited() {
            instance.restart().await;
        }
    }
    for instance in &site.instances {
        instance.wait_until_ready().await;
        instance.wait_for_complete_search().await;
        let shown = wait_until("the last version", async || {
            instance.config_version().await.filter(|it| *it == version)
        });
        shown.await;
    }

    let effects = site.ledger.effects().await;
    let actions = seen.actions.borrow();
    for (key, told) in &*actions {
        let count = effects.iter().filter(|it| it.key == key.as_str()).count();
        assert!(
            told.is_consistent_with(count),
            "{count} effects of {key}, whose caller was told {told:?}"
        );
    }
    let done = actions.iter().filter(|(_, told)| *told == ReportedOutcome::Done).count();
    let (searches, complete) = (seen.searches.get(), seen.complete.get());
    assert!(done > 0 && complete > searches / 2, "{done} done, {complete} of {searches} complete");
}

/// Brings failures about and ends them, and returns the version of the last roll-out.
async fn fail_in_turns(site: &Site, seen: &Seen) -> u64 {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut version = 1;
    let progress = async |count: u32| {
        let goal = seen.searches.get() + count;
        wait_until("searches go on", async || (seen.searches.get() >= goal).then_some(())).await;
    };
    for round in 0..ROUNDS {
        let (frozen, upstream) =
            (rng.usize(0..3), if rng.bool() { &site.maun_shards } else { &site.rundu_shards });
        let platform = match round % 4 {
            0 => PlatformFaults { slow_ms: 100, ..PlatformFaults::default() },
            1 => PlatformFaults { down: true, ..PlatformFaults::default() },
            2 => {
                let lose_replies = Some(LoseReplies { prefix: "claims/".into(), count: 3 });
                PlatformFaults { lose_replies, ..PlatformFaults::default() }
            }
            _ => PlatformFaults::default(),
        };
        site.platform.set_faults(platform).await;
        match rng.u8(0..4) {
            0 => upstream.run_command(Command::Crash).await,
            1 => {
                upstream.run_command(Command::Drain).await;
                progress(10).await;
                upstream.run_command(Command::Crash).await;
            }
            2 => {
                let slow = ReplicaFaults { straggler: 20.0, ..ReplicaFaults::default() };
                upstream.set_faults(slow).await;
            }
            _ => site.ledger.run_command(Command::Crash).await,
        }
        site.instances[frozen].process.signal(Signal::Stop);
        progress(10).await;
        site.instances[frozen].process.signal(Signal::Cont);
        progress(10).await;
        upstream.set_faults(ReplicaFaults::default()).await;
        site.platform.set_faults(PlatformFaults::default()).await;
        if site.roll_out(&bundle_yaml(1_000 + round)).status.success() {
            version += 1;
        }
        // One instance is killed in the middle; the others carry on.
        if round == ROUNDS / 2 {
            site.instances[0].process.signal(Signal::Kill);
        }
        progress(10).await;
    }
    version
}

async fn search(site: &Site, seen: &Seen, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let records = Records { service: "order-desk", snapshot: 1, count: RECORDS };
    let expected = records.search(KeyRange::ALL, "cherry", 10);
    let expected: Vec<_> = expected.iter().map(|it| format!("{:016x}", it.key)).collect();
    while !seen.stop.get() {
        let instance = &site.instances[rng.usize(0..3)];
        let call = instance.search(r#"{"query":"cherry","limit":10,"timeout_ms":250}"#);
        // A frozen instance does not answer, and a killed one breaks the connection.
        let Ok(Ok((status, answer))) = tokio::time::timeout(Duration::from_millis(400), call).await
        else {
            // Keeps the calls to a killed instance from becoming a busy loop.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        seen.searches.set(seen.searches.get() + 1);
        check_coverage(&answer);
        if status == 200 && answer["complete"] == true {
            let hits = answer["hits"].as_array().expect("an answer has hits");
            let keys: Vec<_> = hits.iter().filter_map(|it| it["key"].as_str()).collect();
            assert_eq!(keys, expected);
            seen.complete.set(seen.complete.get() + 1);
        }
    }
}

/// Fails unless the covered records and the missing ranges of an answer add up to the snapshot.
fn check_coverage(answer: &Value) {
    let coverage = &answer["coverage"];
    let Some(covered) = coverage["records_covered"].as_u64() else { return };
    let records = Records { service: "order-desk", snapshot: 1, count: RECORDS };
    let ranges = coverage["missing"].as_array().expect("missing is a list").iter();
    let missing = ranges.map(|it| {
        let range = serde_json::from_value(it["range"].clone()).expect("a range has two keys");
        records.count_in(range)
    });
    assert_eq!(covered + missing.sum::<u64>(), RECORDS, "{answer}");
}

/// Submits actions, half of the tries through two instances at once, as impatient callers do.
async fn act(site: &Site, seen: &Seen, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !seen.stop.get() {
        let key = new_idempotency_key();
        let mut told = ReportedOutcome::Unknown;
        for _ in 0..4 {
            let (first, second) = (rng.usize(0..3), rng.usize(0..3));
            told = if rng.bool() {
                submit(site, first, &key).await
            } else {
                let both = tokio::join!(submit(site, first, &key), submit(site, second, &key));
                both.0.min(both.1)
            };
            if told == ReportedOutcome::Done {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        seen.actions.borrow_mut().push((key, told));
    }
}

async fn submit(site: &Site, instance: usize, key: &str) -> ReportedOutcome {
    let answer = site.instances[instance].submit(key, "reserve lot 9").await;
    answer.map_or(ReportedOutcome::Unknown, |(_, answer)| ReportedOutcome::from_response(&answer))
}
