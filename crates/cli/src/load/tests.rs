use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rosemarybank_protocol::{
    bundle::Canary,
    platform::{InstanceEntry, InstanceState},
    prelude::*,
    upstream::{Holding, Load, RangeCount, ReplicaState, ReplicaStatus},
};
use tokio::sync::Mutex;

use super::{
    arrivals::Arrivals,
    counters::sum_counter,
    direct_client::{ReplicaReport, choose_snapshot},
    run::{Target, run},
    stats::{Outcome, RunStats, RunSummary},
    tables::{median_min_max, median_table, summary_table},
};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against arrivals that differ between runs with the same seed, miss the rate, or exceed
/// the duration or the count.
#[test]
fn arrivals_follow_the_rate_and_bounds() {
    let all: Vec<_> = Arrivals::new(200.0, 50 * SECOND, u64::MAX, 7).collect();
    assert_eq!(all, Arrivals::new(200.0, 50 * SECOND, u64::MAX, 7).collect::<Vec<_>>());
    assert!((9_500..10_500).contains(&all.len()), "{}", all.len());
    assert!(all.is_sorted() && all.last() < Some(&(50 * SECOND)));
    let short = all.windows(2).filter(|pair| pair[1] - pair[0] < Duration::from_micros(3_466));
    let half = short.count() as f64 / all.len() as f64;
    assert!((0.48..0.52).contains(&half), "the median gap is ln 2 / rate: {half}");
    assert_eq!(Arrivals::new(200.0, 50 * SECOND, 10, 7).count(), 10);
}

/// Guards against shares computed over successful requests only.
#[test]
fn failed_requests_lower_the_shares() {
    let mut stats = RunStats::new();
    let missing = vec![MissingRange { range: KeyRange::ALL, reason: MissingReason::Deadline }];
    let partial =
        Coverage { records_covered: 30, records_total: RecordTotal::AtLeast(40), missing };
    let complete = Coverage {
        records_covered: 40,
        records_total: RecordTotal::Exact(40),
        missing: Vec::new(),
    };
    stats.add(Duration::from_millis(10), Outcome::answered(&complete));
    stats.add(Duration::from_millis(20), Outcome::answered(&partial));
    stats.add(Duration::from_millis(1), Outcome::Failed("overloaded".to_owned()));
    stats.add(Duration::from_millis(1), Outcome::Failed("overloaded".to_owned()));
    let summary = stats.summary(2 * SECOND);
    assert_eq!((summary.requests, summary.offered_per_s, summary.achieved_per_s), (4, 2.0, 1.0));
    assert_eq!((summary.complete_share, summary.coverage_share), (0.25, 0.4375));
    assert_eq!(summary.errors, BTreeMap::from([("overloaded".to_owned(), 2)]));
    insta::assert_snapshot!(summary_table([("a".to_owned(), &summary)]));
}

/// Guards against an off-by-one in the median of an odd or even number of values.
#[test]
fn runs_are_summarized_as_median_min_and_max() {
    assert_eq!(median_min_max(vec![5.0, 1.0, 3.0]), (3.0, 1.0, 5.0));
    assert_eq!(median_min_max(vec![4.0, 1.0]), (2.5, 1.0, 4.0));
    assert_eq!(median_min_max(Vec::new()), (0.0, 0.0, 0.0));
    let mut runs: Vec<RunSummary> = [1, 3, 2]
        .map(|ms| {
            let mut stats = RunStats::new();
            let outcome = Outcome::Answered { complete: true, covered: 1.0 };
            stats.add(Duration::from_millis(ms), outcome);
            stats.summary(SECOND)
        })
        .into();
    runs[0].extra_load = Some(1.25);
    insta::assert_snapshot!(median_table("entry", &runs));
}

/// Target that delays the first request and blocks all others until it is done.
#[derive(Clone)]
struct StallingTarget(Arc<Mutex<()>>, Duration);

impl Target for StallingTarget {
    async fn send(&self, number: u64) -> Outcome {
        let _guard = self.0.lock().await;
        if number == 0 {
            tokio::time::sleep(self.1).await;
        }
        Outcome::Answered { complete: true, covered: 1.0 }
    }
}

/// Guards against coordinated omission: a stall must raise the latency of every request that was
/// due during the stall, not only of the stalled request.
#[test]
fn latency_is_measured_from_the_intended_send_time() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let arrivals = Arrivals::new(200.0, Duration::from_millis(400), 1_000, 3);
    let target = StallingTarget(Arc::default(), Duration::from_millis(300));
    let summary = runtime.block_on(run(target, arrivals, 1_000)).summary(SECOND);
    assert_eq!(summary.requests as f64, summary.achieved_per_s);
    assert!(summary.p50_ms > 50.0, "{summary:?}");
}

/// Guards against unbounded memory use when a target does not respond.
#[test]
fn requests_above_the_in_flight_limit_are_counted_but_not_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let arrivals = Arrivals::new(1_000.0, Duration::from_millis(200), 50, 3);
    let target = StallingTarget(Arc::default(), 2 * SECOND);
    let summary = runtime.block_on(run(target, arrivals, 4)).summary(SECOND);
    assert_eq!(summary.requests, 50);
    assert_eq!(summary.errors.get("client_limit"), Some(&46));
}

/// Guards against labels that are not summed, and against adding other counters whose name starts
/// with the same text.
#[test]
fn counters_are_summed_over_their_labels() {
    let metrics = "# TYPE a_total counter\na_total{shard=\"x y\"} 3\na_total{shard=\"z\"} 4\n\
                   a_total_more 9\na_totals 8\nb_total 5\n";
    assert_eq!(sum_counter(metrics, "a_total"), 7);
    assert_eq!(sum_counter(metrics, "b_total"), 5);
    assert_eq!(sum_counter(metrics, "c_total"), 0);
}

fn range(first: u64, last: u64) -> KeyRange {
    KeyRange::new(first, last).unwrap()
}

fn replica_report(
    port: u16,
    upstream: &str,
    held_ranges: &[(SnapshotId, KeyRange, u64)],
) -> ReplicaReport {
    let replica: ReplicaId = format!("{upstream}-{port}").into();
    let entry = InstanceEntry {
        replica: replica.clone(),
        upstream: upstream.into(),
        addr: ([127, 0, 0, 1], port).into(),
        data_centre: "maun".into(),
        state: InstanceState::Live,
    };
    let holdings = held_ranges.iter().map(|&(snapshot, range, records)| Holding {
        service: "desk".into(),
        snapshot,
        ranges: vec![RangeCount { range, records }],
    });
    let state = ReplicaState::Serving;
    let (load, holdings) = (Load::default(), holdings.collect());
    (entry, ReplicaStatus { replica, incarnation: 1, state, load, holdings })
}

/// Guards against a baseline that skips a shard or mixes snapshots.
#[test]
fn the_direct_client_uses_the_newest_complete_snapshot() {
    let (low, high) = (range(0, 99), range(100, u64::MAX));
    let shard = |range, upstream: &str| ShardConfig { range, upstream: upstream.into() };
    let service = ServiceConfig {
        name: "desk".into(),
        kind: ServiceKind::Search,
        shards: vec![shard(low, "a"), shard(high, "b")],
        timeout_ms: 100,
        coverage: CoverageMode::Partial,
        canary: Canary::Suspects,
    };
    let reports = [
        replica_report(1, "a", &[(8, low, 5), (7, low, 4)]),
        replica_report(2, "a", &[(7, low, 4)]),
        replica_report(3, "b", &[(7, high, 6)]),
        replica_report(4, "b", &[(8, range(100, 200), 2)]),
    ];
    let (snapshot, shards) = choose_snapshot(&service, &reports).unwrap();
    let found: Vec<_> = shards.iter().map(|it| (it.records, it.replicas.len())).collect();
    assert_eq!((snapshot, found), (7, vec![(4, 2), (6, 1)]));
    assert_eq!(choose_snapshot(&service, &reports[..2]), None);
}
