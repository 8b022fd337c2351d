//! Events, actions and settings of the claim machine.

use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_protocol::{
    platform::{Claim, ClaimState},
    prelude::*,
};
use serde::{Deserialize, Serialize};

/// Entity tag of a stored claim; it changes with each write.
pub type Etag = CompactString;

/// Number of a store call of one machine, given by the machine.
pub type CallId = u32;

/// Limits on the store calls of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// Store calls without a usable reply that are made before the caller is answered.
    pub attempts: u32,
    /// Pause before a failed store call is repeated.
    pub retry_after: Duration,
    /// Time after the caller's deadline that is left to the query engine to report an outcome.
    pub dispatch_grace: Duration,
    /// Store calls made after the caller has been answered, to record the outcome.
    pub background_attempts: u32,
    /// Pause between those calls.
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

/// One request for an action.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Spec {
    /// This instance.
    #[builder(into)]
    pub owner: InstanceId,
    /// Random number that no other request uses.
    pub nonce: u64,
    /// Hash of the service and the body.
    pub fingerprint: Fingerprint,
    /// Time by which the caller needs its answer; the action is not sent after it.
    pub deadline: Time,
    /// Limits on store calls.
    #[builder(default)]
    pub settings: Settings,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The request arrived and its key passed [`key::check`](crate::key::check).
    Start,
    /// A store call ended. Replies to any call but the outstanding one are ignored.
    Store {
        /// The call.
        call: CallId,
        /// Its reply.
        reply: StoreReply,
    },
    /// The query engine reports what became of the dispatched action.
    Dispatched(ActionOutcome),
    /// Time has passed; sent at `next_wakeup`.
    Tick,
}

/// How a store call ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreReply {
    /// The create was applied.
    Created {
        /// Tag of the new object.
        etag: Etag,
    },
    /// The update was applied.
    Updated {
        /// New tag of the object.
        etag: Etag,
    },
    /// The object as read, or as it stands at the end of a wait.
    Found {
        /// The claim.
        claim: Claim,
        /// Its tag.
        etag: Etag,
    },
    /// No such object.
    Missing,
    /// The condition of the create or update did not hold; it was not applied.
    Conflict,
    /// The call was definitely not applied: it was never sent, or the store refused it.
    Failed,
    /// No reply arrived. The call may have been applied or may be applied later.
    Lost,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Create the claim if it does not exist (`If-None-Match: *`).
    Create {
        /// Number of the call.
        call: CallId,
        /// The claim.
        claim: Claim,
    },
    /// Replace the claim if its tag still matches (`If-Match`).
    Update {
        /// Number of the call.
        call: CallId,
        /// The claim.
        claim: Claim,
        /// Expected tag.
        if_match: Etag,
    },
    /// Read the claim.
    Read {
        /// Number of the call.
        call: CallId,
    },
    /// Wait until the tag of the claim differs from `after`, then report [`StoreReply::Found`].
    WaitForChange {
        /// Number of the call.
        call: CallId,
        /// Tag that is already known.
        after: Etag,
        /// Time at which the wait ends with the unchanged claim.
        until: Time,
    },
    /// Hand the action to the query engine. Given at most once.
    Dispatch {
        /// Time after which the engine must not send it.
        deadline: Time,
    },
    /// Answer the caller. Given exactly once.
    Answer(Answer),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The action took effect once.
    Done {
        /// Reply of the upstream.
        result: CompactString,
    },
    /// This request was not run and never will be.
    NotRun {
        /// Why.
        cause: NotRunCause,
    },
    /// The action may or may not have taken effect; it is never sent again under this key.
    Unknown {
        /// What was seen last.
        reason: CompactString,
    },
    /// The key was used with another body.
    KeyConflict,
}

/// Why a request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunCause {
    /// The store did not confirm the claim. This says nothing about an earlier request with the
    /// same key, so the caller must retry under the same key and must not choose a new one.
    StoreUnavailable,
    /// The deadline passed before the claim was confirmed. Like `StoreUnavailable`, this covers
    /// only the request itself.
    Deadline,
    /// No replica ran the action; the text is the engine's reason.
    Refused(CompactString),
}

impl Answer {
    /// Kind of the error answer, or `None` for [`Answer::Done`].
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

/// State of an action as its stored claim shows it, for `GET .../actions/{key}`.
///
/// A claim in `Sending` is reported as unknown, because its owner may send at any moment.
#[must_use]
pub fn claim_outcome(claim: &Claim) -> ActionOutcome {
    match &claim.state {
        ClaimState::Sending { owner, .. } => ActionOutcome::Unknown {
            reason: compact_str::format_compact!("claimed by {owner}, which has not reported yet"),
        },
        ClaimState::Ended { outcome } => outcome.clone(),
    }
}
