use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::AtomicU64, mpsc},
};

use eyre::{Result, WrapErr};
use slog::Logger;

use super::{
    rings::Rings,
    threads::{Notice, ThreadSpawner},
};
use crate::{
    clock::Clock,
    in_flight::InFlightRequests,
    lifecycle::{Lifecycle, Readiness},
    listener,
    settings::Settings,
};

/// A running instance.
pub struct Daemon {
    /// Phases of the process.
    pub lifecycle: Lifecycle,
    /// Requests in flight.
    pub in_flight: InFlightRequests,
    /// Address of the caller port.
    pub callers_addr: SocketAddr,
    /// Address of the peer port.
    pub peers_addr: SocketAddr,
    /// Address of the admin port.
    pub admin_addr: SocketAddr,
    /// Number of upstreams threads.
    pub upstreams_threads: usize,
    /// Clock of the daemon.
    pub clock: Clock,
}

impl Daemon {
    /// Binds the ports and starts the threads. Each thread sends a notice when it exits.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound or a thread can't be started.
    pub fn start(
        settings: Settings,
        log: &Logger,
        notices: &mpsc::Sender<Notice>,
    ) -> Result<Daemon> {
        let callers = bind(settings.callers.addr, "callers.addr")?;
        let peers = bind(settings.peers.addr, "peers.addr")?;
        let admin = bind(settings.admin.addr, "admin.addr")?;
        let daemon = Daemon {
            lifecycle: Lifecycle::default(),
            in_flight: InFlightRequests::default(),
            callers_addr: callers.local_addr()?,
            peers_addr: peers.local_addr()?,
            admin_addr: admin.local_addr()?,
            upstreams_threads: settings.upstreams.threads as usize,
            clock: Clock::start(),
        };
        let rings = Rings::new(settings.upstreams.threads);
        let mut threads = ThreadSpawner {
            settings: Arc::new(settings),
            clock: daemon.clock,
            lifecycle: &daemon.lifecycle,
            readiness: Readiness::default(),
            in_flight: daemon.in_flight.clone(),
            log,
            notices,
            records: Vec::new(),
            dropped: Arc::new(AtomicU64::new(0)),
        };
        threads.spawn_engine(rings.engine)?;
        for rings in rings.upstreams {
            threads.spawn_upstreams(rings)?;
        }
        threads.spawn_control(peers, rings.control)?;
        threads.spawn_front(callers, rings.front)?;
        threads.spawn_telemetry(admin, rings.admin)?;
        Ok(daemon)
    }
}

/// Binds a port; `key` is the settings key of its address.
fn bind(addr: SocketAddr, key: &str) -> Result<TcpListener> {
    listener::listen(addr).wrap_err_with(|| format!("{key}: cannot bind to {addr}"))
}
