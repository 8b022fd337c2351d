//! Graceful shutdown: the instance fails its readiness probe, completes requests in progress, then
//! closes its listener and idle connections and exits.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

/// Interval of the periodic work of the event loop.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which the platform has taken an unready instance out of its rotation: two failed
/// readiness probes, one second apart.
const ROTATION_REMOVAL_TIME: Duration = Duration::from_millis(2_300);

/// The process exits this long before the platform would kill it.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Requests in progress are answered this long before the process exits.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Time after which a connection without a request is closed while the instance drains. The first
/// request of a connection that was just accepted is often on its way.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_secs(1);

/// State of the shutdown, and the time of the next sweep.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    begun_at: Option<Time>,
    next_sweep: Time,
}

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownPhase {
    /// No shutdown was requested.
    Serving,
    /// The readiness probe fails, but the platform still routes clients here.
    LeavingRotation,
    /// The client listener is closed, and connections are after their answers or when they are idle;
    /// requests in progress complete.
    Draining,
    /// The grace period is nearly over; the process exits.
    Expired,
}

impl Shutdown {
    /// Starts the shutdown.
    pub(super) fn begin(&mut self, now: Time) {
        self.begun_at.get_or_insert(now);
    }

    /// Whether a shutdown was requested.
    pub(super) fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Returns the phase, given the time from SIGTERM to SIGKILL.
    pub(super) fn phase(&self, now: Time, grace: Duration) -> ShutdownPhase {
        let Some(begun_at) = self.begun_at else { return ShutdownPhase::Serving };
        let elapsed = now.saturating_sub(begun_at);
        if elapsed < ROTATION_REMOVAL_TIME.min(grace / 2) {
            ShutdownPhase::LeavingRotation
        } else if elapsed < grace.saturating_sub(EXIT_MARGIN) {
            ShutdownPhase::Draining
        } else {
            ShutdownPhase::Expired
        }
    }

    /// Returns the latest time for the answers to requests in progress, given the time from SIGTERM to
    /// SIGKILL; [`Time::MAX`] if no shutdown was requested.
    pub(super) fn answer_by(&self, grace: Duration) -> Time {
        let left = grace.saturating_sub(EXIT_MARGIN).saturating_sub(ANSWER_MARGIN);
        self.begun_at.map_or(Time::MAX, |it| it + left)
    }

    /// Returns the time of the next sweep.
    pub(super) fn next_sweep(&self) -> Time {
        self.next_sweep
    }

    /// Returns whether a sweep is due, and schedules the next one if so.
    pub(super) fn start_sweep_if_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_sweep;
        if is_due {
            self.next_sweep = now + SWEEP_INTERVAL;
        }
        is_due
    }
}
