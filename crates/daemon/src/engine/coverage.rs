use std::time::Duration;

use rosemarybank_protocol::id::Time;

use super::driver::Driver;

/// Minimum time between two checks. A check after a changed replica status makes the engine
/// rebuild its layouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Detects when every key of every search service has a replica for the first time.
#[derive(Debug, Default)]
pub(super) struct CoverageCheck {
    is_done: bool,
    /// Time of the next check; `None` while the engine has had no events since the last one.
    due: Option<Time>,
    /// Earliest time of the next check.
    earliest: Time,
}

impl CoverageCheck {
    /// Runs the check if it is due. Called after each round of messages; `has_events` tells whether
    /// the engine received any. Returns `true` once, when all keys are covered.
    pub(super) fn run(&mut self, now: Time, has_events: bool, driver: &mut Driver) -> bool {
        if self.is_done {
            return false;
        }
        if has_events {
            self.due.get_or_insert(self.earliest);
        }
        if self.due.is_none_or(|due| due > now) {
            return false;
        }
        self.due = None;
        self.earliest = now + CHECK_INTERVAL;
        self.is_done = driver.all_keys_covered();
        self.is_done
    }

    /// Returns the time of the next check.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        self.due
    }
}
