//! Offers twice the rate of the peak goodput.

use eyre::Result;
use rosemarybank_standins::upstream::ServiceTime;

use super::{Outcome, Plan};
use crate::{
    bundle_text::{BundleOptions, LOW_TOKEN},
    load::{LoadPlan, RoundSummary},
    report::{Bound, Samples, Verdict},
    site::{Fleet, Placement, Policy, Site},
    site_profile::SiteProfile,
};

/// Default duration of one measurement and of each step of the sweep, in seconds. Answers to the
/// last requests arrive after the end of a measurement and would inflate the goodput of a shorter
/// step by more.
const SECONDS: f64 = 3.0;

/// Requests per second that the replicas can serve: 6 slots per shard with a mean service time of
/// 22.7 ms.
const CAPACITY_PER_SECOND: f64 = 265.0;

/// Offered rates of the sweep, as fractions of the capacity.
const SWEEP_STEPS: [f64; 5] = [0.6, 0.8, 1.0, 1.2, 1.4];

/// Fraction of the requests that the `critical` caller sends.
const CRITICAL_SHARE: f64 = 0.1;

/// Number of entry instances in each fleet, one in each data centre.
const INSTANCES: u8 = 3;

const CRITICAL_COMPLETE: &str = "top precedence: complete in time %";
const UPSTREAM_PER_REQUEST: &str = "upstream requests per caller request and shard";
const GOODPUT_OF_PEAK: &str = "goodput, % of peak";

/// Measures goodput and upstream load of the order desk under overload.
///
/// # Errors
///
/// Fails if a process fails or does not respond in time.
pub async fn measure(plan: &Plan) -> Result<Outcome> {
    // Slow replicas make their slots the bottleneck instead of the cores of this machine.
    let service_time = ServiceTime { median_us: 20_000, sigma: 0.5 };
    let profile = SiteProfile { service_time, ..SiteProfile::kavango(plan.seed).first_service() };
    let mut site = Site::start(&plan.site, profile, BundleOptions::default()).await?;
    let mut fleets = Vec::new();
    for policy in Policy::BOTH {
        fleets.push(site.start_fleet(policy, INSTANCES, Placement::Spread).await?);
    }
    let mut samples = Samples::default();
    let peaks = find_peaks(plan, &site, &fleets, &mut samples).await?;
    for round in 0..plan.rounds {
        for (fleet, &peak) in fleets.iter().zip(&peaks) {
            measure_overload(plan, &site, fleet, peak, round, &mut samples).await?;
        }
    }
    let median = |measure| samples.median(&case(Policy::Adaptive), measure);
    let verdicts = vec![
        Verdict::new(
            "top precedence, complete in time, %",
            median(CRITICAL_COMPLETE),
            Bound::AtLeast,
            99.0,
        ),
        Verdict::new(UPSTREAM_PER_REQUEST, median(UPSTREAM_PER_REQUEST), Bound::AtMost, 1.1),
        Verdict::new(GOODPUT_OF_PEAK, median(GOODPUT_OF_PEAK), Bound::AtLeast, 90.0),
    ];
    Ok(Outcome {
        setup: format!(
            "Order desk of 10 shards x 3 replicas with 2 slots and a median service time of 20 \
             ms; {INSTANCES} entry instances for each policy. A sweep finds each policy's peak \
             goodput (complete answers within 800 ms per second). Then twice that rate is \
             offered, 10% of it by the caller of the highest precedence and the rest by the \
             lowest."
        ),
        samples,
        verdicts,
        limits: "The peak is the best step of a short sweep, so the share of the peak carries \
                 that step's error. Answers that are partial do not count as goodput. Upstream \
                 requests are those that the replicas received."
            .to_owned(),
    })
}

/// Returns the peak goodput of each fleet.
async fn find_peaks(
    plan: &Plan,
    site: &Site,
    fleets: &[Fleet],
    samples: &mut Samples,
) -> Result<Vec<f64>> {
    let seconds = plan.seconds_or(SECONDS);
    let mut peaks = vec![0.0; fleets.len()];
    for (step, share) in SWEEP_STEPS.into_iter().enumerate() {
        for (fleet, peak) in fleets.iter().zip(&mut peaks) {
            let (rate, seed) = (share * CAPACITY_PER_SECOND, plan.seed + step as u64);
            let load = LoadPlan::new(fleet, "order-desk", rate, seconds, seed);
            let result = site.run_load(&load).await?;
            let goodput = result.first_round()?.goodput(seconds);
            let case = format!("{}, sweep", fleet.policy.name());
            samples.add(&case, &format!("goodput/s at {rate:.0}/s"), goodput);
            *peak = f64::max(*peak, goodput);
        }
    }
    Ok(peaks)
}

async fn measure_overload(
    plan: &Plan,
    site: &Site,
    fleet: &Fleet,
    peak: f64,
    round: u32,
    samples: &mut Samples,
) -> Result<()> {
    let (seconds, rate) = (plan.seconds_or(SECONDS), 2.0 * peak);
    let seed = plan.round_seed(round);
    let critical = rate * CRITICAL_SHARE;
    let high = LoadPlan::new(fleet, "order-desk", critical, seconds, seed);
    let low = LoadPlan::new(fleet, "order-desk", rate - critical, seconds, seed + 1);
    let low = LoadPlan { token: LOW_TOKEN, ..low };
    let warm_up = (high.warm_up_requests() + low.warm_up_requests()) as f64;
    let before = site.requests_received().await?;
    let (high, low) = tokio::join!(site.run_load(&high), site.run_load(&low));
    let received = site.requests_received().await? - before;
    let (high, low) = (high?, low?);
    let (high, low) = (high.first_round()?, low.first_round()?);
    let case = case(fleet.policy);
    let scheduled = (high.requests + low.requests) as f64;
    let answered = (high.answered() + low.answered()) as f64 + warm_up;
    let shards = f64::from(site.profile.services[0].1);
    let goodput = high.goodput(seconds) + low.goodput(seconds);
    samples.add(&case, "offered/s", scheduled / seconds);
    samples.add(&case, CRITICAL_COMPLETE, 100.0 * high.complete_share);
    samples.add(&case, "top precedence: p99 ms", high.p99_ms);
    samples.add(&case, "lowest precedence: complete in time %", 100.0 * low.complete_share);
    samples.add(&case, UPSTREAM_PER_REQUEST, received as f64 / shards / (scheduled + warm_up));
    let per_answer = "upstream requests per answered request and shard";
    samples.add(&case, per_answer, received as f64 / shards / answered.max(1.0));
    samples.add(&case, "goodput/s", goodput);
    samples.add(&case, GOODPUT_OF_PEAK, 100.0 * goodput / peak.max(1.0));
    add_errors(&case, "top precedence", high, samples);
    add_errors(&case, "lowest precedence", low, samples);
    Ok(())
}

fn add_errors(case: &str, caller: &str, summary: &RoundSummary, samples: &mut Samples) {
    for (kind, &count) in &summary.errors {
        let share = 100.0 * count as f64 / summary.requests as f64;
        samples.add(case, &format!("{caller}: {kind} %"), share);
    }
}

fn case(policy: Policy) -> String {
    format!("{}, 2x peak", policy.name())
}
