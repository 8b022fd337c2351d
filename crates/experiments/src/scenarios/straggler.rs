//! Makes one replica in ten 20 times slower.

use std::time::Duration;

use eyre::Result;
use rosemarybank_standins::upstream::ReplicaFaults;

use super::{Outcome, Plan};
use crate::{
    bundle_text::BundleOptions,
    load::{LoadPlan, RoundSummary},
    metrics::Scrape,
    report::{Bound, Samples, Verdict},
    site::{Fleet, Placement, Policy, Site},
    site_profile::SiteProfile,
};

/// Default duration of one measurement in seconds.
const SECONDS: f64 = 1.3;

/// Requests per second for the first and the second service, about 20% of the replicas' capacity.
const RATES: [f64; 2] = [250.0, 125.0];

/// Number of entry instances in each fleet, one in each data centre.
const INSTANCES: u8 = 3;

/// One out of this many replicas is a straggler.
const STRAGGLER_STRIDE: usize = 10;

/// Factor by which a straggler's service time is multiplied.
const STRAGGLER_FACTOR: f64 = 20.0;

/// Delay in which recovered stragglers finish the requests that they were executing.
const RECOVERY_DELAY: Duration = Duration::from_millis(700);

/// Counters that explain extra upstream requests, with the measure that each is reported as. An
/// instance that has not incremented a counter does not export it.
const COUNTERS: [(&str, &str); 4] = [
    ("rosemarybank_hedges_total", "hedges per 1,000 first sends"),
    ("rosemarybank_retries_total", "retries per 1,000 first sends"),
    ("rosemarybank_sheds_total", "sheds per 1,000 first sends"),
    ("rosemarybank_useless_replies_total", "useless replies per 1,000 first sends"),
];

/// Measures both site profiles.
///
/// # Errors
///
/// Fails if a process fails or does not respond in time.
pub async fn measure(plan: &Plan) -> Result<Outcome> {
    let mut samples = Samples::default();
    let mut verdicts = Vec::new();
    for profile in [SiteProfile::kavango(plan.seed), SiteProfile::registry(plan.seed)] {
        measure_profile(plan, profile.clone(), &mut samples).await?;
        verdicts.extend(evaluate_targets(&profile, &samples));
    }
    Ok(Outcome {
        setup: format!(
            "Sizes of today: two search services of 10 and 15 shards with 3 replicas each in 3 \
             data centres, 2 slots, median service time 4 ms. Each policy has {INSTANCES} entry \
             instances. Both services are loaded at once, with {} and {} requests/s. `healthy` \
             is followed by `straggler onset`, which starts as one replica in ten begins to take \
             {STRAGGLER_FACTOR} times as long, and by `straggler`, in which they still do; other \
             replicas in each round. Warm-up requests of the generator are not extra requests.",
            RATES[0], RATES[1]
        ),
        samples,
        verdicts,
        limits: "The onset includes the time in which the instances find out that a replica is \
                 slow. The number of requests in a round bounds the resolution of p99. \
                 The delay to clients is not emulated. Extra requests are those that the replicas \
                 received. Rows of hedges, retries and sheds appear when the instances count \
                 them; those counters may be 250 ms behind."
            .to_owned(),
    })
}

async fn measure_profile(plan: &Plan, profile: SiteProfile, samples: &mut Samples) -> Result<()> {
    let mut site = Site::start(&plan.site, profile, BundleOptions::default()).await?;
    let mut fleets = Vec::new();
    for policy in Policy::BOTH {
        fleets.push(site.start_fleet(policy, INSTANCES, Placement::Spread).await?);
    }
    for round in 0..plan.rounds {
        for fleet in &fleets {
            measure_fleet(plan, &site, fleet, "healthy", round, samples).await?;
        }
        set_stragglers(&site, round, STRAGGLER_FACTOR).await?;
        for state in STRAGGLER_STATES {
            for fleet in &fleets {
                measure_fleet(plan, &site, fleet, state, round, samples).await?;
            }
        }
        set_stragglers(&site, round, 1.0).await?;
        tokio::time::sleep(RECOVERY_DELAY).await;
    }
    Ok(())
}

async fn set_stragglers(site: &Site, round: u32, factor: f64) -> Result<()> {
    for (data_centre, upstreams) in site.upstreams.iter().enumerate() {
        let replicas: Vec<_> = upstreams.entries.iter().map(|it| it.replica.clone()).collect();
        let chosen = straggler_indices(replicas.len(), data_centre, round as usize);
        let chosen = chosen.into_iter().map(|it| replicas[it].clone()).collect();
        let faults = ReplicaFaults { straggler: factor, ..ReplicaFaults::default() };
        upstreams.set_faults(&site.client.0, chosen, faults).await?;
    }
    Ok(())
}

/// Returns the indices of the stragglers among the replicas of a data centre. They are shifted by
/// data centre, so that no shard has two stragglers.
#[must_use]
pub fn straggler_indices(replicas: usize, data_centre: usize, round: usize) -> Vec<usize> {
    let is_chosen = |it: &usize| (it + 3 * data_centre + round).is_multiple_of(STRAGGLER_STRIDE);
    (0..replicas).filter(is_chosen).collect()
}

async fn measure_fleet(
    plan: &Plan,
    site: &Site,
    fleet: &Fleet,
    state: &str,
    round: u32,
    samples: &mut Samples,
) -> Result<()> {
    let seconds = plan.seconds_or(SECONDS);
    let received = site.requests_received().await?;
    let before = Scrape::read(&site.client.0, &fleet.admin_addrs()).await?;
    let load = |number: usize| {
        let (service, _) = site.profile.services[number];
        let seed = plan.round_seed(round) + number as u64;
        LoadPlan::new(fleet, service, RATES[number], seconds, seed)
    };
    let (first, second) = (load(0), load(1));
    let warm_up = first.warm_up_requests();
    let (first, second) = tokio::join!(site.run_load(&first), site.run_load(&second));
    let received = site.requests_received().await? - received;
    let after = site.scrape(fleet).await?;
    let mut first_sends = 0;
    for ((service, shards), result) in site.profile.services.iter().zip([first?, second?]) {
        let summary = result.first_round()?;
        first_sends += (summary.requests + warm_up) * u64::from(*shards);
        add_summary(&case(service, fleet.policy, state), summary, samples);
    }
    let total = case(site.profile.name, fleet.policy, state);
    samples.add(&total, EXTRA_REQUESTS, 100.0 * (received as f64 / first_sends as f64 - 1.0));
    for (counter, measure) in COUNTERS {
        if let Some(count) = after.increase(&before, counter) {
            samples.add(&total, measure, 1_000.0 * count / first_sends as f64);
        }
    }
    Ok(())
}

fn add_summary(case: &str, summary: &RoundSummary, samples: &mut Samples) {
    samples.add(case, "p50 ms", summary.p50_ms);
    samples.add(case, P99, summary.p99_ms);
    samples.add(case, "coverage %", 100.0 * summary.coverage_share);
    let failed = summary.requests - summary.answered();
    samples.add(case, "failed requests", failed as f64);
}

/// States with stragglers: immediately after they become slow, and in a second measurement.
const STRAGGLER_STATES: [&str; 2] = ["straggler onset", "straggler"];

const P99: &str = "p99 ms";
const EXTRA_REQUESTS: &str = "extra upstream requests %";

fn case(name: &str, policy: Policy, state: &str) -> String {
    format!("{name}, {}, {state}", policy.name())
}

fn evaluate_targets(profile: &SiteProfile, samples: &Samples) -> Vec<Verdict> {
    let p99 =
        |service: &str, state: &str| samples.median(&case(service, Policy::Adaptive, state), P99);
    let ratio = |service: &str, state: &str| Some(p99(service, state)? / p99(service, "healthy")?);
    let mut verdicts = Vec::new();
    for state in STRAGGLER_STATES {
        for (service, _) in &profile.services {
            let target = format!("{service}, {state}: p99 over healthy p99");
            verdicts.push(Verdict::new(&target, ratio(service, state), Bound::AtMost, 1.5));
        }
        let extra = samples.median(&case(profile.name, Policy::Adaptive, state), EXTRA_REQUESTS);
        let target = format!("{}, {state}: extra upstream requests in percent", profile.name);
        verdicts.push(Verdict::new(&target, extra, Bound::AtMost, 5.0));
    }
    verdicts
}
