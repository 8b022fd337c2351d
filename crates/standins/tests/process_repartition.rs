//! Searches while index versions roll and shards move between replicas.

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

/// The limit lets every match of a snapshot into the answer, so that a lost or doubled record shows.
const LIMIT: u32 = 1_000;

const LAST_SNAPSHOT: u64 = 4;

#[derive(Default)]
struct Seen {
    stop: Cell<bool>,
    answers: Cell<u32>,
    complete: Cell<u32>,
    /// Latest complete answers without another in between, and the snapshot that is waited for.
    in_a_row: Cell<(u32, u64)>,
}

/// Guards against answers that mix index versions, count a record twice or lose one silently, while
/// each version brings other shard borders and then moves half of each shard to another replica.
#[tokio::test]
async fn answers_are_exact_while_snapshots_roll_and_shards_move() {
    let site = Site::with_instances(2).await;
    let seen = Seen::default();
    let callers = async {
        tokio::join!(search(&site, &seen, 0), search(&site, &seen, 1), search(&site, &seen, 1))
    };
    let changes = async {
        for snapshot in 2..=LAST_SNAPSHOT {
            roll(&site, &seen, snapshot).await;
        }
        seen.stop.set(true);
    };
    tokio::join!(callers, changes);
    println!("{} of {} answers complete", seen.complete.get(), seen.answers.get());
}

/// Brings a snapshot into use, moves parts of it under load, and retires the one before it.
async fn roll(site: &Site, seen: &Seen, snapshot: u64) {
    let upstreams = [(&site.maun_shards, "maun"), (&site.rundu_shards, "rundu")];
    let replica = |shard: u16, data_centre| format!("order-desk-{shard:02}-{data_centre}");
    for (upstream, data_centre) in upstreams {
        for shard in 0..SHARDS {
            let holding = shifted(snapshot, shard);
            upstream.add_snapshot(&replica(shard, data_centre), holding).await;
        }
    }
    complete(seen, snapshot).await;
    for (upstream, data_centre) in upstreams {
        for shard in 0..SHARDS {
            let range = moved(snapshot, shard);
            let from = replica(shard, data_centre);
            let to = replica((shard + 1) % SHARDS, data_centre);
            upstream.move_range(&from, &to, snapshot, range).await;
            progress(seen, 2).await;
        }
    }
    // Replicas report about once a second what they hold; until then, answers name what is missing.
    complete(seen, snapshot).await;
    withdraw(site, seen, snapshot).await;
    for (upstream, _) in upstreams {
        let service = "order-desk".into();
        upstream.run_command(Command::RetireSnapshot { service, snapshot: snapshot - 1 }).await;
        progress(seen, 5).await;
    }
}

/// Takes the snapshot in use away from one shard for a while. Its refusals are late, so that
/// queries already hold hits of the other shards when they must run again on the snapshot before.
async fn withdraw(site: &Site, seen: &Seen, snapshot: u64) {
    let replicas =
        [(&site.maun_shards, "order-desk-03-maun"), (&site.rundu_shards, "order-desk-03-rundu")];
    for (upstream, replica) in replicas {
        let late = ReplicaFaults { delay_ms: 40, ..ReplicaFaults::default() };
        upstream.set_replica_faults(replica, late).await;
    }
    progress(seen, 10).await;
    for (upstream, replica) in replicas {
        upstream.retire_snapshot(replica, snapshot).await;
    }
    complete(seen, snapshot - 1).await;
    for (upstream, replica) in replicas {
        upstream.set_replica_faults(replica, ReplicaFaults::default()).await;
        let mut holding = shifted(snapshot, 3);
        holding.ranges.push(moved(snapshot, 2));
        holding.ranges.sort_unstable();
        upstream.add_snapshot(replica, holding).await;
    }
    complete(seen, snapshot).await;
}

/// Waits for ten complete answers of a snapshot in a row.
async fn complete(seen: &Seen, snapshot: u64) {
    seen.in_a_row.set((0, snapshot));
    wait_until(&format!("answers of snapshot {snapshot} are complete"), async || {
        (seen.in_a_row.get() >= (10, snapshot)).then_some(())
    })
    .await;
}

async fn progress(seen: &Seen, count: u32) {
    let goal = seen.answers.get() + count;
    wait_until("searches go on", async || (seen.answers.get() >= goal).then_some(())).await;
}

/// A shard whose borders lie half a shard higher in every second snapshot.
fn shifted(snapshot: u64, shard: u16) -> HoldingSpec {
    let mut holding = holding(snapshot, shard);
    if snapshot.is_multiple_of(2) {
        let part = |shard| halves(equal_part(shard, SHARDS));
        holding.ranges = vec![part(shard).1, part((shard + 1) % SHARDS).0];
        holding.ranges.sort_unstable();
    }
    holding
}

/// The part of a shard that moves to the replica of the next one.
fn moved(snapshot: u64, shard: u16) -> KeyRange {
    halves(shifted(snapshot, shard).ranges[0]).1
}

fn halves(range: KeyRange) -> (KeyRange, KeyRange) {
    let middle = range.first() + (range.last() - range.first()) / 2;
    let half = |first, last| KeyRange::new(first, last).expect("both halves have keys");
    (half(range.first(), middle), half(middle + 1, range.last()))
}

async fn search(site: &Site, seen: &Seen, instance: usize) {
    let body = format!(r#"{{"query":"cherry","limit":{LIMIT},"timeout_ms":1000}}"#);
    while !seen.stop.get() {
        let (_, answer) = site.instances[instance].search(&body).await.unwrap();
        seen.answers.set(seen.answers.get() + 1);
        let snapshot = check(&answer);
        let (count, wanted) = seen.in_a_row.get();
        seen.in_a_row.set((if snapshot == Some(wanted) { count + 1 } else { 0 }, wanted));
        seen.complete.set(seen.complete.get() + u32::from(snapshot.is_some()));
    }
}

/// Fails unless coverage and hits are exactly those of one snapshot. Returns it when complete.
fn check(answer: &Value) -> Option<u64> {
    let coverage = &answer["coverage"];
    let covered = coverage["records_covered"].as_u64()?;
    let ranges = coverage["missing"].as_array().expect("missing is a list").iter();
    let missing: Vec<KeyRange> =
        ranges.map(|it| serde_json::from_value(it["range"].clone()).expect("a range")).collect();
    let snapshot = answer["snapshot"].as_u64();
    let records =
        Records { service: "order-desk", snapshot: snapshot.unwrap_or(1), count: RECORDS };
    let left: u64 = missing.iter().map(|it| records.count_in(*it)).sum();
    assert_eq!(covered + left, RECORDS, "{coverage}");
    let hits: Vec<Hit> = serde_json::from_value(answer.get("hits")?.clone()).expect("hits");
    let covered_ranges = KeyRange::ALL.subtract(missing.iter().copied());
    let found = covered_ranges.iter().map(|it| records.search(*it, "cherry", LIMIT));
    let mut expected: Vec<_> = found.flatten().collect();
    expected.sort_unstable_by_key(|it| (u32::MAX - it.score, it.key));
    assert_eq!(hits, expected, "snapshot {snapshot:?}, {coverage}");
    assert_eq!(answer["complete"], missing.is_empty(), "{coverage}");
    snapshot.filter(|_| missing.is_empty())
}
