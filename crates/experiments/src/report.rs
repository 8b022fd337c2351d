//! Reports of measured scenarios.

use serde::Serialize;

use crate::statistics::Spread;

/// Report of one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Description of the setup and the measurements.
    pub setup: String,
    /// Command line that repeats the run.
    pub command: String,
    /// Random seed.
    pub seed: u64,
    /// Commit of the working tree, with the suffix `-dirty` if code or configuration was modified.
    pub commit: String,
    /// Cores and load average of the machine at the start of the run.
    pub machine: String,
    /// Number of rounds.
    pub rounds: u32,
    /// Duration of the whole scenario in seconds.
    pub took_s: f64,
    /// Measured values.
    pub rows: Vec<Row>,
    /// Comparisons with targets.
    pub verdicts: Vec<Verdict>,
    /// Limitations of the measurements, and what they do not include.
    pub limits: String,
}

/// Values of one measure in one case.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Measured case, such as the policy and the state of the site.
    pub case: String,
    /// Name of the measure, including its unit.
    pub measure: String,
    /// Median and range over the rounds.
    pub spread: Spread,
}

/// Measured values by case and measure, in the order in which each pair first occurred.
#[derive(Clone, Debug, Default)]
pub struct Samples(Vec<(String, String, Vec<f64>)>);

impl Samples {
    /// Adds a value to a measure of a case.
    pub fn add(&mut self, case: &str, measure: &str, value: f64) {
        match self.0.iter_mut().find(|(c, m, _)| c == case && m == measure) {
            Some((_, _, values)) => values.push(value),
            None => self.0.push((case.to_owned(), measure.to_owned(), vec![value])),
        }
    }

    /// Returns the median of a measure, or `None` if it has no value.
    #[must_use]
    pub fn median(&self, case: &str, measure: &str) -> Option<f64> {
        let (_, _, values) = self.0.iter().find(|(c, m, _)| c == case && m == measure)?;
        Some(Spread::of(values)?.median)
    }

    /// Returns the rows of the report.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let row = |(case, measure, values): &(String, String, Vec<f64>)| {
            let (case, measure) = (case.clone(), measure.clone());
            Some(Row { case, measure, spread: Spread::of(values)? })
        };
        self.0.iter().filter_map(row).collect()
    }
}

/// Direction of the limit of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value must not exceed the limit.
    AtMost,
    /// The value must reach the limit.
    AtLeast,
}

/// Comparison of a measured value with a target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Description of the target.
    pub target: String,
    /// Measured value, or `None` if the measurement failed.
    pub measured: Option<f64>,
    /// Whether the limit is an upper or a lower bound.
    pub bound: Bound,
    /// Limit of the target.
    pub limit: f64,
    /// Whether the target is met. A missing value never meets it.
    pub met: bool,
}

impl Verdict {
    /// Compares a measured value with a limit.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_experiments::report::{Bound, Verdict};
    ///
    /// assert!(Verdict::new("p99 ratio", Some(1.2), Bound::AtMost, 1.5).met);
    /// assert!(!Verdict::new("p99 ratio", None, Bound::AtMost, 1.5).met);
    /// ```
    #[must_use]
    pub fn new(target: &str, measured: Option<f64>, bound: Bound, limit: f64) -> Verdict {
        let met = measured.is_some_and(|it| match bound {
            Bound::AtMost => it <= limit,
            Bound::AtLeast => it >= limit,
        });
        Verdict { target: target.to_owned(), measured, bound, limit, met }
    }
}
