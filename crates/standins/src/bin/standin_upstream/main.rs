//! Stand-in for upstream replicas.

mod flags;

use std::{fs, path::Path};

use eyre::{Context, Result, bail};
use rosemarybank_standins::{
    logging, server,
    upstream::{Network, ReplicaSpec, Topology, start},
};
use serde::de::DeserializeOwned;
use tokio::{net::TcpListener, sync::watch};

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let flags = flags::StandinUpstream::from_env_or_exit();
    let log = logging::stderr_logger();
    let Setup { mut replicas, network, seed } = load_setup(&flags)?;
    if let Some(name) = &flags.data_centre {
        replicas.retain(|it| it.data_centre == name.as_str());
    }
    let control = start::start_with_control(replicas, network, flags.seed.unwrap_or(seed)).await?;
    let replicas = control.replicas().to_vec();
    for replica in &replicas {
        println!("listening {} {}", replica.spec.replica, replica.spec.addr);
    }
    if let Some(addr) = flags.control {
        let listener = TcpListener::bind(addr).await.wrap_err_with(|| format!("bind {addr}"))?;
        println!("listening control {}", listener.local_addr()?);
        let signals = watch::Sender::default();
        tokio::spawn(server::serve(listener, signals.subscribe(), control));
    }
    if let Some(out) = &flags.instances_out {
        let entries: Vec<_> = replicas.iter().map(|it| start::instance_entry(&it.spec)).collect();
        fs::write(out, serde_json::to_vec_pretty(&entries)?)
            .wrap_err_with(|| format!("write {}", out.display()))?;
    }
    println!("ready");
    slog::info!(log, "replicas started"; "count" => replicas.len());
    std::future::pending().await
}

/// Replicas to serve, the network between data centres, and the seed of the service times.
struct Setup {
    replicas: Vec<ReplicaSpec>,
    network: Network,
    seed: u64,
}

fn load_setup(flags: &flags::StandinUpstream) -> Result<Setup> {
    match (&flags.replicas, &flags.topology) {
        (Some(file), None) => {
            Ok(Setup { replicas: parse_file(file)?, network: Network::default(), seed: 1 })
        }
        (None, Some(file)) => {
            let topology: Topology = parse_file(file)?;
            let (replicas, network) = (topology.replicas(), topology.network());
            Ok(Setup { replicas, network, seed: topology.seed })
        }
        _ => bail!("give either --replicas or --topology"),
    }
}

fn parse_file<T: DeserializeOwned>(file: &Path) -> Result<T> {
    let text = fs::read_to_string(file).wrap_err_with(|| format!("read {}", file.display()))?;
    serde_saphyr::from_str(&text).wrap_err_with(|| format!("parse {}", file.display()))
}
