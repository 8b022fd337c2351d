//! Outcomes of actions as reported to callers.

use serde_json::Value;

/// Outcome of an action as reported to its caller.
///
/// For several responses under one idempotency key, the smallest value is the combined outcome:
/// `Done` takes precedence over `Unknown`, and `Unknown` over `NotRun`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedOutcome {
    /// The action took effect once.
    Done,
    /// The action may have taken effect. Also used when there is no response.
    Unknown,
    /// The action was not run.
    NotRun,
}

impl ReportedOutcome {
    /// Reads the outcome from the body of a success or error response to an action.
    ///
    /// # Panics
    ///
    /// Panics when the body has neither an outcome nor the `execution` field of an error.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_standins::fleet::ReportedOutcome;
    /// use serde_json::json;
    ///
    /// let done = json!({ "outcome": { "state": "done" } });
    /// let not_run = json!({ "execution": "not_run" });
    ///
    /// assert_eq!(ReportedOutcome::from_response(&done), ReportedOutcome::Done);
    /// assert_eq!(ReportedOutcome::from_response(&not_run), ReportedOutcome::NotRun);
    /// ```
    #[must_use]
    pub fn from_response(response: &Value) -> ReportedOutcome {
        let state =
            response["outcome"]["state"].as_str().or_else(|| response["execution"].as_str());
        match state {
            Some("done") => ReportedOutcome::Done,
            Some("not_run") => ReportedOutcome::NotRun,
            Some("unknown") => ReportedOutcome::Unknown,
            _ => panic!("neither an outcome nor an error: {response}"),
        }
    }

    /// Whether this outcome is correct for an action that took effect `effects` times.
    #[must_use]
    pub fn is_consistent_with(self, effects: usize) -> bool {
        match self {
            ReportedOutcome::Done => effects == 1,
            ReportedOutcome::NotRun => effects == 0,
            ReportedOutcome::Unknown => effects <= 1,
        }
    }
}
