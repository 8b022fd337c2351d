//! Stand-ins that run as child processes.

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

/// The platform stand-in as a child process.
pub struct PlatformProcess {
    /// The child process.
    pub process: Process,
    /// Address of the object API.
    pub addr: SocketAddr,
    control: SocketAddr,
}

impl PlatformProcess {
    /// Starts the platform with an empty object store.
    pub async fn start(dir: &Path) -> PlatformProcess {
        let args = ["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"];
        let mut process = Process::start("standin-platform", &args, &dir.join("platform.log"));
        let addrs = process.wait_for_listeners().await;
        let (addr, control) = (find_addr(&addrs, "platform"), find_addr(&addrs, "control"));
        PlatformProcess { process, addr, control }
    }

    /// Replaces all faults of the platform.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        post(self.control, "/faults", &faults).await;
    }

    /// Adds or replaces entries in the platform's list of upstream instances. The platform stores
    /// them after its reply, delayed by [`PlatformFaults::instance_lag_ms`].
    pub async fn set_instances(&self, entries: &[InstanceEntry]) {
        post(self.control, "/instances", &entries).await;
    }

    /// Values of all objects under `prefix`, read from the control API, which faults do not affect.
    pub async fn list_values(&self, prefix: &str) -> Vec<Value> {
        let reply = send(Method::GET, self.control, &format!("/list?prefix={prefix}"), "").await;
        let list: Value = parse_json(&reply);
        let objects = list["objects"].as_array().expect("a list should have the field `objects`");
        objects.iter().map(|it| it["value"].clone()).collect()
    }
}

/// Upstream replicas that run in one child process.
pub struct UpstreamProcess {
    /// The child process.
    pub process: Process,
    /// Entries of its replicas for the platform's list of instances.
    pub entries: Vec<InstanceEntry>,
    control: SocketAddr,
}

impl UpstreamProcess {
    /// Starts a process with these replicas. The names of its files in `dir` begin with `name`.
    pub async fn start(dir: &Path, name: &str, replicas: &[ReplicaSpec]) -> UpstreamProcess {
        let replicas_file = dir.join(format!("{name}.json"));
        let text = serde_json::to_vec(replicas).expect("replica specs should be serializable");
        fs::write(&replicas_file, text).expect("the directory should be writable");
        let entries_file = dir.join(format!("{name}-instances.json"));
        let (replicas_arg, entries_arg) =
            (replicas_file.to_string_lossy(), entries_file.to_string_lossy());
        let args = [
            "--replicas",
            &replicas_arg,
            "--control",
            "127.0.0.1:0",
            "--instances-out",
            &entries_arg,
        ];
        let log = dir.join(format!("{name}.log"));
        let mut process = Process::start("standin-upstream", &args, &log);
        let control = find_addr(&process.wait_for_listeners().await, "control");
        let entries =
            fs::read(&entries_file).expect("the entries should be written before `ready`");
        let entries = serde_json::from_slice(&entries).expect("the entries should be valid JSON");
        UpstreamProcess { process, entries, control }
    }

    /// Replaces the faults of all replicas of the process.
    pub async fn set_faults(&self, faults: ReplicaFaults) {
        let request = FaultRequest { set: Some(faults), ..FaultRequest::default() };
        post(self.control, "/faults", &request).await;
    }

    /// Replaces the faults of one replica.
    pub async fn set_replica_faults(&self, replica: &str, faults: ReplicaFaults) {
        let request = FaultRequest {
            replicas: vec![replica.into()],
            set: Some(faults),
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &request).await;
    }

    /// Removes a snapshot of `order-desk` from one replica.
    pub async fn retire_snapshot(&self, replica: &str, snapshot: u64) {
        let service = "order-desk".into();
        let request = FaultRequest {
            replicas: vec![replica.into()],
            run: vec![Command::RetireSnapshot { service, snapshot }],
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &request).await;
    }

    /// Moves a key range of a snapshot of `order-desk` from one replica of the process to another.
    pub async fn move_range(&self, from: &str, to: &str, snapshot: u64, range: KeyRange) {
        let service = "order-desk".into();
        let command = Command::MoveRange { service, snapshot, range, to: vec![to.into()] };
        let request = FaultRequest {
            replicas: vec![from.into()],
            run: vec![command],
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &request).await;
    }

    /// Runs a command on all replicas of the process.
    pub async fn run_command(&self, command: Command) {
        let request = FaultRequest { run: vec![command], ..FaultRequest::default() };
        post(self.control, "/faults", &request).await;
    }

    /// Adds a snapshot to one replica, or replaces it.
    pub async fn add_snapshot(&self, replica: &str, holding: HoldingSpec) {
        let request = FaultRequest {
            replicas: vec![replica.into()],
            run: vec![Command::AddSnapshot { holding }],
            ..FaultRequest::default()
        };
        post(self.control, "/faults", &request).await;
    }

    /// Effects of all actions that its replicas ran.
    pub async fn effects(&self) -> Vec<Effect> {
        parse_json(&send(Method::GET, self.control, "/effects", "").await)
    }

    /// Number of searches and actions that its replicas have received.
    pub async fn received_requests(&self) -> u64 {
        self.counters().await.iter().map(|it| it.received).sum()
    }

    /// Longest time, over all its replicas, between the last drain and the last search or action
    /// received after it; zero if none was received.
    pub async fn last_work_after_drain(&self) -> Duration {
        let all = self.counters().await;
        let longest = all.iter().map(|it| it.last_work_after_drain_ms).max();
        Duration::from_millis(longest.unwrap_or(0))
    }

    /// Number of crashes of its replicas.
    pub async fn crash_count(&self) -> u64 {
        self.counters().await.iter().map(|it| it.crashes).sum()
    }

    async fn counters(&self) -> Vec<ReplicaCounters> {
        let all: BTreeMap<String, ReplicaCounters> =
            parse_json(&send(Method::GET, self.control, "/counters", "").await);
        all.into_values().collect()
    }

    /// Number of requests that its replicas are executing or queueing.
    pub async fn active_requests(&self) -> u64 {
        let all: Vec<Value> = parse_json(&send(Method::GET, self.control, "/replicas", "").await);
        let load = |it: &Value| it["load"]["in_flight"].as_u64().zip(it["load"]["queued"].as_u64());
        all.iter().filter_map(load).map(|(in_flight, queued)| in_flight + queued).sum()
    }
}

fn find_addr(addrs: &[(String, SocketAddr)], name: &str) -> SocketAddr {
    let found = addrs.iter().find(|(it, _)| it == name);
    found.unwrap_or_else(|| panic!("the process has not printed an address for {name}")).1
}

async fn post(addr: SocketAddr, path: &str, body: &impl Serialize) {
    let body = serde_json::to_vec(body).expect("request bodies should be serializable");
    let reply = send(Method::POST, addr, path, body).await;
    assert!(reply.status().is_success(), "POST {path} failed: {:?}", reply.body());
}

async fn send(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Response<Bytes> {
    let reply = HttpClient::http1().send(method, addr, path, &[], body).await;
    reply.unwrap_or_else(|err| panic!("request to {addr}{path} failed: {err:#}"))
}

fn parse_json<T: serde::de::DeserializeOwned>(reply: &Response<Bytes>) -> T {
    serde_json::from_slice(reply.body()).expect("the reply should be JSON of the expected type")
}
