use std::sync::{Arc, PoisonError, RwLock};

use gotham::state::StateData;
use rosemarybank_coordination::claim;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::{Refusal, SearchResult};
use slog::Logger;

use super::{fail::Fail, pending::Pending};
use crate::{
    clock::Clock,
    message::{FrontConfig, FrontToControl, FrontToEngine, StoreUnreachable},
    settings::CallersSettings,
    shared_sender::SharedSender,
    telemetry::{Counter, Recorder},
};

/// What all requests of the front share.
#[derive(Clone)]
pub(super) struct Shared {
    /// The daemon's time.
    pub(super) clock: Clock,
    /// Settings of the callers' port.
    pub(super) settings: Arc<CallersSettings>,
    /// Ring to the engine.
    pub(super) engine: SharedSender<FrontToEngine>,
    /// Ring to control.
    pub(super) control: SharedSender<FrontToControl>,
    /// Searches that wait for the engine.
    pub(super) searches: Pending<Result<SearchResult, Refusal>>,
    /// Actions that wait for control.
    pub(super) actions: Pending<claim::Answer>,
    /// Questions about actions that wait for control.
    pub(super) lookups: Pending<Result<Option<ActionOutcome>, StoreUnreachable>>,
    /// Records for telemetry.
    pub(super) recorder: Recorder,
    /// Log.
    pub(super) log: Logger,
    config: Arc<RwLock<Option<Arc<FrontConfig>>>>,
}

impl StateData for Shared {}

impl Shared {
    /// Shares the rings; there is no configuration yet.
    pub(super) fn new(
        clock: Clock,
        settings: CallersSettings,
        engine: SharedSender<FrontToEngine>,
        control: SharedSender<FrontToControl>,
        recorder: Recorder,
        log: Logger,
    ) -> Shared {
        Shared {
            clock,
            settings: Arc::new(settings),
            engine,
            control,
            searches: Pending::default(),
            actions: Pending::default(),
            lookups: Pending::default(),
            recorder,
            log,
            config: Arc::default(),
        }
    }

    /// The configuration in force.
    pub(super) fn config(&self) -> Result<Arc<FrontConfig>, Fail> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        config.clone().ok_or_else(|| {
            Fail::new(ErrorKind::NotReady, "the instance has no confirmed configuration")
        })
    }

    /// Puts a configuration into force.
    pub(super) fn set_config(&self, config: Arc<FrontConfig>) {
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = Some(config);
    }

    /// The error for a full ring.
    pub(super) fn ring_full(&self) -> Fail {
        self.recorder.count(Counter::RingFull);
        Fail::new(ErrorKind::Overloaded, "the instance's queue is full")
            .retry_after(std::time::Duration::from_secs(1))
    }

    /// Number of requests that wait for another thread.
    pub(super) fn waiting(&self) -> usize {
        self.searches.len() + self.actions.len() + self.lookups.len()
    }
}
