//! Settings of an engine that are not part of the bundle.

use std::time::Duration;

use bon::Builder;
use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Routing policy: how replicas are chosen and failures are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Load-aware choice of replicas, hedging, retry budgets, outlier ejection, adaptive
    /// concurrency limits and detection of requests that crash replicas.
    #[default]
    Adaptive,
    /// Uniformly random choice of replicas, no hedging, a fixed timeout and up to three retries.
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
    /// Maximum polls per second of this instance. With many replicas, the poll interval is longer.
    #[builder(default = 500)]
    pub polls_per_second: u32,
    /// Maximum polls per second that one replica gets from all instances. With many instances, the
    /// poll interval is longer. A replica in use also announces a drain with a refusal or GOAWAY.
    #[builder(default = 20)]
    pub polls_per_replica: u32,
    /// Time between the answer and the caller's deadline.
    #[builder(default = Duration::from_millis(2))]
    pub answer_margin: Duration,
    /// Added to the expected latency of replicas in other data centres, on top of the network
    /// latency.
    #[builder(default = Duration::from_millis(2))]
    #[serde(rename = "crossing_penalty")]
    pub cross_data_centre_penalty: Duration,
    /// Longest quarantine of a request that crashes replicas. The first quarantine lasts 30 s; each
    /// crash after its end doubles it, up to this time.
    #[builder(default = Duration::from_secs(600))]
    #[serde(rename = "quarantine")]
    pub max_quarantine: Duration,
    /// Time after which the baseline policy cancels an attempt.
    #[builder(default = Duration::from_millis(100))]
    pub baseline_timeout: Duration,
}
