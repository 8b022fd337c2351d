use std::time::Duration;

use rosemarybank_protocol::id::Time;

/// Time after the first replica list during which an instance waits until every key has a replica.
/// Without this limit, a lost shard would keep every starting instance out of service.
const COVERAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Decides when a starting instance knows enough replicas to serve requests.
#[derive(Debug, Default)]
pub(super) struct StartupCheck {
    /// Time at which a non-empty replica list was first known.
    listed_at: Option<Time>,
    /// Whether there was a time at which every key of every search service had a replica.
    all_keys_covered: bool,
}

impl StartupCheck {
    /// Updates the number of replicas in the list.
    pub(super) fn set_replica_count(&mut self, now: Time, replicas: usize) {
        if replicas > 0 {
            self.listed_at.get_or_insert(now);
        }
    }

    /// Records that the engine has a replica for every key of every search service.
    pub(super) fn set_all_keys_covered(&mut self) {
        self.all_keys_covered = true;
    }

    /// Returns whether the instance may serve requests. Once true, the result stays true.
    pub(super) fn is_passed(&self, now: Time) -> bool {
        // An instance without replicas must not be ready: its searches fail at once, and a load
        // balancer that prefers fast instances would send it more requests.
        self.listed_at.is_some_and(|it| self.all_keys_covered || now >= it + COVERAGE_TIMEOUT)
    }
}
