//! Stand-in for upstream replicas.

mod flags;

use std::fs;

use eyre::{Context, Result};
use rosemarybank_standins::{
    logging, server,
    upstream::{ReplicaSpec, run},
};
use tokio::{net::TcpListener, sync::watch};

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags::StandinUpstream::from_env_or_exit();
    let log = logging::stderr_logger();
    let file = &flags.replicas;
    let text = fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
    let specs: Vec<ReplicaSpec> =
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("parse {}", file.display()))?;

    let control = run::start_all(specs, flags.seed.unwrap_or(1)).await?;
    let replicas = control.replicas().to_vec();
    for replica in &replicas {
        println!("listening {} {}", replica.spec.replica, replica.spec.addr);
    }
    if let Some(addr) = flags.control {
        let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("bind {addr}"))?;
        println!("listening control {}", listener.local_addr()?);
        let orders = watch::Sender::default();
        tokio::spawn(server::serve(listener, orders.subscribe(), control));
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
