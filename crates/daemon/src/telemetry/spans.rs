use std::collections::VecDeque;

use compact_str::CompactString;
use serde::Serialize;

use super::record::Span;

/// The most recent spans, up to a limit.
pub(super) struct SpanBuffer {
    spans: VecDeque<Span>,
    limit: usize,
}

/// Response of the admin port's `/traces/<id>`.
#[derive(Debug, Serialize)]
pub(super) struct Trace {
    /// Id of the trace.
    pub(super) trace_id: CompactString,
    /// Its spans, sorted by start time.
    pub(super) spans: Vec<SpanView>,
}

/// A span in a [`Trace`].
#[derive(Debug, Serialize)]
pub(super) struct SpanView {
    span_id: String,
    parent_id: Option<String>,
    hop: &'static str,
    /// Microseconds since the start of the instance.
    start_us: u128,
    duration_us: u128,
    detail: CompactString,
}

impl SpanBuffer {
    /// Creates a buffer for up to `limit` spans.
    pub(super) fn new(limit: usize) -> SpanBuffer {
        SpanBuffer { spans: VecDeque::new(), limit }
    }

    /// Adds a span. A full buffer drops its oldest span.
    pub(super) fn push(&mut self, span: Span) {
        if self.limit == 0 {
            return;
        }
        if self.spans.len() == self.limit {
            self.spans.pop_front();
        }
        self.spans.push_back(span);
    }

    /// Returns the buffered spans of a trace, or `None` if there are none.
    pub(super) fn trace(&self, trace_id: u128) -> Option<Trace> {
        let mut spans: Vec<&Span> =
            self.spans.iter().filter(|it| it.trace.trace_id == trace_id).collect();
        spans.sort_by_key(|it| it.start);
        let first = spans.first()?;
        let trace_id = first.trace.trace_id_hex();
        Some(Trace { trace_id, spans: spans.into_iter().map(span_view).collect() })
    }
}

fn span_view(span: &Span) -> SpanView {
    let parent = span.trace.parent_id;
    SpanView {
        span_id: format!("{:016x}", span.trace.span_id),
        parent_id: (parent != 0).then(|| format!("{parent:016x}")),
        hop: span.hop.name(),
        start_us: span.start.as_micros(),
        duration_us: span.end.saturating_sub(span.start).as_micros(),
        detail: span.detail.clone(),
    }
}
