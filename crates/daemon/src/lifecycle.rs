//! Shutdown phases of the process, and its readiness to serve requests.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::watch;

/// Phase of the process, in order from normal operation to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    Running,
    /// The readiness check fails. Connections are still accepted, because load balancers notice
    /// the failed check only after a while.
    Unready,
    /// No new connections are accepted; requests in flight are completed.
    Draining,
    /// The caller port is closed; actions whose callers have disconnected are completed.
    FinishingActions,
    /// All requests are completed; the remaining threads exit.
    Exiting,
}

/// Owns the current phase and publishes its changes to all threads.
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
    /// Moves to `phase`; does nothing when the current phase is the same or a later one.
    pub fn advance_to(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    /// Returns a receiver of the current phase and its changes.
    #[must_use]
    pub fn watch(&self) -> PhaseWatch {
        PhaseWatch { phase: self.phase.subscribe() }
    }
}

/// Receives the current phase of the process and its changes.
#[derive(Clone, Debug)]
pub struct PhaseWatch {
    phase: watch::Receiver<Phase>,
}

impl PhaseWatch {
    /// Returns the current phase.
    #[must_use]
    pub fn current(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the process is in `phase` or a later phase.
    pub async fn wait_for(&mut self, phase: Phase) {
        // Fails only if the sender is dropped, which happens when the process exits.
        let _ = self.phase.wait_for(|current| *current >= phase).await;
    }
}

/// Whether the instance is ready to serve requests. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    configured: Arc<AtomicBool>,
}

impl Readiness {
    /// Marks the instance as configured: a confirmed bundle is active.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Returns the result of the readiness check in `phase`. Once a shutdown has begun the check
    /// fails, although requests are still served.
    #[must_use]
    pub fn is_ready(&self, phase: Phase) -> bool {
        phase == Phase::Running && self.configured.load(Ordering::Acquire)
    }
}
