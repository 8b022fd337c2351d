use cadence::{Counted, Gauged, Histogrammed, StatsdClient};

use super::{
    names::{Counter, Gauge, RequestMetric},
    record::{RequestRecord, Span},
    sink::MemorySink,
};

/// Converts records to metrics.
pub(super) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a converter that sends its metrics to `sink`.
    pub(super) fn new(sink: MemorySink) -> Metrics {
        Metrics { client: StatsdClient::from_sink("rosemarybank", sink) }
    }

    /// Records a completed request and its duration.
    pub(super) fn record_request(&self, request: &RequestRecord) {
        let status = request.status.to_string();
        let duration = u64::try_from(request.duration.as_micros()).unwrap_or(u64::MAX);
        let _ = self
            .client
            .count_with_tags(RequestMetric::Requests.name(), 1)
            .with_tag("service", &request.service)
            .with_tag("status", &status)
            .try_send();
        let _ = self
            .client
            .histogram_with_tags(RequestMetric::RequestDuration.name(), duration)
            .with_tag("service", &request.service)
            .try_send();
    }

    /// Records the duration of a span.
    pub(super) fn record_span(&self, span: &Span) {
        let duration = span.end.saturating_sub(span.start).as_micros();
        let duration = u64::try_from(duration).unwrap_or(u64::MAX);
        let _ = self
            .client
            .histogram_with_tags(RequestMetric::HopDuration.name(), duration)
            .with_tag("hop", span.hop.name())
            .try_send();
    }

    /// Increments a counter by `n`.
    pub(super) fn count(&self, counter: Counter, n: u64) {
        let n = i64::try_from(n).unwrap_or(i64::MAX);
        let mut metric = self.client.count_with_tags(counter.name(), n);
        if let Some((key, value)) = counter.label() {
            metric = metric.with_tag(key, value);
        }
        let _ = metric.try_send();
    }

    /// Sets a gauge.
    pub(super) fn set_gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.client.gauge(gauge.name(), value);
    }
}
