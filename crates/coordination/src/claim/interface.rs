//! Events, actions and settings of the claim machine.

use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};
use serde::{Deserialize, Serialize};

/// Entity tag of a stored claim. It changes with every write.
pub type Etag = CompactString;

/// Identifier of a store call, assigned by the machine and unique within it.
pub type CallId = u32;

/// Limits and delays of the store calls of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// Number of store calls without a usable reply after which the caller is answered.
    pub attempts: u32,
    /// Delay before a failed store call is retried.
    pub retry_after: Duration,
    /// Time after the caller's deadline during which the query engine may still report the outcome.
    pub dispatch_grace: Duration,
    /// Maximum number of store calls after the caller was answered, to record the outcome.
    pub background_attempts: u32,
    /// Delay before a failed store call is retried after the caller was answered.
    pub background_retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            attempts: 3,
            retry_after: Duration::from_millis(20),
            dispatch_grace: Duration::from_millis(50),
            background_attempts: 30,
            background_retry_after: Duration::from_secs(2),
        }
    }
}

/// Parameters of one action request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Spec {
    /// Name of this instance.
    #[builder(into)]
    pub owner: InstanceId,
    /// Random number that identifies the request.
    pub nonce: u64,
    /// Hash of the service and the request body.
    pub fingerprint: Fingerprint,
    /// Time by which the caller needs the answer. The action is not sent after it.
    pub deadline: Time,
    /// Limits on store calls.
    #[builder(default)]
    pub settings: Settings,
}

/// Input to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The request arrived and its key passed [`key::check`](crate::key::check).
    Start,
    /// A store call completed. Only the reply to the outstanding call is processed.
    Store {
        /// The call.
        call: CallId,
        /// Its reply.
        reply: StoreReply,
    },
    /// The query engine reports the outcome of the dispatched action.
    Dispatched(ActionOutcome),
    /// The time returned by `next_wakeup` has been reached.
    Tick,
}

/// Result of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreReply {
    /// The create was applied.
    Created {
        /// Entity tag of the new object.
        etag: Etag,
    },
    /// The update was applied.
    Updated {
        /// New entity tag of the object.
        etag: Etag,
    },
    /// The object that was read, or its state at the end of a wait.
    Found {
        /// The claim.
        claim: Claim,
        /// Its entity tag.
        etag: Etag,
    },
    /// The object does not exist.
    Missing,
    /// The precondition of the create or update did not hold, so it was not applied.
    Conflict,
    /// The call was not applied: it was never sent, or the store rejected it.
    Failed,
    /// No reply arrived. The call may have been applied, or may still be applied later.
    Lost,
}

/// Command for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Create the claim if it does not exist (`If-None-Match: *`).
    Create {
        /// Identifier of the call.
        call: CallId,
        /// The claim.
        claim: Claim,
    },
    /// Replace the claim if its entity tag still matches (`If-Match`).
    Update {
        /// Identifier of the call.
        call: CallId,
        /// The claim.
        claim: Claim,
        /// Expected entity tag.
        if_match: Etag,
    },
    /// Read the claim.
    Read {
        /// Identifier of the call.
        call: CallId,
    },
    /// Wait until the entity tag of the claim differs from `after`, then report
    /// [`StoreReply::Found`].
    WaitForChange {
        /// Identifier of the call.
        call: CallId,
        /// Entity tag that is already known.
        after: Etag,
        /// Time at which the wait ends even if the claim is unchanged.
        until: Time,
    },
    /// Pass the action to the query engine. Issued at most once.
    Dispatch {
        /// Time after which the engine must not send the action.
        deadline: Time,
    },
    /// Answer the caller. Issued exactly once.
    Answer(Answer),
}

/// Answer to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The action was executed once.
    Done {
        /// Reply of the upstream.
        result: CompactString,
    },
    /// This request was not executed and never will be.
    NotRun {
        /// Reason why it was not executed.
        cause: NotRunCause,
    },
    /// The action may or may not have been executed. It is never sent again under this key.
    Unknown {
        /// Description of the last known state.
        reason: CompactString,
    },
    /// The key was already used for a different service or request body.
    KeyConflict,
}

/// Reason why a request was not executed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunCause {
    /// The store did not confirm the claim. An earlier request with the same key may have been
    /// executed, so the caller must retry with the same key instead of a new one.
    StoreUnavailable,
    /// The deadline passed before the claim was confirmed. As with `StoreUnavailable`, an earlier
    /// request with the same key may have been executed.
    Deadline,
    /// No replica executed the action, for the reason given by the query engine.
    Refused(CompactString),
}

impl Answer {
    /// Returns the error kind of the answer, or `None` for [`Answer::Done`].
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_coordination::claim::{Answer, NotRunCause};
    /// use rosemarybank_protocol::error::ErrorKind;
    ///
    /// let answer = Answer::NotRun { cause: NotRunCause::StoreUnavailable };
    /// assert_eq!(answer.error_kind(), Some(ErrorKind::StoreUnavailable));
    /// ```
    #[must_use]
    pub fn error_kind(&self) -> Option<ErrorKind> {
        match self {
            Answer::Done { .. } => None,
            Answer::NotRun { cause: NotRunCause::StoreUnavailable } => {
                Some(ErrorKind::StoreUnavailable)
            }
            Answer::NotRun { cause: NotRunCause::Deadline } => Some(ErrorKind::DeadlineUnreachable),
            Answer::NotRun { cause: NotRunCause::Refused(_) } => Some(ErrorKind::NoReplica),
            Answer::Unknown { .. } => Some(ErrorKind::OutcomeUnknown),
            Answer::KeyConflict => Some(ErrorKind::KeyConflict),
        }
    }
}

/// Returns the outcome of an action according to its stored claim, for `GET .../actions/{key}`.
///
/// A claim in `Sending` is reported as unknown because its owner may have sent the action or
/// may still send it.
#[must_use]
pub fn claim_outcome(claim: &Claim) -> ActionOutcome {
    match &claim.state {
        ClaimState::Sending { owner, .. } => ActionOutcome::Unknown {
            reason: compact_str::format_compact!("claimed by {owner}, which has not reported yet"),
        },
        ClaimState::Ended { outcome } => outcome.clone(),
    }
}
