//! One-time actions as callers send and receive them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/services/{service}/actions`.
///
/// The `idempotency-key` header carries a UUIDv7 whose timestamp bounds how long the key is valid.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActionRequest {
    /// The order entry or permit request, as its upstream reads it.
    pub body: CompactString,
    /// Time allowed in milliseconds; the service's default when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// Body of an answer about an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResponse {
    /// The idempotency key.
    pub key: CompactString,
    /// What became of the action.
    pub outcome: ActionOutcome,
    /// Identifier of the trace, 32 hexadecimal digits.
    pub trace_id: CompactString,
}

/// What became of an action, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ActionOutcome {
    /// It took effect once; `result` is the upstream's reply.
    Done {
        /// The upstream's reply.
        result: CompactString,
    },
    /// The request that is answered has not run, and no attempt made for it can still run. An
    /// earlier request under the same key may have an outcome of its own.
    NotRun {
        /// Why it was not run.
        reason: CompactString,
    },
    /// It may or may not have taken effect. It is never sent again under this key.
    Unknown {
        /// What was seen last.
        reason: CompactString,
    },
}
