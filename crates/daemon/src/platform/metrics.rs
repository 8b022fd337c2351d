//! Counters of the event loop and their rendering.

use std::{fmt::Write as _, time::Duration};

use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::Answer;

use crate::platform::event_loop::{EventLoop, error_name};

/// Upper bounds of the latency buckets in milliseconds. They cover the latency objectives and the
/// timeouts of routes.
const LATENCY_BUCKETS_MS: [u64; 12] = [5, 10, 20, 40, 75, 100, 150, 300, 600, 1_200, 3_000, 6_000];

/// Counters and gauges of the event loop.
#[derive(Debug, Default)]
pub(super) struct Metrics {
    pub(super) requests: u64,
    pub(super) rejected: u64,
    pub(super) clients_gone: u64,
    /// Most bytes of clients that were read in one iteration.
    pub(super) client_input_turn_max: usize,
    /// Connections of clients beyond the limit.
    pub(super) clients_crowded_out: u64,
    /// Buffers that were released because the memory for clients was used up.
    pub(super) buffers_released: u64,
    /// Attempts sent, by [`AttemptKind`](rosemarybank_query::forward::AttemptKind).
    pub(super) sends: [u64; 3],
    /// Attempts without a usable reply, by [`Failure`](rosemarybank_query::forward::Failure).
    pub(super) attempt_failures: [u64; 8],
    pub(super) answers_dropped: u64,
    pub(super) failed_replies: u64,
    pub(super) foreign_replies: u64,
    pub(super) replicas_leaving: u64,
    pub(super) replicas_backing_off: u64,
    pub(super) connects: u64,
    pub(super) connect_timeouts: u64,
    pub(super) connects_refused: u64,
    pub(super) connects_without_room: u64,
    pub(super) store_calls: u64,
    pub(super) store_failures: u64,
    pub(super) instances: u32,
    relayed: u64,
    merged_complete: u64,
    merged_partial: u64,
    missing_parts: u64,
    refused: [u64; ErrorKind::ALL.len()],
    latency: [u64; LATENCY_BUCKETS_MS.len() + 1],
    latency_sum: Duration,
}

impl Metrics {
    pub(super) fn count_answer(&mut self, answer: &Answer, elapsed: Duration) {
        match answer {
            Answer::Relay(_) => self.relayed += 1,
            Answer::Merged { missing: 0, .. } => self.merged_complete += 1,
            Answer::Merged { missing, .. } => {
                self.merged_partial += 1;
                self.missing_parts += *missing as u64;
            }
            Answer::Refused { kind, .. } => self.refused[*kind as usize] += 1,
        }
        let ms = elapsed.as_millis() as u64;
        let bucket =
            LATENCY_BUCKETS_MS.iter().position(|it| ms <= *it).unwrap_or(LATENCY_BUCKETS_MS.len());
        self.latency[bucket] += 1;
        self.latency_sum += elapsed;
    }
}

impl EventLoop {
    /// Renders all metrics in the Prometheus text format.
    pub(super) fn render_metrics(&self) -> String {
        let mut out = String::new();
        let metrics = &self.metrics;
        let mut put = |name: &str, value: u64| {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "rosemarybank_{name} {value}");
        };
        put("requests_total", metrics.requests);
        put("requests_rejected_total", metrics.rejected);
        put("clients_gone_total", metrics.clients_gone);
        put("clients_crowded_out_total", metrics.clients_crowded_out);
        put("client_input_turn_max_bytes", metrics.client_input_turn_max as u64);
        put("client_memory_bytes", self.buffers.used() as u64);
        put("reply_memory_bytes", self.replies.used() as u64);
        put("client_buffers_released_total", metrics.buffers_released);
        for (kind, count) in ["first", "retry", "hedge"].iter().zip(metrics.sends) {
            put(&format!("sends_total{{kind=\"{kind}\"}}"), count);
        }
        let failures = [
            "not_sent",
            "unreachable",
            "not_accepted",
            "other_replica",
            "broken",
            "abandoned",
            "overlong",
            "no_memory",
        ];
        for (failure, count) in failures.iter().zip(metrics.attempt_failures) {
            put(&format!("attempt_failures_total{{failure=\"{failure}\"}}"), count);
        }
        put("failed_replies_total", metrics.failed_replies);
        put("foreign_replies_total", metrics.foreign_replies);
        put("replicas_leaving_total", metrics.replicas_leaving);
        put("replicas_backing_off_total", metrics.replicas_backing_off);
        put("connects_total", metrics.connects);
        put("connects_refused_total", metrics.connects_refused);
        put("connects_without_room_total", metrics.connects_without_room);
        put("connect_timeouts_total", metrics.connect_timeouts);
        put("store_calls_total", metrics.store_calls);
        put("store_failures_total", metrics.store_failures);
        put("answers_dropped_total", metrics.answers_dropped);
        put("answers_total{kind=\"relayed\"}", metrics.relayed);
        put("answers_total{kind=\"whole\"}", metrics.merged_complete);
        put("answers_total{kind=\"partial\"}", metrics.merged_partial);
        put("missing_parts_total", metrics.missing_parts);
        for kind in ErrorKind::ALL {
            let count = metrics.refused[kind as usize];
            if count > 0 {
                put(&format!("refusals_total{{reason=\"{}\"}}", error_name(kind)), count);
            }
        }
        let mut sum = 0;
        for (bound, count) in LATENCY_BUCKETS_MS.iter().zip(metrics.latency) {
            sum += count;
            put(&format!("answer_ms_bucket{{le=\"{bound}\"}}"), sum);
        }
        sum += metrics.latency[LATENCY_BUCKETS_MS.len()];
        put("answer_ms_bucket{le=\"+Inf\"}", sum);
        put("answer_ms_sum", metrics.latency_sum.as_millis() as u64);
        put("answer_ms_count", sum);
        let (usable, known) = self.forwarder.replica_counts();
        put("replicas_usable", usable as u64);
        put("replicas_known", known as u64);
        put("requests_in_flight", self.forwarder.in_flight() as u64);
        put("requests_quarantined", self.forwarder.quarantined(self.now).count() as u64);
        put("connections_open", self.conns.len() as u64);
        put("instances_registered", u64::from(metrics.instances));
        put("config_version", self.forwarder.table().map_or(0, |it| it.version));
        put("is_ready", u64::from(self.is_ready()));
        out
    }
}
