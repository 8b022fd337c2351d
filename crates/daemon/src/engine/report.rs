use std::time::Duration;

use rosemarybank_protocol::id::Time;
use rosemarybank_query::{engine::Engine, views::Counters};

use crate::telemetry::{Counter, Gauge, Record, Recorder};

/// Interval of the reports, and the longest time until the engine thread notices a shutdown.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Reports the engine's counters and gauges to telemetry at regular intervals.
pub(super) struct MetricsReporter {
    recorder: Recorder,
    next_report: Time,
    reported: Counters,
}

impl MetricsReporter {
    /// Creates a reporter whose first report is due at once.
    pub(super) fn new(recorder: Recorder) -> MetricsReporter {
        MetricsReporter { recorder, next_report: Time::ZERO, reported: Counters::default() }
    }

    /// Reports the increase of each counter and the value of each gauge if a report is due.
    pub(super) fn run(&mut self, now: Time, engine: &Engine) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let counters = engine.counters();
        for ((counter, n), (_, reported)) in
            counter_values(&counters).into_iter().zip(counter_values(&self.reported))
        {
            self.recorder.record(Record::Count(counter, n - reported));
        }
        self.reported = counters;
        let gauges = [
            (Gauge::QueriesInFlight, engine.queries_in_flight()),
            (Gauge::AttemptsInFlight, engine.attempts_in_flight()),
        ];
        for (gauge, value) in gauges {
            self.recorder.record(Record::Gauge(gauge, value as u64));
        }
    }
}

/// Maps the engine's counters to those of telemetry.
fn counter_values(from: &Counters) -> [(Counter, u64); 9] {
    [
        (Counter::Attempts, from.first_sends + from.retries + from.hedges + from.action_sends),
        (Counter::UselessReplies, from.late_outcomes + from.rejected_replies),
        (Counter::Hedges, from.hedges),
        (Counter::Retries, from.retries),
        (Counter::Sheds, from.upstream_sheds),
        (Counter::QueriesShed, from.sheds),
        (Counter::Reruns, from.reruns),
        (Counter::CrashSigns, from.crash_signs),
        (Counter::Condemned, from.quarantined),
    ]
}
