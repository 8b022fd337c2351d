use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_protocol::{
    coverage::Coverage,
    error::{ErrorBody, ErrorKind, Execution},
};
use rosemarybank_query::interface::Refusal;

/// A request that ends with an error answer.
#[derive(Debug)]
pub struct Fail(Box<ErrorBody>);

impl Fail {
    /// An error of a kind, with a message for people.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<CompactString>) -> Fail {
        Fail(Box::new(ErrorBody::new(kind, message)))
    }

    /// Adds the time after which a retry makes sense.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Fail {
        self.0.retry_after_ms = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// The error that a search without a result ends with.
    #[must_use]
    pub fn from_refusal(refusal: Refusal) -> Fail {
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
        let mut fail = Fail::new(kind, message);
        fail.0.execution = execution;
        fail.0.coverage = coverage;
        match retry_after {
            Some(after) => fail.retry_after(after),
            None => fail,
        }
    }

    /// The body of the answer.
    #[must_use]
    pub fn into_body(self, trace_id: CompactString) -> ErrorBody {
        ErrorBody { trace_id, ..*self.0 }
    }

    /// Overrides whether the request was run.
    #[must_use]
    pub fn execution(mut self, execution: Execution) -> Fail {
        self.0.execution = execution;
        self
    }

    /// Kind of the error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.0.error
    }

    /// Adds what the answer covered.
    #[must_use]
    pub fn coverage(mut self, coverage: Coverage) -> Fail {
        self.0.coverage = Some(coverage);
        self
    }
}
