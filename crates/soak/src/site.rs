//! The processes and stand-ins of a run.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rosemarybank_standins::platform_mode::{Execution, Instance, Replica, Store, config};

use crate::proxy::Proxy;

/// Shards of the search.
pub const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

/// Service of the plain routes.
pub const ORDERS: &str = "orders";

/// Replicas of each service.
const COPIES: usize = 3;

/// Data centres, which share out instances and replicas.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// Longest time for the first start of an instance.
const START: Duration = Duration::from_secs(20);

/// Budget of extra sends that the settings of an instance state: for each request, and beyond.
pub const BUDGET: (f32, f32) = (0.2, 50.0);

/// A replica behind its proxy.
#[derive(Debug)]
pub struct Backend {
    /// The replica.
    pub replica: Replica,
    /// The link to it.
    pub link: Proxy,
}

/// All parts of a run.
#[derive(Debug)]
pub struct Site {
    /// Store of the platform.
    pub store: Store,
    /// Links from each instance to the store.
    pub store_links: Vec<Proxy>,
    /// Instances.
    pub machines: Vec<Instance>,
    /// Replicas.
    pub backends: Vec<Backend>,
    /// What the replicas ran.
    pub runs: Arc<Mutex<Vec<Execution>>>,
    /// Versions of the configuration and the times at which the store had them.
    pub versions: Vec<(u64, Instant)>,
    replicas_started: usize,
}

impl Site {
    /// Starts everything and waits until all instances take clients.
    ///
    /// # Errors
    ///
    /// Fails when a part does not start.
    pub fn start(machines: usize, dir: &Path, binary: &Path) -> io::Result<Site> {
        let store = Store::start()?;
        let mut site = Site {
            store,
            store_links: Vec::new(),
            machines: Vec::new(),
            backends: Vec::new(),
            runs: Arc::default(),
            versions: Vec::new(),
            replicas_started: 0,
        };
        for service in SHARDS.into_iter().chain([ORDERS]) {
            for _ in 0..COPIES {
                let backend = site.new_backend(service)?;
                site.backends.push(backend);
            }
        }
        site.configure();
        for number in 0..machines {
            let link = Proxy::start(site.store.addr())?;
            let name = format!("m{number}");
            let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
            let mut machine = Instance::new(&name, data_centre, dir, binary, link.addr())?;
            machine.start()?;
            site.store_links.push(link);
            site.machines.push(machine);
        }
        for it in &site.machines {
            if !it.wait_ready(START) {
                let log = std::fs::read_to_string(it.log_path())?;
                let reason = format!("an instance did not become ready; its log:\n{log}");
                return Err(io::Error::other(reason));
            }
        }
        Ok(site)
    }

    /// Addresses for clients.
    #[must_use]
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(Instance::client_addr).collect()
    }

    /// Replaces a replica by a new one of its service. The old one drains and leaves later.
    ///
    /// # Errors
    ///
    /// Fails when the new one does not start.
    pub fn replace(&mut self, index: usize) -> io::Result<Backend> {
        let service = self.backends[index].replica.service().to_owned();
        let new = self.new_backend(&service)?;
        let old = std::mem::replace(&mut self.backends[index], new);
        old.replica.drain();
        Ok(old)
    }

    /// Writes the next version of the configuration. Version N has the routes `/v1/` to `/vN/`, so
    /// an instance shows which version it has.
    pub fn configure(&mut self) {
        let version = self.versions.last().map_or(1, |it| it.0 + 1);
        let name = |it: u64| format!("v{it}");
        let further =
            (1..=version).map(|it| config::route(&name(it), "idempotent", ORDERS)).collect();
        let spec = config::spec(version, &SHARDS, ORDERS, further);
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
