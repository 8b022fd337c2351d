//! Events, actions and settings of the configuration machine.

use std::time::Duration;

use rosemarybank_protocol::{platform::SignedBundle, prelude::*};
use serde::{Deserialize, Serialize};

/// Settings of the configuration machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Number of configured instances, this one included.
    pub instances: u32,
    /// When an instance without memory may activate a version.
    #[builder(default)]
    pub start_rule: StartRule,
    /// Pause between a failed store read and the next one, and between two reads of an instance
    /// that does not watch.
    #[builder(default = Duration::from_secs(1))]
    pub store_retry: Duration,
    /// Time after which an unanswered fetch is given up.
    #[builder(default = Duration::from_secs(2))]
    pub fetch_timeout: Duration,
    /// Time without any peer report after which an instance that does not watch reads the store.
    #[builder(default = Duration::from_secs(5))]
    pub peer_silence: Duration,
}

/// When an instance without memory may activate a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StartRule {
    /// The store confirms it, or the store is unreachable and a majority of the configured
    /// instances, this one not counted, have reported the version they hold.
    #[default]
    StoreOrMajority,
    /// Unsafe: the report of a single peer is enough, so a stale peer can bring back an old
    /// version. Kept for the model check, which must find that fault.
    AnyPeer,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The process has started.
    Start,
    /// The store answered with its current bundle, which the driver has verified.
    StoreHead(SignedBundle),
    /// The store answered that this is its current version and that the instance holds it.
    StoreConfirms {
        /// Current version of the store.
        version: Version,
    },
    /// The store answered that it has no configuration yet.
    StoreEmpty,
    /// A store read failed or timed out.
    StoreUnreachable,
    /// A peer reported the confirmed version it holds, in a message that it sent after this
    /// process started (an answer to this instance's own heartbeat or fetch).
    PeerHolds {
        /// The peer.
        instance: InstanceId,
        /// Its version; `None` when it has no confirmed version.
        version: Option<Version>,
    },
    /// A peer died or left; it is no longer a target.
    PeerGone {
        /// The peer.
        instance: InstanceId,
    },
    /// A peer sent a bundle it holds, whole or rebuilt from a delta, which the driver has verified.
    PeerBundle(SignedBundle),
    /// A fetch failed, or its answer could not be verified or applied.
    FetchFailed,
    /// Whether this instance is one of the watchers of its data centre.
    #[serde(rename = "Watching")]
    RoleChanged(Role),
    /// Time has passed; sent at `next_wakeup`.
    Tick,
}

/// Whether an instance watches the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Reads the store only at start and when it hears no peer.
    #[default]
    Follower,
    /// Watches the store and pushes what it learns.
    Watcher,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Read the store's current bundle and report one store event. With [`ReadMode::Wait`] the
    /// read is a long poll that ends when the version differs from `have` or the poll times out.
    ReadStore {
        /// Version this instance holds.
        have: Option<Version>,
        /// Whether the read waits for a change.
        mode: ReadMode,
    },
    /// Fetch the bundle from a peer; report `PeerBundle` or `FetchFailed`.
    FetchFromPeer {
        /// The peer.
        instance: InstanceId,
        /// Version this instance holds, for a delta.
        have: Option<Version>,
    },
    /// Put the bundle into force. Versions given here always increase.
    Activate(SignedBundle),
    /// Push the version in force to peers that hold an older one.
    PushTo {
        /// The peers and the versions they hold, for the choice between delta and whole bundle.
        peers: Vec<(InstanceId, Option<Version>)>,
    },
}

/// Whether a store read waits for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadMode {
    /// Returns at once.
    Now,
    /// Returns at a change.
    Wait,
}
