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
    message::{ControlToEngine, ControlToFront, Targets},
    settings::Settings,
    shared_sender::SharedSender,
    telemetry::{Gauge, Record, Recorder},
};

/// State shared by the tasks of the control thread.
pub(super) struct Shared {
    /// Settings of the instance.
    pub(super) settings: Arc<Settings>,
    /// Clock of the daemon.
    pub(super) clock: Clock,
    /// Client of the platform's object store.
    pub(super) platform: StoreClient,
    /// Counter of the bytes exchanged with peers.
    pub(super) peer_bytes: ByteCounter,
    /// Ring to the engine.
    pub(super) engine: SharedSender<ControlToEngine>,
    /// Ring to `front`.
    pub(super) front: SharedSender<ControlToFront>,
    /// Rings to the upstreams threads.
    pub(super) upstreams: Vec<SharedSender<Targets>>,
    /// Requests in flight.
    pub(super) in_flight: InFlightRequests,
    /// Sends records to telemetry.
    pub(super) recorder: Recorder,
    /// Logger of the instance.
    pub(super) log: Logger,
    /// Active bundle and its version.
    pub(super) active_bundle: RefCell<Option<(Version, Rc<Bundle>)>>,
    /// Whether this instance deletes old claims for the fleet.
    pub(super) is_collector: Cell<bool>,
    /// Number of live instances, this one included.
    pub(super) fleet_size: Cell<u32>,
}

impl Shared {
    /// Sends an event to the engine.
    pub(super) fn send_engine_event(&self, event: Event) {
        self.engine.send(ControlToEngine::Event(event));
    }

    /// Reports the value of a gauge to telemetry.
    pub(super) fn record_gauge(&self, gauge: Gauge, value: u64) {
        self.recorder.record(Record::Gauge(gauge, value));
    }

    /// Returns this instance's share of `limit` connections, which all instances together may open
    /// to a replica; at least 1.
    pub(super) fn connection_share(&self, limit: u32) -> u32 {
        (limit / self.fleet_size.get().max(1)).max(1)
    }

    /// Returns how many connections all instances together may open to a replica of `upstream`; 1
    /// when the active bundle does not list the upstream.
    pub(super) fn connection_limit(&self, upstream: &str) -> u32 {
        let active_bundle = self.active_bundle.borrow();
        let bundle = active_bundle.as_ref().map(|(_, bundle)| bundle);
        let config = bundle.and_then(|it| it.upstreams.iter().find(|it| it.name == upstream));
        config.map_or(1, |it| it.connections)
    }
}
