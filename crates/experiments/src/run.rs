//! Runs the selected scenarios and prints their reports.

use std::{
    path::PathBuf,
    process::{Command, Stdio},
    time::Instant,
};

use eyre::{Context, OptionExt, Result, bail, ensure};

use crate::{
    flags::Experiments,
    render::{DOCUMENT_HEAD, markdown, plain},
    report::Report,
    scenarios::{NAMES, Outcome, Plan, measure},
    site::{FileRetention, SiteOptions},
};

/// Number of rounds if `--rounds` is absent.
const DEFAULT_ROUNDS: u32 = 5;

/// Upper limit of `--rounds`. Together with [`MAX_SECONDS`] it bounds the duration of a run.
const MAX_ROUNDS: u32 = 50;

/// Upper limit of `--seconds`.
const MAX_SECONDS: f64 = 60.0;

/// Runs the scenarios that the command line selects.
///
/// # Errors
///
/// Fails if a flag is out of range or a scenario cannot be measured.
pub async fn main() -> Result<()> {
    let flags = &Experiments::from_env_or_exit();
    let names = select_scenarios(&flags.scenario)?;
    let plan = build_plan(flags)?;
    let (commit, machine) = (describe_commit(), describe_machine());
    let environment = (commit.as_str(), machine.as_str());
    let (mut reports, mut failed) = (Vec::new(), Vec::new());
    for name in names {
        eprintln!("{name}: measuring");
        let start = Instant::now();
        match measure(name, &plan).await {
            Ok(outcome) => {
                reports.push(build_report(name, flags, &plan, environment, start, outcome))
            }
            Err(err) => {
                // Continue with the remaining scenarios.
                eprintln!("{name}: {err:#}");
                failed.push(name);
            }
        }
    }
    print_reports(flags, &reports)?;
    ensure!(failed.is_empty(), "scenarios that failed: {}", failed.join(", "));
    Ok(())
}

/// Returns the scenario with this name, or all scenarios if it is `all`.
///
/// # Errors
///
/// Fails if there is no such scenario.
pub fn select_scenarios(name: &str) -> Result<Vec<&'static str>> {
    let all = NAMES.into_iter();
    let found: Vec<_> = all.filter(|it| name == "all" || name == *it).collect();
    if found.is_empty() {
        bail!("unknown scenario {name:?}; known scenarios: all, {}", NAMES.join(", "));
    }
    Ok(found)
}

fn build_plan(flags: &Experiments) -> Result<Plan> {
    let rounds = flags.rounds.unwrap_or(DEFAULT_ROUNDS);
    if rounds == 0 || rounds > MAX_ROUNDS {
        bail!("--rounds must be between 1 and {MAX_ROUNDS}");
    }
    if flags.seconds.is_some_and(|it| !(0.5..=MAX_SECONDS).contains(&it)) {
        bail!("--seconds must be between 0.5 and {MAX_SECONDS}");
    }
    let bin_dir = match &flags.bin_dir {
        Some(dir) => dir.canonicalize().wrap_err("resolve --bin-dir")?,
        None => executable_dir()?,
    };
    let files = if flags.keep_files { FileRetention::Keep } else { FileRetention::Remove };
    let site = SiteOptions { bin_dir, files };
    Ok(Plan { rounds, seconds: flags.seconds, seed: flags.seed.unwrap_or(1), site })
}

fn executable_dir() -> Result<PathBuf> {
    let exe = std::env::current_exe()?;
    Ok(exe.parent().ok_or_eyre("the path of this binary has no parent directory")?.to_owned())
}

fn build_report(
    name: &str,
    flags: &Experiments,
    plan: &Plan,
    (commit, machine): (&str, &str),
    start: Instant,
    outcome: Outcome,
) -> Report {
    let mut command = format!("experiments {name} --rounds {} --seed {}", plan.rounds, plan.seed);
    if let Some(seconds) = flags.seconds {
        command.push_str(&format!(" --seconds {seconds}"));
    }
    Report {
        scenario: name.to_owned(),
        setup: outcome.setup,
        command,
        seed: plan.seed,
        commit: commit.to_owned(),
        machine: machine.to_owned(),
        rounds: plan.rounds,
        took_s: start.elapsed().as_secs_f64(),
        rows: outcome.samples.rows(),
        verdicts: outcome.verdicts,
        limits: outcome.limits,
    }
}

fn print_reports(flags: &Experiments, reports: &[Report]) -> Result<()> {
    if flags.json {
        println!("{}", serde_json::to_string_pretty(reports)?);
    }
    if flags.markdown {
        let sections: String = reports.iter().map(markdown).collect();
        print!("{DOCUMENT_HEAD}{sections}");
    }
    if !flags.json && !flags.markdown {
        reports.iter().for_each(|it| println!("{}", plain(it)));
    }
    Ok(())
}

/// Describes the cores and the one-minute load average, which shows whether the machine was busy.
fn describe_machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = load.split(' ').next().unwrap_or_default();
    format!("{cores} cores, load average {load} at the start")
}

/// Returns the commit of the working directory, or `unknown` outside a repository.
fn describe_commit() -> String {
    let git = |args: &[&str]| {
        let output = Command::new("git").args(args).stderr(Stdio::null()).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    let Some(head) = git(&["rev-parse", "--short=12", "HEAD"]) else { return "unknown".to_owned() };
    // Only code and configuration count: a run may itself be writing docs/measurements.md.
    let status = git(&["status", "--porcelain", "--", "crates", "config", "Cargo.lock"]);
    let dirty = if status.is_some_and(|it| it.is_empty()) { "" } else { "-dirty" };
    format!("{head}{dirty}")
}
