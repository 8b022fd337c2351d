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
    Call { call: CallId, goal: Goal },
    /// A store call is made at `until`.
    Pause { until: Time, goal: Goal },
    /// The query engine has the action; the claim has the given tag.
    Dispatched { etag: Etag },
    /// Nothing is left to do.
    Finished,
}

/// What a store call is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Goal {
    /// Create the claim in `Sending`.
    Create,
    /// Move the claim with this tag from `NotRun` to `Sending`.
    Take { etag: Etag },
    /// Find out who holds the claim.
    Inspect,
    /// Wait until the holder changes the claim.
    Wait { after: Etag },
    /// Write how the action ended.
    Record { outcome: ActionOutcome, basis: Basis },
    /// Find out whether a lost or conflicting record was applied.
    RecordInspect { outcome: ActionOutcome, basis: Basis },
}

/// Condition of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) enum Basis {
    /// The object does not exist.
    Absent,
    /// The object has this tag.
    Tag(Etag),
}

impl Step {
    /// Ends the outstanding call if `call` is its number.
    pub(super) fn take_call(&mut self, call: CallId) -> Option<Goal> {
        match self {
            Step::Call { call: outstanding, goal } if *outstanding == call => {
                let goal = goal.clone();
                *self = Step::Finished;
                Some(goal)
            }
            _ => None,
        }
    }

    /// Ends a pause that is due.
    pub(super) fn take_due(&mut self, now: Time) -> Option<Goal> {
        match self {
            Step::Pause { until, goal } if *until <= now => {
                let goal = goal.clone();
                *self = Step::Finished;
                Some(goal)
            }
            _ => None,
        }
    }
}

impl Goal {
    /// Outcome that is being recorded.
    pub(super) fn outcome(&self) -> Option<&ActionOutcome> {
        match self {
            Goal::Record { outcome, .. } | Goal::RecordInspect { outcome, .. } => Some(outcome),
            _ => None,
        }
    }
}

impl Basis {
    /// The call that acquires the claim on this condition.
    pub(super) fn acquire(self) -> Goal {
        match self {
            Basis::Absent => Goal::Create,
            Basis::Tag(etag) => Goal::Take { etag },
        }
    }
}
