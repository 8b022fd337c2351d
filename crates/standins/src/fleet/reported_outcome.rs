//! What callers are told of actions.

use serde_json::Value;

/// What a caller was told of an action. Of several answers under one key the least counts: one that
/// says done outweighs the others, and an unknown outcome outweighs one that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportedOutcome {
    /// It took effect once.
    Done,
    /// It may or may not have taken effect; also what a caller knows without an answer.
    Unknown,
    /// It was not run.
    NotRun,
}

impl ReportedOutcome {
    /// Reads an answer to an action, successful or not.
    ///
    /// # Panics
    ///
    /// Panics when the answer is not of the documented form.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_standins::fleet::ReportedOutcome;
    /// use serde_json::json;
    ///
    /// assert_eq!(ReportedOutcome::from_response(&json!({ "outcome": { "state": "done" } })), ReportedOutcome::Done);
    /// assert_eq!(ReportedOutcome::from_response(&json!({ "execution": "not_run" })), ReportedOutcome::NotRun);
    /// ```
    #[must_use]
    pub fn from_response(answer: &Value) -> ReportedOutcome {
        let state = answer["outcome"]["state"].as_str().or_else(|| answer["execution"].as_str());
        match state {
            Some("done") => ReportedOutcome::Done,
            Some("not_run") => ReportedOutcome::NotRun,
            Some("unknown") => ReportedOutcome::Unknown,
            _ => panic!("neither an outcome nor an error: {answer}"),
        }
    }

    /// Whether an action with this number of effects may be told so.
    #[must_use]
    pub fn is_consistent_with(self, effects: usize) -> bool {
        match self {
            ReportedOutcome::Done => effects == 1,
            ReportedOutcome::NotRun => effects == 0,
            ReportedOutcome::Unknown => effects <= 1,
        }
    }
}
