use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_protocol::{
    coverage::Coverage,
    error::{ErrorBody, ErrorKind, Execution},
};
use rosemarybank_query::interface::Refusal;

/// Error of a request, with the body of its error response.
#[derive(Debug)]
pub struct RequestError(Box<ErrorBody>);

impl RequestError {
    /// Creates an error with a human-readable message.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<CompactString>) -> RequestError {
        RequestError(Box::new(ErrorBody::new(kind, message)))
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> RequestError {
        self.0.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Converts the engine's refusal of a search.
    #[must_use]
    pub fn from_refusal(refusal: Refusal) -> RequestError {
        let Refusal { kind, execution, retry_after, coverage } = refusal;
        let message = match (kind, execution) {
            (ErrorKind::Overloaded, _) => "the instance sheds load",
            (ErrorKind::DeadlineUnreachable, _) => "the deadline can't be met",
            (ErrorKind::Quarantined, _) => "the request crashed upstreams and is quarantined",
            (ErrorKind::NoReplica, _) => "no replica could take the request",
            (ErrorKind::Incomplete, _) => "the records were not covered in time",
            (ErrorKind::NotReady, _) => "the instance has no configuration yet",
            _ => "the request failed",
        };
        let mut err = RequestError::new(kind, message);
        err.0.execution = execution;
        err.0.coverage = coverage;
        match retry_after {
            Some(after) => err.retry_after(after),
            None => err,
        }
    }

    /// Returns the body of the error response.
    #[must_use]
    pub fn into_body(self, trace_id: CompactString) -> ErrorBody {
        ErrorBody { trace_id, ..*self.0 }
    }

    /// Overrides whether the request is reported as executed.
    #[must_use]
    pub fn execution(mut self, execution: Execution) -> RequestError {
        self.0.execution = execution;
        self
    }

    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.0.error
    }

    /// Adds the coverage that the search reached.
    #[must_use]
    pub fn coverage(mut self, coverage: Coverage) -> RequestError {
        self.0.coverage = Some(coverage);
        self
    }
}
