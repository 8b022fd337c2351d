//! Kills all replicas of one data centre at once.

use std::time::{Duration, Instant};

use eyre::Result;

use super::{Outcome, Plan};
use crate::{
    bundle_text::BundleOptions,
    load::{LoadPlan, LoadResult, RoundSummary},
    report::{Bound, Samples, Verdict},
    site::{Fleet, Placement, Policy, Site},
    site_profile::SiteProfile,
    statistics::Spread,
};

/// Default duration of a measurement in seconds.
const SECONDS: f64 = 5.0;

/// Duration of the windows into which a measurement is divided, in seconds.
const WINDOW_SECONDS: f64 = 0.5;

/// Delay from the start of the load to the kill.
const KILL_AFTER: Duration = Duration::from_millis(1_700);

/// Requests per second, about 40% of the capacity of the replicas of two data centres.
const RATE: f64 = 250.0;

/// Delay after the restart in which instances rediscover the replicas.
const REJOIN_DELAY: Duration = Duration::from_millis(2_000);

/// Number of entry instances in each fleet, one in each data centre.
const INSTANCES: u8 = 3;

const RECOVERY_TIME: &str = "time to recovery ms";
const RECOVERED_SHARE: &str = "recovered within the run, 1 or 0";

/// Measures latency and coverage of the order desk around the loss.
///
/// # Errors
///
/// Fails if a process fails or does not respond in time.
pub async fn measure(plan: &Plan) -> Result<Outcome> {
    let profile = SiteProfile::kavango(plan.seed).first_service();
    let mut site = Site::start(&plan.site, profile, BundleOptions::default()).await?;
    let mut fleets = Vec::new();
    for policy in Policy::BOTH {
        fleets.push(site.start_fleet(policy, INSTANCES, Placement::Spread).await?);
    }
    let mut samples = Samples::default();
    for round in 0..plan.rounds {
        for fleet in &fleets {
            measure_loss(plan, &mut site, fleet, round, &mut samples).await?;
        }
    }
    let recovered = samples.median(Policy::Adaptive.name(), RECOVERED_SHARE);
    let verdicts = vec![Verdict::new(
        "p99 within 1.5x of before and coverage full again within the run (1 or 0)",
        recovered,
        Bound::AtLeast,
        1.0,
    )];
    Ok(Outcome {
        setup: format!(
            "Order desk of 10 shards x 3 replicas, {RATE} requests/s. The process of the first \
             data centre's 10 replicas is killed {} ms after the start of the load; the entry \
             instances stay. Figures are taken in windows of {} ms. The replicas are started \
             again between measurements.",
            KILL_AFTER.as_millis(),
            WINDOW_SECONDS * 1_000.0
        ),
        samples,
        verdicts,
        limits: "Times are ends of windows, so they are up to one window too long. The design \
                 asks for a report of this loss and sets no bound. In the lost data centre's \
                 instance every request crosses to another data centre afterwards, which adds at \
                 least 8 ms."
            .to_owned(),
    })
}

async fn measure_loss(
    plan: &Plan,
    site: &mut Site,
    fleet: &Fleet,
    round: u32,
    samples: &mut Samples,
) -> Result<()> {
    let windows = (plan.seconds_or(SECONDS).max(3.0) / WINDOW_SECONDS).round() as u32;
    let load = LoadPlan::new(fleet, "order-desk", RATE, WINDOW_SECONDS, plan.round_seed(round));
    let load = LoadPlan { rounds: windows, ..load };
    // The load generator borrows the site, so the process to kill is moved out of it.
    let mut killed = site.upstreams.remove(0);
    let kill = async {
        tokio::time::sleep(KILL_AFTER).await;
        let killed_at = Instant::now();
        killed.process.kill().await?;
        eyre::Ok(killed_at)
    };
    let (result, killed_at) = tokio::join!(site.run_load(&load), kill);
    let (result, killed_at) = (result?, killed_at?);
    add_impact(fleet.policy, &result, killed_at, samples);
    killed.restart().await?;
    site.upstreams.insert(0, killed);
    tokio::time::sleep(REJOIN_DELAY).await;
    site.wait_until_complete(fleet).await
}

fn add_impact(policy: Policy, result: &LoadResult, killed_at: Instant, samples: &mut Samples) {
    let windows: Vec<_> = result
        .entry
        .iter()
        .zip(&result.round_ends)
        .map(|(summary, &end)| Window {
            end_ms: match end.checked_duration_since(killed_at) {
                Some(after) => after.as_secs_f64() * 1_000.0,
                None => -(killed_at - end).as_secs_f64() * 1_000.0,
            },
            p99_ms: summary.p99_ms,
            coverage: summary.coverage_share,
            requests: summary.requests,
        })
        .collect();
    let case = policy.name();
    let Some(impact) = LossImpact::from_windows(&windows) else { return };
    samples.add(case, "p99 before ms", impact.p99_before_ms);
    samples.add(case, "greatest p99 of a window after ms", impact.p99_max_ms);
    samples.add(case, "p99 of the last window ms", impact.p99_last_ms);
    samples.add(case, "least coverage of a window %", 100.0 * impact.min_coverage);
    samples.add(case, "coverage loss lasts ms", impact.coverage_loss_ms);
    samples.add(case, "coverage lost, in whole answers", impact.lost_answers);
    if let Some(ms) = impact.recovered_ms {
        samples.add(case, RECOVERY_TIME, ms);
    }
    samples.add(case, RECOVERED_SHARE, f64::from(u8::from(impact.recovered_ms.is_some())));
    add_errors(case, &result.entry, samples);
}

fn add_errors(case: &str, rounds: &[RoundSummary], samples: &mut Samples) {
    let requests: u64 = rounds.iter().map(|it| it.requests).sum();
    let failed: u64 = rounds.iter().map(|it| it.requests - it.answered()).sum();
    samples.add(case, "failed requests of the run %", 100.0 * failed as f64 / requests as f64);
    for (kind, count) in rounds.iter().flat_map(|it| &it.errors) {
        samples.add(case, &format!("{kind} in a window with any"), *count as f64);
    }
}

/// Results of one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// End of the window relative to the loss in milliseconds; negative before the loss.
    pub end_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Fraction of the records that the answers covered.
    pub coverage: f64,
    /// Number of scheduled requests.
    pub requests: u64,
}

/// Effect of a loss on latency and coverage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LossImpact {
    /// Median p99 of the windows before the loss.
    pub p99_before_ms: f64,
    /// Maximum p99 of the windows after the loss.
    pub p99_max_ms: f64,
    /// p99 of the last window.
    pub p99_last_ms: f64,
    /// Minimum coverage of the windows after the loss.
    pub min_coverage: f64,
    /// Coverage lost after the loss, expressed as a number of empty answers.
    pub lost_answers: f64,
    /// End of the last window with less than full coverage, or 0 if there is none.
    pub coverage_loss_ms: f64,
    /// End of the last degraded window, 0 if none is degraded, or `None` if the last one is still
    /// degraded. A window is degraded if its coverage is partial or its p99 exceeds 1.5 times
    /// `p99_before_ms`.
    pub recovered_ms: Option<f64>,
}

impl LossImpact {
    /// Evaluates the windows. Returns `None` unless there are windows before and after the loss.
    #[must_use]
    pub fn from_windows(windows: &[Window]) -> Option<LossImpact> {
        let (before, after): (Vec<_>, Vec<_>) = windows.iter().partition(|it| it.end_ms < 0.0);
        let p99: Vec<_> = before.iter().map(|it: &Window| it.p99_ms).collect();
        let p99_before_ms = Spread::of(&p99)?.median;
        let last = after.last()?;
        let is_degraded = |it: &&Window| it.coverage < 1.0 || it.p99_ms > 1.5 * p99_before_ms;
        let end = |it: Option<&Window>| it.map_or(0.0, |it| it.end_ms);
        let last_partial = after.iter().rfind(|it| it.coverage < 1.0);
        let last_degraded = after.iter().rfind(|it| is_degraded(it));
        Some(LossImpact {
            p99_before_ms,
            p99_max_ms: after.iter().map(|it| it.p99_ms).fold(0.0, f64::max),
            p99_last_ms: last.p99_ms,
            min_coverage: after.iter().map(|it| it.coverage).fold(1.0, f64::min),
            lost_answers: after.iter().map(|it| (1.0 - it.coverage) * it.requests as f64).sum(),
            coverage_loss_ms: end(last_partial),
            recovered_ms: (!is_degraded(&last)).then(|| end(last_degraded)),
        })
    }
}
