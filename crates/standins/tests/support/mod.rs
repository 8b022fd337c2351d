//! Helpers shared by the tests of the stand-ins.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rosemarybank_protocol::{key_range::KeyRange, upstream::ShardRequest};
use rosemarybank_standins::{
    client::HttpClient,
    upstream::{HoldingSpec, Replica, ReplicaSpec, ServiceTime},
};

/// Builds the specification of replica `r0`, with the lower half of snapshot 4 of `order-desk` and
/// the ledger `lot-ledger`.
pub fn spec(service_time_ms: u64) -> ReplicaSpec {
    let lower_half = KeyRange::new(0, u64::MAX / 2).unwrap();
    ReplicaSpec {
        replica: "r0".into(),
        upstream: "u0".into(),
        data_centre: "dc1".into(),
        addr: "127.0.0.1:0".parse().unwrap(),
        slots: 2,
        queue: 1,
        connections: 2,
        connect_ms: 0,
        cold_start_ms: 0,
        service_time: ServiceTime { median_us: service_time_ms * 1_000, sigma: 0.0 },
        holdings: vec![HoldingSpec {
            service: "order-desk".into(),
            snapshot: 4,
            records: 1_000,
            ranges: vec![lower_half],
        }],
        ledgers: vec!["lot-ledger".into()],
    }
}

pub fn shard_request(range: KeyRange) -> String {
    let req = ShardRequest {
        service: "order-desk".into(),
        snapshot: 4,
        range,
        query: "cherry".into(),
        limit: 5,
    };
    serde_json::to_string(&req).unwrap()
}

pub async fn search(client: &HttpClient, replica: &Replica, body: String) -> (StatusCode, Vec<u8>) {
    let reply = client.send(Method::POST, replica.spec.addr, "/search", &[], body).await.unwrap();
    (reply.status(), reply.body().to_vec())
}

pub async fn wait_for(condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !condition() {
        assert!(Instant::now() < end, "condition not met within 5 s");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
