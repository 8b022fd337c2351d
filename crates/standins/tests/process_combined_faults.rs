//! Failures of several kinds, in sequence and combined, under a load of searches and actions.

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

/// What the callers have observed so far.
#[derive(Default)]
struct Observed {
    stop: Cell<bool>,
    searches: Cell<u32>,
    complete: Cell<u32>,
    /// Key and last answer of each action.
    actions: RefCell<Vec<(String, ReportedOutcome)>>,
}

/// Guards against repeated effects, wrong answers and instances that do not recover under combined
/// failures.
#[tokio::test]
async fn invariants_hold_under_combined_failures() {
    let mut site = Site::with_instances(3).await;
    let observed = Observed::default();
    let version = {
        let site = &site;
        let faults = async {
            let version = inject_failures(site, &observed).await;
            observed.stop.set(true);
            version
        };
        let searches = async {
            tokio::join!(run_searches(site, &observed, 1), run_searches(site, &observed, 2))
        };
        let actions = async {
            tokio::join!(submit_actions(site, &observed, 3), submit_actions(site, &observed, 4))
        };
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
        let shown = wait_until("the last version is active", async || {
            instance.config_version().await.filter(|it| *it == version)
        });
        shown.await;
    }

    let effects = site.ledger.effects().await;
    let actions = observed.actions.borrow();
    for (key, told) in &*actions {
        let count = effects.iter().filter(|it| it.key == key.as_str()).count();
        assert!(
            told.is_consistent_with(count),
            "{count} effects of {key}, whose caller was told {told:?}"
        );
    }
    let done = actions.iter().filter(|(_, told)| *told == ReportedOutcome::Done).count();
    let (searches, complete) = (observed.searches.get(), observed.complete.get());
    assert!(done > 0 && complete > searches / 2, "{done} done, {complete} of {searches} complete");
}

/// Injects and clears failures in rounds. Returns the version of the last roll-out.
async fn inject_failures(site: &Site, observed: &Observed) -> u64 {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut version = 1;
    let wait_for_searches = async |count: u32| {
        let goal = observed.searches.get() + count;
        wait_until("searches continue", async || (observed.searches.get() >= goal).then_some(()))
            .await;
    };
    for round in 0..ROUNDS {
        let (paused, upstream) =
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
                wait_for_searches(10).await;
                upstream.run_command(Command::Crash).await;
            }
            2 => {
                let slow = ReplicaFaults { straggler: 20.0, ..ReplicaFaults::default() };
                upstream.set_faults(slow).await;
            }
            _ => site.ledger.run_command(Command::Crash).await,
        }
        site.instances[paused].process.signal(Signal::Stop);
        wait_for_searches(10).await;
        site.instances[paused].process.signal(Signal::Cont);
        wait_for_searches(10).await;
        upstream.set_faults(ReplicaFaults::default()).await;
        site.platform.set_faults(PlatformFaults::default()).await;
        if site.roll_out(&bundle_yaml(1_000 + round)).status.success() {
            version += 1;
        }
        // One instance is killed halfway and stays down.
        if round == ROUNDS / 2 {
            site.instances[0].process.signal(Signal::Kill);
        }
        wait_for_searches(10).await;
    }
    version
}

async fn run_searches(site: &Site, observed: &Observed, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let records = Records { service: "order-desk", snapshot: 1, count: RECORDS };
    let expected = records.search(KeyRange::ALL, "cherry", 10);
    let expected: Vec<_> = expected.iter().map(|it| format!("{:016x}", it.key)).collect();
    while !observed.stop.get() {
        let instance = &site.instances[rng.usize(0..3)];
        let call = instance.search(r#"{"query":"cherry","limit":10,"timeout_ms":250}"#);
        // A paused instance does not answer, and a killed one closes the connection.
        let Ok(Ok((status, answer))) = tokio::time::timeout(Duration::from_millis(400), call).await
        else {
            // Prevents a busy loop of calls to a killed instance.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        observed.searches.set(observed.searches.get() + 1);
        check_coverage(&answer);
        if status == 200 && answer["complete"] == true {
            let hits = answer["hits"].as_array().expect("an answer has hits");
            let keys: Vec<_> = hits.iter().filter_map(|it| it["key"].as_str()).collect();
            assert_eq!(keys, expected);
            observed.complete.set(observed.complete.get() + 1);
        }
    }
}

/// Asserts that the covered records and those of the missing ranges add up to the snapshot.
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

/// Submits actions with retries. Half of the attempts go to two instances concurrently.
async fn submit_actions(site: &Site, observed: &Observed, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !observed.stop.get() {
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
        observed.actions.borrow_mut().push((key, told));
    }
}

async fn submit(site: &Site, instance: usize, key: &str) -> ReportedOutcome {
    let answer = site.instances[instance].submit(key, "reserve lot 9").await;
    answer.map_or(ReportedOutcome::Unknown, |(_, answer)| ReportedOutcome::from_response(&answer))
}
