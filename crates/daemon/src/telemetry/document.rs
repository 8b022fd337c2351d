use rosemarybank_protocol::prelude::*;
use serde::Serialize;

/// Answer of `/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StatusDocument {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Version in force.
    pub version: Option<Version>,
    /// Whether this instance watches the store for its data centre.
    pub is_watcher: bool,
    /// Live instances, this one included.
    pub fleet_size: u32,
    /// Peers.
    pub peers: Vec<PeerStatus>,
    /// Replicas in the platform's list.
    pub replicas: usize,
    /// Quarantined fingerprints.
    pub quarantined: usize,
    /// Actions in progress.
    pub actions: usize,
    /// Calls of the platform since the start.
    pub platform_calls: u64,
}

/// A peer in a [`StatusDocument`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// Name.
    pub instance: InstanceId,
    /// What is known of it.
    pub phase: String,
    /// Version that it holds.
    pub version: Option<Version>,
}
