//! Reports of scenarios.

use serde::Serialize;

use crate::statistics::Spread;

/// Report of one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// What was set up and measured.
    pub setup: String,
    /// Command line that repeats it.
    pub command: String,
    /// Seed.
    pub seed: u64,
    /// Commit of the tree, with `-dirty` when code or configuration differ from it.
    pub commit: String,
    /// Cores and load average of the machine when the run started.
    pub machine: String,
    /// Rounds.
    pub rounds: u32,
    /// Length of the whole scenario in seconds.
    pub took_s: f64,
    /// Measurements.
    pub rows: Vec<Row>,
    /// Verdicts against targets.
    pub verdicts: Vec<Verdict>,
    /// What limits the figures, and what is not measured.
    pub limits: String,
}

/// One measure in one case.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Case, such as the policy and the state of the site.
    pub case: String,
    /// Measure with its unit.
    pub measure: String,
    /// Spread over the rounds.
    pub spread: Spread,
}

/// Values of several measures, in the order of their first value.
#[derive(Clone, Debug, Default)]
pub struct Samples(Vec<(String, String, Vec<f64>)>);

impl Samples {
    /// Adds a value.
    pub fn add(&mut self, case: &str, measure: &str, value: f64) {
        match self.0.iter_mut().find(|(c, m, _)| c == case && m == measure) {
            Some((_, _, values)) => values.push(value),
            None => self.0.push((case.to_owned(), measure.to_owned(), vec![value])),
        }
    }

    /// Median of a measure; `None` when it has no value.
    #[must_use]
    pub fn median(&self, case: &str, measure: &str) -> Option<f64> {
        let (_, _, values) = self.0.iter().find(|(c, m, _)| c == case && m == measure)?;
        Some(Spread::of(values)?.median)
    }

    /// Rows of the report.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let row = |(case, measure, values): &(String, String, Vec<f64>)| {
            let (case, measure) = (case.clone(), measure.clone());
            Some(Row { case, measure, spread: Spread::of(values)? })
        };
        self.0.iter().filter_map(row).collect()
    }
}

/// Which side of its limit a value must be on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// At most the limit.
    AtMost,
    /// At least the limit.
    AtLeast,
}

/// Whether a target is met.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// What the target is about.
    pub target: String,
    /// Measured value; `None` when the measurement failed.
    pub measured: Option<f64>,
    /// Side of the limit.
    pub bound: Bound,
    /// Limit.
    pub limit: f64,
    /// Whether the target is met; a missing value never meets it.
    pub met: bool,
}

impl Verdict {
    /// Compares a value with its target.
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
