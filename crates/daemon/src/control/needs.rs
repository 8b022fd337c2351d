use std::time::Duration;

use rosemarybank_protocol::id::Time;

/// Time after the list of replicas arrived in which the engine must find a replica for every key.
/// A lost shard would otherwise keep all instances out of service.
const LAYOUT_TIMEOUT: Duration = Duration::from_secs(2);

/// What a starting instance waits for before its searches can be answered completely.
#[derive(Debug, Default)]
pub(super) struct Needs {
    /// When a list of replicas that is not empty was known first.
    listed_at: Option<Time>,
    /// Whether every key of every search service had a replica at any time.
    is_served: bool,
}

impl Needs {
    /// Takes the number of replicas in the list.
    pub(super) fn listed(&mut self, now: Time, replicas: usize) {
        if replicas > 0 {
            self.listed_at.get_or_insert(now);
        }
    }

    /// The engine has a replica for every key of every search service.
    pub(super) fn served(&mut self) {
        self.is_served = true;
    }

    /// Whether the instance may take requests. Once true, it stays true.
    pub(super) fn are_met(&self, now: Time) -> bool {
        // Without replicas every search fails at once, so a load balancer would prefer this instance.
        self.listed_at.is_some_and(|it| self.is_served || now >= it + LAYOUT_TIMEOUT)
    }
}
