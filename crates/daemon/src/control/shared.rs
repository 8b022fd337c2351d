use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::Event;
use rosemarybank_store::StoreClient;
use rosemarybank_transport::traffic::ByteCounter;
use slog::Logger;

use crate::{
    clock::Clock,
    in_flight::InFlightRequests,
    lifecycle::Readiness,
    message::{ControlToEngine, ControlToFront, Targets},
    settings::Settings,
    shared_sender::SharedSender,
    telemetry::{Gauge, Record, Recorder},
};

/// What the tasks of the control thread share.
pub(super) struct Shared {
    /// Settings of the instance.
    pub(super) settings: Arc<Settings>,
    /// The daemon's time.
    pub(super) clock: Clock,
    /// The platform's object API.
    pub(super) platform: StoreClient,
    /// Bytes exchanged with peers.
    pub(super) peer_bytes: ByteCounter,
    /// Ring to the engine.
    pub(super) engine: SharedSender<ControlToEngine>,
    /// Ring to the front.
    pub(super) front: SharedSender<ControlToFront>,
    /// Rings to the upstreams threads.
    pub(super) upstreams: Vec<SharedSender<Targets>>,
    /// Requests in flight.
    pub(super) in_flight: InFlightRequests,
    /// Records for telemetry.
    pub(super) recorder: Recorder,
    /// Whether the instance has what it needs to take requests.
    pub(super) readiness: Readiness,
    /// Log.
    pub(super) log: Logger,
    /// Bundle in force and its version.
    pub(super) in_force: RefCell<Option<(Version, Rc<Bundle>)>>,
    /// Whether this instance deletes old claims for the fleet.
    pub(super) is_collector: Cell<bool>,
    /// Live instances, this one included.
    pub(super) fleet_size: Cell<u32>,
}

impl Shared {
    /// Sends an event to the engine.
    pub(super) fn engine_event(&self, event: Event) {
        self.engine.send(ControlToEngine::Event(event));
    }

    /// Reports a level.
    pub(super) fn gauge(&self, gauge: Gauge, value: u64) {
        self.recorder.record(Record::Gauge(gauge, value));
    }

    /// Connections that this instance may hold to a replica that accepts `cap` from all instances.
    pub(super) fn share_of(&self, cap: u32) -> u32 {
        (cap / self.fleet_size.get().max(1)).max(1)
    }

    /// Cap of the connections to a replica of an upstream; 1 when the bundle does not list it.
    pub(super) fn cap_of(&self, upstream: &str) -> u32 {
        let in_force = self.in_force.borrow();
        let bundle = in_force.as_ref().map(|(_, bundle)| bundle);
        let config = bundle.and_then(|it| it.upstreams.iter().find(|it| it.name == upstream));
        config.map_or(1, |it| it.connections)
    }
}
