//! Searches while snapshots are replaced and shards move between replicas.

use std::cell::Cell;

use rosemarybank_protocol::{key_range::KeyRange, search::Hit};
use rosemarybank_standins::{
    fleet::{
        Site,
        site::{RECORDS, SHARDS, holding},
        wait_until,
    },
    upstream::{Command, HoldingSpec, ReplicaFaults, records::Records, topology::equal_part},
};
use serde_json::Value;

/// Large enough for all matches of a snapshot, so that a lost or duplicate record is detected.
const LIMIT: u32 = 1_000;

const LAST_SNAPSHOT: u64 = 4;

/// What the callers have observed so far.
#[derive(Default)]
struct Observed {
    stop: Cell<bool>,
    answers: Cell<u32>,
    complete: Cell<u32>,
    /// Number of consecutive complete answers from the expected snapshot, and this snapshot.
    consecutive: Cell<(u32, u64)>,
}

/// Guards against answers that mix snapshots, count a record twice or miss one without saying so.
/// Each snapshot changes the shard boundaries, and half of each shard then moves to another
/// replica.
#[tokio::test]
async fn answers_are_exact_while_snapshots_change_and_shards_move() {
    let site = Site::with_instances(2).await;
    let observed = Observed::default();
    let searches = async {
        tokio::join!(
            run_searches(&site, &observed, 0),
            run_searches(&site, &observed, 1),
            run_searches(&site, &observed, 1)
        )
    };
    let changes = async {
        for snapshot in 2..=LAST_SNAPSHOT {
            replace_snapshot(&site, &observed, snapshot).await;
        }
        observed.stop.set(true);
    };
    tokio::join!(searches, changes);
    println!("{} of {} answers complete", observed.complete.get(), observed.answers.get());
}

/// Adds a snapshot, moves parts of it under load, and retires the previous snapshot.
async fn replace_snapshot(site: &Site, observed: &Observed, snapshot: u64) {
    let upstreams = [(&site.maun_shards, "maun"), (&site.rundu_shards, "rundu")];
    let replica = |shard: u16, data_centre| format!("order-desk-{shard:02}-{data_centre}");
    for (upstream, data_centre) in upstreams {
        for shard in 0..SHARDS {
            let holding = holding_of(snapshot, shard);
            upstream.add_snapshot(&replica(shard, data_centre), holding).await;
        }
    }
    wait_for_complete_answers(observed, snapshot).await;
    for (upstream, data_centre) in upstreams {
        for shard in 0..SHARDS {
            let range = moved_range(snapshot, shard);
            let from = replica(shard, data_centre);
            let to = replica((shard + 1) % SHARDS, data_centre);
            upstream.move_range(&from, &to, snapshot, range).await;
            wait_for_answers(observed, 2).await;
        }
    }
    // Replicas report their ranges about once a second; until then, answers list missing ranges.
    wait_for_complete_answers(observed, snapshot).await;
    withdraw_from_one_shard(site, observed, snapshot).await;
    for (upstream, _) in upstreams {
        let service = "order-desk".into();
        upstream.run_command(Command::RetireSnapshot { service, snapshot: snapshot - 1 }).await;
        wait_for_answers(observed, 5).await;
    }
}

/// Retires the current snapshot on one shard for a while. The shard replies late, so that queries
/// have hits of the other shards when they must run again on the previous snapshot.
async fn withdraw_from_one_shard(site: &Site, observed: &Observed, snapshot: u64) {
    let replicas =
        [(&site.maun_shards, "order-desk-03-maun"), (&site.rundu_shards, "order-desk-03-rundu")];
    for (upstream, replica) in replicas {
        let slow = ReplicaFaults { delay_ms: 40, ..ReplicaFaults::default() };
        upstream.set_replica_faults(replica, slow).await;
    }
    wait_for_answers(observed, 10).await;
    for (upstream, replica) in replicas {
        upstream.retire_snapshot(replica, snapshot).await;
    }
    wait_for_complete_answers(observed, snapshot - 1).await;
    for (upstream, replica) in replicas {
        upstream.set_replica_faults(replica, ReplicaFaults::default()).await;
        let mut holding = holding_of(snapshot, 3);
        holding.ranges.push(moved_range(snapshot, 2));
        holding.ranges.sort_unstable();
        upstream.add_snapshot(replica, holding).await;
    }
    wait_for_complete_answers(observed, snapshot).await;
}

/// Waits for ten consecutive complete answers from a snapshot.
async fn wait_for_complete_answers(observed: &Observed, snapshot: u64) {
    observed.consecutive.set((0, snapshot));
    wait_until(&format!("answers from snapshot {snapshot} are complete"), async || {
        (observed.consecutive.get() >= (10, snapshot)).then_some(())
    })
    .await;
}

async fn wait_for_answers(observed: &Observed, count: u32) {
    let goal = observed.answers.get() + count;
    wait_until("searches continue", async || (observed.answers.get() >= goal).then_some(())).await;
}

/// Ranges of a shard. Its boundaries are half a shard higher in snapshots with an even number.
fn holding_of(snapshot: u64, shard: u16) -> HoldingSpec {
    let mut holding = holding(snapshot, shard);
    if snapshot.is_multiple_of(2) {
        let part = |shard| halves(equal_part(shard, SHARDS));
        holding.ranges = vec![part(shard).1, part((shard + 1) % SHARDS).0];
        holding.ranges.sort_unstable();
    }
    holding
}

/// Half of the first range of a shard, which moves to the replica of the next shard.
fn moved_range(snapshot: u64, shard: u16) -> KeyRange {
    halves(holding_of(snapshot, shard).ranges[0]).1
}

fn halves(range: KeyRange) -> (KeyRange, KeyRange) {
    let middle = range.first() + (range.last() - range.first()) / 2;
    let half = |first, last| KeyRange::new(first, last).expect("both halves contain keys");
    (half(range.first(), middle), half(middle + 1, range.last()))
}

async fn run_searches(site: &Site, observed: &Observed, instance: usize) {
    let body = format!(r#"{{"query":"cherry","limit":{LIMIT},"timeout_ms":1000}}"#);
    while !observed.stop.get() {
        let (_, answer) = site.instances[instance].search(&body).await.unwrap();
        observed.answers.set(observed.answers.get() + 1);
        let snapshot = check_answer(&answer);
        let (count, expected) = observed.consecutive.get();
        observed
            .consecutive
            .set((if snapshot == Some(expected) { count + 1 } else { 0 }, expected));
        observed.complete.set(observed.complete.get() + u32::from(snapshot.is_some()));
    }
}

/// Asserts that coverage and hits are exactly those of one snapshot. Returns the snapshot if the
/// answer is complete.
fn check_answer(answer: &Value) -> Option<u64> {
    let coverage = &answer["coverage"];
    let covered = coverage["records_covered"].as_u64()?;
    let ranges = coverage["missing"].as_array().expect("missing is a list").iter();
    let missing: Vec<KeyRange> =
        ranges.map(|it| serde_json::from_value(it["range"].clone()).expect("a range")).collect();
    let snapshot = answer["snapshot"].as_u64();
    let records =
        Records { service: "order-desk", snapshot: snapshot.unwrap_or(1), count: RECORDS };
    let uncovered: u64 = missing.iter().map(|it| records.count_in(*it)).sum();
    assert_eq!(covered + uncovered, RECORDS, "{coverage}");
    let hits: Vec<Hit> = serde_json::from_value(answer.get("hits")?.clone()).expect("hits");
    let covered_ranges = KeyRange::ALL.subtract(missing.iter().copied());
    let found = covered_ranges.iter().map(|it| records.search(*it, "cherry", LIMIT));
    let mut expected: Vec<_> = found.flatten().collect();
    expected.sort_unstable_by_key(|it| (u32::MAX - it.score, it.key));
    assert_eq!(hits, expected, "snapshot {snapshot:?}, {coverage}");
    assert_eq!(answer["complete"], missing.is_empty(), "{coverage}");
    snapshot.filter(|_| missing.is_empty())
}
