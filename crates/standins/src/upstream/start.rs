//! Starts the replicas of a process.

use std::sync::Arc;

use eyre::{Context, Result};
use rosemarybank_protocol::platform::{InstanceEntry, InstanceState};
use tokio::net::TcpListener;

use super::{
    control::ControlService, effects::EffectLog, network::Network, replica::Replica,
    service::UpstreamService, spec::ReplicaSpec,
};
use crate::server;

/// Binds the addresses of all replicas and serves them in tasks of the current runtime, without
/// delays between data centres.
///
/// Returns the replicas with the addresses that they listen on. `seed` determines their service
/// times.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start_replicas(specs: Vec<ReplicaSpec>, seed: u64) -> Result<Vec<Replica>> {
    let control = start_with_control(specs, Network::default(), seed).await?;
    Ok(control.replicas().to_vec())
}

/// Does the same as [`start_replicas`] with the delays of `network`, and returns the control API of
/// the replicas.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start_with_control(
    specs: Vec<ReplicaSpec>,
    network: Network,
    seed: u64,
) -> Result<ControlService> {
    let network = Arc::new(network);
    let effects = EffectLog::default();
    let mut replicas = Vec::with_capacity(specs.len());
    for (number, mut spec) in specs.into_iter().enumerate() {
        let listener = TcpListener::bind(spec.addr)
            .await
            .wrap_err_with(|| format!("cannot bind {} for replica {}", spec.addr, spec.replica))?;
        spec.addr = listener.local_addr()?;
        let replica = Replica::start(spec, seed.wrapping_add(number as u64), effects.clone());
        let conn_signals = replica.conn_signals.subscribe();
        tokio::spawn(server::serve(
            listener,
            conn_signals,
            UpstreamService::new(replica.clone(), network.clone()),
        ));
        replicas.push(replica);
    }
    Ok(ControlService::new(replicas, effects))
}

/// Returns the entry of a replica for the platform's list of instances.
#[must_use]
pub fn instance_entry(spec: &ReplicaSpec) -> InstanceEntry {
    InstanceEntry {
        replica: spec.replica.clone(),
        upstream: spec.upstream.clone(),
        addr: spec.addr,
        data_centre: spec.data_centre.clone(),
        state: InstanceState::Live,
    }
}
