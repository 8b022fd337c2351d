//! What scenarios get and give.

use eyre::{Result, bail};

use super::{added_latency, control, drain, lost_data_centre, overload, straggler};
use crate::{
    report::{Samples, Verdict},
    site::SiteOptions,
};

/// Names of the scenarios in the order in which `all` measures them.
pub const NAMES: [&str; 6] =
    ["straggler", "overload", "lost-data-centre", "added-latency", "control", "drain"];

/// How a scenario is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rounds.
    pub rounds: u32,
    /// Length of one measurement; the scenario's own when absent.
    pub seconds: Option<f64>,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Where binaries and files are.
    pub site: SiteOptions,
}

impl Plan {
    /// Length of one measurement in seconds.
    #[must_use]
    pub fn seconds_or(&self, seconds: f64) -> f64 {
        self.seconds.unwrap_or(seconds)
    }

    /// Seed of the arrivals of a round, which are the same for both policies.
    #[must_use]
    pub fn round_seed(&self, round: u32) -> u64 {
        self.seed.wrapping_add(1_000 * u64::from(round))
    }
}

/// What a scenario found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What was set up and measured.
    pub setup: String,
    /// Measured values.
    pub samples: Samples,
    /// Verdicts.
    pub verdicts: Vec<Verdict>,
    /// What limits the figures.
    pub limits: String,
}

/// Measures the scenario with this name.
///
/// # Errors
///
/// Fails when there is no such scenario, or when a process does not do what it should.
pub async fn measure(name: &str, plan: &Plan) -> Result<Outcome> {
    match name {
        "straggler" => straggler::measure(plan).await,
        "overload" => overload::measure(plan).await,
        "lost-data-centre" => lost_data_centre::measure(plan).await,
        "added-latency" => added_latency::measure(plan).await,
        "control" => control::measure(plan).await,
        "drain" => drain::measure(plan).await,
        _ => bail!("no scenario {name}"),
    }
}
