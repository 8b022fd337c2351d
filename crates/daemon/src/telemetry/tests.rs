use std::{collections::BTreeSet, time::Duration};

use compact_str::CompactString;

use super::{metrics::Metrics, names::RequestMetric, sink::MemorySink, spans::SpanBuffer, *};
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

/// Guards against metrics that are missing from the text format or have a wrong name or label.
#[test]
fn metrics_are_rendered_as_text() {
    let sink = MemorySink::new(None).unwrap();
    let metrics = Metrics::new(sink.clone());
    for (status, duration_us) in [(200, 900), (200, 1_500), (503, 90)] {
        let duration = Duration::from_micros(duration_us);
        metrics.record_request(&RequestRecord { service: "lots".into(), status, duration });
    }
    metrics.count(Counter::PlatformCalls, 4);
    metrics.count(Counter::PlatformCalls, 3);
    metrics.set_gauge(Gauge::FleetSize, 6);
    metrics.set_gauge(Gauge::FleetSize, 5);
    insta::assert_snapshot!(sink.render());
}

/// Guards against a span buffer that grows without limit or drops the newest spans.
#[test]
fn a_full_span_buffer_drops_its_oldest_spans() {
    let mut spans = SpanBuffer::new(2);
    let (first, second) = (TraceContext::continue_from(None), TraceContext::continue_from(None));
    spans.push(span(first, 1));
    spans.push(span(second, 7));
    spans.push(span(second.child(), 5));
    assert!(spans.trace(first.trace_id).is_none());
    let trace = spans.trace(second.trace_id).unwrap();
    assert_eq!(trace.spans.len(), 2);
    assert!(serde_json::to_string(&trace).unwrap().contains("\"start_us\":5000"));
}

/// Guards against a metric that is missing from the table in the operators' document, a documented
/// metric that no longer exists, and a row with a wrong type or wrong labels.
#[test]
fn the_documented_metrics_match_the_exported_metrics() {
    let counters = Counter::ALL.iter().map(|it| it.name());
    let gauges = Gauge::ALL.iter().map(|it| it.name());
    let requests = RequestMetric::ALL.iter().map(|it| it.name());
    let names: BTreeSet<String> =
        counters.chain(gauges).chain(requests).map(|it| format!("rosemarybank_{it}")).collect();

    let sink = MemorySink::new(None).unwrap();
    let metrics = Metrics::new(sink.clone());
    metrics.record_request(&RequestRecord {
        service: "lots".into(),
        status: 200,
        duration: Duration::ZERO,
    });
    metrics.record_span(&span(TraceContext::continue_from(None), 1));
    Counter::ALL.iter().for_each(|it| metrics.count(*it, 1));
    Gauge::ALL.iter().for_each(|it| metrics.set_gauge(*it, 1));
    let exported = exported(&sink.render());
    let documented = documented(include_str!("../../../../docs/OPERATIONS.md"));

    assert_eq!(exported.iter().map(|it| it.name.clone()).collect::<BTreeSet<_>>(), names);
    assert_eq!(exported, documented);
}

/// A metric with its type and the names of its labels, separated by commas.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MetricDescription {
    name: String,
    kind: String,
    labels: String,
}

fn exported(text: &str) -> BTreeSet<MetricDescription> {
    let mut lines = text.lines().peekable();
    let mut metrics = BTreeSet::new();
    while let Some(line) = lines.next() {
        let Some((name, kind)) = line.strip_prefix("# TYPE ").and_then(|it| it.split_once(' '))
        else {
            continue;
        };
        let first = lines.peek().unwrap();
        let labels = first.split_once('{').and_then(|(_, it)| it.split_once('}'));
        let labels: Vec<_> = labels
            .map_or("", |it| it.0)
            .split(',')
            .filter_map(|it| it.split_once('=').map(|(name, _)| name))
            .filter(|it| *it != "le")
            .collect();
        let (name, kind, labels) = (name.to_owned(), kind.to_owned(), labels.join(","));
        metrics.insert(MetricDescription { name, kind, labels });
    }
    metrics
}

fn documented(page: &str) -> BTreeSet<MetricDescription> {
    let rows = page.lines().filter(|it| it.starts_with("| `rosemarybank_"));
    let mut metrics = BTreeSet::new();
    for row in rows {
        let cells: Vec<_> = row.split('|').map(str::trim).collect();
        for metric in cells[1].split(", ") {
            let metric = metric.trim_matches('`');
            let (name, labels) = metric.split_once('{').unwrap_or((metric, ""));
            let labels = labels.trim_end_matches('}').to_owned();
            let description =
                MetricDescription { name: name.to_owned(), kind: cells[2].to_owned(), labels };
            assert!(metrics.insert(description), "{metric} is listed twice");
        }
    }
    metrics
}
