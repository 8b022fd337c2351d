//! How a process stops: it leaves the rotation, finishes what it has, then closes what is idle.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

/// Time between two sweeps over the connections and timers of the event loop.
const SWEEP_EVERY: Duration = Duration::from_millis(50);

/// Time after which the platform has taken an instance out of its rotation: two questions, one
/// second apart, without a success.
const ROTATION: Duration = Duration::from_millis(2_300);

/// Time before the forced end at which the process ends by itself.
const RESERVE: Duration = Duration::from_millis(500);

/// Progress of a stop.
#[derive(Debug, Default)]
pub(super) struct Stop {
    asked: Option<Time>,
    next_sweep: Time,
}

/// What a stop demands now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing: the process serves.
    Serving,
    /// Clients still come, because the platform has not noticed.
    Leaving,
    /// No more clients: connections without a request are closed.
    Closing,
    /// The time is over.
    Over,
}

impl Stop {
    /// Begins to stop.
    pub(super) fn ask(&mut self, now: Time) {
        self.asked.get_or_insert(now);
    }

    /// Whether the process is stopping.
    pub(super) fn is_asked(&self) -> bool {
        self.asked.is_some()
    }

    /// What to do, given the time from the signal to the forced end.
    pub(super) fn phase(&self, now: Time, grace: Duration) -> Phase {
        let Some(asked) = self.asked else { return Phase::Serving };
        let age = now.saturating_sub(asked);
        if age < ROTATION.min(grace / 2) {
            Phase::Leaving
        } else if age < grace.saturating_sub(RESERVE) {
            Phase::Closing
        } else {
            Phase::Over
        }
    }

    /// Time of the next sweep.
    pub(super) fn next_sweep(&self) -> Time {
        self.next_sweep
    }

    /// Whether a sweep is due; if so the next one is set.
    pub(super) fn begins_sweep(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_sweep;
        if is_due {
            self.next_sweep = now + SWEEP_EVERY;
        }
        is_due
    }
}
