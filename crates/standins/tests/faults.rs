//! Fault injection into the stand-ins through their control APIs.

mod support;

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use rosemarybank_protocol::{
    key_range::KeyRange,
    platform::{InstanceEntry, InstanceState},
    upstream::{
        Load, ReplicaState, ReplicaStatus, UpstreamAction, UpstreamError, UpstreamErrorKind,
    },
};
use rosemarybank_standins::{
    client::HttpClient,
    platform::{
        LoseReplies, PlatformControl, PlatformCounts, PlatformFaults, PlatformService, Store,
    },
    server,
    upstream::{
        Command, ControlService, CrashPoint, CrashRule, Effect, FaultRequest, Network, Replica,
        ReplicaFaults, ReplicaSpec, StatusOverride, start,
    },
};
use support::{search, shard_request, spec, wait_for};
use tokio::{net::TcpListener, sync::watch};

struct Upstreams {
    replicas: Vec<Replica>,
    control: SocketAddr,
    client: HttpClient,
}

impl Upstreams {
    async fn start(specs: Vec<ReplicaSpec>) -> Upstreams {
        let control: ControlService =
            start::start_with_control(specs, Network::default(), 1).await.unwrap();
        let replicas = control.replicas().to_vec();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let signals = watch::Sender::default();
        tokio::spawn(server::serve(listener, signals.subscribe(), control));
        Upstreams { replicas, control: addr, client: HttpClient::h2() }
    }

    async fn set_faults(&self, faults: ReplicaFaults) {
        self.post_faults(FaultRequest { set: Some(faults), ..FaultRequest::default() }).await;
    }

    async fn run_command(&self, command: Command) {
        let replicas = vec!["r0".into()];
        self.post_faults(FaultRequest { replicas, run: vec![command], ..FaultRequest::default() })
            .await;
    }

    async fn post_faults(&self, request: FaultRequest) {
        let body = serde_json::to_vec(&request).unwrap();
        let reply = self.client.send(Method::POST, self.control, "/faults", &[], body).await;
        assert_eq!(reply.unwrap().status(), StatusCode::NO_CONTENT);
    }

    async fn effects(&self) -> usize {
        let reply = self.client.send(Method::GET, self.control, "/effects", &[], "").await.unwrap();
        serde_json::from_slice::<Vec<Effect>>(reply.body()).unwrap().len()
    }

    async fn status(&self) -> ReplicaStatus {
        let addr = self.replicas[0].spec.addr;
        let reply = self.client.send(Method::GET, addr, "/status", &[], "").await.unwrap();
        serde_json::from_slice(reply.body()).unwrap()
    }

    async fn submit_action(&self, text: &str) -> eyre::Result<StatusCode> {
        let action =
            UpstreamAction { service: "lot-ledger".into(), key: "k".into(), body: text.into() };
        let (addr, body) = (self.replicas[0].spec.addr, serde_json::to_vec(&action)?);
        Ok(self.client.send(Method::POST, addr, "/actions", &[], body).await?.status())
    }

    /// Sends a search that must be refused, and returns the reason.
    async fn refusal_reason(&self) -> UpstreamErrorKind {
        let body = shard_request(KeyRange::ALL);
        let (_, reply) = search(&self.client, &self.replicas[0], body).await;
        serde_json::from_slice::<UpstreamError>(&reply).unwrap().error
    }
}

/// Guards against a crash that keeps the connections, the work in progress or the incarnation.
#[tokio::test]
async fn a_matching_request_crashes_the_replica() {
    let upstreams = Upstreams::start(vec![spec(0)]).await;
    let before = upstreams.status().await;
    for (at, effects) in [(CrashPoint::BeforeEffect, 0), (CrashPoint::AfterEffect, 1)] {
        let crash = Some(CrashRule { text: "poison".into(), at });
        upstreams.set_faults(ReplicaFaults { crash, ..ReplicaFaults::default() }).await;
        assert!(upstreams.submit_action("a poison pill").await.is_err());
        assert_eq!(upstreams.effects().await, effects);
    }
    assert!(upstreams.status().await.incarnation > before.incarnation);
    assert_eq!(upstreams.submit_action("harmless").await.unwrap(), StatusCode::OK);
    assert_eq!(upstreams.effects().await, 2);
}

/// Guards against a draining replica that accepts new work or aborts work in progress.
#[tokio::test]
async fn a_draining_replica_finishes_its_work_and_accepts_no_more() {
    let upstreams = Upstreams::start(vec![spec(100)]).await;
    let replica = upstreams.replicas[0].clone();
    let running = {
        let (client, replica) = (upstreams.client.clone(), replica.clone());
        tokio::spawn(async move { search(&client, &replica, shard_request(KeyRange::ALL)).await })
    };
    wait_for(|| replica.slots.load().in_flight == 1).await;
    upstreams.run_command(Command::Drain).await;
    assert_eq!(upstreams.refusal_reason().await, UpstreamErrorKind::Draining);
    assert_eq!(running.await.unwrap().0, StatusCode::OK);
    assert_eq!(upstreams.status().await.state, ReplicaState::Draining);
}

/// Guards against standing faults that have no effect or cannot be cleared.
#[tokio::test]
async fn standing_faults_can_be_set_and_cleared() {
    let upstreams = Upstreams::start(vec![spec(0)]).await;
    let none = ReplicaFaults::default;
    upstreams.set_faults(ReplicaFaults { shed: true, ..none() }).await;
    assert_eq!(upstreams.refusal_reason().await, UpstreamErrorKind::Shed);

    let load = Some(Load { in_flight: 9, queued: 9, slots: 9 });
    let status_override = StatusOverride { state: Some(ReplicaState::Cold), load };
    upstreams.set_faults(ReplicaFaults { status_override, ..none() }).await;
    let status = upstreams.status().await;
    assert_eq!((status.state, Some(status.load)), (ReplicaState::Cold, load));

    upstreams.set_faults(ReplicaFaults { silent: true, ..none() }).await;
    let reply = tokio::time::timeout(Duration::from_millis(50), upstreams.status()).await;
    assert!(reply.is_err(), "a silent replica must not answer");
    upstreams.set_faults(ReplicaFaults { down: true, ..none() }).await;
    assert!(upstreams.submit_action("x").await.is_err());
    upstreams.set_faults(none()).await;
    assert_eq!(upstreams.submit_action("x").await.unwrap(), StatusCode::OK);
}

/// Guards against a status that is current although it should lag.
#[tokio::test]
async fn a_lagging_status_shows_the_earlier_state() {
    let upstreams = Upstreams::start(vec![spec(0)]).await;
    upstreams.set_faults(ReplicaFaults { status_lag_ms: 60_000, ..ReplicaFaults::default() }).await;
    assert_eq!(upstreams.status().await.state, ReplicaState::Serving);
    upstreams.run_command(Command::Drain).await;
    assert_eq!(upstreams.status().await.state, ReplicaState::Serving);
    upstreams.set_faults(ReplicaFaults::default()).await;
    assert_eq!(upstreams.status().await.state, ReplicaState::Draining);
}

/// Guards against keys on no replica or on two replicas after a range has moved.
#[tokio::test]
async fn ranges_move_and_snapshots_are_replaced() {
    let mut other = spec(0);
    other.replica = "r1".into();
    other.holdings.clear();
    let upstreams = Upstreams::start(vec![spec(0), other]).await;
    let [first, second] = &upstreams.replicas[..] else { panic!("two replicas expected") };
    let held = first.spec.holdings[0].ranges[0];
    let range = KeyRange::new(held.first(), held.last() / 4).unwrap();
    let (service, snapshot) = ("order-desk", 4);
    let to = vec!["r1".into()];
    upstreams
        .run_command(Command::MoveRange { service: service.into(), snapshot, range, to })
        .await;
    let remaining = KeyRange::new(range.last() + 1, held.last()).unwrap();
    assert_eq!(first.holding(service, snapshot).unwrap().ranges, [remaining]);
    assert_eq!(second.holding(service, snapshot).unwrap().ranges, [range]);

    let mut holding = first.spec.holdings[0].clone();
    holding.snapshot = 5;
    upstreams.run_command(Command::AddSnapshot { holding }).await;
    upstreams.run_command(Command::RetireSnapshot { service: service.into(), snapshot }).await;
    assert_eq!(first.snapshots(service), [5]);
    assert_eq!(upstreams.refusal_reason().await, UpstreamErrorKind::SnapshotRetired);
}

/// Guards against platform faults under which a write is applied although it should not be, or is
/// not applied although only its reply is lost.
#[tokio::test]
async fn platform_faults_have_their_effect() {
    let (addr, control) = start_platform().await;
    let client = HttpClient::http1();
    let set = async |faults: PlatformFaults| {
        let body = serde_json::to_vec(&faults).unwrap();
        client.send(Method::POST, control, "/faults", &[], body).await.unwrap();
    };
    let put = async |path: &str| client.send(Method::PUT, addr, path, &[], "1").await;
    let exists = async |path: &str| {
        let reply = client.send(Method::GET, addr, path, &[], "").await;
        reply.unwrap().status() == StatusCode::OK
    };
    let lose_replies = Some(LoseReplies { prefix: "claims/".into(), count: 1 });
    set(PlatformFaults { lose_replies, ..PlatformFaults::default() }).await;
    put("/objects/other").await.unwrap();
    assert!(put("/objects/claims/a").await.is_err());
    put("/objects/claims/b").await.unwrap();
    assert!(exists("/objects/claims/a").await);

    set(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
    assert!(put("/objects/c").await.is_err());
    set(PlatformFaults { silent: true, ..PlatformFaults::default() }).await;
    let reply = tokio::time::timeout(Duration::from_millis(50), put("/objects/c")).await;
    assert!(reply.is_err(), "a silent platform must not answer");
    set(PlatformFaults::default()).await;
    assert!(!exists("/objects/c").await);

    let reply = client.send(Method::GET, control, "/counts", &[], "").await.unwrap();
    let counts: PlatformCounts = serde_json::from_slice(reply.body()).unwrap();
    assert_eq!(counts, PlatformCounts { put: 4, get: 2, ..PlatformCounts::default() });
}

/// Guards against an instance list that shows changes without the configured delay.
#[tokio::test]
async fn changes_of_the_instance_list_are_delayed() {
    let (addr, control) = start_platform().await;
    let client = HttpClient::http1();
    let faults = PlatformFaults { instance_lag_ms: 1_000, ..PlatformFaults::default() };
    let body = serde_json::to_vec(&faults).unwrap();
    client.send(Method::POST, control, "/faults", &[], body).await.unwrap();
    let entry = InstanceEntry {
        replica: "r0".into(),
        upstream: "u0".into(),
        addr: "127.0.1.1:7000".parse().unwrap(),
        data_centre: "dc1".into(),
        state: InstanceState::Leaving,
    };
    let body = serde_json::to_vec(&[entry]).unwrap();
    client.send(Method::POST, control, "/instances", &[], body).await.unwrap();
    let list = client.send(Method::GET, addr, "/list?prefix=instances/", &[], "").await.unwrap();
    assert_eq!(list.body(), r#"{"revision":0,"objects":[]}"#);
    let path = "/watch?prefix=instances/&after=0&wait_ms=10000";
    let watch = client.send(Method::GET, addr, path, &[], "").await.unwrap();
    assert!(String::from_utf8_lossy(watch.body()).contains(r#""state":"leaving""#));
}

async fn start_platform() -> (SocketAddr, SocketAddr) {
    let service = PlatformService::new(Store::default());
    let signals = watch::Sender::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addrs = (listener.local_addr().unwrap(), control.local_addr().unwrap());
    tokio::spawn(server::serve(listener, signals.subscribe(), service.clone()));
    let handler = PlatformControl::new(service, signals);
    tokio::spawn(server::serve(control, watch::Sender::default().subscribe(), handler));
    addrs
}
