use rosemarybank_ring::{Receiver, Sender};
use slog::{Logger, info};
use tokio::{net::TcpListener, task::JoinHandle};

use super::{router::router, service::FrontService, shared::SharedState};
use crate::{
    clock::Clock,
    http_server::{self, ConnectionObserver, HttpLimits},
    in_flight::InFlightRequests,
    lifecycle::{Phase, PhaseWatch, Readiness},
    message::{ControlToFront, EngineToFront, FrontToControl, FrontToEngine},
    settings::CallersSettings,
    shared_sender::SharedSender,
    telemetry::{Counter, Recorder},
};

/// Ring buffers between the front thread and the other threads.
pub struct FrontRings {
    /// To the engine.
    pub to_engine: Sender<FrontToEngine>,
    /// From the engine.
    pub from_engine: Receiver<EngineToFront>,
    /// To control.
    pub to_control: Sender<FrontToControl>,
    /// From control.
    pub from_control: Receiver<ControlToFront>,
}

/// Settings and shared state of the front thread.
pub struct FrontSetup {
    /// The daemon's clock.
    pub clock: Clock,
    /// Settings of the callers' port.
    pub settings: CallersSettings,
    /// Listener of the callers' port.
    pub listener: std::net::TcpListener,
    /// Whether the instance is ready to serve requests; set with the first configuration.
    pub readiness: Readiness,
    /// Registry of the requests in flight.
    pub in_flight: InFlightRequests,
    /// Sends telemetry records.
    pub recorder: Recorder,
    /// Logger.
    pub log: Logger,
    /// Lifecycle phase of the process.
    pub phase: PhaseWatch,
}

/// Serves callers until shutdown, and returns after every request in flight has been answered.
///
/// # Errors
///
/// Fails when the listener can't be used.
pub async fn run(setup: FrontSetup, rings: FrontRings) -> std::io::Result<()> {
    let FrontSetup { clock, settings, listener, readiness, in_flight, recorder, log, phase } =
        setup;
    let listener = TcpListener::from_std(listener)?;
    let limits = HttpLimits {
        max_connections: settings.connections,
        streams_per_connection: settings.streams_per_connection,
        max_head_bytes: settings.head_bytes,
        head_timeout: settings.head_timeout,
        drain_from: Phase::Draining,
    };
    let (engine, control) =
        (SharedSender::new(rings.to_engine), SharedSender::new(rings.to_control));
    let pump_tasks = [tokio::spawn(engine.clone().pump()), tokio::spawn(control.clone().pump())];
    let shared = SharedState::new(clock, settings, engine, control, recorder.clone(), log.clone());
    let receive_tasks = [
        tokio::spawn(receive_search_results(shared.clone(), rings.from_engine)),
        tokio::spawn(receive_control_messages(shared.clone(), readiness, rings.from_control)),
    ];
    info!(log, "the callers' port is open"; "addr" => %listener.local_addr()?);
    let service =
        FrontService { shared: shared.clone(), router: router(), in_flight, phase: phase.clone() };
    http_server::serve(listener, limits, service, ConnectionCounter(recorder), phase, log.clone())
        .await;
    info!(log, "the callers' port is closed"; "unanswered" => shared.pending_count());
    pump_tasks.iter().chain(&receive_tasks).for_each(JoinHandle::abort);
    Ok(())
}

async fn receive_search_results(shared: SharedState, mut ring: Receiver<EngineToFront>) {
    while let Some(EngineToFront { query, answer }) = ring.recv().await {
        shared.searches.resolve(query, answer);
    }
}

async fn receive_control_messages(
    shared: SharedState,
    readiness: Readiness,
    mut ring: Receiver<ControlToFront>,
) {
    while let Some(message) = ring.recv().await {
        match message {
            ControlToFront::Config(config) => {
                shared.set_config(config);
                // Only now are requests no longer refused for want of a configuration.
                readiness.set_configured();
            }
            ControlToFront::ActionFinished { id, answer } => shared.actions.resolve(id, answer),
            ControlToFront::LookupFinished { id, outcome } => shared.lookups.resolve(id, outcome),
        }
    }
}

#[derive(Clone)]
struct ConnectionCounter(Recorder);

impl ConnectionObserver for ConnectionCounter {
    fn accepted(&self) {
        self.0.count(Counter::Connections);
    }

    fn closed_as_idle(&self) {
        self.0.count(Counter::SilentConnections);
    }
}
