//! The closed list of error kinds and the table from kind to answer.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coverage::Coverage;

/// What a caller can be told when a request does not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The body is not JSON of the documented form.
    MalformedBody,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// A header or field has a value outside its documented range.
    InvalidArgument,
    /// The bearer token is missing or names no caller.
    Unauthenticated,
    /// The caller may not use the service.
    Forbidden,
    /// The bundle in force has no such service.
    UnknownService,
    /// No such path.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// An action came without an idempotency key.
    MissingIdempotencyKey,
    /// The idempotency key is not a UUIDv7 or lies outside its window.
    InvalidIdempotencyKey,
    /// The idempotency key was used with another body.
    KeyConflict,
    /// The request crashes upstreams and is refused for a while.
    Quarantined,
    /// The instance sheds load.
    Overloaded,
    /// The deadline can't be met, or passed before the request was run.
    DeadlineUnreachable,
    /// The instance has no confirmed configuration, or is stopping.
    NotReady,
    /// Coordination needs the platform's store, which can't be reached.
    StoreUnavailable,
    /// No replica could take the request.
    NoReplica,
    /// The caller asked for complete coverage and it was not reached in time.
    Incomplete,
    /// An action may or may not have taken effect.
    OutcomeUnknown,
    /// An invariant of the instance failed.
    Internal,
}

/// Whether the request of a failed answer was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream ran any part of it, nor can one still run it.
    NotRun,
    /// Upstreams ran some or all of a search, which has no effect.
    Partial,
    /// It may have been run.
    Unknown,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorSpec {
    /// HTTP status.
    pub status: u16,
    /// Whether the request was run.
    pub execution: Execution,
    /// What the caller can do about it.
    pub help: &'static str,
}

impl ErrorKind {
    /// All kinds, in the order of the documentation.
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

    /// The answer for this kind.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_protocol::error::{ErrorKind, Execution};
    ///
    /// let row = ErrorKind::Overloaded.spec();
    /// assert_eq!((row.status, row.execution), (503, Execution::NotRun));
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

/// Body of an answer that reports an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The kind.
    pub error: ErrorKind,
    /// What happened, for people.
    pub message: CompactString,
    /// Whether the request was run.
    pub execution: Execution,
    /// What the caller can do.
    pub help: CompactString,
    /// Time after which a retry makes sense, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Coverage that was reached, for [`ErrorKind::Incomplete`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
    /// Identifier of the trace, 32 hexadecimal digits.
    pub trace_id: CompactString,
}

impl ErrorBody {
    /// Builds the body for a kind from the table.
    #[must_use]
    pub fn new(error: ErrorKind, message: impl Into<CompactString>) -> ErrorBody {
        let row = error.spec();
        ErrorBody {
            error,
            message: message.into(),
            execution: row.execution,
            help: row.help.into(),
            retry_after_ms: None,
            coverage: None,
            trace_id: CompactString::default(),
        }
    }
}
