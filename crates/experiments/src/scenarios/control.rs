//! Measures the control work of idle instances, and the time until a bundle is active everywhere.

use std::time::{Duration, Instant};

use eyre::Result;

use super::{Outcome, Plan};
use crate::{
    bundle_text::BundleOptions,
    metrics::Scrape,
    proc_stat::cpu_time,
    process::wait_until,
    report::{Bound, Samples, Verdict},
    site::{Fleet, Placement, Policy, Site},
    site_profile::SiteProfile,
};

/// Default duration of one idle measurement in seconds. Five of them exceed 30 s, the longest
/// interval between two platform calls of a waiting watch.
const SECONDS: f64 = 6.2;

/// Number of instances of each measured fleet.
const FLEET_SIZES: [u8; 3] = [2, 4, 8];

/// Delay after the start in which instances discover each other.
const DISCOVERY_DELAY: Duration = Duration::from_secs(3);

/// Time that the requirements allow from a roll-out until the bundle is active everywhere.
const MAX_ROLL_OUT_MS: f64 = 8_000.0;

/// CPU time of control work that the requirements allow, in percent of a core.
const MAX_CPU_PERCENT: f64 = 1.4;

/// Control traffic in bytes per second that the requirements allow for each instance.
const MAX_BYTES_PER_SECOND: f64 = 22_000.0;

/// Counters of control work, with the measure that each is reported as.
const COUNTERS: [(&str, &str); 2] = [
    ("rosemarybank_peer_messages_total", "peer messages/s per instance"),
    ("rosemarybank_control_bytes_total", CONTROL_BYTES),
];

const CONTROL_BYTES: &str = "control bytes/s per instance";
const CPU: &str = "processor time, % of a core per instance";
const ROLL_OUT: &str = "roll-out to in force everywhere ms";

/// Measures idle fleets of 2, 4 and 8 instances.
///
/// # Errors
///
/// Fails if a process fails or does not respond in time.
pub async fn measure(plan: &Plan) -> Result<Outcome> {
    let profile = SiteProfile::kavango(plan.seed);
    let mut site = Site::start(&plan.site, profile, BundleOptions::default()).await?;
    let mut samples = Samples::default();
    let mut timeout_ms = BundleOptions::default().timeout_ms;
    for size in FLEET_SIZES {
        let fleet = site.start_fleet(Policy::Adaptive, size, Placement::Spread).await?;
        tokio::time::sleep(DISCOVERY_DELAY).await;
        let case = case(size);
        let (start, before) = (Instant::now(), site.scrape(&fleet).await?);
        for _ in 0..plan.rounds {
            measure_idle(plan, &site, &fleet, &case, &mut samples).await?;
        }
        let after = site.scrape(&fleet).await?;
        let seconds = start.elapsed().as_secs_f64() * fleet.instances.len() as f64;
        // The counter is absent until the first call.
        let calls =
            after.increase(&before, "rosemarybank_platform_calls_total").unwrap_or_default();
        samples.add(&case, "platform calls/s per instance, all rounds", calls / seconds);
        for _ in 0..plan.rounds {
            timeout_ms += 1;
            let bundle = BundleOptions { timeout_ms, ..BundleOptions::default() };
            measure_roll_out(&site, &fleet, bundle, &case, &mut samples).await?;
        }
    }
    let largest = case(FLEET_SIZES[FLEET_SIZES.len() - 1]);
    let median = |measure| samples.median(&largest, measure);
    let verdicts = vec![
        Verdict::new(ROLL_OUT, median(ROLL_OUT), Bound::AtMost, MAX_ROLL_OUT_MS),
        Verdict::new(CPU, median(CPU), Bound::AtMost, MAX_CPU_PERCENT),
        Verdict::new(CONTROL_BYTES, median(CONTROL_BYTES), Bound::AtMost, MAX_BYTES_PER_SECOND),
    ];
    Ok(Outcome {
        setup: "Idle fleets of 2, 4 and 8 instances over 3 data centres with 75 replicas listed. \
                Counts come from the instances' metrics, processor time from the kernel. A \
                roll-out is timed from the start of the operators' command until the last \
                instance reports the new version. The policy of the query path plays no part, so \
                only the adaptive one is measured; the verdicts are those of the largest fleet."
            .to_owned(),
        samples,
        verdicts,
        limits: "Processor time includes the polls of replicas' status, has a resolution of 10 ms \
                 per instance and, in a short measurement, a step of 0.4% of a core. The time of \
                 a roll-out includes the start of the command. The targets are those of 680 \
                 nodes in two years; these fleets are far smaller. Without the counter of \
                 control bytes the traffic has no value and counts as missed."
            .to_owned(),
    })
}

async fn measure_idle(
    plan: &Plan,
    site: &Site,
    fleet: &Fleet,
    case: &str,
    samples: &mut Samples,
) -> Result<()> {
    let start = Instant::now();
    let before = Scrape::read(&site.client.0, &fleet.admin_addrs()).await?;
    let used = total_cpu_time(fleet)?;
    tokio::time::sleep(Duration::from_secs_f64(plan.seconds_or(SECONDS))).await;
    let used = total_cpu_time(fleet)? - used;
    let after = Scrape::read(&site.client.0, &fleet.admin_addrs()).await?;
    let instance_seconds = start.elapsed().as_secs_f64() * fleet.instances.len() as f64;
    for (counter, measure) in COUNTERS {
        if let Some(count) = after.increase(&before, counter) {
            samples.add(case, measure, count / instance_seconds);
        }
    }
    samples.add(case, CPU, 100.0 * used.as_secs_f64() / instance_seconds);
    Ok(())
}

fn total_cpu_time(fleet: &Fleet) -> Result<Duration> {
    fleet.instances.iter().map(|it| cpu_time(it.process.pid())).sum()
}

async fn measure_roll_out(
    site: &Site,
    fleet: &Fleet,
    bundle: BundleOptions,
    case: &str,
    samples: &mut Samples,
) -> Result<()> {
    let mut old = 0;
    for instance in &fleet.instances {
        old = old.max(site.active_version(instance).await.unwrap_or_default());
    }
    let start = Instant::now();
    site.roll_out(bundle).await?;
    samples.add(case, "of it, the command ms", start.elapsed().as_secs_f64() * 1_000.0);
    for instance in &fleet.instances {
        let is_new = async || site.active_version(instance).await.is_some_and(|it| it > old);
        let what =
            format!("waiting for {} to activate the new bundle version", instance.admin_addr);
        wait_until(&what, is_new).await?;
    }
    samples.add(case, ROLL_OUT, start.elapsed().as_secs_f64() * 1_000.0);
    Ok(())
}

fn case(size: u8) -> String {
    format!("{size} instances")
}
