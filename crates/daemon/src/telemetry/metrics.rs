use cadence::{Counted, Gauged, Histogrammed, StatsdClient};

use super::{
    record::{Counter, Gauge, RequestRecord, Span},
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
            .count_with_tags("requests_total", 1)
            .with_tag("service", &request.service)
            .with_tag("status", &status)
            .try_send();
        let _ = self
            .client
            .histogram_with_tags("request_duration_us", took)
            .with_tag("service", &request.service)
            .try_send();
    }

    /// Adds the duration of a hop.
    pub(super) fn span(&self, span: &Span) {
        let took = span.end.saturating_sub(span.start).as_micros();
        let took = u64::try_from(took).unwrap_or(u64::MAX);
        let _ = self
            .client
            .histogram_with_tags("hop_duration_us", took)
            .with_tag("hop", span.hop.name())
            .try_send();
    }

    /// Counts events.
    pub(super) fn count(&self, counter: Counter, n: u64) {
        let n = i64::try_from(n).unwrap_or(i64::MAX);
        let _ = self.client.count(counter_name(counter), n);
    }

    /// Sets a level.
    pub(super) fn gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.client.gauge(gauge_name(gauge), value);
    }
}

fn counter_name(counter: Counter) -> &'static str {
    match counter {
        Counter::RingFull => "ring_full_total",
        Counter::Connections => "connections_total",
        Counter::SilentConnections => "silent_connections_total",
        Counter::PlatformCalls => "platform_calls_total",
        Counter::PlatformFailures => "platform_failures_total",
        Counter::PeerMessages => "peer_messages_total",
        Counter::PeerFailures => "peer_failures_total",
        Counter::BundlesRefused => "bundles_refused_total",
        Counter::ClaimsDeleted => "claims_deleted_total",
        Counter::ClaimsUnreadable => "claims_unreadable_total",
        Counter::Attempts => "attempts_total",
        Counter::UselessReplies => "useless_replies_total",
        Counter::RecordsDropped => "records_dropped_total",
    }
}

fn gauge_name(gauge: Gauge) -> &'static str {
    match gauge {
        Gauge::Version => "version",
        Gauge::FleetSize => "fleet_size",
        Gauge::QueriesInFlight => "queries_in_flight",
        Gauge::AttemptsInFlight => "attempts_in_flight",
        Gauge::ActionsInFlight => "actions_in_flight",
        Gauge::Quarantined => "quarantined",
        Gauge::Replicas => "replicas",
    }
}
