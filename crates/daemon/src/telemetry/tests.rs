use std::{collections::BTreeSet, time::Duration};

use compact_str::CompactString;

use super::{metrics::Metrics, names::RequestMetric, sink::MemorySink, spans::Spans, *};
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

/// Guards against a metric that operators cannot look up, one that is documented but no longer
/// exists, and a table that gives the wrong type or labels.
#[test]
fn the_table_of_metrics_lists_exactly_the_metrics() {
    let counters = Counter::ALL.iter().map(|it| it.name());
    let gauges = Gauge::ALL.iter().map(|it| it.name());
    let requests = RequestMetric::ALL.iter().map(|it| it.name());
    let named: BTreeSet<String> =
        counters.chain(gauges).chain(requests).map(|it| format!("rosemarybank_{it}")).collect();

    let sink = MemorySink::new(None).unwrap();
    let metrics = Metrics::new(sink.clone());
    metrics.request(&RequestRecord { service: "lots".into(), status: 200, took: Duration::ZERO });
    metrics.span(&span(TraceContext::continue_from(None), 1));
    Counter::ALL.iter().for_each(|it| metrics.count(*it, 1));
    Gauge::ALL.iter().for_each(|it| metrics.gauge(*it, 1));
    let shown = shown(&sink.render());
    let documented = documented(include_str!("../../../../docs/OPERATIONS.md"));

    assert_eq!(shown.iter().map(|it| it.name.clone()).collect::<BTreeSet<_>>(), named);
    assert_eq!(shown, documented);
}

/// A metric with the names of its labels, separated by commas.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Described {
    name: String,
    kind: String,
    labels: String,
}

fn shown(text: &str) -> BTreeSet<Described> {
    let mut lines = text.lines().peekable();
    let mut found = BTreeSet::new();
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
        found.insert(Described { name, kind, labels });
    }
    found
}

fn documented(page: &str) -> BTreeSet<Described> {
    let rows = page.lines().filter(|it| it.starts_with("| `rosemarybank_"));
    let mut found = BTreeSet::new();
    for row in rows {
        let cells: Vec<_> = row.split('|').map(str::trim).collect();
        for metric in cells[1].split(", ") {
            let metric = metric.trim_matches('`');
            let (name, labels) = metric.split_once('{').unwrap_or((metric, ""));
            let labels = labels.trim_end_matches('}').to_owned();
            let described = Described { name: name.to_owned(), kind: cells[2].to_owned(), labels };
            assert!(found.insert(described), "{metric} is listed twice");
        }
    }
    found
}
