use cadence::{Counted, Gauged, Histogrammed, StatsdClient};

use super::{
    names::{Counter, Gauge, RequestMetric},
    record::{RequestRecord, Span},
    sink::MemorySink,
};

/// Turns records into metrics.
pub(super) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends metrics to a sink.
    pub(super) fn new(sink: MemorySink) -> Metrics {
        Metrics { client: StatsdClient::from_sink("rosemarybank", sink) }
    }

    /// Counts an answered request.
    pub(super) fn request(&self, request: &RequestRecord) {
        let status = request.status.to_string();
        let took = u64::try_from(request.took.as_micros()).unwrap_or(u64::MAX);
        let _ = self
            .client
            .count_with_tags(RequestMetric::Requests.name(), 1)
            .with_tag("service", &request.service)
            .with_tag("status", &status)
            .try_send();
        let _ = self
            .client
            .histogram_with_tags(RequestMetric::RequestDuration.name(), took)
            .with_tag("service", &request.service)
            .try_send();
    }

    /// Adds the duration of a hop.
    pub(super) fn span(&self, span: &Span) {
        let took = span.end.saturating_sub(span.start).as_micros();
        let took = u64::try_from(took).unwrap_or(u64::MAX);
        let _ = self
            .client
            .histogram_with_tags(RequestMetric::HopDuration.name(), took)
            .with_tag("hop", span.hop.name())
            .try_send();
    }

    /// Counts events.
    pub(super) fn count(&self, counter: Counter, n: u64) {
        let n = i64::try_from(n).unwrap_or(i64::MAX);
        let mut metric = self.client.count_with_tags(counter.name(), n);
        if let Some((key, value)) = counter.label() {
            metric = metric.with_tag(key, value);
        }
        let _ = metric.try_send();
    }

    /// Sets a level.
    pub(super) fn gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.client.gauge(gauge.name(), value);
    }
}
