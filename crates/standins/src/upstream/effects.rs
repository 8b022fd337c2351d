//! Log of the effects of actions. It survives crashes of replicas, as the records of a real ledger
//! do.

use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use rosemarybank_protocol::id::{ReplicaId, ServiceId};
use serde::{Deserialize, Serialize};

/// One execution of an action. An action that is executed twice has two entries in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Replica that executed the action.
    pub replica: ReplicaId,
    /// Service that the action was sent to.
    pub service: ServiceId,
    /// Idempotency key of the action.
    pub key: CompactString,
    /// Body of the action.
    pub body: CompactString,
}

/// Effects of all replicas of the process, oldest first.
#[derive(Clone, Default)]
pub struct EffectLog(Arc<Mutex<Vec<Effect>>>);

impl EffectLog {
    /// Appends an effect and returns the new length of the log.
    pub fn record(&self, effect: Effect) -> usize {
        let mut effects = self.0.lock().expect("the lock should not be poisoned");
        effects.push(effect);
        effects.len()
    }

    /// Returns all effects, oldest first.
    #[must_use]
    pub fn all(&self) -> Vec<Effect> {
        self.0.lock().expect("the lock should not be poisoned").clone()
    }
}
