//! A store, replicas and instances in platform mode.
#![allow(dead_code, reason = "no test file uses all of it")]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use rosemarybank_standins::platform_mode::{
    Behaviour, Caller, Execution, Instance, Replica, Response, Store, config, replica::records,
};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Timeout of any condition that a test waits for.
pub const WAIT: Duration = Duration::from_secs(10);

/// A store and replicas, and the directory of the instances under test.
pub struct Cluster {
    pub dir: TempDir,
    pub store: Store,
    pub runs: Arc<Mutex<Vec<Execution>>>,
    pub replicas: Vec<Replica>,
}

impl Cluster {
    /// Starts services `orders` and `s1` to `s4` with two replicas each, and a first configuration.
    pub fn new() -> Cluster {
        let store = Store::start().unwrap();
        let runs = Arc::default();
        let mut cluster =
            Cluster { dir: TempDir::new().unwrap(), store, runs, replicas: Vec::new() };
        for service in ["orders", "s1", "s2", "s3", "s4"] {
            for (number, data_centre) in [(1, "a"), (2, "b")] {
                cluster.add_replica(&format!("{service}-{number}"), service, data_centre);
            }
        }
        cluster.configure(1, json!([]));
        cluster
    }

    pub fn add_replica(&mut self, id: &str, service: &str, data_centre: &str) {
        let replica = Replica::start(id, service, data_centre, &self.store, &self.runs).unwrap();
        self.replicas.push(replica);
    }

    /// Writes a configuration with routes for searches, reads and orders, and further routes.
    pub fn configure(&self, version: u64, further: Value) {
        let further = further.as_array().unwrap().clone();
        let spec = config::spec(version, &["s1", "s2", "s3", "s4"], "orders", further);
        self.store.put("config", "main", spec);
    }

    pub fn start_instance(&self, name: &str, data_centre: &str) -> Instance {
        self.start_instance_at(&self.store, name, data_centre)
    }

    /// Starts an instance that calls the store at an address of its own.
    pub fn start_instance_at(&self, store: &Store, name: &str, data_centre: &str) -> Instance {
        let (binary, addr) = (env!("CARGO_BIN_EXE_rosemarybankd").as_ref(), store.addr());
        let mut instance = Instance::new(name, data_centre, self.dir.path(), binary, addr).unwrap();
        instance.start().unwrap();
        instance
    }

    pub fn start_ready_instance(&self) -> Instance {
        let instance = self.start_instance("m1", "a");
        assert!(instance.wait_ready(WAIT));
        instance
    }

    pub fn replica(&self, id: &str) -> &Replica {
        self.replicas.iter().find(|it| it.id() == id).unwrap()
    }

    pub fn set_behaviour(&self, service: &str, behaviour: Behaviour) {
        for it in self.replicas.iter().filter(|it| it.service() == service) {
            it.set_behaviour(behaviour);
        }
    }

    pub fn set_service_time(&self, service: &str, service_time: Duration) {
        for it in self.replicas.iter().filter(|it| it.service() == service) {
            it.set_service_time(service_time);
        }
    }

    /// Returns the executions of a request.
    pub fn runs(&self, request: &str) -> Vec<Execution> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|it| it.request_id == request).cloned().collect()
    }
}

/// Prints the logs of the instances when a test fails.
impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let files = std::fs::read_dir(self.dir.path()).into_iter().flatten().flatten();
        for path in
            files.map(|it| it.path()).filter(|it| it.extension().is_some_and(|it| it == "log"))
        {
            let log = std::fs::read_to_string(&path);
            eprintln!("{}:\n{}", path.display(), log.unwrap_or_else(|err| err.to_string()));
        }
    }
}

pub fn call(instance: &Instance, method: &str, path: &str, id: &str) -> Response {
    Caller::connect(instance.client_addr()).unwrap().call(method, path, id, 1_500).unwrap()
}

/// Asserts that a response is the complete response of a replica to this request.
pub fn assert_relayed(answer: &Response, id: &str) {
    assert_eq!(answer.status(), 200, "{answer:?}");
    let stamp = answer.field("x-rosemarybank-server-stamp").unwrap();
    let (replica, request) = stamp.split_once('.').unwrap();
    assert_eq!(request, id);
    assert_eq!(answer.body, records(replica, id));
}
