//! Summary of the answers that callers got.

use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::{Refusal, SearchResult};

/// Column headers for [`Summary::line`].
pub const HEADER: &str = "  p50 ms   p99 ms  critical p99  complete  critical   extra  \
                          complete/s  records missing in partial answers, when";

/// Latencies and coverage of the answers of one run.
#[derive(Default)]
pub struct Summary {
    /// Latencies of complete answers per priority class, in milliseconds.
    latencies: [Vec<f64>; 3],
    submitted: [u32; 3],
    missing_records: u64,
    /// Times of partial answers, in seconds.
    partial_at: Vec<f64>,
}

impl Summary {
    /// Adds an answer.
    pub fn add(
        &mut self,
        now: Time,
        submitted: Time,
        class: Priority,
        answer: &Result<SearchResult, Refusal>,
    ) {
        self.submitted[class as usize] += 1;
        let Ok(SearchResult { coverage, .. }) = answer else { return };
        if coverage.is_complete() {
            self.latencies[class as usize].push((now - submitted).as_secs_f64() * 1e3);
            return;
        }
        let (RecordTotal::Exact(total) | RecordTotal::AtLeast(total)) = coverage.records_total;
        self.missing_records += total - coverage.records_covered;
        self.partial_at.push(now.as_secs_f64());
    }

    /// Formats a line of the table. `extra` is the ratio of retries and hedges to first attempts.
    pub fn line(&self, extra: f64, seconds: u64) -> String {
        let mut all = self.latencies.concat();
        let mut critical = self.latencies[0].clone();
        let share = |got: usize, submitted: u32| 100.0 * got as f64 / f64::from(submitted.max(1));
        let complete = share(all.len(), self.submitted.iter().sum());
        let critical_share = share(critical.len(), self.submitted[0]);
        let span = match (self.partial_at.first(), self.partial_at.last()) {
            (Some(first), Some(last)) => format!("{first:.2}-{last:.2} s"),
            _ => "never".into(),
        };
        format!(
            "{:8.2} {:8.2} {:13.2} {complete:8.2}% {critical_share:8.2}% {:6.2}% {:11.0}  {} {span}",
            quantile(&mut all, 0.5),
            quantile(&mut all, 0.99),
            quantile(&mut critical, 0.99),
            100.0 * extra,
            all.len() as f64 / (seconds as f64 - 1.0),
            self.missing_records,
        )
    }
}

fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get((values.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN)
}
