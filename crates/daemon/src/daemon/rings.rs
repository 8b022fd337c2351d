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

/// Slots of a ring of requests or of their results. While a ring that `front` sends to is full,
/// `front` rejects requests as overloaded.
const REQUEST_RING_SLOTS: usize = 1_024;
/// Slots of a ring of attempts or of their outcomes; more than for requests, because one search
/// becomes many attempts.
const ATTEMPT_RING_SLOTS: usize = 16_384;
/// Slots of a ring of control messages, which are rare.
const CONTROL_RING_SLOTS: usize = 1_024;

/// Senders and receivers of all rings, grouped by the thread that owns them.
pub(super) struct Rings {
    /// Rings of the engine thread.
    pub(super) engine: EngineRings,
    /// Rings of each upstreams thread.
    pub(super) upstreams: Vec<UpstreamsRings>,
    /// Rings of the control thread.
    pub(super) control: ControlRings,
    /// Rings of the front thread.
    pub(super) front: FrontRings,
    /// Sender from the admin port to the control thread.
    pub(super) admin: Sender<AdminToControl>,
}

impl Rings {
    /// Creates the rings for the given number of upstreams threads.
    pub(super) fn new(upstreams_threads: u32) -> Rings {
        let (front_to_engine, engine_from_front) = channel(REQUEST_RING_SLOTS);
        let (engine_to_front, front_from_engine) = channel(REQUEST_RING_SLOTS);
        let (front_to_control, control_from_front) = channel(REQUEST_RING_SLOTS);
        let (control_to_front, front_from_control) = channel(REQUEST_RING_SLOTS);
        let (control_to_engine, engine_from_control) = channel(CONTROL_RING_SLOTS);
        let (engine_to_control, control_from_engine) = channel(CONTROL_RING_SLOTS);
        let (admin, control_from_admin) = channel(CONTROL_RING_SLOTS);
        let mut ring_ends = UpstreamsRingEnds::default();
        let upstreams = (0..upstreams_threads).map(|_| ring_ends.add_thread()).collect();
        let engine = EngineRings {
            from_front: engine_from_front,
            to_front: engine_to_front,
            from_upstreams: ring_ends.engine_receivers,
            to_upstreams: ring_ends.engine_senders,
            from_control: engine_from_control,
            to_control: engine_to_control,
        };
        let control = ControlRings {
            from_front: control_from_front,
            to_front: control_to_front,
            from_engine: control_from_engine,
            to_engine: control_to_engine,
            to_upstreams: ring_ends.control_senders,
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

/// The engine's and control's ends of the rings to the upstreams threads.
#[derive(Default)]
struct UpstreamsRingEnds {
    engine_senders: Vec<Sender<EngineToUpstreams>>,
    engine_receivers: Vec<Receiver<Event>>,
    control_senders: Vec<Sender<Targets>>,
}

impl UpstreamsRingEnds {
    /// Creates the rings of one more upstreams thread and returns the thread's own ends.
    fn add_thread(&mut self) -> UpstreamsRings {
        let (engine_tx, from_engine) = channel(ATTEMPT_RING_SLOTS);
        let (to_engine, engine_rx) = channel(ATTEMPT_RING_SLOTS);
        let (control_tx, from_control) = channel(CONTROL_RING_SLOTS);
        self.engine_senders.push(engine_tx);
        self.engine_receivers.push(engine_rx);
        self.control_senders.push(control_tx);
        UpstreamsRings { from_engine, to_engine, from_control }
    }
}
