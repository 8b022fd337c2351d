//! Phases of the process, and whether it takes requests.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::watch;

/// How far the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are taken.
    Running,
    /// Unready; connections are still accepted for load balancers that have not noticed.
    Unready,
    /// No connection is accepted; requests in flight are finished.
    Draining,
    /// The callers' port is closed; actions whose callers hung up are finished.
    FinishingActions,
    /// All requests are finished; the remaining threads end.
    Exiting,
}

/// Announces phases to all threads.
#[derive(Debug)]
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { phase: watch::Sender::new(Phase::Running) }
    }
}

impl Lifecycle {
    /// Enters a phase. Earlier phases are never entered again.
    pub fn advance_to(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let later = phase > *now;
            *now = phase.max(*now);
            later
        });
    }

    /// Follows the phases.
    #[must_use]
    pub fn watch(&self) -> PhaseWatch {
        PhaseWatch { phase: self.phase.subscribe() }
    }
}

/// Follows the phases of the process.
#[derive(Clone, Debug)]
pub struct PhaseWatch {
    phase: watch::Receiver<Phase>,
}

impl PhaseWatch {
    /// The present phase.
    #[must_use]
    pub fn current(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the phase is `phase` or a later one.
    pub async fn wait_for(&mut self, phase: Phase) {
        // The sender is dropped only when the process ends.
        let _ = self.phase.wait_for(|now| *now >= phase).await;
    }
}

/// Whether the instance has what it needs to take requests. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    configured: Arc<AtomicBool>,
}

impl Readiness {
    /// Records that a confirmed configuration is in force.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Whether requests are taken in the given phase.
    #[must_use]
    pub fn is_ready(&self, phase: Phase) -> bool {
        phase == Phase::Running && self.configured.load(Ordering::Acquire)
    }
}
