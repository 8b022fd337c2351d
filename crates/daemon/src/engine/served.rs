use std::time::Duration;

use rosemarybank_protocol::id::Time;

use super::driver::Driver;

/// Shortest time between two looks, because each poll that brings news makes the engine build its
/// layouts again.
const INTERVAL: Duration = Duration::from_millis(5);

/// Finds out when every key of every search service has a replica for the first time.
#[derive(Debug, Default)]
pub(super) struct ServedCheck {
    is_done: bool,
    /// Time of the next look; `None` while nothing has happened since the last one.
    due: Option<Time>,
    next: Time,
}

impl ServedCheck {
    /// Takes the end of a turn in which the engine got events or not. `true` once.
    pub(super) fn run(&mut self, now: Time, has_events: bool, driver: &mut Driver) -> bool {
        if self.is_done {
            return false;
        }
        if has_events {
            self.due.get_or_insert(self.next);
        }
        if self.due.is_none_or(|due| due > now) {
            return false;
        }
        self.due = None;
        self.next = now + INTERVAL;
        self.is_done = driver.is_served();
        self.is_done
    }

    /// Time of the next look.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        self.due
    }
}
