use std::{ffi::OsString, net::SocketAddr, path::PathBuf, time::Duration};

use rosemarybank_bundle::parse;
use rosemarybank_protocol::{prelude::*, search::DEFAULT_HIT_LIMIT};
use serde_json::json;

use super::parse_enum;
use crate::{
    admin::AdminClient,
    command::{Command, Example, Requirement},
    context::Context,
    entry::EntryClient,
    error::CliError,
    http::HttpClient,
    load::{
        arrivals::Arrivals,
        counters::total_attempts,
        direct_client::DirectClient,
        entry_target::EntryTarget,
        run::run,
        stats::RunSummary,
        tables::{median_table, summary_table},
    },
    report::Report,
    rollout::update::read_current,
    store::platform_client,
};

/// Maximum length of a round in seconds, so that a forgotten run ends.
const MAX_SECONDS: f64 = 3_600.0;

/// Minimum and default number of rounds with `--direct`.
const MIN_COMPARISON_ROUNDS: u32 = 5;

/// Number of runtime threads besides the thread that times the arrivals.
const WORKER_THREADS: usize = 2;

/// Time for the telemetry threads of the instances to count the last requests.
const COUNTER_LAG: Duration = Duration::from_millis(500);

xflags::xflags! {
    cmd load-run {
        /// Name of the search service.
        required service: String
        /// Text to search for; several are used round-robin. `walnut` if absent.
        repeated --query text: String
        /// Requests per second; 50 if absent.
        optional --rate requests: f64
        /// Length of a round in seconds, up to 3600; 10 if absent.
        optional --seconds seconds: f64
        /// Maximum number of requests in a round; 1000000 if absent.
        optional --count requests: u64
        /// Maximum number of requests in flight; requests above it are not sent. 1000 if absent.
        optional --in-flight requests: usize
        /// Seed of the arrivals; 1 if absent.
        optional --seed seed: u64
        /// Number of rounds; 1 if absent. With --direct, the minimum and default is 5.
        optional --rounds rounds: u32
        /// Compares with a client that queries the upstreams directly, in alternating rounds.
        optional --direct
        /// Maximum number of hits; 20 if absent.
        optional --limit hits: u32
        /// Timeout in milliseconds; the timeout of the service if absent.
        optional --timeout-ms ms: u64
        /// `complete` or `partial`; the coverage mode of the service if absent.
        optional --coverage mode: String
        /// Callers' ports of entry instances, used round-robin; $ROSEMARYBANK_ENTRY if absent.
        repeated --entry addr: SocketAddr
        /// HTTP/2 connections to each instance; 4 if absent.
        optional --connections number: usize
        /// Admin ports of all instances, whose counters give the extra load.
        repeated --admin addr: SocketAddr
        /// File with the caller's token; $ROSEMARYBANK_TOKEN if absent.
        optional --token-file file: PathBuf
        /// Address of the platform's object API; needed with --admin and --direct.
        /// $ROSEMARYBANK_PLATFORM if absent.
        optional --platform addr: SocketAddr
    }
}

impl Command for LoadRun {
    const NAME: &'static [&'static str] = &["load"];
    const ABOUT: &'static str = "Sends searches at a fixed rate and measures latency and coverage.";
    const EXAMPLES: &'static [Example] = &[
        Example {
            about: "Send 200 searches per second for 30 seconds.",
            args: &["order-desk", "--rate", "200", "--seconds", "30", "--seed", "7"],
            requires: Requirement::Servers,
        },
        Example {
            about: "Measure the latency that an instance adds to its upstreams, and its extra \
                    load, in 5 alternating rounds.",
            args: &["order-desk", "--direct", "--rounds", "5", "--admin", "127.0.0.1:9100"],
            requires: Requirement::Servers,
        },
    ];

    fn parse(args: Vec<OsString>) -> xflags::Result<LoadRun> {
        let flags = LoadRun::from_vec(args)?;
        coverage(&flags)?;
        let seconds = flags.seconds();
        if !(seconds > 0.0 && seconds <= MAX_SECONDS) {
            return Err(xflags::Error::new("--seconds must be above 0 and at most 3600"));
        }
        let rate = flags.rate();
        if !(rate > 0.0 && rate <= 1e6) {
            return Err(xflags::Error::new("--rate must be above 0 and at most 1000000"));
        }
        if flags.direct && flags.rounds() < MIN_COMPARISON_ROUNDS {
            return Err(xflags::Error::new("--direct requires at least 5 rounds"));
        }
        Ok(flags)
    }

    fn run(self, cx: &Context) -> Result<Report, CliError> {
        cx.block_on_multi_thread(WORKER_THREADS, self.execute(cx))?
    }
}

/// Targets of a run, and the admin clients and shard count that give the extra load.
struct Targets {
    entries: EntryTarget,
    direct: Option<DirectClient>,
    admins: Vec<AdminClient>,
    /// Number of shards of the service; 0 without `--admin` and `--direct`.
    shards: usize,
}

impl LoadRun {
    async fn execute(&self, cx: &Context) -> Result<Report, CliError> {
        let targets = self.targets(cx).await?;
        cx.note(format!("seed {}", self.seed()));
        targets.entries.warm_up().await?;
        let (mut entry_runs, mut direct_runs) = (Vec::new(), Vec::new());
        for round in 0..self.rounds() {
            let summary = self.entry_round(&targets, round).await?;
            cx.note(summary_table([(format!("entry {}", round + 1), &summary)]));
            entry_runs.push(summary);
            if let Some(client) = &targets.direct {
                let summary = self.direct_round(client, targets.shards, round).await;
                cx.note(summary_table([(format!("direct {}", round + 1), &summary)]));
                direct_runs.push(summary);
            }
        }
        Ok(self.report(&entry_runs, &direct_runs))
    }

    async fn targets(&self, cx: &Context) -> Result<Targets, CliError> {
        let requests = self.requests()?;
        let admins: Vec<_> = self.admin.iter().map(|&addr| AdminClient::new(addr)).collect();
        let mut targets = Targets {
            entries: EntryTarget::new(self.entries(cx)?, &self.service, requests.clone()),
            direct: None,
            admins,
            shards: 0,
        };
        if targets.admins.is_empty() && !self.direct {
            return Ok(targets);
        }
        let store = platform_client(cx.platform_addr(self.platform)?);
        let service = self.service_config(read_current(&store).await?.map(|(_, it)| it.bundle))?;
        targets.shards = service.shards.len();
        if self.direct {
            let timeout = Duration::from_millis(self.timeout_ms.unwrap_or(service.timeout_ms));
            let direct =
                DirectClient::prepare(&store, &service, requests, timeout, self.seed()).await?;
            targets.direct = Some(direct);
        }
        Ok(targets)
    }

    async fn entry_round(&self, targets: &Targets, round: u32) -> Result<RunSummary, CliError> {
        let before = total_attempts(&targets.admins).await?;
        let stats = run(targets.entries.clone(), self.arrivals(round), self.in_flight()).await;
        let mut summary = stats.summary(Duration::from_secs_f64(self.seconds()));
        if !targets.admins.is_empty() {
            tokio::time::sleep(COUNTER_LAG).await;
            let sent = total_attempts(&targets.admins).await?.saturating_sub(before);
            summary.extra_load = extra_load(sent, stats.sent(), targets.shards);
        }
        Ok(summary)
    }

    async fn direct_round(&self, client: &DirectClient, shards: usize, round: u32) -> RunSummary {
        let before = client.sent();
        let stats = run(client.clone(), self.arrivals(round), self.in_flight()).await;
        let mut summary = stats.summary(Duration::from_secs_f64(self.seconds()));
        summary.extra_load = extra_load(client.sent() - before, stats.sent(), shards);
        summary
    }

    fn report(&self, entry_runs: &[RunSummary], direct_runs: &[RunSummary]) -> Report {
        let numbered = |target: &'static str| {
            move |(i, summary)| -> (String, &RunSummary) {
                (format!("{target} {}", i + 1), summary)
            }
        };
        let rows = entry_runs.iter().enumerate().map(numbered("entry"));
        let rows = rows.chain(direct_runs.iter().enumerate().map(numbered("direct")));
        let mut text = summary_table(rows);
        if entry_runs.len() > 1 {
            text.push_str(&format!("\n{}", median_table("entry", entry_runs)));
        }
        if !direct_runs.is_empty() {
            text.push_str(&format!("\n{}", median_table("direct", direct_runs)));
        }
        text.push_str(&format!("\nseed {}\n", self.seed()));
        Report::new(
            text,
            &json!({ "seed": self.seed(), "entry": entry_runs, "direct": direct_runs }),
        )
    }

    fn requests(&self) -> Result<Vec<SearchRequest>, CliError> {
        let coverage = coverage(self).map_err(|e| CliError::Usage(e.to_string()))?;
        let queries = match self.query.is_empty() {
            true => vec!["walnut".to_owned()],
            false => self.query.clone(),
        };
        let limit = self.limit.unwrap_or(DEFAULT_HIT_LIMIT);
        let timeout_ms = self.timeout_ms;
        let request = |query| SearchRequest { query, limit, timeout_ms, coverage };
        Ok(queries.into_iter().map(request).collect())
    }

    fn entries(&self, cx: &Context) -> Result<Vec<EntryClient>, CliError> {
        let token = cx.token(self.token_file.as_deref())?;
        let addrs = match self.entry.is_empty() {
            true => vec![cx.entry_addr(None)?],
            false => self.entry.clone(),
        };
        // Each client has one connection. Consecutive clients use different instances, so that the
        // round-robin alternates between instances.
        let connections = self.connections.unwrap_or(4).max(1);
        let addrs_in_turn = (0..connections).flat_map(|_| &addrs);
        Ok(addrs_in_turn.map(|&addr| EntryClient::new(addr, &token, HttpClient::h2())).collect())
    }

    fn service_config(&self, bundle: Option<String>) -> Result<ServiceConfig, CliError> {
        let Some(text) = bundle else { return Err(CliError::NoConfiguration) };
        let bundle = parse(&text).ok();
        let mut services = bundle.into_iter().flat_map(|it| it.services);
        services
            .find(|it| it.name == self.service && it.kind == ServiceKind::Search)
            .ok_or_else(|| CliError::ServiceNotFound { service: self.service.clone() })
    }

    /// Arrivals of a round; both targets get the same.
    fn arrivals(&self, round: u32) -> Arrivals {
        let duration = Duration::from_secs_f64(self.seconds());
        let seed = self.seed().wrapping_add(u64::from(round));
        Arrivals::new(self.rate(), duration, self.count.unwrap_or(1_000_000), seed)
    }

    fn rate(&self) -> f64 {
        self.rate.unwrap_or(50.0)
    }

    fn seconds(&self) -> f64 {
        self.seconds.unwrap_or(10.0)
    }

    fn in_flight(&self) -> usize {
        self.in_flight.unwrap_or(1_000)
    }

    fn seed(&self) -> u64 {
        self.seed.unwrap_or(1)
    }

    fn rounds(&self) -> u32 {
        self.rounds.unwrap_or(if self.direct { MIN_COMPARISON_ROUNDS } else { 1 }).max(1)
    }
}

fn coverage(flags: &LoadRun) -> xflags::Result<Option<CoverageMode>> {
    flags.coverage.as_deref().map(|word| parse_enum("--coverage", word)).transpose()
}

fn extra_load(upstream_requests: u64, requests: u64, shards: usize) -> Option<f64> {
    let expected = requests.saturating_mul(shards as u64);
    (expected > 0).then(|| upstream_requests as f64 / expected as f64)
}
