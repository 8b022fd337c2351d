//! The protocol between entry instances: one HTTP/2 stream per message, with `bincode` bodies.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    id::{DataCentre, InstanceId, Version},
    platform::{InstanceEntry, QuarantineEntry, SignedBundle},
};

/// Version of the peer protocol. Messages with any other version are refused.
pub const PEER_PROTOCOL_VERSION: u16 = 1;

/// Maximum encoded size of a message in bytes; fits a bundle of 1 MB and its envelope.
pub const MAX_PEER_MESSAGE_LEN: usize = 1_200_000;

/// A message from one entry instance to another, with its sender and protocol version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender's [`PEER_PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Name of the sender.
    pub from: InstanceId,
    /// The message.
    pub message: PeerMessage,
}

/// Content of a [`PeerEnvelope`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent once per heartbeat interval. The receiver replies with its own heartbeat.
    Heartbeat(Heartbeat),
    /// Requests the configuration if the receiver has a newer version than the sender.
    ConfigFetch {
        /// Version that the sender has.
        have: Option<Version>,
    },
    /// Delivers a configuration; also the reply to `ConfigFetch`.
    ConfigPush(ConfigUpdate),
    /// Delivers quarantine entries.
    QuarantinePush(Vec<QuarantineEntry>),
    /// Requests the platform's list of upstream instances. Used at startup while the store is
    /// unreachable.
    InstancesFetch,
    /// The reply to `InstancesFetch`: the list that the sender last read, empty if it has not read
    /// one.
    Instances(Vec<InstanceEntry>),
    /// Acknowledges a push.
    Ack,
}

/// State that an instance reports to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifies this run of the process; changes at each restart.
    pub incarnation: u64,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Address of the sender's peer listener.
    pub addr: SocketAddr,
    /// Active configuration version; `None` until one is confirmed.
    pub version: Option<Version>,
    /// Digest of the quarantine entries that the sender has.
    pub quarantine_digest: u64,
    /// Whether the sender accepts requests from callers.
    pub ready: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
}

/// A configuration, in full or as a delta against a version that the receiver has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The sender has no newer version than the receiver.
    Current,
    /// The full signed bundle.
    Whole(SignedBundle),
    /// Line edits from the receiver's version to the new version.
    Delta(ConfigDelta),
}

/// Line edits between two versions of a bundle.
///
/// The receiver verifies the signature of the resulting text, so an incorrect delta is never
/// activated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the edits apply to.
    pub base: Version,
    /// Version that results from the edits.
    pub version: Version,
    /// Name of the signing key.
    pub signer: CompactString,
    /// Signature of the resulting bundle.
    pub signature: CompactString,
    /// Edits, in the line order of the base text.
    pub edits: Vec<LineEdit>,
}

/// Replaces consecutive lines of the base text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineEdit {
    /// Zero-based index of the first replaced line.
    pub start: u32,
    /// Number of replaced lines.
    pub removed: u32,
    /// Replacement lines, without line terminators.
    pub inserted: Vec<String>,
}
