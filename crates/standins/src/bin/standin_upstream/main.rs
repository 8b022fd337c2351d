//! Stand-in for upstream replicas.

mod flags;

use std::fs;

use eyre::{Context, Result};
use rosemarybank_standins::{
    logging,
    upstream::{ReplicaSpec, run},
};

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags::StandinUpstream::from_env_or_exit();
    let log = logging::stderr_logger();
    let file = &flags.replicas;
    let text = fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
    let specs: Vec<ReplicaSpec> =
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("parse {}", file.display()))?;

    let replicas = run::start_all(specs, flags.seed.unwrap_or(1)).await?;
    for replica in &replicas {
        println!("listening {} {}", replica.spec.replica, replica.spec.addr);
    }
    if let Some(out) = &flags.instances_out {
        let entries: Vec<_> = replicas.iter().map(|it| run::instance_entry(&it.spec)).collect();
        fs::write(out, serde_json::to_vec_pretty(&entries)?)
            .wrap_err_with(|| format!("write {}", out.display()))?;
    }
    println!("ready");
    slog::info!(log, "replicas started"; "count" => replicas.len());
    std::future::pending().await
}
