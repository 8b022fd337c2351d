//! Runs the fault schedules of one or more seeds and prints violated guarantees.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use eyre::{Result, WrapErr};
use rosemarybank_soak::{
    plan::{Mode, RunSize, generate_plan},
    run::run,
};

/// Number of replicas in a run: three for each of the five services.
const REPLICAS: usize = 15;

fn main() -> Result<ExitCode> {
    let flags = xflags::parse_or_exit! {
        /// First seed (default: 1).
        optional --seed seed: u64
        /// Number of consecutive seeds to run (default: 1).
        optional --seeds count: u64
        /// Seconds of traffic for each seed (default: 12).
        optional --seconds seconds: u64
        /// Number of instances (default: 3).
        optional --machines count: usize
        /// Binary of an instance (default: target/release/rosemarybankd).
        optional --binary path: PathBuf
        /// Let replicas send replies without end to a crowd of clients, on instances with little memory.
        optional --hostile
        /// Print the fault schedules without running them.
        optional --plan
    };
    let binary = flags.binary.unwrap_or_else(|| "target/release/rosemarybankd".into());
    let size = RunSize {
        instances: flags.machines.unwrap_or(3),
        replicas: REPLICAS,
        length: Duration::from_secs(flags.seconds.unwrap_or(12)),
        mode: if flags.hostile { Mode::Hostile } else { Mode::Usual },
    };
    let first = flags.seed.unwrap_or(1);
    let mut is_clean = true;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        if flags.plan {
            for it in generate_plan(seed, size) {
                println!("{seed}: {:>6} ms  {:?}", it.at.as_millis(), it.fault);
            }
            continue;
        }
        let dir = tempfile::TempDir::new()?;
        let outcome = run(seed, size, dir.path(), &binary)
            .wrap_err_with(|| format!("seed {seed}, binary {}", binary.display()))?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults injected, {} violations",
            outcome.requests,
            outcome.served,
            outcome.injected,
            outcome.violations.len()
        );
        for it in outcome.violations.iter().take(20) {
            println!("  {it}");
        }
        if !outcome.violations.is_empty() {
            is_clean = false;
            println!("  logs: {}", dir.keep().display());
        }
    }
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
