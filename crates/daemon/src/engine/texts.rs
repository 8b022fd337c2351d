use std::{collections::HashMap, sync::Arc};

use rosemarybank_protocol::{id::Time, prelude::*, upstream::UpstreamAction};
use rosemarybank_query::interface::{DispatchId, QueryId};

use crate::{message::SearchPayload, trace::TraceContext};

/// What the engine's decisions do not need but its sends do.
#[derive(Default)]
pub(super) struct Texts {
    /// Searches in the engine.
    pub(super) searches: HashMap<QueryId, SearchInEngine>,
    /// Actions in the engine.
    pub(super) actions: HashMap<DispatchId, ActionInEngine>,
}

/// A search in the engine.
pub(super) struct SearchInEngine {
    /// Text and trace.
    pub(super) text: Arc<SearchPayload>,
    /// Span of the search in the engine.
    pub(super) trace: TraceContext,
    /// When it was submitted.
    pub(super) start: Time,
}

/// An action in the engine.
pub(super) struct ActionInEngine {
    /// What is sent to the upstream.
    pub(super) action: UpstreamAction,
    /// Span of the action in the engine.
    pub(super) trace: TraceContext,
    /// When it was dispatched.
    pub(super) start: Time,
}

/// How a search ended, for its span.
pub(super) fn describe<T>(
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
