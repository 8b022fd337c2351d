use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rosemarybank_coordination::{membership, quarantine};
use rosemarybank_ring::{Receiver, Sender};
use rosemarybank_store::StoreClient;
use rosemarybank_transport::traffic::ByteCounter;
use slog::{Logger, info};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::spawn_local,
    time::{interval, sleep_until, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    actions::ActionRunner,
    claim_collector,
    coordinator::{Coordinator, HOUSEKEEPING_INTERVAL},
    input::Event,
    lookups,
    peer_links::PeerLinks,
    peer_port,
    replicas::ReplicaList,
    shared::Shared,
    status_report::StatusReporter,
};
use crate::{
    clock::{Clock, unix_ms},
    in_flight::InFlightRequests,
    lifecycle::{Phase, PhaseWatch},
    message::{ControlToEngine, ControlToFront, EngineToControl, FrontToControl, Targets},
    settings::Settings,
    shared_sender::SharedSender,
    telemetry::{AdminToControl, Recorder},
};

/// Time allowed for closing the peer port.
const PEER_PORT_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Rings of the control thread.
pub struct ControlRings {
    /// From `front`.
    pub from_front: Receiver<FrontToControl>,
    /// To `front`.
    pub to_front: Sender<ControlToFront>,
    /// From the engine.
    pub from_engine: Receiver<EngineToControl>,
    /// To the engine.
    pub to_engine: Sender<ControlToEngine>,
    /// To the upstreams threads.
    pub to_upstreams: Vec<Sender<Targets>>,
    /// From the admin port.
    pub from_admin: Receiver<AdminToControl>,
}

/// Settings and shared state of the control thread.
pub struct ControlSetup {
    /// Clock of the daemon.
    pub clock: Clock,
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Listener of the peer port.
    pub listener: std::net::TcpListener,
    /// Requests in flight.
    pub in_flight: InFlightRequests,
    /// Sends records to telemetry.
    pub recorder: Recorder,
    /// Logger of the instance.
    pub log: Logger,
    /// Phases of the process.
    pub phase: PhaseWatch,
}

/// Runs control until the phase [`Phase::FinishingActions`], and then until no action is in
/// progress. Must run within a tokio `LocalSet`.
///
/// # Errors
///
/// Fails when the listener can't be used.
pub async fn run(setup: ControlSetup, rings: ControlRings) -> io::Result<()> {
    let ControlSetup { clock, settings, listener, in_flight, recorder, log, mut phase } = setup;
    let (engine, front) = (SharedSender::new(rings.to_engine), SharedSender::new(rings.to_front));
    let upstreams: Vec<_> = rings.to_upstreams.into_iter().map(SharedSender::new).collect();
    spawn_local(engine.clone().pump());
    spawn_local(front.clone().pump());
    upstreams.iter().for_each(|it| drop(spawn_local(it.clone().pump())));
    let listener = TcpListener::from_std(listener)?;
    let peer_addr = listener.local_addr()?;
    info!(log, "peer port is open"; "addr" => %peer_addr);
    let shared = Rc::new(Shared {
        platform: platform_client(&settings),
        peer_bytes: ByteCounter::default(),
        settings,
        clock,
        engine,
        front,
        upstreams,
        in_flight,
        recorder,
        log,
        active_bundle: RefCell::default(),
        is_collector: Cell::new(false),
        fleet_size: Cell::new(1),
    });
    let (inputs_tx, mut inputs) = mpsc::unbounded_channel();
    let links = PeerLinks::new(Rc::clone(&shared), inputs_tx.clone());
    let replicas = ReplicaList::new(Rc::clone(&shared), links.clone());
    let actions = ActionRunner::new(Rc::clone(&shared));
    spawn_local(replicas.clone().follow());
    spawn_local(claim_collector::run(Rc::clone(&shared)));

    let stop_peers = CancellationToken::new();
    let instance = shared.settings.instance.clone();
    let bytes = shared.peer_bytes.clone();
    let port = peer_port::run(listener, (instance, bytes), inputs_tx.clone(), stop_peers.clone());
    let mut port = spawn_local(port);
    let membership = membership_settings(&shared.settings, peer_addr);
    let mut coordinator =
        Coordinator::new(Rc::clone(&shared), replicas.clone(), (inputs_tx, links), membership);
    let mut reporter = StatusReporter::default();
    let mut housekeeping_timer = interval(HOUSEKEEPING_INTERVAL);
    let mut unready_phase = phase.clone();
    let mut has_left = false;
    let ControlRings { mut from_front, mut from_engine, mut from_admin, .. } = rings;
    let mut finished = pin!(wait_until_finished(&mut phase, &actions));
    coordinator.start();
    loop {
        let wakeup = coordinator.next_wakeup().map(|at| clock.instant_at(at));
        tokio::select! {
            Some(message) = from_front.recv() => match message {
                FrontToControl::SubmitAction(request) => actions.start(request),
                FrontToControl::Lookup(request) => {
                    spawn_local(lookups::look_up(Rc::clone(&shared), request));
                }
            },
            Some(message) = from_engine.recv() => match message {
                EngineToControl::Dispatched { dispatch, outcome } => {
                    actions.deliver_outcome(dispatch, outcome);
                }
                EngineToControl::AllKeysCovered => coordinator.all_keys_covered(),
                EngineToControl::Quarantine { service, fingerprint, crashes, duration } => {
                    let event =
                        quarantine::Event::Quarantined { service, fingerprint, crashes, duration };
                    coordinator.handle_event(Event::Quarantine(event));
                }
            },
            Some(message) = from_admin.recv() => handle_admin_message(&mut coordinator, message),
            Some(input) = inputs.recv() => coordinator.handle_input(input),
            () = sleep_until_some(wakeup) => coordinator.tick(),
            _ = housekeeping_timer.tick() => {
                coordinator.tick();
                reporter.report(&coordinator, &replicas, &actions);
            }
            () = unready_phase.wait_for(Phase::Unready), if !has_left => {
                has_left = true;
                coordinator.leave();
            }
            () = &mut finished => break,
        }
    }
    stop_peers.cancel();
    // A peer that is slow to read its reply must not delay the shutdown.
    let _ = timeout(PEER_PORT_CLOSE_TIMEOUT, &mut port).await;
    Ok(())
}

/// Waits until the caller port is closed and no action is in progress.
async fn wait_until_finished(phase: &mut PhaseWatch, actions: &ActionRunner) {
    phase.wait_for(Phase::FinishingActions).await;
    actions.wait_until_idle().await;
}

/// Lists or releases quarantine entries for the admin port.
fn handle_admin_message(coordinator: &mut Coordinator, message: AdminToControl) {
    match message {
        AdminToControl::ListQuarantine { reply } => {
            let entries = coordinator.quarantine.entries().iter().cloned().collect();
            // Fails if the client of the admin port has disconnected.
            let _ = reply.send(entries);
        }
        AdminToControl::ReleaseQuarantineEntry { service, fingerprint, reply } => {
            let key = (service.clone(), fingerprint);
            let is_held = coordinator.quarantine.entries().get(&key).is_some();
            if is_held {
                let event = quarantine::Event::Release { service, fingerprint };
                coordinator.handle_event(Event::Quarantine(event));
            }
            let _ = reply.send(is_held);
        }
    }
}

/// Sleeps until the given time, or forever if there is none.
async fn sleep_until_some(at: Option<std::time::Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

fn membership_settings(settings: &Settings, addr: SocketAddr) -> membership::Settings {
    membership::Settings::builder()
        .instance(settings.instance.clone())
        // The wall-clock time grows with each start, even if the instance moves to a new machine.
        .incarnation(unix_ms())
        .data_centre(settings.data_centre.clone())
        .addr(addr)
        .peers(settings.peers.others.clone())
        .build()
}

fn platform_client(settings: &Settings) -> StoreClient {
    let platform = &settings.platform;
    let settings = rosemarybank_store::Settings::builder()
        .addr(platform.addr)
        .maybe_source(settings.source)
        .seed(fastrand::u64(..))
        .call_timeout(platform.timeout)
        .watch_wait(platform.watch_wait)
        .build();
    StoreClient::new(settings)
}
