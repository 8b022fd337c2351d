use std::{
    io,
    net::TcpListener,
    sync::{Arc, atomic::AtomicU64, mpsc},
    thread,
};

use rosemarybank_query::settings::{Policy, Settings as QuerySettings};
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
    in_flight::InFlightRequests,
    lifecycle::{Lifecycle, Readiness},
    settings::{QueryPolicy, Settings},
    telemetry::{self, AdminToControl, Record, Recorder, TelemetrySetup},
    upstreams::{self, UpstreamsRings, UpstreamsSetup},
};

/// Slots of each ring of telemetry records.
const RECORD_RING_SLOTS: usize = 16_384;

/// Kind of a thread of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ThreadKind {
    /// Serves the caller port.
    Front,
    /// Runs the query engine.
    Engine,
    /// Connects to replicas of upstreams; there can be several threads of this kind.
    Upstreams,
    /// Talks to the platform's store and to peers, and coordinates the instance with them.
    Control,
    /// Collects metrics and spans, and serves the admin port.
    Telemetry,
}

/// Notice to the main thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A signal requests a shutdown.
    StopRequested,
    /// A thread has exited.
    ThreadExited(ThreadKind),
}

/// Starts the threads. Each thread sends a notice when it exits.
pub(super) struct ThreadSpawner<'a> {
    pub(super) settings: Arc<Settings>,
    pub(super) clock: Clock,
    pub(super) lifecycle: &'a Lifecycle,
    pub(super) readiness: Readiness,
    pub(super) in_flight: InFlightRequests,
    pub(super) log: &'a Logger,
    pub(super) notices: &'a mpsc::Sender<Notice>,
    pub(super) records: Vec<Receiver<Record>>,
    pub(super) dropped: Arc<AtomicU64>,
}

impl ThreadSpawner<'_> {
    pub(super) fn spawn_engine(&mut self, rings: EngineRings) -> io::Result<()> {
        let setup = EngineSetup {
            clock: self.clock,
            settings: query_settings(&self.settings),
            seed: fastrand::u64(..),
            recorder: self.recorder(),
            phase: self.lifecycle.watch(),
        };
        self.spawn(ThreadKind::Engine, move || engine::run(setup, rings))
    }

    pub(super) fn spawn_upstreams(&mut self, rings: UpstreamsRings) -> io::Result<()> {
        let setup = UpstreamsSetup {
            clock: self.clock,
            connect_timeout: self.settings.upstreams.connect_timeout,
            reply_memory: self.settings.upstreams.reply_memory
                / self.settings.upstreams.threads.max(1) as usize,
            source: self.settings.source,
            recorder: self.recorder(),
            phase: self.lifecycle.watch(),
        };
        let runtime = io_runtime()?;
        self.spawn(ThreadKind::Upstreams, move || {
            LocalSet::new().block_on(&runtime, upstreams::run(setup, rings));
        })
    }

    pub(super) fn spawn_control(
        &mut self,
        listener: TcpListener,
        rings: ControlRings,
    ) -> io::Result<()> {
        let setup = ControlSetup {
            clock: self.clock,
            settings: Arc::clone(&self.settings),
            listener,
            in_flight: self.in_flight.clone(),
            recorder: self.recorder(),
            log: self.log.clone(),
            phase: self.lifecycle.watch(),
        };
        let (runtime, log) = (io_runtime()?, self.log.clone());
        self.spawn(ThreadKind::Control, move || {
            log_failure(&log, LocalSet::new().block_on(&runtime, control::run(setup, rings)));
        })
    }

    pub(super) fn spawn_front(
        &mut self,
        listener: TcpListener,
        rings: FrontRings,
    ) -> io::Result<()> {
        let setup = FrontSetup {
            clock: self.clock,
            settings: self.settings.callers.clone(),
            listener,
            readiness: self.readiness.clone(),
            in_flight: self.in_flight.clone(),
            recorder: self.recorder(),
            log: self.log.clone(),
            phase: self.lifecycle.watch(),
        };
        let (runtime, log) = (io_runtime()?, self.log.clone());
        self.spawn(ThreadKind::Front, move || {
            log_failure(&log, runtime.block_on(front::run(setup, rings)));
        })
    }

    /// Starts the telemetry thread, which collects the records of all threads started before it.
    pub(super) fn spawn_telemetry(
        self,
        listener: TcpListener,
        to_control: Sender<AdminToControl>,
    ) -> io::Result<()> {
        let ThreadSpawner {
            settings, lifecycle, readiness, log, notices, records, dropped, ..
        } = self;
        let setup = TelemetrySetup {
            settings,
            listener,
            records,
            dropped,
            to_control,
            readiness,
            log: log.clone(),
            phase: lifecycle.watch(),
        };
        let log = log.clone();
        let runtime = io_runtime()?;
        spawn(ThreadKind::Telemetry, notices, move || {
            log_failure(&log, runtime.block_on(telemetry::run(setup)));
        })
    }

    /// Creates the recorder of a thread and keeps the receiver of its ring for telemetry.
    fn recorder(&mut self) -> Recorder {
        let (tx, rx) = channel(RECORD_RING_SLOTS);
        self.records.push(rx);
        Recorder::new(tx, Arc::clone(&self.dropped))
    }

    fn spawn(&self, kind: ThreadKind, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
        spawn(kind, self.notices, body)
    }
}

/// Starts a thread that sends a notice when it exits, whether it returns or panics.
fn spawn(
    kind: ThreadKind,
    notices: &mpsc::Sender<Notice>,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    struct ExitNotifier(ThreadKind, mpsc::Sender<Notice>);

    impl Drop for ExitNotifier {
        fn drop(&mut self) {
            // Fails only when the main thread has stopped receiving because the process exits.
            let _ = self.1.send(Notice::ThreadExited(self.0));
        }
    }

    let notifier = ExitNotifier(kind, notices.clone());
    let name = format!("{kind:?}").to_lowercase();
    thread::Builder::new().name(name).spawn(move || {
        let _notifier = notifier;
        body();
    })?;
    Ok(())
}

fn io_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Logs the error of a thread that failed.
fn log_failure(log: &Logger, result: io::Result<()>) {
    if let Err(err) = result {
        error!(log, "a thread failed"; "error" => %err);
    }
}

/// Settings of the query engine, from those of the instance.
fn query_settings(settings: &Settings) -> QuerySettings {
    let policy = match settings.upstreams.policy {
        QueryPolicy::Adaptive => Policy::Adaptive,
        QueryPolicy::Baseline => Policy::Baseline,
    };
    QuerySettings::builder().data_centre(settings.data_centre.clone()).policy(policy).build()
}
