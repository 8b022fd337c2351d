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
    /// Number of this start of the process; higher than that of every earlier start.
    pub incarnation: u64,
    /// Data centre of this instance.
    #[builder(into)]
    pub data_centre: DataCentre,
    /// Address of this instance's peer port.
    pub addr: SocketAddr,
    /// Addresses of the other configured instances.
    pub peers: Vec<SocketAddr>,
    /// Time between two heartbeats to the same peer.
    #[builder(default = Duration::from_millis(500))]
    pub interval: Duration,
    /// Missed heartbeats after which a peer is suspected.
    #[builder(default = 3)]
    pub suspect_after: u32,
    /// Missed heartbeats after which a peer is dead.
    #[builder(default = 10)]
    pub dead_after: u32,
}

/// The parts of a heartbeat that other machines determine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LocalState {
    /// Version in force.
    pub version: Option<Version>,
    /// Hash of the quarantine entries held.
    pub quarantine_digest: u64,
    /// Whether this instance takes callers' requests.
    pub ready: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The process has started.
    Start,
    /// A heartbeat of a peer arrived.
    #[serde(rename = "Heard")]
    HeartbeatReceived {
        /// The peer.
        from: InstanceId,
        /// Its heartbeat.
        heartbeat: Heartbeat,
    },
    /// The local state changed; the next heartbeats carry it.
    Local(LocalState),
    /// This instance begins to stop; it announces that at once.
    Leave,
    /// Time has passed; sent at `next_wakeup`.
    Tick,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Send a heartbeat to each of the addresses.
    SendHeartbeats {
        /// Addresses of the peers.
        to: Vec<SocketAddr>,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// A peer's phase changed, or it came back with a new incarnation.
    PeerChanged {
        /// The peer.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: u64,
        /// Its phase.
        phase: Phase,
    },
    /// The number of instances that share connections and budgets, this one included.
    FleetSize(u32),
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Heartbeats arrive.
    Live,
    /// Some heartbeats are missing; it still counts as live.
    Suspect,
    /// It announced its stop. It still holds connections, so it counts in the fleet size until it
    /// is dead, but it is no watcher and no status writer.
    Leaving,
    /// Silent for so long that its share is given to the others.
    Dead,
}
