//! Error kinds of the API, with the HTTP status, execution state and help text of each.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coverage::Coverage;

/// Kind of an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The body is not JSON or does not match the documented schema.
    MalformedBody,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The value of a header or field is outside its documented range.
    InvalidArgument,
    /// The bearer token is missing or does not belong to any caller.
    Unauthenticated,
    /// The caller may not use the service.
    Forbidden,
    /// The active bundle does not define the service.
    UnknownService,
    /// The path does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The idempotency key of an action is missing.
    MissingIdempotencyKey,
    /// The idempotency key is not a UUIDv7, or its timestamp is outside the accepted window.
    InvalidIdempotencyKey,
    /// The idempotency key was already used for a different request.
    KeyConflict,
    /// The request crashes upstreams and is temporarily refused.
    Quarantined,
    /// The instance sheds load.
    Overloaded,
    /// The deadline can't be met, or it passed before the request was executed.
    DeadlineUnreachable,
    /// The instance has no confirmed configuration or is shutting down.
    NotReady,
    /// The platform's store, which coordinates actions, is unreachable.
    StoreUnavailable,
    /// No replica was available for the request.
    NoReplica,
    /// The caller required complete coverage, which was not reached before the deadline.
    Incomplete,
    /// The action may or may not have taken effect.
    OutcomeUnknown,
    /// An internal invariant was violated.
    Internal,
}

/// Whether a failed request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream executed any part of it, and none can still do so.
    NotRun,
    /// Upstreams executed part or all of a search, which has no side effects.
    Partial,
    /// It may have been executed.
    Unknown,
}

/// HTTP status, execution state and help text of an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorSpec {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed.
    pub execution: Execution,
    /// How the caller can resolve the error.
    pub help: &'static str,
}

impl ErrorKind {
    /// All kinds, in the order in which the API documentation lists them.
    pub const ALL: [ErrorKind; 20] = [
        ErrorKind::MalformedBody,
        ErrorKind::BodyTooLarge,
        ErrorKind::InvalidArgument,
        ErrorKind::Unauthenticated,
        ErrorKind::Forbidden,
        ErrorKind::UnknownService,
        ErrorKind::NotFound,
        ErrorKind::MethodNotAllowed,
        ErrorKind::MissingIdempotencyKey,
        ErrorKind::InvalidIdempotencyKey,
        ErrorKind::KeyConflict,
        ErrorKind::Quarantined,
        ErrorKind::Overloaded,
        ErrorKind::DeadlineUnreachable,
        ErrorKind::NotReady,
        ErrorKind::StoreUnavailable,
        ErrorKind::NoReplica,
        ErrorKind::Incomplete,
        ErrorKind::OutcomeUnknown,
        ErrorKind::Internal,
    ];

    /// Returns the HTTP status, execution state and help text of this kind.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_protocol::error::{ErrorKind, Execution};
    ///
    /// let spec = ErrorKind::Overloaded.spec();
    /// assert_eq!((spec.status, spec.execution), (503, Execution::NotRun));
    /// ```
    #[must_use]
    pub const fn spec(self) -> ErrorSpec {
        use Execution::{NotRun, Partial, Unknown};
        let (status, execution, help) = match self {
            ErrorKind::MalformedBody => (400, NotRun, "send the JSON body that docs/api.md shows"),
            ErrorKind::BodyTooLarge => (413, NotRun, "shorten the body below limits.body_bytes"),
            ErrorKind::InvalidArgument => (400, NotRun, "correct the field that the message names"),
            ErrorKind::Unauthenticated => (401, NotRun, "send a bearer token of a listed caller"),
            ErrorKind::Forbidden => (403, NotRun, "ask an operator to list the service for you"),
            ErrorKind::UnknownService => (404, NotRun, "check the service name in the path"),
            ErrorKind::NotFound => (404, NotRun, "use a path that docs/api.md lists"),
            ErrorKind::MethodNotAllowed => (405, NotRun, "use the method that docs/api.md lists"),
            ErrorKind::MissingIdempotencyKey => (400, NotRun, "send an idempotency-key header"),
            ErrorKind::InvalidIdempotencyKey => {
                (400, NotRun, "make a new UUIDv7 for each action and use it within 24 hours")
            }
            ErrorKind::KeyConflict => (409, NotRun, "use a new key for another action"),
            ErrorKind::Quarantined => (422, NotRun, "change the request or ask an operator"),
            ErrorKind::Overloaded => (503, NotRun, "retry after the time in retry-after"),
            ErrorKind::DeadlineUnreachable => (504, NotRun, "allow more time or retry later"),
            ErrorKind::NotReady => (503, NotRun, "retry at another instance"),
            ErrorKind::StoreUnavailable => (503, NotRun, "retry with the same idempotency key"),
            ErrorKind::NoReplica => (503, NotRun, "retry after the time in retry-after"),
            ErrorKind::Incomplete => (504, Partial, "retry, or accept partial coverage"),
            ErrorKind::OutcomeUnknown => {
                (502, Unknown, "look the action up by its key; never send it under a new key first")
            }
            ErrorKind::Internal => (500, Unknown, "report the trace id to the operators"),
        };
        ErrorSpec { status, execution, help }
    }
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind of the error.
    pub error: ErrorKind,
    /// Human-readable description of the error.
    pub message: CompactString,
    /// Whether the request was executed.
    pub execution: Execution,
    /// How the caller can resolve the error.
    pub help: CompactString,
    /// Recommended delay before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Coverage that was reached; set for [`ErrorKind::Incomplete`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
    /// Trace identifier, 32 hexadecimal digits.
    pub trace_id: CompactString,
}

impl ErrorBody {
    /// Builds an error body with the execution state and help text of the kind.
    #[must_use]
    pub fn new(error: ErrorKind, message: impl Into<CompactString>) -> ErrorBody {
        let spec = error.spec();
        ErrorBody {
            error,
            message: message.into(),
            execution: spec.execution,
            help: spec.help.into(),
            retry_after_ms: None,
            coverage: None,
            trace_id: CompactString::default(),
        }
    }
}
