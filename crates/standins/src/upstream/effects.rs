//! List of the effects that actions had. It outlives crashes of replicas, as a real ledger would.

use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use rosemarybank_protocol::id::{ReplicaId, ServiceId};
use serde::{Deserialize, Serialize};

/// One action that took effect. An action that is run twice is listed twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Replica that ran it.
    pub replica: ReplicaId,
    /// Service.
    pub service: ServiceId,
    /// Idempotency key.
    pub key: CompactString,
    /// The action.
    pub body: CompactString,
}

/// Effects of all replicas of the process, oldest first.
#[derive(Clone, Default)]
pub struct Effects(Arc<Mutex<Vec<Effect>>>);

impl Effects {
    /// Appends an effect and returns the number of effects so far.
    pub fn record(&self, effect: Effect) -> usize {
        let mut all = self.0.lock().expect("no holder of the lock panics");
        all.push(effect);
        all.len()
    }

    /// Returns every effect so far.
    #[must_use]
    pub fn all(&self) -> Vec<Effect> {
        self.0.lock().expect("no holder of the lock panics").clone()
    }
}
