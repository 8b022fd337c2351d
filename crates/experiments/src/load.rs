//! Runs the load generator, `rosemarybank load`, and parses its results.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::{ExitStatus, Stdio},
    time::Instant,
};

use eyre::{Context, OptionExt, Result, ensure};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, BufReader},
    process::Command,
};

use crate::{bundle_text::CRITICAL_TOKEN, site::Fleet};

/// Arguments of one run of `rosemarybank load`.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Name of the search service.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// Length of a round in seconds.
    pub seconds: f64,
    /// Number of rounds.
    pub rounds: u32,
    /// Random seed of the arrival times.
    pub seed: u64,
    /// Caller-facing addresses of the instances.
    pub entry_addrs: Vec<SocketAddr>,
    /// Bearer token of the caller.
    pub token: &'static str,
    /// Additional command-line arguments.
    pub extra_args: Vec<String>,
}

/// Results of one round. The fields are those of the load generator's JSON output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoundSummary {
    /// Number of scheduled requests.
    pub requests: u64,
    /// Complete and partial answers per second.
    pub achieved_per_s: f64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Maximum latency in milliseconds.
    pub max_ms: f64,
    /// Fraction of the requests that were answered completely before their deadline.
    pub complete_share: f64,
    /// Fraction of the records that the answers covered.
    pub coverage_share: f64,
    /// Upstream requests per caller request and shard.
    pub extra_load: Option<f64>,
    /// Number of failed requests by error kind.
    pub errors: BTreeMap<String, u64>,
}

/// Results of one run, by round.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadResult {
    /// Rounds through entry instances.
    pub entry: Vec<RoundSummary>,
    /// Rounds of the direct client.
    pub direct: Vec<RoundSummary>,
    /// End times of the rounds through entry instances.
    #[serde(skip)]
    pub round_ends: Vec<Instant>,
}

impl LoadResult {
    /// Returns the first round through entry instances.
    ///
    /// # Errors
    ///
    /// Fails if the load generator reported no round.
    pub fn first_round(&self) -> Result<&RoundSummary> {
        self.entry.first().ok_or_eyre("load generator reported no round")
    }
}

impl RoundSummary {
    /// Returns the complete answers per second of a round that lasted `seconds`.
    #[must_use]
    pub fn goodput(&self, seconds: f64) -> f64 {
        self.complete_share * self.requests as f64 / seconds
    }

    /// Returns the number of complete and partial answers.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.requests.saturating_sub(self.errors.values().sum())
    }
}

/// Number of distinct search texts. The quarantine identifies a query by its text, so repeating a
/// single text would make all requests count as the same query.
const DISTINCT_QUERIES: u32 = 50;

/// Connections that the load generator opens to each instance.
const CONNECTIONS_PER_INSTANCE: usize = 4;

impl LoadPlan {
    /// Creates a plan for one round through a fleet, sent by the `critical` caller.
    #[must_use]
    pub fn new(fleet: &Fleet, service: &str, rate: f64, seconds: f64, seed: u64) -> LoadPlan {
        let queries =
            (0..DISTINCT_QUERIES).flat_map(|it| ["--query".to_owned(), format!("walnut {it}")]);
        LoadPlan {
            service: service.to_owned(),
            rate,
            seconds,
            rounds: 1,
            seed,
            entry_addrs: fleet.callers_addrs(),
            token: CRITICAL_TOKEN,
            extra_args: queries.collect(),
        }
    }

    /// Returns the number of warm-up requests, one for each connection, which the load generator
    /// sends before the first round. The counters of instances and replicas include them;
    /// [`RoundSummary`] does not.
    #[must_use]
    pub fn warm_up_requests(&self) -> u64 {
        (CONNECTIONS_PER_INSTANCE * self.entry_addrs.len()) as u64
    }

    /// Returns the command-line arguments.
    #[must_use]
    pub fn args(&self) -> Vec<String> {
        let mut args: Vec<_> =
            ["load", &self.service, "--json", "--rate"].map(str::to_owned).to_vec();
        args.push(self.rate.to_string());
        for (flag, value) in [
            ("--seconds", self.seconds.to_string()),
            ("--rounds", self.rounds.to_string()),
            ("--seed", self.seed.to_string()),
            ("--in-flight", "4000".to_owned()),
            ("--connections", CONNECTIONS_PER_INSTANCE.to_string()),
        ] {
            args.extend([flag.to_owned(), value]);
        }
        for entry in &self.entry_addrs {
            args.extend(["--entry".to_owned(), entry.to_string()]);
        }
        args.extend(self.extra_args.iter().cloned());
        args
    }

    /// Runs the load generator until it exits. `command` is the `rosemarybank` binary.
    ///
    /// # Errors
    ///
    /// Fails if the load generator exits with an error or prints an unexpected result.
    pub async fn run(&self, mut command: Command) -> Result<LoadResult> {
        command.args(self.args()).env("ROSEMARYBANK_TOKEN", self.token);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.kill_on_drop(true).spawn().wrap_err("start the load generator")?;
        let mut stdout =
            child.stdout.take().ok_or_eyre("stdout of the load generator is not piped")?;
        let stderr = child.stderr.take().ok_or_eyre("stderr of the load generator is not piped")?;
        let mut stdout_text = String::new();
        let (read, stderr_text) =
            tokio::join!(stdout.read_to_string(&mut stdout_text), read_stderr(stderr));
        read?;
        let (stderr_text, round_ends) = stderr_text?;
        parse_result(child.wait().await?, &stdout_text, &stderr_text, round_ends)
    }
}

fn parse_result(
    status: ExitStatus,
    stdout_text: &str,
    stderr_text: &str,
    round_ends: Vec<Instant>,
) -> Result<LoadResult> {
    ensure!(status.success(), "load generator exited with an error: {stdout_text}{stderr_text}");
    let result: LoadResult = serde_json::from_str(stdout_text)
        .wrap_err("parse the JSON report of the load generator")?;
    Ok(LoadResult { round_ends, ..result })
}

/// Reads the load generator's stderr and records the end time of each round through entry
/// instances, which it reports with a line that starts with `entry `.
async fn read_stderr(stderr: impl tokio::io::AsyncRead + Unpin) -> Result<(String, Vec<Instant>)> {
    let (mut stderr_text, mut round_ends) = (String::new(), Vec::new());
    let mut lines = BufReader::new(stderr).lines();
    while let Some(line) = lines.next_line().await? {
        if line.starts_with("entry ") {
            round_ends.push(Instant::now());
        }
        stderr_text.push_str(&line);
        stderr_text.push('\n');
    }
    Ok((stderr_text, round_ends))
}
