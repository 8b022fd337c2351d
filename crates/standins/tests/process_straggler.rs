//! Replicas that accept requests and never reply.

use std::time::{Duration, Instant};

use rosemarybank_standins::{
    fleet::{
        Site,
        site::{RECORDS, SHARDS},
    },
    upstream::ReplicaFaults,
};

/// Number of searches before and after the replica stops replying.
const ROUNDS: u32 = 150;

/// Timeout of a search, far above the 3 ms that a replica takes.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Guards against searches that wait for a replica that never replies, miss its records, or need
/// more requests to upstreams than the hedge and retry budgets allow.
#[tokio::test]
async fn a_replica_that_never_replies_delays_no_search() {
    let site = Site::with_instances(1).await;
    run_searches(&site).await;
    let received = async || {
        site.maun_shards.received_requests().await + site.rundu_shards.received_requests().await
    };
    let before = received().await;
    let silent = ReplicaFaults { silent: true, ..ReplicaFaults::default() };
    // The instance prefers this replica, which is in its own data centre.
    site.maun_shards.set_replica_faults("order-desk-00-maun", silent).await;
    let slowest = run_searches(&site).await;
    let sent = received().await - before;
    let shard_searches = u64::from(ROUNDS) * u64::from(SHARDS);
    println!("slowest answer {slowest:?}, {sent} requests for {shard_searches} shards");
    // 5% hedges, 10% retries, and 20 for tokens saved in the budgets.
    assert!(sent <= shard_searches * 115 / 100 + 20, "{sent} requests for {shard_searches} shards");
}

/// Runs searches in sequence and returns the longest latency.
async fn run_searches(site: &Site) -> Duration {
    let body = format!(r#"{{"query":"cherry","timeout_ms":{}}}"#, TIMEOUT.as_millis());
    let mut slowest = Duration::ZERO;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        let (status, answer) = site.instances[0].search(&body).await.unwrap();
        slowest = slowest.max(start.elapsed());
        assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
        assert_eq!(answer["coverage"]["records_covered"], RECORDS, "{answer}");
    }
    assert!(slowest < TIMEOUT, "{slowest:?}");
    slowest
}
