use rosemarybank_protocol::prelude::*;
use serde::Serialize;

/// Response of the admin port's `/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StatusDocument {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Active configuration version.
    pub version: Option<Version>,
    /// Whether this instance is one of those that watch the store on behalf of its data centre.
    pub is_watcher: bool,
    /// Number of live instances, including this one.
    pub fleet_size: u32,
    /// Status of each peer.
    pub peers: Vec<PeerStatus>,
    /// Number of replicas in the platform's list.
    pub replicas: usize,
    /// Number of quarantined fingerprints.
    pub quarantined: usize,
    /// Number of actions in progress.
    pub actions: usize,
    /// Number of calls to the platform since the start.
    pub platform_calls: u64,
}

/// A peer in a [`StatusDocument`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// Name of the peer.
    pub instance: InstanceId,
    /// State of the peer as this instance sees it.
    pub phase: String,
    /// Configuration version that the peer last reported.
    pub version: Option<Version>,
}
