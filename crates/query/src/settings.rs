//! Settings of an engine that do not come from the bundle.

use std::time::Duration;

use bon::Builder;
use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// How replicas are chosen and failures are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Load-aware choice, hedges, budgets, ejection and adaptive admission.
    #[default]
    Adaptive,
    /// Uniform random replica, no hedge, a fixed timeout and up to three retries.
    Baseline,
}

/// Settings of an engine.
///
/// # Examples
///
/// ```
/// use rosemarybank_query::settings::Settings;
///
/// let settings = Settings::builder().data_centre("ost".into()).build();
/// assert_eq!(settings.poll_interval.as_secs(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Builder)]
pub struct Settings {
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// Routing policy.
    #[builder(default)]
    pub policy: Policy,
    /// Time between two polls of a replica's status.
    #[builder(default = Duration::from_secs(1))]
    pub poll_interval: Duration,
    /// Polls per second over all replicas; more replicas stretch the interval.
    #[builder(default = 500)]
    pub polls_per_second: u32,
    /// Polls per second that one replica gets from all instances; more instances stretch the
    /// interval. Replicas that are in use also tell of a drain in their answers.
    #[builder(default = 20)]
    pub polls_per_replica: u32,
    /// An answer is given this long before the caller's deadline.
    #[builder(default = Duration::from_millis(2))]
    pub answer_margin: Duration,
    /// Price of sending to another data centre, on top of the time that it takes.
    #[builder(default = Duration::from_millis(2))]
    #[serde(rename = "crossing_penalty")]
    pub cross_data_centre_penalty: Duration,
    /// Longest time for which a crash-causing request is refused. The first quarantine lasts 30 s;
    /// each crash on the return doubles it up to this time.
    #[builder(default = Duration::from_secs(600))]
    #[serde(rename = "quarantine")]
    pub max_quarantine: Duration,
    /// Time after which the baseline policy abandons an attempt.
    #[builder(default = Duration::from_millis(100))]
    pub baseline_timeout: Duration,
}
