//! Processes and stand-ins of a run.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rosemarybank_standins::platform_mode::{Execution, Instance, Replica, Store, config};

use crate::{
    plan::{Mode, RunSize},
    proxy::Proxy,
};

/// Services that act as the shards of a search.
pub const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

/// Service that handles the routes other than search.
pub const ORDERS_SERVICE: &str = "orders";

/// Number of replicas of each service.
const REPLICAS_PER_SERVICE: usize = 3;

/// Data centres, to which instances and replicas are assigned in turn.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Timeout of the first start of an instance.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Budget of extra sends in the settings of an instance: a ratio of the requests, and a constant
/// slack.
pub const EXTRA_SEND_BUDGET: (f32, f32) = (0.2, 50.0);

/// Memory in MB of an instance in [`Mode::Hostile`] runs.
pub const HOSTILE_MEMORY_MB: u64 = 64;

/// Memory in MB of an instance in other runs.
pub const USUAL_MEMORY_MB: u64 = 260;

/// Descriptors of an instance.
const FD_LIMIT: u64 = 4_100;

/// A replica and the proxy in front of it.
#[derive(Debug)]
pub struct Backend {
    /// Stand-in replica.
    pub replica: Replica,
    /// Proxy through which instances reach the replica.
    pub link: Proxy,
}

/// All processes and stand-ins of a run.
#[derive(Debug)]
pub struct Site {
    /// Stand-in for the platform's store.
    pub store: Store,
    /// Proxies to the store, one for each instance.
    pub store_links: Vec<Proxy>,
    /// Instances of the tier.
    pub instances: Vec<Instance>,
    /// Replicas with their proxies.
    pub backends: Vec<Backend>,
    /// Requests that the replicas executed.
    pub runs: Arc<Mutex<Vec<Execution>>>,
    /// Configuration versions and the times at which they were written to the store.
    pub versions: Vec<(u64, Instant)>,
    replicas_started: usize,
    /// Memory of each instance in MB.
    pub memory_mb: u64,
    /// Connections that each replica accepts.
    max_connections: u32,
}

impl Site {
    /// Starts all processes and stand-ins and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process or stand-in does not start.
    pub fn start(size: RunSize, dir: &Path, binary: &Path) -> io::Result<Site> {
        let store = Store::start()?;
        let (memory_mb, max_connections) = match size.mode {
            Mode::Usual => (USUAL_MEMORY_MB, 40),
            Mode::Hostile => (HOSTILE_MEMORY_MB, 400),
        };
        let mut site = Site {
            store,
            store_links: Vec::new(),
            instances: Vec::new(),
            backends: Vec::new(),
            runs: Arc::default(),
            versions: Vec::new(),
            replicas_started: 0,
            memory_mb,
            max_connections,
        };
        for service in SHARDS.into_iter().chain([ORDERS_SERVICE]) {
            for _ in 0..REPLICAS_PER_SERVICE {
                let backend = site.new_backend(service)?;
                site.backends.push(backend);
            }
        }
        site.publish_next_config();
        for number in 0..size.instances {
            let link = Proxy::start(site.store.addr())?;
            let name = format!("m{number}");
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            let mut instance = Instance::new(&name, data_centre, dir, binary, link.addr())?;
            instance.set_limits(site.memory_mb, FD_LIMIT)?;
            instance.start()?;
            site.store_links.push(link);
            site.instances.push(instance);
        }
        for it in &site.instances {
            if !it.wait_ready(START_TIMEOUT) {
                let log = std::fs::read_to_string(it.log_path())?;
                let reason = format!(
                    "instance did not become ready; log {}:\n{log}",
                    it.log_path().display()
                );
                return Err(io::Error::other(reason));
            }
        }
        Ok(site)
    }

    /// Returns the client-facing addresses of the instances.
    #[must_use]
    pub fn front_addrs(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::client_addr).collect()
    }

    /// Replaces a replica with a new one of its service. Returns the old one, which is draining.
    ///
    /// # Errors
    ///
    /// Fails if the new replica does not start.
    pub fn replace(&mut self, index: usize) -> io::Result<Backend> {
        let service = self.backends[index].replica.service().to_owned();
        let new = self.new_backend(&service)?;
        let old = std::mem::replace(&mut self.backends[index], new);
        old.replica.drain();
        Ok(old)
    }

    /// Writes the next configuration version to the store. Version N has the routes `/v1/` to
    /// `/vN/`, so that requests on them reveal the active version of an instance.
    pub fn publish_next_config(&mut self) {
        let version = self.versions.last().map_or(1, |it| it.0 + 1);
        let route_name = |it: u64| format!("v{it}");
        let version_routes = (1..=version)
            .map(|it| config::route(&route_name(it), "idempotent", ORDERS_SERVICE))
            .collect();
        let mut spec = config::spec(version, &SHARDS, ORDERS_SERVICE, version_routes);
        for service in spec["services"].as_array_mut().into_iter().flatten() {
            service["max_connections"] = self.max_connections.into();
        }
        self.store.put("config", "main", spec);
        self.versions.push((version, Instant::now()));
    }

    fn new_backend(&mut self, service: &str) -> io::Result<Backend> {
        let number = self.replicas_started;
        self.replicas_started += 1;
        let id = format!("{service}-{number}");
        let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
        let replica = Replica::start(&id, service, data_centre, &self.store, &self.runs)?;
        let link = Proxy::start(replica.addr())?;
        replica.advertise(link.addr());
        Ok(Backend { replica, link })
    }
}
