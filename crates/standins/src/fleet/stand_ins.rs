//! Stand-ins as processes.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use http::{Method, Response};
use rosemarybank_protocol::{key_range::KeyRange, platform::InstanceEntry};
use serde::Serialize;
use serde_json::Value;

use super::process::Process;
use crate::{
    client::HttpClient,
    platform::PlatformFaults,
    upstream::{
        Command, Effect, FaultRequest, HoldingSpec, ReplicaCounters, ReplicaFaults, ReplicaSpec,
    },
};

/// The platform as a process.
pub struct PlatformProcess {
    /// The process.
    pub process: Process,
    /// Address of the object API.
    pub addr: SocketAddr,
    control: SocketAddr,
}

impl PlatformProcess {
    /// Starts it without objects.
    pub async fn start(dir: &Path) -> PlatformProcess {
        let args = ["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"];
        let mut process = Process::start("standin-platform", &args, &dir.join("platform.log"));
        let addrs = process.wait_for_listeners().await;
        let (addr, control) = (find(&addrs, "platform"), find(&addrs, "control"));
        PlatformProcess { process, addr, control }
    }

    /// Replaces all faults.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        post(self.control, "/faults", &faults).await;
    }

    /// Changes the platform's own list of instances.
    pub async fn set_instances(&self, entries: &[InstanceEntry]) {
        post(self.control, "/instances", &entries).await;
    }

    /// Values of all objects below a prefix, whatever the faults.
    pub async fn list_values(&self, prefix: &str) -> Vec<Value> {
        let reply = send(Method::GET, self.control, &format!("/list?prefix={prefix}"), "").await;
        let list: Value = parse(&reply);
        let objects = list["objects"].as_array().expect("a list has objects");
        objects.iter().map(|it| it["value"].clone()).collect()
    }
}

/// Replicas in one process.
pub struct UpstreamProcess {
    /// The process.
    pub process: Process,
    /// The platform's list entries of its replicas.
    pub entries: Vec<InstanceEntry>,
    control: SocketAddr,
}

impl UpstreamProcess {
    /// Starts replicas; `name` names their files.
    pub async fn start(dir: &Path, name: &str, replicas: &[ReplicaSpec]) -> UpstreamProcess {
        let file = dir.join(format!("{name}.json"));
        let text = serde_json::to_vec(replicas).expect("specs have no map with non-text keys");
        fs::write(&file, text).expect("the directory is writable");
        let entries = dir.join(format!("{name}-instances.json"));
        let (file, out) = (file.to_string_lossy(), entries.to_string_lossy());
        let args = ["--replicas", &file, "--control", "127.0.0.1:0", "--instances-out", &out];
        let log = dir.join(format!("{name}.log"));
        let mut process = Process::start("standin-upstream", &args, &log);
        let control = find(&process.wait_for_listeners().await, "control");
        let entries = fs::read(&entries).expect("the entries are written before `ready`");
        let entries = serde_json::from_slice(&entries).expect("the entries are JSON");
        UpstreamProcess { process, entries, control }
    }

    /// Replaces the standing faults of all its replicas.
    pub async fn set_faults(&self, faults: ReplicaFaults) {
        let order = FaultRequest { set: Some(faults), ..FaultRequest::default() };
        post(self.control, "/faults", &order).await;
    }

    /// Replaces the standing faults of one of its replicas.
    pub async fn set_replica_faults(&self, replica: &str, faults: ReplicaFaults) {
        let order = FaultRequest {
            replicas: vec![replica.into()],
            set: Some(faults),
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &order).await;
    }

    /// Drops a snapshot of `order-desk` at one of its replicas.
    pub async fn retire_snapshot(&self, replica: &str, snapshot: u64) {
        let service = "order-desk".into();
        let order = FaultRequest {
            replicas: vec![replica.into()],
            run: vec![Command::RetireSnapshot { service, snapshot }],
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &order).await;
    }

    /// Moves a range of a snapshot of `order-desk` from one of its replicas to another.
    pub async fn move_range(&self, from: &str, to: &str, snapshot: u64, range: KeyRange) {
        let service = "order-desk".into();
        let command = Command::MoveRange { service, snapshot, range, to: vec![to.into()] };
        let order = FaultRequest {
            replicas: vec![from.into()],
            run: vec![command],
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &order).await;
    }

    /// Runs a command on all its replicas.
    pub async fn run_command(&self, command: Command) {
        let order = FaultRequest { run: vec![command], ..FaultRequest::default() };
        post(self.control, "/faults", &order).await;
    }

    /// Adds a snapshot to one of its replicas, or replaces it.
    pub async fn add_snapshot(&self, replica: &str, holding: HoldingSpec) {
        let order = FaultRequest {
            replicas: vec![replica.into()],
            run: vec![Command::AddSnapshot { holding }],
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &order).await;
    }

    /// Effects of its actions.
    pub async fn effects(&self) -> Vec<Effect> {
        parse(&send(Method::GET, self.control, "/effects", "").await)
    }

    /// Requests for work that its replicas have received.
    pub async fn received_requests(&self) -> u64 {
        self.counters().await.iter().map(|it| it.received).sum()
    }

    /// Longest time between a drain and a request for work that came after it, of all its replicas.
    pub async fn last_work_after_drain(&self) -> Duration {
        let all = self.counters().await;
        let latest = all.iter().map(|it| it.last_work_after_drain_ms).max();
        Duration::from_millis(latest.unwrap_or(0))
    }

    /// Crashes of its replicas.
    pub async fn crash_count(&self) -> u64 {
        self.counters().await.iter().map(|it| it.crashes).sum()
    }

    async fn counters(&self) -> Vec<ReplicaCounters> {
        let all: BTreeMap<String, ReplicaCounters> =
            parse(&send(Method::GET, self.control, "/counters", "").await);
        all.into_values().collect()
    }

    /// Requests that its replicas execute or queue now.
    pub async fn active_requests(&self) -> u64 {
        let all: Vec<Value> = parse(&send(Method::GET, self.control, "/replicas", "").await);
        let load = |it: &Value| it["load"]["in_flight"].as_u64().zip(it["load"]["queued"].as_u64());
        all.iter().filter_map(load).map(|(in_flight, queued)| in_flight + queued).sum()
    }
}

fn find(addrs: &[(String, SocketAddr)], name: &str) -> SocketAddr {
    let found = addrs.iter().find(|(it, _)| it == name);
    found.unwrap_or_else(|| panic!("the process does not listen for {name}")).1
}

async fn post(addr: SocketAddr, path: &str, body: &impl Serialize) {
    let body = serde_json::to_vec(body).expect("orders have no map with non-text keys");
    let reply = send(Method::POST, addr, path, body).await;
    assert!(reply.status().is_success(), "{path}: {:?}", reply.body());
}

async fn send(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Response<Bytes> {
    let reply = HttpClient::http1().send(method, addr, path, &[], body).await;
    reply.unwrap_or_else(|err| panic!("{addr}{path}: {err:#}"))
}

fn parse<T: serde::de::DeserializeOwned>(reply: &Response<Bytes>) -> T {
    serde_json::from_slice(reply.body()).expect("the reply is JSON of the documented form")
}
