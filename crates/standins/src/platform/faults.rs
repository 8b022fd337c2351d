//! Faults of the platform, which can be set at run time.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Body of `POST /faults` on the control address. It replaces all faults; `{}` clears them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Closes new connections at once. Setting it also resets open ones.
    pub down: bool,
    /// Reads calls but neither carries them out nor answers them. Setting it also resets open
    /// connections.
    pub silent: bool,
    /// Delay of each call in milliseconds: half of it before the call is carried out, half before
    /// the reply.
    pub slow_ms: u64,
    /// Replies to writes and deletions to drop. The call is carried out first; replies to conflicts
    /// are dropped and counted as well.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<LoseReplies>,
    /// Delay in milliseconds until instances from `POST /instances` appear in the store.
    pub instance_lag_ms: u64,
}

/// Replies to drop, each with its connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoseReplies {
    /// Prefix of the paths of the written objects.
    pub prefix: String,
    /// Number of replies to drop.
    pub count: u32,
}

/// The faults in effect.
#[derive(Default)]
pub struct CurrentFaults(Mutex<PlatformFaults>);

impl CurrentFaults {
    /// Returns a copy of the faults.
    #[must_use]
    pub fn get(&self) -> PlatformFaults {
        self.lock().clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: PlatformFaults) {
        *self.lock() = faults;
    }

    /// Delay of each call.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.lock().slow_ms)
    }

    /// Whether to drop the reply to a write of `path`. If so, decrements the remaining count.
    pub fn consume_lost_reply(&self, path: &str) -> bool {
        let mut faults = self.lock();
        let Some(rule) = &mut faults.lose_replies else { return false };
        let lost = rule.count > 0 && path.starts_with(&rule.prefix);
        if lost {
            rule.count -= 1;
        }
        lost
    }

    fn lock(&self) -> MutexGuard<'_, PlatformFaults> {
        self.0.lock().expect("no thread panics while it holds the lock")
    }
}
