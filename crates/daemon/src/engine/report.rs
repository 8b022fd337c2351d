use std::time::Duration;

use rosemarybank_protocol::id::Time;
use rosemarybank_query::{engine::Engine, views::Counters};

use crate::telemetry::{Counter, Gauge, Record, Recorder};

/// Time between two reports; also how soon the engine thread sees the stop.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Reports the engine's counters and levels from time to time.
pub(super) struct Report {
    recorder: Recorder,
    next: Time,
    reported: Counters,
}

impl Report {
    /// Nothing is reported yet.
    pub(super) fn new(recorder: Recorder) -> Report {
        Report { recorder, next: Time::ZERO, reported: Counters::default() }
    }

    /// Reports what has changed when it is time.
    pub(super) fn run(&mut self, now: Time, engine: &Engine) {
        if now < self.next {
            return;
        }
        self.next = now + REPORT_INTERVAL;
        let counters = engine.counters();
        for ((counter, n), (_, reported)) in
            counts(&counters).into_iter().zip(counts(&self.reported))
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

fn counts(of: &Counters) -> [(Counter, u64); 9] {
    [
        (Counter::Attempts, of.first_sends + of.retries + of.hedges + of.action_sends),
        (Counter::UselessReplies, of.late_outcomes + of.rejected_replies),
        (Counter::Hedges, of.hedges),
        (Counter::Retries, of.retries),
        (Counter::Sheds, of.upstream_sheds),
        (Counter::QueriesShed, of.sheds),
        (Counter::Reruns, of.reruns),
        (Counter::CrashSigns, of.crash_signs),
        (Counter::Condemned, of.quarantined),
    ]
}
