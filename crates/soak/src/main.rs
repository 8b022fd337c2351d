//! Plays the faults of one or more seeds and prints what was broken.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use eyre::{Result, WrapErr};
use rosemarybank_soak::{
    plan::{Sizes, draw},
    run::run,
};

/// Replicas of a run: three of each of the five services.
const REPLICAS: usize = 15;

fn main() -> Result<ExitCode> {
    let flags = xflags::parse_or_exit! {
        /// First seed (1).
        optional --seed seed: u64
        /// Number of seeds, one after the other (1).
        optional --seeds count: u64
        /// Seconds of traffic for each seed (12).
        optional --seconds seconds: u64
        /// Instances of the tier (3).
        optional --machines count: usize
        /// Program of an instance (target/release/rosemarybankd).
        optional --binary path: PathBuf
        /// Print the faults of the seeds and play nothing.
        optional --plan
    };
    let binary = flags.binary.unwrap_or_else(|| "target/release/rosemarybankd".into());
    let sizes = Sizes {
        machines: flags.machines.unwrap_or(3),
        replicas: REPLICAS,
        length: Duration::from_secs(flags.seconds.unwrap_or(12)),
    };
    let first = flags.seed.unwrap_or(1);
    let mut is_clean = true;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        if flags.plan {
            for it in draw(seed, sizes) {
                println!("{seed}: {:>6} ms  {:?}", it.at.as_millis(), it.fault);
            }
            continue;
        }
        let dir = tempfile::TempDir::new()?;
        let outcome = run(seed, sizes, dir.path(), &binary)
            .wrap_err_with(|| format!("seed {seed}, program {}", binary.display()))?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults injected, {} promises broken",
            outcome.requests,
            outcome.served,
            outcome.injected,
            outcome.faults.len()
        );
        for it in outcome.faults.iter().take(20) {
            println!("  {it}");
        }
        if !outcome.faults.is_empty() {
            is_clean = false;
            println!("  logs: {}", dir.keep().display());
        }
    }
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
