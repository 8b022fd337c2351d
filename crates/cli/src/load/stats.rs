use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use rosemarybank_protocol::prelude::*;
use serde::Serialize;

/// Upper limit of the latency histogram in microseconds; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Error kind of a request that was not sent because too many others were in flight.
pub(crate) const CLIENT_LIMIT_ERROR: &str = "client_limit";

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    /// The request got a search response.
    Answered {
        /// Whether the response covers all records.
        complete: bool,
        /// Covered share of the records, 0 to 1.
        covered: f64,
    },
    /// The request failed with this kind of error.
    Failed(String),
}

impl Outcome {
    /// The outcome of a response with this coverage.
    pub(crate) fn answered(coverage: &Coverage) -> Outcome {
        let total = match coverage.records_total {
            RecordTotal::Exact(total) | RecordTotal::AtLeast(total) => total,
        };
        let complete = coverage.is_complete();
        let covered = match (complete, total) {
            (true, _) => 1.0,
            (false, 0) => 0.0,
            (false, total) => coverage.records_covered as f64 / total as f64,
        };
        Outcome::Answered { complete, covered }
    }
}

/// Outcomes and latencies of one run.
#[derive(Debug)]
pub(crate) struct RunStats {
    micros: Histogram<u64>,
    answered: u64,
    complete: u64,
    /// Sum of the covered shares of the answered requests.
    covered: f64,
    errors: BTreeMap<String, u64>,
}

/// Metrics of one run.
///
/// Shares relate to all requests that were due: a failed request counts as incomplete and as
/// covering no records. Latencies are of answered requests, from the intended send time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RunSummary {
    pub(crate) requests: u64,
    pub(crate) offered_per_s: f64,
    pub(crate) achieved_per_s: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p90_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) max_ms: f64,
    pub(crate) complete_share: f64,
    pub(crate) coverage_share: f64,
    /// Upstream requests per caller request and shard; `None` if the counters are not read.
    pub(crate) extra_load: Option<f64>,
    pub(crate) errors: BTreeMap<String, u64>,
}

impl RunStats {
    pub(crate) fn new() -> RunStats {
        let micros = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        let micros = micros.expect("the bounds and the precision are valid constants");
        RunStats { micros, answered: 0, complete: 0, covered: 0.0, errors: BTreeMap::new() }
    }

    pub(crate) fn add(&mut self, latency: Duration, outcome: Outcome) {
        match outcome {
            Outcome::Answered { complete, covered } => {
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                self.micros.saturating_record(micros.max(1));
                self.answered += 1;
                self.complete += u64::from(complete);
                self.covered += covered;
            }
            Outcome::Failed(kind) => *self.errors.entry(kind).or_default() += 1,
        }
    }

    /// Number of finished requests, including those that were not sent.
    pub(crate) fn requests(&self) -> u64 {
        self.answered + self.errors.values().sum::<u64>()
    }

    /// Number of requests that were sent.
    pub(crate) fn sent(&self) -> u64 {
        self.requests() - self.errors.get(CLIENT_LIMIT_ERROR).copied().unwrap_or_default()
    }

    /// Computes the metrics of a run with the intended length `duration`.
    pub(crate) fn summary(&self, duration: Duration) -> RunSummary {
        let requests = self.requests();
        let per_s = |count: u64| count as f64 / duration.as_secs_f64();
        let share = |part: f64| if requests == 0 { 0.0 } else { part / requests as f64 };
        let ms = |quantile| self.micros.value_at_quantile(quantile) as f64 / 1_000.0;
        RunSummary {
            requests,
            offered_per_s: per_s(requests),
            achieved_per_s: per_s(self.answered),
            p50_ms: ms(0.5),
            p90_ms: ms(0.9),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            max_ms: self.micros.max() as f64 / 1_000.0,
            complete_share: share(self.complete as f64),
            coverage_share: share(self.covered),
            extra_load: None,
            errors: self.errors.clone(),
        }
    }
}
