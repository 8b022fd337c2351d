//! Steps of the claim machine and what each store call is for.

use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use super::{CallId, Etag};

/// Where the machine stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Step {
    /// Not started.
    New,
    /// A store call is outstanding.
    Call { call: CallId, operation: Operation },
    /// A store call is made at `until`.
    Pause { until: Time, operation: Operation },
    /// The query engine has the action; the claim has the given tag.
    Dispatched { etag: Etag },
    /// Nothing is left to do.
    Finished,
}

/// What a store call is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Operation {
    /// Create the claim in `Sending`.
    Create,
    /// Move the claim with this tag from `NotRun` to `Sending`.
    #[serde(rename = "Take")]
    Reacquire { etag: Etag },
    /// Find out who holds the claim.
    Inspect,
    /// Wait until the holder changes the claim.
    Wait { after: Etag },
    /// Write how the action ended.
    Record { outcome: ActionOutcome, precondition: Precondition },
    /// Find out whether a lost or conflicting record was applied.
    RecordInspect { outcome: ActionOutcome, precondition: Precondition },
}

/// Condition of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this tag.
    Tag(Etag),
}

impl Step {
    /// Ends the outstanding call if `call` is its number.
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

    /// Ends a pause that is due.
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
    /// Outcome that is being recorded.
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
    /// The call that acquires the claim on this condition.
    pub(super) fn acquire_operation(self) -> Operation {
        match self {
            Precondition::Absent => Operation::Create,
            Precondition::Tag(etag) => Operation::Reacquire { etag },
        }
    }
}
