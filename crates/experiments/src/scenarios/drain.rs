//! A replica drains while the platform's list lags.

use std::time::{Duration, Instant};

use eyre::{OptionExt, Result, ensure};
use rosemarybank_protocol::platform::{InstanceEntry, InstanceState};
use rosemarybank_standins::{
    platform::PlatformFaults,
    upstream::{Command, FaultRequest},
};

use super::{Outcome, Plan};
use crate::{
    bundle_text::BundleOptions,
    load::LoadPlan,
    report::{Bound, Samples, Verdict},
    site::{Fleet, Placement, Policy, Site},
    site_profile::SiteProfile,
    upstreams::UpstreamProcess,
};

/// Length of the load in seconds.
const SECONDS: f64 = 3.0;

/// Time from the start of the load to the look at the use of the replica, and from that to the
/// drain.
const OBSERVATION_DELAY: Duration = Duration::from_millis(500);

/// Time from the start of the load generator to its end beyond the load itself.
const STARTUP_MARGIN_SECONDS: f64 = 0.5;

/// Lag of the platform's list.
const LIST_LAG_MS: u64 = 30_000;

/// Requests per second.
const RATE: f64 = 250.0;

/// Time between two looks at the counter of the draining replica.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time that instances get to find the replica again.
const REJOIN_DELAY: Duration = Duration::from_millis(1_500);

/// Entry instances of each fleet, one in each data centre.
const INSTANCES: u8 = 3;

/// Time that the design allows for the notice of a leaving replica without the list.
const MAX_LAST_REQUEST_MS: f64 = 2_000.0;

const LAST_REQUEST: &str = "drain to last new request ms";

/// Measures the order desk.
///
/// # Errors
///
/// Fails when a process does not do what it should.
pub async fn measure(plan: &Plan) -> Result<Outcome> {
    let profile = SiteProfile::kavango(plan.seed).first_service();
    let mut site = Site::start(&plan.site, profile, BundleOptions::default()).await?;
    let mut fleets = Vec::new();
    for policy in Policy::BOTH {
        fleets.push(site.start_fleet(policy, INSTANCES, Placement::Spread).await?);
    }
    let lag = PlatformFaults { instance_lag_ms: LIST_LAG_MS, ..PlatformFaults::default() };
    site.set_platform_faults(&lag).await?;
    let mut samples = Samples::default();
    for round in 0..plan.rounds {
        for fleet in &fleets {
            measure_drain(plan, &site, fleet, round, &mut samples).await?;
        }
    }
    let last = samples.median(Policy::Adaptive.name(), LAST_REQUEST);
    let verdicts = vec![Verdict::new(LAST_REQUEST, last, Bound::AtMost, MAX_LAST_REQUEST_MS)];
    Ok(Outcome {
        setup: format!(
            "Order desk of 10 shards x 3 replicas, {RATE} requests/s, {INSTANCES} entry instances \
             for each policy. A replica, another one in each measurement, starts to drain under load: it \
             sends GOAWAY on its connections, answers new requests as not run and reports \
             `draining`. The platform's list shows it as leaving {} s later. The replica's own \
             counter of received requests is read every {} ms until the load ends.",
            LIST_LAG_MS / 1_000,
            POLL_INTERVAL.as_millis()
        ),
        samples,
        verdicts,
        limits: "The time has the resolution of the reads. Requests that were on their way when \
                 the drain began count as new ones if they arrive after the first read."
            .to_owned(),
    })
}

async fn measure_drain(
    plan: &Plan,
    site: &Site,
    fleet: &Fleet,
    round: u32,
    samples: &mut Samples,
) -> Result<()> {
    let seconds = plan.seconds_or(SECONDS).max(2.0);
    let policy_offset = usize::from(fleet.policy == Policy::Baseline);
    // Both policies of a round drain the same shard's replicas in neighbouring data centres.
    let data_centre = (round as usize + policy_offset) % site.upstreams.len();
    let upstreams = &site.upstreams[data_centre];
    let replica = round as usize % upstreams.entries.len();
    let entry = upstreams.entries.get(replica).ok_or_eyre("the replica is listed")?.clone();
    let load = LoadPlan::new(fleet, "order-desk", RATE, seconds, plan.round_seed(round));
    let observation = drain_and_observe(site, upstreams, &entry, seconds);
    let (result, observation) = tokio::join!(site.run_load(&load), observation);
    let (result, observation) = (result?, observation?);
    let summary = result.first_round()?;
    let case = fleet.policy.name();
    let before = format!("requests received in the {} ms before", OBSERVATION_DELAY.as_millis());
    samples.add(case, &before, observation.received_before as f64);
    samples.add(case, LAST_REQUEST, observation.last_request.as_secs_f64() * 1_000.0);
    samples.add(case, "requests received while draining", observation.received as f64);
    samples.add(case, "complete in time %", 100.0 * summary.complete_share);
    samples.add(case, "p99 ms", summary.p99_ms);
    let order = FaultRequest {
        replicas: vec![entry.replica.clone()],
        run: vec![Command::Crash],
        ..FaultRequest::default()
    };
    upstreams.send_fault_order(&site.client.0, &order).await?;
    site.set_instances(std::slice::from_ref(&entry)).await?;
    tokio::time::sleep(REJOIN_DELAY).await;
    site.wait_until_complete(fleet).await
}

/// What a draining replica received.
#[derive(Debug)]
struct DrainObservation {
    last_request: Duration,
    received: u64,
    received_before: u64,
}

async fn drain_and_observe(
    site: &Site,
    upstreams: &UpstreamProcess,
    entry: &InstanceEntry,
    seconds: f64,
) -> Result<DrainObservation> {
    let end = Instant::now() + Duration::from_secs_f64(seconds + STARTUP_MARGIN_SECONDS);
    tokio::time::sleep(OBSERVATION_DELAY).await;
    let received = async || -> Result<u64> {
        let counters = upstreams.counters(&site.client.0).await?;
        let counter = counters.get(entry.replica.as_str());
        Ok(counter.ok_or_eyre("the replica has counters")?.received)
    };
    let order = FaultRequest {
        replicas: vec![entry.replica.clone()],
        run: vec![Command::Drain],
        ..FaultRequest::default()
    };
    let received_at_start = received().await?;
    tokio::time::sleep(OBSERVATION_DELAY).await;
    let received_before = received().await? - received_at_start;
    // Without requests before the drain, their absence after it would prove nothing.
    ensure!(received_before > 0, "{} is not used", entry.replica);
    upstreams.send_fault_order(&site.client.0, &order).await?;
    let start = Instant::now();
    let first = received().await?;
    let leaving = InstanceEntry { state: InstanceState::Leaving, ..entry.clone() };
    site.set_instances(&[leaving]).await?;
    let (mut count, mut last) = (first, Duration::ZERO);
    while Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = received().await?;
        if now > count {
            (count, last) = (now, start.elapsed());
        }
    }
    Ok(DrainObservation { last_request: last, received: count - first, received_before })
}
