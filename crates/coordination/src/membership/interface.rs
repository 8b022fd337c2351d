//! Events, actions and settings of the membership machine.

use std::{net::SocketAddr, time::Duration};

use rosemarybank_protocol::{peer::Heartbeat, prelude::*};
use serde::{Deserialize, Serialize};

/// Settings of the membership machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Name of this instance.
    #[builder(into)]
    pub instance: InstanceId,
    /// Incarnation number of this process; higher than that of every earlier start of the instance.
    pub incarnation: u64,
    /// Data centre of this instance.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// Address on which this instance accepts connections from peers.
    pub addr: SocketAddr,
    /// Addresses of the other configured instances.
    pub peers: Vec<SocketAddr>,
    /// Interval between heartbeats to the same peer.
    #[builder(default = Duration::from_millis(500))]
    pub interval: Duration,
    /// Number of missed heartbeats after which a peer is suspected.
    #[builder(default = 3)]
    pub suspect_after: u32,
    /// Number of missed heartbeats after which a peer is considered dead.
    #[builder(default = 10)]
    pub dead_after: u32,
}

/// The fields of a heartbeat that are determined by other state machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LocalState {
    /// Active configuration version.
    pub version: Option<Version>,
    /// Digest of the quarantine entries held.
    pub quarantine_digest: u64,
    /// Whether this instance accepts requests from callers.
    pub ready: bool,
}

/// Input to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The process has started.
    Start,
    /// A heartbeat from a peer arrived.
    #[serde(rename = "Heard")]
    HeartbeatReceived {
        /// The peer.
        from: InstanceId,
        /// Its heartbeat.
        heartbeat: Heartbeat,
    },
    /// The local state changed; subsequent heartbeats contain it.
    Local(LocalState),
    /// This instance is shutting down; it announces this to its peers immediately.
    Leave,
    /// The time returned by `next_wakeup` has been reached.
    Tick,
}

/// Command for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Send a heartbeat to each address.
    SendHeartbeats {
        /// Addresses of the peers.
        to: Vec<SocketAddr>,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// The phase of a peer changed, or the peer restarted with a new incarnation.
    PeerChanged {
        /// The peer.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: u64,
        /// Its phase.
        phase: Phase,
    },
    /// The number of instances that share connections and budgets changed. It includes this one.
    FleetSize(u32),
}

/// Liveness of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Heartbeats arrive in time.
    Live,
    /// Some heartbeats were missed. The peer still counts in the fleet size but has no roles.
    Suspect,
    /// The peer announced its shutdown. It still holds connections, so it counts in the fleet size
    /// until it is dead, but it has no roles.
    Leaving,
    /// No heartbeat arrived for so long that the peer's share is redistributed to the others.
    Dead,
}
