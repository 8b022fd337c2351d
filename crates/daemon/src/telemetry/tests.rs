use std::time::Duration;

use compact_str::CompactString;

use super::{metrics::Metrics, sink::MemorySink, spans::Spans, *};
use crate::trace::TraceContext;

fn span(trace: TraceContext, start_ms: u64) -> Span {
    let (start, end) = (Duration::from_millis(start_ms), Duration::from_millis(start_ms + 3));
    Span {
        trace,
        hop: Hop::Attempt,
        start,
        end,
        detail: CompactString::const_new("lots-1 replied"),
    }
}

/// Guards against metrics that the text form loses, or shows under another name or label.
#[test]
fn metrics_are_rendered_as_text() {
    let sink = MemorySink::new(None).unwrap();
    let metrics = Metrics::new(sink.clone());
    for (status, took_us) in [(200, 900), (200, 1_500), (503, 90)] {
        let took = Duration::from_micros(took_us);
        metrics.request(&RequestRecord { service: "lots".into(), status, took });
    }
    metrics.count(Counter::PlatformCalls, 4);
    metrics.count(Counter::PlatformCalls, 3);
    metrics.gauge(Gauge::FleetSize, 6);
    metrics.gauge(Gauge::FleetSize, 5);
    insta::assert_snapshot!(sink.render());
}

/// Guards against a span store that grows without limit or forgets the newest spans.
#[test]
fn old_spans_make_room_for_new_ones() {
    let mut spans = Spans::new(2);
    let (first, second) = (TraceContext::continue_from(None), TraceContext::continue_from(None));
    spans.push(span(first, 1));
    spans.push(span(second, 7));
    spans.push(span(second.child(), 5));
    assert!(spans.trace(first.trace_id).is_none());
    let kept = spans.trace(second.trace_id).unwrap();
    assert_eq!(kept.spans.len(), 2);
    assert!(serde_json::to_string(&kept).unwrap().contains("\"start_us\":5000"));
}
