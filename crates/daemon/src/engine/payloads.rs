use std::{collections::HashMap, sync::Arc};

use rosemarybank_protocol::{id::Time, prelude::*, upstream::UpstreamAction};
use rosemarybank_query::interface::{DispatchId, QueryId};

use crate::{message::SearchPayload, trace::TraceContext};

/// Content of the searches and actions in the engine that is sent to upstreams and does not affect
/// the engine's decisions.
#[derive(Default)]
pub(super) struct Payloads {
    /// Searches in the engine.
    pub(super) searches: HashMap<QueryId, PendingSearch>,
    /// Actions in the engine.
    pub(super) actions: HashMap<DispatchId, PendingAction>,
}

/// A search in the engine.
pub(super) struct PendingSearch {
    /// Content that is forwarded to upstreams.
    pub(super) payload: Arc<SearchPayload>,
    /// Span of the search in the engine.
    pub(super) trace: TraceContext,
    /// Time at which the search was submitted.
    pub(super) start: Time,
}

/// An action in the engine.
pub(super) struct PendingAction {
    /// Action to send to the upstream.
    pub(super) action: UpstreamAction,
    /// Span of the action in the engine.
    pub(super) trace: TraceContext,
    /// Time at which the action was dispatched.
    pub(super) start: Time,
}

/// Label of a search's result in the detail of its span.
pub(super) fn result_label<T>(
    answer: &Result<T, rosemarybank_query::interface::Refusal>,
) -> &'static str {
    match answer {
        Ok(_) => "answered",
        Err(refusal) => match refusal.kind {
            ErrorKind::Overloaded => "overloaded",
            ErrorKind::DeadlineUnreachable => "deadline unreachable",
            ErrorKind::Quarantined => "quarantined",
            ErrorKind::NoReplica => "no replica",
            ErrorKind::Incomplete => "incomplete",
            _ => "refused",
        },
    }
}
