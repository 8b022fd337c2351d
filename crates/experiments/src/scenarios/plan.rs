//! Inputs and results of scenarios, and the list of all scenarios.

use eyre::{Result, bail};

use super::{added_latency, control, drain, lost_data_centre, overload, straggler};
use crate::{
    report::{Samples, Verdict},
    site::SiteOptions,
};

/// Names of the scenarios, in the order in which `all` runs them.
pub const NAMES: [&str; 6] =
    ["straggler", "overload", "lost-data-centre", "added-latency", "control", "drain"];

/// Parameters of a scenario run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of rounds.
    pub rounds: u32,
    /// Duration of one measurement in seconds, or `None` for the scenario's default.
    pub seconds: Option<f64>,
    /// Random seed of arrivals and service times.
    pub seed: u64,
    /// Options of the sites that the scenario starts.
    pub site: SiteOptions,
}

impl Plan {
    /// Returns the duration of one measurement in seconds, with `seconds` as the default.
    #[must_use]
    pub fn seconds_or(&self, seconds: f64) -> f64 {
        self.seconds.unwrap_or(seconds)
    }

    /// Returns the arrival seed of a round. Both policies use the same one.
    #[must_use]
    pub fn round_seed(&self, round: u32) -> u64 {
        self.seed.wrapping_add(1_000 * u64::from(round))
    }
}

/// Result of a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Description of the setup and the measurements.
    pub setup: String,
    /// Measured values.
    pub samples: Samples,
    /// Comparisons with targets.
    pub verdicts: Vec<Verdict>,
    /// Limitations of the measurements.
    pub limits: String,
}

/// Runs the scenario with this name.
///
/// # Errors
///
/// Fails if there is no such scenario, or if a process fails or does not respond in time.
pub async fn measure(name: &str, plan: &Plan) -> Result<Outcome> {
    match name {
        "straggler" => straggler::measure(plan).await,
        "overload" => overload::measure(plan).await,
        "lost-data-centre" => lost_data_centre::measure(plan).await,
        "added-latency" => added_latency::measure(plan).await,
        "control" => control::measure(plan).await,
        "drain" => drain::measure(plan).await,
        _ => bail!("unknown scenario {name:?}"),
    }
}
