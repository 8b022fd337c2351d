//! Starts the replicas of a process.

use std::sync::Arc;

use eyre::{Context, Result};
use rosemarybank_protocol::platform::{InstanceEntry, InstanceState};
use tokio::net::TcpListener;

use super::{
    control::ControlService, effects::Effects, network::Network, replica::Replica,
    service::UpstreamService, spec::ReplicaSpec,
};
use crate::server;

/// Binds and serves every replica in tasks of the present runtime, without delays between data
/// centres.
///
/// Returns the replicas with the addresses that they got. `seed` fixes their service times.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start_replicas(specs: Vec<ReplicaSpec>, seed: u64) -> Result<Vec<Replica>> {
    let control = start_with_control(specs, Network::default(), seed).await?;
    Ok(control.replicas().to_vec())
}

/// Does as [`start_replicas`] does with the delays of `network`, and returns the control of the
/// replicas.
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
    let effects = Effects::default();
    let mut replicas = Vec::with_capacity(specs.len());
    for (number, mut spec) in specs.into_iter().enumerate() {
        let listener = TcpListener::bind(spec.addr)
            .await
            .wrap_err_with(|| format!("bind {} for {}", spec.addr, spec.replica))?;
        spec.addr = listener.local_addr()?;
        let replica = Replica::start(spec, seed.wrapping_add(number as u64), effects.clone());
        let orders = replica.orders.subscribe();
        tokio::spawn(server::serve(
            listener,
            orders,
            UpstreamService::new(replica.clone(), network.clone()),
        ));
        replicas.push(replica);
    }
    Ok(ControlService::new(replicas, effects))
}

/// The platform's list entry of a replica.
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
