//! Compares the latency of the tier with a client that contacts the replicas directly, and measures
//! the CPU time and memory of an instance.

use std::time::Duration;

use eyre::Result;
use rosemarybank_standins::upstream::ReplicaFaults;

use super::{Outcome, Plan};
use crate::{
    bundle_text::BundleOptions,
    load::LoadPlan,
    metrics::Scrape,
    proc_stat::{cpu_time, resident_bytes},
    report::{Bound, Samples, Verdict},
    site::{Fleet, Placement, Policy, Site},
    site_profile::SiteProfile,
};

/// Default duration of one measurement in seconds.
const SECONDS: f64 = 1.5;

/// Minimum number of rounds of the comparison with the direct client.
const MIN_DIRECT_ROUNDS: u32 = 5;

/// Requests per second of the comparison with the direct client.
const DIRECT_RATE: f64 = 100.0;

/// Number of shards, each with 3 replicas, and requests per second of the CPU time measurement.
const SHARDS_AND_RATES: [(u16, f64); 3] = [(10, 400.0), (50, 80.0), (220, 18.0)];

/// Delay of replies in the memory measurement, which keeps queries in flight.
const REPLY_DELAY_MS: u64 = 400;

/// Interval between two samples of the memory.
const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Limit of concurrent queries, high enough that the reply delay determines how many are in flight.
const CONCURRENT_QUERIES: u32 = 512;

/// Bytes in a mebibyte.
const MIB: f64 = 1_048_576.0;

const ADDED_P50: &str = "added p50 ms";
const MEMORY_IN_FLIGHT: &str = "resident memory MiB, queries in flight";

/// Memory that the requirements allow an instance for control work.
const MAX_MEMORY_MIB: f64 = 256.0;

/// Measures the order desk with 10, 50 and 220 shards.
///
/// # Errors
///
/// Fails if a process fails or does not respond in time.
pub async fn measure(plan: &Plan) -> Result<Outcome> {
    let mut samples = Samples::default();
    for (shards, rate) in SHARDS_AND_RATES {
        measure_size(plan, shards, rate, &mut samples).await?;
    }
    let (largest, _) = SHARDS_AND_RATES[SHARDS_AND_RATES.len() - 1];
    let memory = samples.median(&case(Policy::Adaptive, largest), MEMORY_IN_FLIGHT);
    let target = format!("resident memory in MiB at {largest} shards with queries in flight");
    Ok(Outcome {
        setup: format!(
            "One instance and one service without delays between data centres; all replicas count \
             as local. First the load generator alternates between the instance and a client that \
             asks one replica of each shard itself, at {DIRECT_RATE} requests/s over 10 shards; `added` \
             is the difference within a round. Then each policy in turn is loaded alone at 10, \
             50 and 220 shards x 3 replicas (30, 150 and 660 replicas) for the processor time of \
             the whole daemon. Last, replies are {REPLY_DELAY_MS} ms late, which keeps \
             queries in flight."
        ),
        samples,
        verdicts: vec![Verdict::new(&target, memory, Bound::AtMost, MAX_MEMORY_MIB)],
        limits: "The design sets no bound for the added latency and the processor time of the \
                 whole daemon; its 3 microseconds are for the decision code alone, which the \
                 benchmark of `crates/query` measures. Processor time includes HTTP, JSON, \
                 telemetry and the polls of all replicas. The direct client chooses replicas \
                 uniformly, so the tier can gain latency as well as add it."
            .to_owned(),
    })
}

async fn measure_size(plan: &Plan, shards: u16, rate: f64, samples: &mut Samples) -> Result<()> {
    let services = vec![("order-desk", shards)];
    let profile = SiteProfile { services, ..SiteProfile::kavango(plan.seed) };
    let bundle = BundleOptions { timeout_ms: 2_000, concurrent_queries: CONCURRENT_QUERIES };
    let mut site = Site::start(&plan.site, profile, bundle).await?;
    list_all_as_local(&site).await?;
    let mut fleets = Vec::new();
    for policy in Policy::BOTH {
        fleets.push(site.start_fleet(policy, 1, Placement::FirstWithoutDelays).await?);
    }
    for fleet in &fleets {
        add_memory(fleet, shards, "resident memory MiB, idle after start", samples)?;
        if shards == SHARDS_AND_RATES[0].0 {
            compare_with_direct(plan, &site, fleet, shards, samples).await?;
        }
    }
    for round in 0..plan.rounds {
        for fleet in &fleets {
            measure_cpu(plan, &site, fleet, (shards, rate), round, samples).await?;
        }
    }
    let delayed = ReplicaFaults { delay_ms: REPLY_DELAY_MS, ..ReplicaFaults::default() };
    for upstreams in &site.upstreams {
        upstreams.set_faults(&site.client.0, Vec::new(), delayed.clone()).await?;
    }
    for fleet in &fleets {
        measure_in_flight(plan, &site, fleet, (shards, rate), samples).await?;
    }
    Ok(())
}

/// Lists all replicas in the first data centre, so that the instance chooses among as many replicas
/// as the direct client.
async fn list_all_as_local(site: &Site) -> Result<()> {
    for upstreams in &site.upstreams {
        let mut entries = upstreams.entries.clone();
        entries.iter_mut().for_each(|it| it.data_centre = site.profile.data_centres[0].into());
        site.set_instances(&entries).await?;
    }
    Ok(())
}

async fn compare_with_direct(
    plan: &Plan,
    site: &Site,
    fleet: &Fleet,
    shards: u16,
    samples: &mut Samples,
) -> Result<()> {
    let seconds = plan.seconds_or(SECONDS);
    let mut load = LoadPlan::new(fleet, "order-desk", DIRECT_RATE, seconds, plan.seed);
    load.rounds = plan.rounds.max(MIN_DIRECT_ROUNDS);
    load.extra_args.push("--direct".to_owned());
    let result = site.run_load(&load).await?;
    let case = case(fleet.policy, shards);
    for (entry, direct) in result.entry.iter().zip(&result.direct) {
        samples.add(&case, "p50 ms", entry.p50_ms);
        samples.add(&case, "direct p50 ms", direct.p50_ms);
        samples.add(&case, ADDED_P50, entry.p50_ms - direct.p50_ms);
        samples.add(&case, "p99 ms", entry.p99_ms);
        samples.add(&case, "direct p99 ms", direct.p99_ms);
        samples.add(&case, "added p99 ms", entry.p99_ms - direct.p99_ms);
    }
    Ok(())
}

async fn measure_cpu(
    plan: &Plan,
    site: &Site,
    fleet: &Fleet,
    (shards, rate): (u16, f64),
    round: u32,
    samples: &mut Samples,
) -> Result<()> {
    let pid = fleet.instances[0].process.pid();
    let load =
        LoadPlan::new(fleet, "order-desk", rate, plan.seconds_or(SECONDS), plan.round_seed(round));
    let received = site.requests_received().await?;
    let used = cpu_time(pid)?;
    let result = site.run_load(&load).await?;
    let used = (cpu_time(pid)? - used).as_secs_f64();
    let received = site.requests_received().await? - received;
    let requests = result.first_round()?.answered() + load.warm_up_requests();
    let case = case(fleet.policy, shards);
    samples.add(&case, "requests/s per core", requests as f64 / used);
    let per_shard_request = used * 1e6 / received as f64;
    samples.add(&case, "processor time per shard request us", per_shard_request);
    samples.add(&case, "complete in time %", 100.0 * result.first_round()?.complete_share);
    Ok(())
}

async fn measure_in_flight(
    plan: &Plan,
    site: &Site,
    fleet: &Fleet,
    (shards, rate): (u16, f64),
    samples: &mut Samples,
) -> Result<()> {
    let load = LoadPlan::new(fleet, "order-desk", rate, plan.seconds_or(SECONDS), plan.seed);
    let sample = async {
        // The number of queries in flight grows until the first replies arrive.
        tokio::time::sleep(Duration::from_millis(REPLY_DELAY_MS)).await;
        loop {
            tokio::time::sleep(MEMORY_SAMPLE_INTERVAL).await;
            add_memory(fleet, shards, MEMORY_IN_FLIGHT, samples)?;
            let scrape = Scrape::read(&site.client.0, &fleet.admin_addrs()).await?;
            if let Some(queries) = scrape.sum("rosemarybank_queries_in_flight") {
                samples.add(&case(fleet.policy, shards), "queries in flight", queries);
            }
        }
    };
    let result = tokio::select! {
        result = site.run_load(&load) => result?,
        failure = sample => return failure,
    };
    let (summary, case) = (result.first_round()?, case(fleet.policy, shards));
    samples.add(&case, "complete in time %, replies late", 100.0 * summary.complete_share);
    samples.add(&case, "answered %, replies late", {
        100.0 * summary.answered() as f64 / summary.requests as f64
    });
    samples.add(&case, "p50 ms, replies late", summary.p50_ms);
    for (kind, &count) in &summary.errors {
        let share = 100.0 * count as f64 / summary.requests as f64;
        samples.add(&case, &format!("{kind} %, replies late"), share);
    }
    Ok(())
}

fn add_memory(fleet: &Fleet, shards: u16, measure: &str, samples: &mut Samples) -> Result<()> {
    let bytes = resident_bytes(fleet.instances[0].process.pid())?;
    samples.add(&case(fleet.policy, shards), measure, bytes as f64 / MIB);
    Ok(())
}

fn case(policy: Policy, shards: u16) -> String {
    format!("{}, {shards} shards", policy.name())
}
