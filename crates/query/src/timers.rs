//! Timers of the engine. Timers are not cancelled; the engine ignores those that are outdated when
//! they fire.

use std::{cmp::Reverse, collections::BinaryHeap};

use rosemarybank_protocol::prelude::*;

use crate::{crash_tracker::ServiceFingerprint, interface::DispatchId, replicas::ReplicaKey};

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The next late attempt of a query, or its deadline.
    Query { query_index: u32, serial: u64 },
    /// The deadline of an action.
    Dispatch(DispatchId),
    /// The next poll of a replica.
    Poll(ReplicaKey),
    /// The end of the pause before a suspect's next canary.
    CanaryPause(ServiceFingerprint),
}

/// Timers, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
}

impl Timers {
    pub(crate) fn arm(&mut self, at: Time, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    pub(crate) fn next_at(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        if self.next_at()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
