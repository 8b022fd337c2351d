//! Runs of the load generator.

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

/// Arguments of a run of `rosemarybank load`.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Service.
    pub service: String,
    /// Requests per second.
    pub rate: f64,
    /// Length of a round in seconds.
    pub seconds: f64,
    /// Rounds.
    pub rounds: u32,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Callers' ports of the instances.
    pub entry_addrs: Vec<SocketAddr>,
    /// Token of the caller.
    pub token: &'static str,
    /// Further arguments.
    pub extra_args: Vec<String>,
}

/// RoundSummary of one round, as the load generator prints them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoundSummary {
    /// Requests that were due.
    pub requests: u64,
    /// Answers per second, complete or not.
    pub achieved_per_s: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// Greatest latency.
    pub max_ms: f64,
    /// Share of the requests that were answered completely in time.
    pub complete_share: f64,
    /// Share of the records that the answers covered.
    pub coverage_share: f64,
    /// Upstream requests per caller request and shard.
    pub extra_load: Option<f64>,
    /// Failures by kind.
    pub errors: BTreeMap<String, u64>,
}

/// Result of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadResult {
    /// Rounds through entry instances.
    pub entry: Vec<RoundSummary>,
    /// Rounds of the direct client.
    pub direct: Vec<RoundSummary>,
    /// Times at which the rounds through entry instances ended.
    #[serde(skip)]
    pub round_ends: Vec<Instant>,
}

impl LoadResult {
    /// The first round.
    ///
    /// # Errors
    ///
    /// Fails when there was no round.
    pub fn first_round(&self) -> Result<&RoundSummary> {
        self.entry.first().ok_or_eyre("the load generator reported no round")
    }
}

impl RoundSummary {
    /// Complete answers per second of a round of this length.
    #[must_use]
    pub fn goodput(&self, seconds: f64) -> f64 {
        self.complete_share * self.requests as f64 / seconds
    }

    /// Requests that were answered, with or without all records.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.requests.saturating_sub(self.errors.values().sum())
    }
}

/// Texts that are searched for in turn. Many differ, as callers' do, because the crash rules treat
/// requests with the same text as one.
const DISTINCT_QUERIES: u32 = 50;

/// Connections to each instance.
const CONNECTIONS_PER_INSTANCE: usize = 4;

impl LoadPlan {
    /// One round through a fleet as the caller of the highest precedence.
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

    /// Requests that the load generator sends before the rounds, one over each connection. The
    /// counters of instances and replicas include them, the figures do not.
    #[must_use]
    pub fn warm_up_requests(&self) -> u64 {
        (CONNECTIONS_PER_INSTANCE * self.entry_addrs.len()) as u64
    }

    /// Arguments of the command.
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

    /// Runs the load generator, which `command` names, to its end.
    ///
    /// # Errors
    ///
    /// Fails when it ends with an error.
    pub async fn run(&self, mut command: Command) -> Result<LoadResult> {
        command.args(self.args()).env("ROSEMARYBANK_TOKEN", self.token);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.kill_on_drop(true).spawn().wrap_err("start the load generator")?;
        let mut stdout = child.stdout.take().ok_or_eyre("stdout is piped")?;
        let stderr = child.stderr.take().ok_or_eyre("stderr is piped")?;
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
    ensure!(status.success(), "the load generator failed: {stdout_text}{stderr_text}");
    let result: LoadResult =
        serde_json::from_str(stdout_text).wrap_err("read the load's report")?;
    Ok(LoadResult { round_ends, ..result })
}

/// Reads the notes of the load generator and the times at which its rounds ended, which it notes
/// with a line that begins with `entry`.
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
