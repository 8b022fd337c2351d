//! The protocol between entry instances: one h2 stream for each message, bodies in `bincode`.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    id::{DataCentre, InstanceId, Version},
    platform::{InstanceEntry, QuarantineEntry, SignedBundle},
};

/// Version of the peer protocol; a peer with another one is refused.
pub const PEER_PROTOCOL_VERSION: u16 = 1;

/// Largest encoded message in bytes: a bundle of 1 MB and its envelope.
pub const MAX_PEER_MESSAGE_LEN: usize = 1_200_000;

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// [`PEER_PROTOCOL_VERSION`] of the sender.
    pub protocol: u16,
    /// Sender.
    pub from: InstanceId,
    /// Message.
    pub message: PeerMessage,
}

/// Body of a [`PeerEnvelope`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent at each heartbeat interval; answered with the receiver's own heartbeat.
    Heartbeat(Heartbeat),
    /// Asks for the configuration above the version that the sender holds.
    ConfigFetch {
        /// Version that the sender holds.
        have: Option<Version>,
    },
    /// Carries a configuration; also the answer to `ConfigFetch`.
    ConfigPush(ConfigUpdate),
    /// Carries quarantine entries.
    QuarantinePush(Vec<QuarantineEntry>),
    /// Asks for the platform's list of upstream instances, for a start while the store is down.
    InstancesFetch,
    /// Answers `InstancesFetch` with the last list that the sender read; empty before the first.
    Instances(Vec<InstanceEntry>),
    /// Acknowledges a push.
    Ack,
}

/// State of an instance as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Distinguishes this start of the process from earlier ones.
    pub incarnation: u64,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Address of the sender's peer port.
    pub addr: SocketAddr,
    /// Version in force; `None` before the first is confirmed.
    pub version: Option<Version>,
    /// Hash of the quarantine entries that the sender holds.
    pub quarantine_digest: u64,
    /// Whether the sender takes callers' requests.
    pub ready: bool,
    /// Whether the sender is about to stop.
    pub leaving: bool,
}

/// A configuration, whole or as a change against a version the receiver holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The receiver is up to date.
    Current,
    /// The whole signed bundle.
    Whole(SignedBundle),
    /// Line edits that turn the bundle of `base` into the bundle of `version`.
    Delta(ConfigDelta),
}

/// Line edits between two versions of a bundle.
///
/// The receiver checks the signature of the resulting text, so a wrong delta is never activated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the edits apply to.
    pub base: Version,
    /// Version that they give.
    pub version: Version,
    /// Name of the signing key.
    pub signer: CompactString,
    /// Signature of the resulting bundle.
    pub signature: CompactString,
    /// Edits in line order of the base.
    pub edits: Vec<LineEdit>,
}

/// Replaces a run of lines of the base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineEdit {
    /// Index of the first replaced line, from 0.
    pub start: u32,
    /// Number of replaced lines.
    pub removed: u32,
    /// Lines in their place, without line ends.
    pub inserted: Vec<String>,
}
