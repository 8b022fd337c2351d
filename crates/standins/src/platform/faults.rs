//! CurrentFaults of the platform, switched at run time.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Body of `POST /faults` on the control address. It replaces all faults; `{}` ends them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Connections are refused; those that are open break when this is set.
    pub down: bool,
    /// Calls are taken, not carried out and never answered.
    pub silent: bool,
    /// Time by which each call is late, in milliseconds; one half passes before the call is carried
    /// out and the other before its reply.
    pub slow_ms: u64,
    /// Replies to changes that are lost after the change was applied.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_replies: Option<LoseReplies>,
    /// Delay between the platform's own change of the instance list and its appearance, in
    /// milliseconds.
    pub instance_lag_ms: u64,
}

/// Which replies are lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoseReplies {
    /// Beginning of the paths of the changed objects.
    pub prefix: String,
    /// Number of replies to lose.
    pub count: u32,
}

/// The present faults.
#[derive(Default)]
pub struct CurrentFaults(Mutex<PlatformFaults>);

impl CurrentFaults {
    /// The present faults.
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

    /// Whether the reply to a change of `path` is lost; such an answer uses one of the count up.
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
        self.0.lock().expect("no holder of the lock panics")
    }
}
