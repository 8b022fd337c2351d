use rosemarybank_query::interface::Event;
use rosemarybank_ring::{Receiver, Sender, channel};

use crate::{
    control::ControlRings,
    engine::EngineRings,
    front::FrontRings,
    message::{EngineToUpstreams, Targets},
    telemetry::AdminToControl,
    upstreams::UpstreamsRings,
};

/// Slots of the rings that carry requests. A full one makes the front refuse as overloaded.
const REQUEST_RING: usize = 1_024;
/// Slots of the rings that carry what follows from requests: a search becomes many attempts.
const ATTEMPT_RING: usize = 16_384;
/// Slots of the rings that carry rare messages.
const CONTROL_RING: usize = 1_024;

/// The ends of all rings, by thread.
pub(super) struct Rings {
    /// Of the engine.
    pub(super) engine: EngineRings,
    /// Of each upstreams thread.
    pub(super) upstreams: Vec<UpstreamsRings>,
    /// Of control.
    pub(super) control: ControlRings,
    /// Of the front.
    pub(super) front: FrontRings,
    /// From the admin port to control.
    pub(super) admin: Sender<AdminToControl>,
}

impl Rings {
    /// Makes the rings for this number of upstreams threads.
    pub(super) fn new(upstreams_threads: u32) -> Rings {
        let (front_to_engine, engine_from_front) = channel(REQUEST_RING);
        let (engine_to_front, front_from_engine) = channel(REQUEST_RING);
        let (front_to_control, control_from_front) = channel(REQUEST_RING);
        let (control_to_front, front_from_control) = channel(REQUEST_RING);
        let (control_to_engine, engine_from_control) = channel(CONTROL_RING);
        let (engine_to_control, control_from_engine) = channel(CONTROL_RING);
        let (admin, control_from_admin) = channel(CONTROL_RING);
        let mut to_upstreams = ToUpstreams::default();
        let upstreams = (0..upstreams_threads).map(|_| to_upstreams.add_thread()).collect();
        let engine = EngineRings {
            from_front: engine_from_front,
            to_front: engine_to_front,
            from_upstreams: to_upstreams.into_engine,
            to_upstreams: to_upstreams.from_engine,
            from_control: engine_from_control,
            to_control: engine_to_control,
        };
        let control = ControlRings {
            from_front: control_from_front,
            to_front: control_to_front,
            from_engine: control_from_engine,
            to_engine: control_to_engine,
            to_upstreams: to_upstreams.from_control,
            from_admin: control_from_admin,
        };
        let front = FrontRings {
            to_engine: front_to_engine,
            from_engine: front_from_engine,
            to_control: front_to_control,
            from_control: front_from_control,
        };
        Rings { engine, upstreams, control, front, admin }
    }
}

/// The other ends of the rings of the upstreams threads.
#[derive(Default)]
struct ToUpstreams {
    from_engine: Vec<Sender<EngineToUpstreams>>,
    into_engine: Vec<Receiver<Event>>,
    from_control: Vec<Sender<Targets>>,
}

impl ToUpstreams {
    fn add_thread(&mut self) -> UpstreamsRings {
        let (engine_tx, from_engine) = channel(ATTEMPT_RING);
        let (to_engine, engine_rx) = channel(ATTEMPT_RING);
        let (control_tx, from_control) = channel(CONTROL_RING);
        self.from_engine.push(engine_tx);
        self.into_engine.push(engine_rx);
        self.from_control.push(control_tx);
        UpstreamsRings { from_engine, to_engine, from_control }
    }
}
