//! Test environment of the daemon: stand-ins, a configuration bundle and instances.
#![allow(dead_code, reason = "no test file uses all of it")]

pub mod process;

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicU8, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, Response};
use rosemarybank_bundle::{KeyPair, sign};
use rosemarybank_daemon::{
    daemon::{Daemon, Notice},
    settings,
    stop::{self, StopOutcome},
};
use rosemarybank_protocol::{key_range::KeyRange, platform::CONFIG_PATH};
use rosemarybank_standins::{
    client::HttpClient,
    platform::{PlatformService, Store, faults::PlatformFaults},
    server,
    upstream::{
        ControlService, HoldingSpec, Network, ReplicaSpec, ServiceTime,
        faults::{FaultRequest, ReplicaFaults},
        start,
    },
};
use serde_json::Value;
use slog::{Discard, Logger, o};
use tokio::{runtime::Runtime, sync::watch};

/// Token of the caller `desk`.
pub const TOKEN: &str = "desk-token";

/// Configuration with the service `stock` in two shards, the ledger `lots`, and the service
/// `hidden`, which the caller `desk` may not use.
pub const BUNDLE: &str = "format: 1
services:
  - name: stock
    kind: search
    timeout_ms: 2000
    shards:
      - { range: { first: 0000000000000000, last: 7fffffffffffffff }, upstream: stock-low }
      - { range: { first: 8000000000000000, last: ffffffffffffffff }, upstream: stock-high }
  - name: hidden
    kind: search
    timeout_ms: 2000
    shards:
      - { range: { first: 0000000000000000, last: ffffffffffffffff }, upstream: stock-low }
  - name: lots
    kind: ledger
    timeout_ms: 2000
    shards:
      - { range: { first: 0000000000000000, last: ffffffffffffffff }, upstream: lot-ledger }
upstreams:
  - { name: stock-low, slots: 2, connections: 25 }
  - { name: stock-high, slots: 2, connections: 25 }
  - { name: lot-ledger, slots: 2, connections: 100 }
callers:
  - name: desk
    token_sha256: TOKEN_SHA256
    priority: normal
    services: [stock, lots]
";

/// Stand-ins for the platform and the upstreams, and a client.
pub struct TestEnv {
    /// Runs the stand-ins and the test's client.
    pub runtime: Runtime,
    /// Address of the platform's API.
    pub platform: SocketAddr,
    /// The platform, and the channel that controls its connections.
    platform_control: (PlatformService, watch::Sender<server::ConnSignals>),
    /// Controls the replicas, which are listed with the ledgers last.
    pub upstreams: ControlService,
    /// Key that signs bundles.
    pub key: KeyPair,
    /// HTTP/1.1 client.
    pub client: HttpClient,
}

impl TestEnv {
    /// Starts the stand-ins with [`BUNDLE`] as configuration version 1.
    pub fn start() -> TestEnv {
        let env = TestEnv::start_without_bundle();
        env.roll_out(1, &bundle());
        env
    }

    /// Starts the stand-ins without a configuration.
    pub fn start_without_bundle() -> TestEnv {
        let runtime = Runtime::new().unwrap();
        let (platform, platform_control, upstreams) = runtime.block_on(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let signals = watch::Sender::default();
            let service = PlatformService::new(Store::default());
            tokio::spawn(server::serve(listener, signals.subscribe(), service.clone()));
            (
                addr,
                (service, signals),
                start::start_with_control(replica_specs(), Network::default(), 1).await.unwrap(),
            )
        });
        let key = KeyPair::generate("ops-1").unwrap();
        let client = HttpClient::http1();
        let env = TestEnv { runtime, platform, platform_control, upstreams, key, client };
        for replica in env.upstreams.replicas() {
            let entry = start::instance_entry(&replica.spec);
            let body = serde_json::to_string(&entry).unwrap();
            env.put(&format!("instances/{}", entry.replica), body);
        }
        env
    }

    /// Writes an object to the platform's store.
    pub fn put(&self, path: &str, body: String) {
        let path = format!("/objects/{path}");
        let reply = self.send(Method::PUT, self.platform, &path, &[], body);
        assert!(reply.status().is_success(), "{reply:?}");
    }

    /// Signs a bundle and stores it as the current configuration.
    pub fn roll_out(&self, version: u64, text: &str) {
        let signed = sign(&self.key, version, text).unwrap();
        self.put(CONFIG_PATH, serde_json::to_string(&signed).unwrap());
    }

    /// Sends a request and returns its response.
    pub fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response<Bytes> {
        self.runtime.block_on(self.client.send(method, addr, path, headers, body)).unwrap()
    }

    /// Sends a request with the token of the caller `desk`. Returns the status and the JSON body of
    /// the response.
    pub fn send_as_desk(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, Value) {
        let token = format!("Bearer {TOKEN}");
        let mut all_headers = vec![("authorization", token.as_str())];
        all_headers.extend(headers);
        let reply = self.send(method, addr, path, &all_headers, body.to_owned());
        (reply.status().as_u16(), serde_json::from_slice(reply.body()).unwrap())
    }

    /// Starts an instance and waits until it is ready.
    pub fn start_instance(&self) -> Instance {
        let instance = self.start_unready_instance("entry-1", "127.0.0.1:0", &[]);
        self.wait_until_ready(&instance);
        instance
    }

    /// Starts an instance that accepts at most `actions` actions at a time, and waits until it is
    /// ready.
    pub fn start_instance_with_action_limit(&self, actions: u32) -> Instance {
        let mut settings = self.settings("entry-1", "127.0.0.1:0", &[], "");
        settings.callers.actions = actions;
        let instance = Instance::start(settings);
        self.wait_until_ready(&instance);
        instance
    }

    /// Starts an instance with additional settings and waits until it is ready.
    pub fn start_instance_with_settings(&self, extra: &str) -> Instance {
        let instance = Instance::start(self.settings("entry-1", "127.0.0.1:0", &[], extra));
        self.wait_until_ready(&instance);
        instance
    }

    /// Starts an instance without waiting until it is ready.
    pub fn start_unready_instance(
        &self,
        name: &str,
        peer_addr: &str,
        others: &[SocketAddr],
    ) -> Instance {
        Instance::start(self.settings(name, peer_addr, others, ""))
    }

    fn settings(
        &self,
        name: &str,
        peer_addr: &str,
        others: &[SocketAddr],
        extra: &str,
    ) -> settings::Settings {
        let public = self.key.public_key();
        let others: Vec<_> = others.iter().map(ToString::to_string).collect();
        let text = format!(
            "instance: {name}
data_centre: maun
callers: {{ addr: 127.0.0.1:0, head_timeout_ms: 1000, body_timeout_ms: 1000 }}
peers: {{ addr: {peer_addr}, others: [{}] }}
admin: {{ addr: 127.0.0.1:0 }}
platform: {{ addr: {}, timeout_ms: 500, watch_wait_ms: 5000 }}
trusted_keys: [{{ name: {}, public_key: {} }}]
{extra}
",
            others.join(", "),
            self.platform,
            public.name,
            public.public_key,
        );
        settings::parse(&text).unwrap()
    }

    /// Waits until the instance reports that it is ready and its searches cover all shards.
    pub fn wait_until_ready(&self, instance: &Instance) {
        eventually("the instance is ready", || {
            let reply = self.send(Method::GET, instance.daemon.admin_addr, "/ready", &[], "");
            reply.status().is_success()
        });
        eventually("searches are complete", || {
            let (status, body) = self.send_as_desk(
                Method::POST,
                instance.daemon.callers_addr,
                "/v1/services/stock/search",
                &[],
                r#"{"query":"cherry"}"#,
            );
            status == 200 && body["complete"] == true
        });
    }

    /// Replaces the injected faults of the platform.
    pub fn set_platform_faults(&self, faults: PlatformFaults) {
        let (service, orders) = &self.platform_control;
        service.faults().set(faults);
        orders.send_modify(|it| it.resets += 1);
    }

    /// Replaces the injected faults of replicas; of all replicas if the list is empty.
    pub fn set_upstream_faults(&self, replicas: &[&str], faults: ReplicaFaults) {
        let replicas = replicas.iter().map(|it| (*it).into()).collect();
        let order = FaultRequest { replicas, set: Some(faults), run: Vec::new() };
        self.upstreams.apply(&order).unwrap();
    }

    /// Returns the number of actions that took effect.
    pub fn effect_count(&self) -> usize {
        self.upstreams.replicas()[0].effects.all().len()
    }
}

/// Returns [`BUNDLE`] with the hash of [`TOKEN`].
pub fn bundle() -> String {
    use sha2::{Digest, Sha256};
    let hash: String = Sha256::digest(TOKEN).iter().map(|it| format!("{it:02x}")).collect();
    BUNDLE.replace("TOKEN_SHA256", &hash)
}

/// Returns a new idempotency key.
pub fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Returns free addresses on a loopback IP that no other test uses. On 127.0.0.1, a port that was
/// just free may become the source port of some outgoing connection before the test binds it.
pub fn free_addrs(n: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 0x3f), low, NEXT.fetch_add(1, Ordering::Relaxed));
    let listeners: Vec<_> = (0..n).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
    listeners.iter().map(|it| it.local_addr().unwrap()).collect()
}

/// Waits for a condition, and panics if it does not hold within ten seconds.
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "not reached in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// An instance that runs in this process.
pub struct Instance {
    /// Threads of the instance.
    pub daemon: Daemon,
    /// Sends notices, such as a request to stop.
    pub notices: mpsc::Sender<Notice>,
    received_notices: mpsc::Receiver<Notice>,
    stop: settings::StopSettings,
}

impl Instance {
    fn start(settings: settings::Settings) -> Instance {
        let (notices, received_notices) = mpsc::channel();
        let stop = settings.stop.clone();
        let log = Logger::root(Discard, o!());
        let daemon = Daemon::start(settings, &log, &notices).unwrap();
        Instance { daemon, notices, received_notices, stop }
    }

    /// Stops the instance in the same way as a signal does.
    pub fn stop(self) -> StopOutcome {
        self.notices.send(Notice::StopRequested).unwrap();
        let log = Logger::root(Discard, o!());
        stop::run_until_stopped(&self.daemon, &self.stop, &self.received_notices, &log)
    }
}

fn replica_specs() -> Vec<ReplicaSpec> {
    let spec = |name: &str, upstream: &str| ReplicaSpec {
        replica: name.into(),
        upstream: upstream.into(),
        data_centre: "maun".into(),
        addr: "127.0.0.1:0".parse().unwrap(),
        slots: 2,
        queue: 4,
        connections: 25,
        connect_ms: 0,
        cold_start_ms: 0,
        service_time: ServiceTime { median_us: 1_000, sigma: 0.1 },
        holdings: Vec::new(),
        ledgers: Vec::new(),
    };
    let search_replica = |name: &str, upstream: &str, first: u64, last: u64| ReplicaSpec {
        holdings: [("stock", KeyRange::new(first, last).unwrap()), ("hidden", KeyRange::ALL)]
            .map(|(service, range)| HoldingSpec {
                service: service.into(),
                snapshot: 7,
                records: 1_000,
                ranges: vec![range],
            })
            .into(),
        ..spec(name, upstream)
    };
    let midpoint = 1 << 63;
    let ledger_replica =
        |name: &str| ReplicaSpec { ledgers: vec!["lots".into()], ..spec(name, "lot-ledger") };
    vec![
        search_replica("stock-low-1", "stock-low", 0, midpoint - 1),
        search_replica("stock-low-2", "stock-low", 0, midpoint - 1),
        search_replica("stock-high-1", "stock-high", midpoint, u64::MAX),
        search_replica("stock-high-2", "stock-high", midpoint, u64::MAX),
        ledger_replica("lots-1"),
        ledger_replica("lots-2"),
    ]
}
