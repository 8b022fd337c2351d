//! Replicas that take requests and never reply.

use std::time::{Duration, Instant};

use rosemarybank_standins::{
    fleet::{
        Site,
        site::{RECORDS, SHARDS},
    },
    upstream::ReplicaFaults,
};

/// Searches before and after the replica falls silent.
const ROUNDS: u32 = 150;

/// Time that a caller allows, far above the 3 ms that a replica takes.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Guards against answers that wait for a replica which never replies, lack its records, or are
/// bought with more requests to upstreams than the budgets allow.
#[tokio::test]
async fn a_replica_that_never_replies_costs_no_answer() {
    let site = Site::with_instances(1).await;
    search(&site).await;
    let received = async || {
        site.maun_shards.received_requests().await + site.rundu_shards.received_requests().await
    };
    let before = received().await;
    let silent = ReplicaFaults { silent: true, ..ReplicaFaults::default() };
    // The replica of the instance's own data centre, which it prefers.
    site.maun_shards.set_replica_faults("order-desk-00-maun", silent).await;
    let slowest = search(&site).await;
    let sent = received().await - before;
    let wanted = u64::from(ROUNDS) * u64::from(SHARDS);
    println!("slowest answer {slowest:?}, {sent} requests for {wanted} shards");
    // 5% hedges, 10% retries, and what the buckets may have saved up.
    assert!(sent <= wanted * 115 / 100 + 20, "{sent} requests for {wanted} shards");
}

/// Searches one after the other and returns the time of the slowest.
async fn search(site: &Site) -> Duration {
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
