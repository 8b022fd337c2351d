use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use rosemarybank_platform::PlatformClient;
use rosemarybank_query::interface::Event;
use rosemarybank_ring::{Receiver, Sender};
use slog::{Logger, info};
use tokio::task::spawn_local;

use super::{actions::Actions, configuration, lookups, replicas::Replicas, shared::Shared};
use crate::{
    clock::Clock,
    in_flight::InFlight,
    lifecycle::{Phase, PhaseWatch, Readiness},
    message::{ControlToEngine, ControlToFront, EngineToControl, FrontToControl, Targets},
    outbox::Outbox,
    settings::Settings,
    telemetry::{AdminToControl, Recorder},
};

/// Rings of the control thread.
pub struct ControlRings {
    /// From the front.
    pub from_front: Receiver<FrontToControl>,
    /// To the front.
    pub to_front: Sender<ControlToFront>,
    /// From the engine.
    pub from_engine: Receiver<EngineToControl>,
    /// To the engine.
    pub to_engine: Sender<ControlToEngine>,
    /// To the upstreams.
    pub to_upstreams: Sender<Targets>,
    /// From the admin port.
    pub from_admin: Receiver<AdminToControl>,
}

/// What the control thread needs besides its rings.
pub struct ControlSetup {
    /// The daemon's time.
    pub clock: Clock,
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Whether the instance has what it needs to take requests.
    pub readiness: Readiness,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// Records for telemetry.
    pub recorder: Recorder,
    /// Log.
    pub log: Logger,
    /// Phases of the process.
    pub phase: PhaseWatch,
}

/// Runs control until the phase [`Phase::Finishing`], and then until no action is in progress. Must
/// run within a tokio `LocalSet`.
pub async fn run(setup: ControlSetup, rings: ControlRings) {
    let ControlSetup { clock, settings, readiness, in_flight, recorder, log, mut phase } = setup;
    let ControlRings {
        mut from_front,
        to_front,
        mut from_engine,
        to_engine,
        to_upstreams,
        mut from_admin,
    } = rings;
    let (engine, front) = (Outbox::new(to_engine), Outbox::new(to_front));
    let upstreams = Outbox::new(to_upstreams);
    spawn_local(engine.clone().pump());
    spawn_local(front.clone().pump());
    spawn_local(upstreams.clone().pump());
    let shared = Rc::new(Shared {
        platform: platform_client(&settings),
        settings,
        clock,
        engine,
        front,
        upstreams,
        in_flight,
        recorder,
        readiness,
        log,
        in_force: RefCell::default(),
        fleet_size: Cell::new(1),
    });
    shared.engine_event(Event::FleetSize(1));
    let replicas = Replicas::new(Rc::clone(&shared));
    let actions = Actions::new(Rc::clone(&shared));
    spawn_local(replicas.clone().follow());
    spawn_local(configuration::follow(Rc::clone(&shared), replicas));
    loop {
        tokio::select! {
            Some(message) = from_front.recv() => match message {
                FrontToControl::Act(request) => actions.start(request),
                FrontToControl::Lookup(request) => {
                    spawn_local(lookups::look_up(Rc::clone(&shared), request));
                }
            },
            Some(message) = from_engine.recv() => match message {
                EngineToControl::Dispatched { dispatch, outcome } => {
                    actions.dispatched(dispatch, outcome);
                }
                EngineToControl::Condemn { service, fingerprint, crashes } => {
                    info!(shared.log, "a request crashes upstreams"; "service" => %service,
                        "fingerprint" => format!("{fingerprint:016x}"), "crashes" => crashes);
                }
            },
            Some(message) = from_admin.recv() => match message {
                AdminToControl::List { reply } => drop(reply.send(Vec::new())),
                AdminToControl::Release { reply, .. } => drop(reply.send(false)),
            },
            () = finishing(&mut phase, &actions) => return,
        }
    }
}

/// Waits until the callers' port is closed and no action is in progress.
async fn finishing(phase: &mut PhaseWatch, actions: &Actions) {
    phase.reached(Phase::Finishing).await;
    actions.finished().await;
}

fn platform_client(settings: &Settings) -> PlatformClient {
    let platform = &settings.platform;
    let settings = rosemarybank_platform::Settings::builder()
        .addr(platform.addr)
        .seed(fastrand::u64(..))
        .call_timeout(platform.timeout)
        .watch_wait(platform.watch_wait)
        .build();
    PlatformClient::new(settings)
}
