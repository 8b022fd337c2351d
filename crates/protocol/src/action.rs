//! Request and response types of the action API.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/services/{service}/actions`.
///
/// The `idempotency-key` header carries a UUIDv7 whose timestamp bounds how long the key is valid.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActionRequest {
    /// Content of the action, such as an order entry; passed to the upstream unchanged.
    pub body: CompactString,
    /// Timeout in milliseconds; defaults to the timeout of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// Body of a successful response about an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// The idempotency key.
    pub key: CompactString,
    /// Outcome of the action.
    pub outcome: ActionOutcome,
    /// Trace identifier, 32 hexadecimal digits.
    pub trace_id: CompactString,
}

/// Known outcome of an action.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ActionOutcome {
    /// The action took effect exactly once.
    Done {
        /// Result that the upstream returned.
        result: CompactString,
    },
    /// This request was not executed, and none of its attempts can still be executed. An earlier
    /// request with the same key may have a different outcome.
    NotRun {
        /// Why it was not executed.
        reason: CompactString,
    },
    /// The action may or may not have taken effect. It is never sent again under this key.
    Unknown {
        /// Why the outcome is unknown.
        reason: CompactString,
    },
}
