//! HTTP/2 API of the upstream stand-in.

mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rosemarybank_protocol::{
    key_range::KeyRange,
    upstream::{
        Load, ReplicaState, ReplicaStatus, ShardReply, UpstreamAction, UpstreamError,
        UpstreamErrorKind,
    },
};
use rosemarybank_standins::{
    client::HttpClient,
    upstream::{Effect, Network, Replica, ReplicaSpec, records::Records, start},
};
use support::{search, shard_request, spec, wait_for};

async fn start(spec: ReplicaSpec) -> Replica {
    start::start_replicas(vec![spec], 1).await.unwrap().remove(0)
}

/// Guards against a reply that reports keys as covered that the replica does not hold.
#[tokio::test]
async fn a_search_covers_only_the_ranges_of_the_replica() {
    let replica = start(spec(0)).await;
    let (status, body) = search(&HttpClient::h2(), &replica, shard_request(KeyRange::ALL)).await;
    assert_eq!(status, StatusCode::OK);
    let reply: ShardReply = serde_json::from_slice(&body).unwrap();
    let held = replica.spec.holdings[0].ranges[0];
    let records = Records { service: "order-desk", snapshot: 4, count: 1_000 };
    assert_eq!((reply.covered[0].range, reply.covered[0].records), (held, 500));
    assert_eq!(reply.hits, records.search(held, "cherry", 5));
    assert!(!reply.hits.is_empty());

    let other = KeyRange::new(u64::MAX - 5, u64::MAX).unwrap();
    let (status, _) = search(&HttpClient::h2(), &replica, shard_request(other)).await;
    assert_eq!(status, StatusCode::MISDIRECTED_REQUEST);
}

/// Guards against a replica that runs more requests than it has slots, or drops requests instead of
/// shedding them.
#[tokio::test]
async fn a_full_replica_sheds_requests() {
    let replica = start(spec(50)).await;
    let client = HttpClient::h2();
    let requests = (0..5).map(|_| {
        let (client, replica) = (client.clone(), replica.clone());
        tokio::spawn(async move { search(&client, &replica, shard_request(KeyRange::ALL)).await })
    });
    let mut shed = 0;
    for request in requests.collect::<Vec<_>>() {
        let (status, body) = request.await.unwrap();
        if status == StatusCode::OK {
            continue;
        }
        let error: UpstreamError = serde_json::from_slice(&body).unwrap();
        assert_eq!(error.error, UpstreamErrorKind::Shed);
        shed += 1;
    }
    assert_eq!(shed, 2, "2 slots and a queue of 1 accept 3 of 5 requests");
}

/// Guards against a slot that stays in use after the client has reset the stream.
#[tokio::test]
async fn a_reset_stream_frees_its_slot() {
    let replica = start(spec(60_000)).await;
    let client = HttpClient::h2();
    let request = {
        let (client, replica) = (client.clone(), replica.clone());
        tokio::spawn(async move { search(&client, &replica, shard_request(KeyRange::ALL)).await })
    };
    let load = |in_flight| Load { in_flight, queued: 0, slots: 2 };
    wait_for(|| replica.slots.load() == load(1)).await;
    request.abort();
    wait_for(|| replica.slots.load() == load(0)).await;
}

/// Guards against a request that starts after its deadline or keeps its slot beyond it.
#[tokio::test]
async fn a_deadline_ends_a_search() {
    let replica = start(spec(60_000)).await;
    let headers = [("x-deadline-ms", "20")];
    let body = shard_request(KeyRange::ALL);
    let client = HttpClient::h2();
    let reply = client.send(Method::POST, replica.spec.addr, "/search", &headers, body);
    assert_eq!(reply.await.unwrap().status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(replica.slots.load().in_flight, 0);

    let headers = [("x-deadline-ms", "0")];
    let body = shard_request(KeyRange::ALL);
    let reply = client.send(Method::POST, replica.spec.addr, "/search", &headers, body);
    let reply = reply.await.unwrap();
    assert_eq!(reply.status(), StatusCode::GATEWAY_TIMEOUT);
}

/// Guards against an action without an effect, and against effects of rejected actions.
#[tokio::test]
async fn an_action_is_recorded_once() {
    let replica = start(spec(0)).await;
    let client = HttpClient::h2();
    for service in ["lot-ledger", "order-desk"] {
        let action = UpstreamAction {
            service: service.into(),
            key: "k".into(),
            body: "100 cherry blanks".into(),
        };
        let body = serde_json::to_string(&action).unwrap();
        let reply = client.send(Method::POST, replica.spec.addr, "/actions", &[], body).await;
        let expected = if service == "lot-ledger" { 200 } else { 400 };
        assert_eq!(reply.unwrap().status(), expected);
    }
    let reply = client.send(Method::GET, replica.spec.addr, "/effects", &[], "").await.unwrap();
    let effects: Vec<Effect> = serde_json::from_slice(reply.body()).unwrap();
    assert_eq!(effects.len(), 1);
    assert_eq!((effects[0].key.as_str(), effects[0].service.as_str()), ("k", "lot-ledger"));
}

/// Guards against a replica that accepts work during its cold start, or more connections than its
/// limit.
#[tokio::test]
async fn cold_start_and_connection_limit_are_enforced() {
    let replica = start(ReplicaSpec { cold_start_ms: 60_000, connections: 1, ..spec(0) }).await;
    let client = HttpClient::h2();
    let (status, body) = search(&client, &replica, shard_request(KeyRange::ALL)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let error: UpstreamError = serde_json::from_slice(&body).unwrap();
    assert_eq!(error.error, UpstreamErrorKind::Cold);

    let reply = client.send(Method::GET, replica.spec.addr, "/status", &[], "").await.unwrap();
    let status: ReplicaStatus = serde_json::from_slice(reply.body()).unwrap();
    assert_eq!(status.state, ReplicaState::Cold);

    let second = HttpClient::h2();
    let refused = second.send(Method::GET, replica.spec.addr, "/status", &[], "").await;
    assert!(refused.is_err(), "a connection beyond the limit must be refused");
}

/// Guards against calls between data centres without the configured network delay.
#[tokio::test]
async fn calls_between_data_centres_are_delayed_both_ways() {
    let mut network = Network::default();
    network.add_data_centre("127.0.0.0".parse().unwrap(), "dc2".into());
    network.set_delay("dc1".into(), "dc2".into(), Duration::from_millis(30));
    let control = start::start_with_control(vec![spec(0)], network, 1).await.unwrap();
    let addr = control.replicas()[0].spec.addr;
    let client = HttpClient::h2();
    client.send(Method::GET, addr, "/status", &[], "").await.unwrap();
    let start = Instant::now();
    client.send(Method::GET, addr, "/status", &[], "").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(60), "{:?}", start.elapsed());
}
