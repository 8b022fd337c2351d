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
    pub entries: Vec<SocketAddr>,
    /// Token of the caller.
    pub token: &'static str,
    /// Further arguments.
    pub further: Vec<String>,
}

/// Figures of one round, as the load generator prints them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
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
    pub entry: Vec<Figures>,
    /// Rounds of the direct client.
    pub direct: Vec<Figures>,
    /// Times at which the rounds through entry instances ended.
    #[serde(skip)]
    pub ends: Vec<Instant>,
}

impl LoadResult {
    /// The first round.
    ///
    /// # Errors
    ///
    /// Fails when there was no round.
    pub fn first(&self) -> Result<&Figures> {
        self.entry.first().ok_or_eyre("the load generator reported no round")
    }
}

impl Figures {
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
const QUERIES: u32 = 50;

/// Connections to each instance.
const CONNECTIONS: usize = 4;

impl LoadPlan {
    /// One round through a fleet as the caller of the highest precedence.
    #[must_use]
    pub fn new(fleet: &Fleet, service: &str, rate: f64, seconds: f64, seed: u64) -> LoadPlan {
        let queries = (0..QUERIES).flat_map(|it| ["--query".to_owned(), format!("walnut {it}")]);
        LoadPlan {
            service: service.to_owned(),
            rate,
            seconds,
            rounds: 1,
            seed,
            entries: fleet.callers(),
            token: CRITICAL_TOKEN,
            further: queries.collect(),
        }
    }

    /// Requests that the load generator sends before the rounds, one over each connection. The
    /// counters of instances and replicas include them, the figures do not.
    #[must_use]
    pub fn warm_up_requests(&self) -> u64 {
        (CONNECTIONS * self.entries.len()) as u64
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
            ("--connections", CONNECTIONS.to_string()),
        ] {
            args.extend([flag.to_owned(), value]);
        }
        for entry in &self.entries {
            args.extend(["--entry".to_owned(), entry.to_string()]);
        }
        args.extend(self.further.iter().cloned());
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
        let mut text = String::new();
        let (read, notes) = tokio::join!(stdout.read_to_string(&mut text), read_notes(stderr));
        read?;
        let (notes, ends) = notes?;
        finish(child.wait().await?, &text, &notes, ends)
    }
}

fn finish(status: ExitStatus, text: &str, notes: &str, ends: Vec<Instant>) -> Result<LoadResult> {
    ensure!(status.success(), "the load generator failed: {text}{notes}");
    let result: LoadResult = serde_json::from_str(text).wrap_err("read the load's report")?;
    Ok(LoadResult { ends, ..result })
}

/// Reads the notes of the load generator and the times at which its rounds ended, which it notes
/// with a line that begins with `entry`.
async fn read_notes(stderr: impl tokio::io::AsyncRead + Unpin) -> Result<(String, Vec<Instant>)> {
    let (mut notes, mut ends) = (String::new(), Vec::new());
    let mut lines = BufReader::new(stderr).lines();
    while let Some(line) = lines.next_line().await? {
        if line.starts_with("entry ") {
            ends.push(Instant::now());
        }
        notes.push_str(&line);
        notes.push('\n');
    }
    Ok((notes, ends))
}
