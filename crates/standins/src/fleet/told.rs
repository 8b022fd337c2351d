//! What callers are told of actions.

use serde_json::Value;

/// What a caller was told of an action. Of several answers under one key the least counts: one that
/// says done outweighs the others, and an unknown outcome outweighs one that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// It took effect once.
    Done,
    /// It may or may not have taken effect; also what a caller knows without an answer.
    Unknown,
    /// It was not run.
    NotRun,
}

impl Told {
    /// Reads an answer to an action, successful or not.
    ///
    /// # Panics
    ///
    /// Panics when the answer is not of the documented form.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_standins::fleet::Told;
    /// use serde_json::json;
    ///
    /// assert_eq!(Told::of(&json!({ "outcome": { "state": "done" } })), Told::Done);
    /// assert_eq!(Told::of(&json!({ "execution": "not_run" })), Told::NotRun);
    /// ```
    #[must_use]
    pub fn of(answer: &Value) -> Told {
        let state = answer["outcome"]["state"].as_str().or_else(|| answer["execution"].as_str());
        match state {
            Some("done") => Told::Done,
            Some("not_run") => Told::NotRun,
            Some("unknown") => Told::Unknown,
            _ => panic!("neither an outcome nor an error: {answer}"),
        }
    }

    /// Whether an action with this number of effects may be told so.
    #[must_use]
    pub fn allows(self, effects: usize) -> bool {
        match self {
            Told::Done => effects == 1,
            Told::NotRun => effects == 0,
            Told::Unknown => effects <= 1,
        }
    }
}
