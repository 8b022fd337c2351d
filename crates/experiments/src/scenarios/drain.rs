//! Drains a replica while the platform's list is delayed.

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

/// Default duration of the load in seconds.
const SECONDS: f64 = 3.0;

/// Delay from the start of the load to the first reading of the replica's counter, and from that
/// reading to the drain.
const OBSERVATION_DELAY: Duration = Duration::from_millis(500);

/// Time that the load generator runs beyond the load itself, in seconds.
const STARTUP_MARGIN_SECONDS: f64 = 0.5;

/// Delay after which changes appear in the platform's list.
const LIST_LAG_MS: u64 = 30_000;

/// Requests per second.
const RATE: f64 = 250.0;

/// Interval between two readings of the draining replica's counter.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Delay after the replica's return in which instances rediscover it.
const REJOIN_DELAY: Duration = Duration::from_millis(1_500);

/// Number of entry instances in each fleet, one in each data centre.
const INSTANCES: u8 = 3;

/// Time that the design allows until instances stop using a draining replica without the list.
const MAX_LAST_REQUEST_MS: f64 = 2_000.0;

const LAST_REQUEST: &str = "drain to last new request ms";

/// Measures how long a draining replica of the order desk receives new requests.
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
    // In a round, both policies drain a replica of the same shard, in different data centres.
    let data_centre = (round as usize + policy_offset) % site.upstreams.len();
    let upstreams = &site.upstreams[data_centre];
    let replica = round as usize % upstreams.entries.len();
    let entry = upstreams.entries.get(replica).ok_or_eyre("data centre has no replicas")?.clone();
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
    // A crash restarts the replica, which ends its drain.
    let request = FaultRequest {
        replicas: vec![entry.replica.clone()],
        run: vec![Command::Crash],
        ..FaultRequest::default()
    };
    upstreams.send_fault_order(&site.client.0, &request).await?;
    site.set_instances(std::slice::from_ref(&entry)).await?;
    tokio::time::sleep(REJOIN_DELAY).await;
    site.wait_until_complete(fleet).await
}

/// Requests that a replica received before and during its drain.
#[derive(Debug)]
struct DrainObservation {
    /// Time from the start of the drain to the last received request.
    last_request: Duration,
    /// Requests received during the drain.
    received: u64,
    /// Requests received in [`OBSERVATION_DELAY`] before the drain.
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
        Ok(counter.ok_or_eyre("upstream process reported no counters of the replica")?.received)
    };
    let request = FaultRequest {
        replicas: vec![entry.replica.clone()],
        run: vec![Command::Drain],
        ..FaultRequest::default()
    };
    let received_at_start = received().await?;
    tokio::time::sleep(OBSERVATION_DELAY).await;
    let received_before = received().await? - received_at_start;
    // A replica that receives no requests before the drain would make the result meaningless.
    ensure!(received_before > 0, "replica {} received no requests before the drain", entry.replica);
    upstreams.send_fault_order(&site.client.0, &request).await?;
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
