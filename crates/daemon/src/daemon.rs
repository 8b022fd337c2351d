//! The threads of an instance and how they are joined.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::AtomicU64, mpsc},
    thread,
};

use eyre::{Result, WrapErr};
use rosemarybank_query::{
    interface::Event,
    settings::{Policy, Settings as QuerySettings},
};
use rosemarybank_ring::{Receiver, Sender, channel};
use slog::{Logger, error};
use tokio::{
    runtime::{Builder, Runtime},
    task::LocalSet,
};

use crate::{
    clock::Clock,
    control::{self, ControlRings, ControlSetup},
    engine::{self, EngineRings, EngineSetup},
    front::{self, FrontRings, FrontSetup},
    in_flight::InFlight,
    lifecycle::{Lifecycle, Readiness},
    message::{EngineToUpstreams, Targets},
    settings::{QueryPolicy, Settings},
    telemetry::{self, Recorder, TelemetrySetup},
    upstreams::{self, UpstreamsRings, UpstreamsSetup},
};

/// Slots of the rings that carry requests. A full one makes the front refuse as overloaded.
const REQUEST_RING: usize = 1_024;
/// Slots of the rings that carry what follows from requests: a search becomes many attempts.
const ATTEMPT_RING: usize = 16_384;
/// Slots of the rings that carry rare messages.
const CONTROL_RING: usize = 1_024;
/// Slots of each ring of records.
const RECORD_RING: usize = 16_384;

/// A thread of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThreadKind {
    /// Callers' requests.
    Front,
    /// Decisions.
    Engine,
    /// Connections to upstreams; there can be several threads of this kind.
    Upstreams,
    /// Store, peers and coordination.
    Control,
    /// Metrics, spans and the admin port.
    Telemetry,
}

/// What the threads tell the main thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A signal asks for a stop.
    StopAsked,
    /// A thread has ended.
    Ended(ThreadKind),
}

/// A running instance.
pub struct Daemon {
    /// Phases of the process.
    pub lifecycle: Lifecycle,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the peer port.
    pub peers: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Number of upstreams threads.
    pub upstreams_threads: usize,
    /// The daemon's time.
    pub clock: Clock,
}

impl Daemon {
    /// Binds the ports and starts the threads. Each reports its end to `notices`.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound or a thread can't be started.
    pub fn start(
        settings: Settings,
        log: &Logger,
        notices: &mpsc::Sender<Notice>,
    ) -> Result<Daemon> {
        let settings = Arc::new(settings);
        let clock = Clock::start();
        let lifecycle = Lifecycle::default();
        let readiness = Readiness::default();
        let in_flight = InFlight::default();
        let dropped = Arc::new(AtomicU64::new(0));
        let callers = bind(settings.callers.addr, "callers.addr")?;
        let peers = bind(settings.peers.addr, "peers.addr")?;
        let admin = bind(settings.admin.addr, "admin.addr")?;
        let daemon = Daemon {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            admin: admin.local_addr()?,
            lifecycle,
            in_flight: in_flight.clone(),
            upstreams_threads: settings.upstreams.threads as usize,
            clock,
        };
        let phase = || daemon.lifecycle.watch();

        let (front_to_engine, engine_from_front) = channel(REQUEST_RING);
        let (engine_to_front, front_from_engine) = channel(REQUEST_RING);
        let (front_to_control, control_from_front) = channel(REQUEST_RING);
        let (control_to_front, front_from_control) = channel(REQUEST_RING);
        let mut upstreams = UpstreamsChannels::default();
        let upstreams_rings: Vec<_> =
            (0..settings.upstreams.threads).map(|_| upstreams.add_thread()).collect();
        let (control_to_engine, engine_from_control) = channel(CONTROL_RING);
        let (engine_to_control, control_from_engine) = channel(CONTROL_RING);
        let (admin_to_control, control_from_admin) = channel(CONTROL_RING);
        let mut records = Vec::new();
        let mut recorder = || {
            let (tx, rx) = channel(RECORD_RING);
            records.push(rx);
            Recorder::new(tx, Arc::clone(&dropped))
        };

        let engine = EngineSetup {
            clock,
            settings: query_settings(&settings),
            seed: fastrand::u64(..),
            recorder: recorder(),
            phase: phase(),
        };
        let rings = EngineRings {
            from_front: engine_from_front,
            to_front: engine_to_front,
            from_upstreams: upstreams.to_engine,
            to_upstreams: upstreams.from_engine,
            from_control: engine_from_control,
            to_control: engine_to_control,
        };
        spawn(ThreadKind::Engine, notices, move || engine::run(engine, rings))?;

        for rings in upstreams_rings {
            let setup = UpstreamsSetup {
                clock,
                connect_timeout: settings.upstreams.connect_timeout,
                source: settings.source,
                recorder: recorder(),
                phase: phase(),
            };
            let runtime = io_runtime()?;
            spawn(ThreadKind::Upstreams, notices, move || {
                LocalSet::new().block_on(&runtime, upstreams::run(setup, rings));
            })?;
        }

        let setup = ControlSetup {
            clock,
            settings: Arc::clone(&settings),
            listener: peers,
            readiness: readiness.clone(),
            in_flight: in_flight.clone(),
            recorder: recorder(),
            log: log.clone(),
            phase: phase(),
        };
        let rings = ControlRings {
            from_front: control_from_front,
            to_front: control_to_front,
            from_engine: control_from_engine,
            to_engine: control_to_engine,
            to_upstreams: upstreams.from_control,
            from_admin: control_from_admin,
        };
        let runtime = io_runtime()?;
        let thread_log = log.clone();
        spawn(ThreadKind::Control, notices, move || {
            let result = LocalSet::new().block_on(&runtime, control::run(setup, rings));
            report(&thread_log, "control", result);
        })?;

        let setup = FrontSetup {
            clock,
            settings: settings.callers.clone(),
            listener: callers,
            in_flight,
            recorder: recorder(),
            log: log.clone(),
            phase: phase(),
        };
        let rings = FrontRings {
            to_engine: front_to_engine,
            from_engine: front_from_engine,
            to_control: front_to_control,
            from_control: front_from_control,
        };
        let runtime = io_runtime()?;
        let thread_log = log.clone();
        spawn(ThreadKind::Front, notices, move || {
            report(&thread_log, "front", runtime.block_on(front::run(setup, rings)));
        })?;

        let setup = TelemetrySetup {
            settings,
            listener: admin,
            records,
            dropped,
            to_control: admin_to_control,
            readiness,
            log: log.clone(),
            phase: phase(),
        };
        let runtime = io_runtime()?;
        let thread_log = log.clone();
        spawn(ThreadKind::Telemetry, notices, move || {
            report(&thread_log, "telemetry", runtime.block_on(telemetry::run(setup)));
        })?;
        Ok(daemon)
    }
}

/// The other ends of the rings of the upstreams threads.
#[derive(Default)]
struct UpstreamsChannels {
    from_engine: Vec<Sender<EngineToUpstreams>>,
    to_engine: Vec<Receiver<Event>>,
    from_control: Vec<Sender<Targets>>,
}

impl UpstreamsChannels {
    fn add_thread(&mut self) -> UpstreamsRings {
        let (engine_tx, from_engine) = channel(ATTEMPT_RING);
        let (to_engine, engine_rx) = channel(ATTEMPT_RING);
        let (control_tx, from_control) = channel(CONTROL_RING);
        self.from_engine.push(engine_tx);
        self.to_engine.push(engine_rx);
        self.from_control.push(control_tx);
        UpstreamsRings { from_engine, to_engine, from_control }
    }
}

fn bind(addr: SocketAddr, key: &str) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(addr).wrap_err_with(|| format!("{key}: {addr} can't be bound"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn io_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Starts a thread that reports its end, whether it returns or panics.
fn spawn(
    kind: ThreadKind,
    notices: &mpsc::Sender<Notice>,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    struct OnEnd(ThreadKind, mpsc::Sender<Notice>);

    impl Drop for OnEnd {
        fn drop(&mut self) {
            // The main thread stops listening only when the process ends.
            let _ = self.1.send(Notice::Ended(self.0));
        }
    }

    let on_end = OnEnd(kind, notices.clone());
    let name = format!("{kind:?}").to_lowercase();
    thread::Builder::new().name(name).spawn(move || {
        let _on_end = on_end;
        body();
    })?;
    Ok(())
}

fn report(log: &Logger, thread: &str, result: io::Result<()>) {
    if let Err(err) = result {
        error!(log, "a thread failed"; "thread" => thread, "error" => %err);
    }
}

fn query_settings(settings: &Settings) -> QuerySettings {
    let policy = match settings.upstreams.policy {
        QueryPolicy::Adaptive => Policy::Adaptive,
        QueryPolicy::Baseline => Policy::Baseline,
    };
    QuerySettings::builder().data_centre(settings.data_centre.clone()).policy(policy).build()
}
