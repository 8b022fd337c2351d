use std::sync::{Arc, PoisonError, RwLock};

use gotham::state::StateData;
use rosemarybank_coordination::claim;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::{Refusal, SearchResult};
use slog::Logger;

use super::{body_memory::BodyMemory, pending::PendingRequests, request_error::RequestError};
use crate::{
    clock::Clock,
    message::{FrontConfig, FrontToControl, FrontToEngine, StoreUnreachable},
    settings::CallersSettings,
    shared_sender::SharedSender,
    telemetry::{Counter, Recorder},
};

/// State shared by all requests of the front.
#[derive(Clone)]
pub(super) struct SharedState {
    /// The daemon's clock.
    pub(super) clock: Clock,
    /// Settings of the callers' port.
    pub(super) settings: Arc<CallersSettings>,
    /// Sends messages to the engine thread.
    pub(super) engine: SharedSender<FrontToEngine>,
    /// Sends messages to the control thread.
    pub(super) control: SharedSender<FrontToControl>,
    /// Memory for the bodies of requests.
    pub(super) body_memory: BodyMemory,
    /// Searches that wait for the engine's result.
    pub(super) searches: PendingRequests<Result<SearchResult, Refusal>>,
    /// Actions that wait for their outcome.
    pub(super) actions: PendingRequests<claim::Answer>,
    /// Lookups of actions that wait for their result.
    pub(super) lookups: PendingRequests<Result<Option<ActionOutcome>, StoreUnreachable>>,
    /// Sends telemetry records.
    pub(super) recorder: Recorder,
    /// Logger.
    pub(super) log: Logger,
    config: Arc<RwLock<Option<Arc<FrontConfig>>>>,
}

impl StateData for SharedState {}

impl SharedState {
    /// Creates the state without a configuration.
    pub(super) fn new(
        clock: Clock,
        settings: CallersSettings,
        engine: SharedSender<FrontToEngine>,
        control: SharedSender<FrontToControl>,
        recorder: Recorder,
        log: Logger,
    ) -> SharedState {
        SharedState {
            clock,
            body_memory: BodyMemory::new(clock, settings.body_memory),
            settings: Arc::new(settings),
            engine,
            control,
            searches: PendingRequests::default(),
            actions: PendingRequests::default(),
            lookups: PendingRequests::default(),
            recorder,
            log,
            config: Arc::default(),
        }
    }

    /// Returns the active configuration.
    pub(super) fn config(&self) -> Result<Arc<FrontConfig>, RequestError> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        config.clone().ok_or_else(|| {
            RequestError::new(ErrorKind::NotReady, "the instance has no confirmed configuration")
        })
    }

    /// Activates a configuration.
    pub(super) fn set_config(&self, config: Arc<FrontConfig>) {
        self.body_memory.set_largest_body(config.limits.body_bytes as usize);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Some(config);
    }

    /// Counts a full ring buffer and returns the error for it.
    pub(super) fn ring_full_error(&self) -> RequestError {
        self.recorder.count(Counter::RingFull);
        RequestError::new(ErrorKind::Overloaded, "the instance's queue is full")
            .retry_after(std::time::Duration::from_secs(1))
    }

    /// Number of requests that wait for another thread's reply.
    pub(super) fn pending_count(&self) -> usize {
        self.searches.len() + self.actions.len() + self.lookups.len()
    }
}
