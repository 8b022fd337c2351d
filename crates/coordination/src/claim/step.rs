//! Steps of the claim machine and the operations performed by its store calls.

use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use super::{CallId, Etag};

/// Current step of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Step {
    /// Not started.
    New,
    /// A store call is outstanding.
    Call {
        call: CallId,
        #[serde(rename = "goal")]
        operation: Operation,
    },
    /// The next store call is due at `until`.
    Pause {
        until: Time,
        #[serde(rename = "goal")]
        operation: Operation,
    },
    /// The query engine has the action. The claim has the given entity tag.
    Dispatched { etag: Etag },
    /// All work is done.
    Finished,
}

/// Purpose of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Operation {
    /// Create the claim in `Sending`.
    Create,
    /// Update the claim with this entity tag from `NotRun` to `Sending`.
    #[serde(rename = "Take")]
    Reacquire { etag: Etag },
    /// Read the claim to determine its owner and state.
    Inspect,
    /// Wait until the owner changes the claim.
    Wait { after: Etag },
    /// Write the outcome of the action.
    Record {
        outcome: ActionOutcome,
        #[serde(rename = "basis")]
        precondition: Precondition,
    },
    /// Read the claim to determine whether a lost or conflicting write of the outcome was applied.
    RecordInspect {
        outcome: ActionOutcome,
        #[serde(rename = "basis")]
        precondition: Precondition,
    },
}

/// Precondition of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this entity tag.
    Tag(Etag),
}

impl Step {
    /// Completes the outstanding call and returns its operation if `call` identifies it.
    pub(super) fn take_call(&mut self, call: CallId) -> Option<Operation> {
        match self {
            Step::Call { call: outstanding, operation } if *outstanding == call => {
                let operation = operation.clone();
                *self = Step::Finished;
                Some(operation)
            }
            _ => None,
        }
    }

    /// Ends a pause that is due and returns the operation to perform.
    pub(super) fn take_due(&mut self, now: Time) -> Option<Operation> {
        match self {
            Step::Pause { until, operation } if *until <= now => {
                let operation = operation.clone();
                *self = Step::Finished;
                Some(operation)
            }
            _ => None,
        }
    }
}

impl Operation {
    /// Returns the outcome that is being recorded, if any.
    pub(super) fn outcome(&self) -> Option<&ActionOutcome> {
        match self {
            Operation::Record { outcome, .. } | Operation::RecordInspect { outcome, .. } => {
                Some(outcome)
            }
            _ => None,
        }
    }
}

impl Precondition {
    /// Returns the operation that acquires the claim under this precondition.
    pub(super) fn acquire_operation(self) -> Operation {
        match self {
            Precondition::Absent => Operation::Create,
            Precondition::Tag(etag) => Operation::Reacquire { etag },
        }
    }
}
