//! What callers saw.

use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::{Refusal, SearchResult};

/// Heads of the columns of [`Tally::line`].
pub const HEADER: &str = "  p50 ms   p99 ms  critical p99  complete  critical   extra  \
                          complete/s  records missing in partial answers, when";

/// Latencies and coverage of the answers.
#[derive(Default)]
pub struct Tally {
    /// Complete answers per class, in milliseconds.
    latencies: [Vec<f64>; 3],
    asked: [u32; 3],
    missing_records: u64,
    partial_at: Vec<f64>,
}

impl Tally {
    /// Adds an answer.
    pub fn add(
        &mut self,
        now: Time,
        asked: Time,
        class: Priority,
        answer: &Result<SearchResult, Refusal>,
    ) {
        self.asked[class as usize] += 1;
        let Ok(SearchResult { coverage, .. }) = answer else { return };
        if coverage.is_complete() {
            self.latencies[class as usize].push((now - asked).as_secs_f64() * 1e3);
            return;
        }
        let (RecordTotal::Exact(total) | RecordTotal::AtLeast(total)) = coverage.records_total;
        self.missing_records += total - coverage.records_covered;
        self.partial_at.push(now.as_secs_f64());
    }

    /// A line of the table. `extra` is the share of retries and hedges.
    pub fn line(&self, extra: f64, seconds: u64) -> String {
        let mut all = self.latencies.concat();
        let mut critical = self.latencies[0].clone();
        let share = |got: usize, asked: u32| 100.0 * got as f64 / f64::from(asked.max(1));
        let complete = share(all.len(), self.asked.iter().sum());
        let critical_share = share(critical.len(), self.asked[0]);
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
