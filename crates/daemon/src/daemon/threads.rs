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
    StopRequested,
    /// A thread has ended.
    ThreadExited(ThreadKind),
}

/// Starts the threads. Each reports its end.
pub(super) struct Threads<'a> {
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

impl Threads<'_> {
    pub(super) fn engine(&mut self, rings: EngineRings) -> io::Result<()> {
        let setup = EngineSetup {
            clock: self.clock,
            settings: query_settings(&self.settings),
            seed: fastrand::u64(..),
            recorder: self.recorder(),
            phase: self.lifecycle.watch(),
        };
        self.spawn(ThreadKind::Engine, move || engine::run(setup, rings))
    }

    pub(super) fn upstreams(&mut self, rings: UpstreamsRings) -> io::Result<()> {
        let setup = UpstreamsSetup {
            clock: self.clock,
            connect_timeout: self.settings.upstreams.connect_timeout,
            source: self.settings.source,
            recorder: self.recorder(),
            phase: self.lifecycle.watch(),
        };
        let runtime = io_runtime()?;
        self.spawn(ThreadKind::Upstreams, move || {
            LocalSet::new().block_on(&runtime, upstreams::run(setup, rings));
        })
    }

    pub(super) fn control(&mut self, listener: TcpListener, rings: ControlRings) -> io::Result<()> {
        let setup = ControlSetup {
            clock: self.clock,
            settings: Arc::clone(&self.settings),
            listener,
            readiness: self.readiness.clone(),
            in_flight: self.in_flight.clone(),
            recorder: self.recorder(),
            log: self.log.clone(),
            phase: self.lifecycle.watch(),
        };
        let (runtime, log) = (io_runtime()?, self.log.clone());
        self.spawn(ThreadKind::Control, move || {
            report(&log, LocalSet::new().block_on(&runtime, control::run(setup, rings)));
        })
    }

    pub(super) fn front(&mut self, listener: TcpListener, rings: FrontRings) -> io::Result<()> {
        let setup = FrontSetup {
            clock: self.clock,
            settings: self.settings.callers.clone(),
            listener,
            in_flight: self.in_flight.clone(),
            recorder: self.recorder(),
            log: self.log.clone(),
            phase: self.lifecycle.watch(),
        };
        let (runtime, log) = (io_runtime()?, self.log.clone());
        self.spawn(ThreadKind::Front, move || {
            report(&log, runtime.block_on(front::run(setup, rings)));
        })
    }

    /// Starts telemetry, which collects the records of the threads started before.
    pub(super) fn telemetry(
        self,
        listener: TcpListener,
        to_control: Sender<AdminToControl>,
    ) -> io::Result<()> {
        let Threads { settings, lifecycle, readiness, log, notices, records, dropped, .. } = self;
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
            report(&log, runtime.block_on(telemetry::run(setup)));
        })
    }

    fn recorder(&mut self) -> Recorder {
        let (tx, rx) = channel(RECORD_RING);
        self.records.push(rx);
        Recorder::new(tx, Arc::clone(&self.dropped))
    }

    fn spawn(&self, kind: ThreadKind, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
        spawn(kind, self.notices, body)
    }
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
            let _ = self.1.send(Notice::ThreadExited(self.0));
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

fn io_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

fn report(log: &Logger, result: io::Result<()>) {
    if let Err(err) = result {
        error!(log, "a thread failed"; "error" => %err);
    }
}

fn query_settings(settings: &Settings) -> QuerySettings {
    let policy = match settings.upstreams.policy {
        QueryPolicy::Adaptive => Policy::Adaptive,
        QueryPolicy::Baseline => Policy::Baseline,
    };
    QuerySettings::builder().data_centre(settings.data_centre.clone()).policy(policy).build()
}
