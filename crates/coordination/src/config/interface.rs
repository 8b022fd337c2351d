//! Events, actions and settings of the configuration machine.

use std::time::Duration;

use rosemarybank_protocol::{platform::SignedBundle, prelude::*};
use serde::{Deserialize, Serialize};

/// Settings of the configuration machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Number of configured instances, including this one.
    pub instances: u32,
    /// When an instance that has just started may activate its first version.
    #[builder(default)]
    pub start_rule: StartRule,
    /// Delay before the next store read after a failed read or an empty store. If the version was
    /// unchanged, the delay counts from the start of the read.
    #[builder(default = Duration::from_secs(1))]
    pub store_retry: Duration,
    /// Timeout of a fetch from a peer.
    #[builder(default = Duration::from_secs(2))]
    pub fetch_timeout: Duration,
    /// Time without peer reports after which an instance that is not a watcher reads the store.
    #[builder(default = Duration::from_secs(5))]
    pub peer_silence: Duration,
}

/// When an instance that has just started may activate its first version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StartRule {
    /// The store confirms the version, or the store is unreachable and other instances that amount
    /// to a majority of the configured instances have reported the version they hold.
    #[default]
    StoreOrMajority,
    /// Unsafe: a single peer report is enough, so a stale peer can bring back an old version. The
    /// model check uses it to verify that it detects this fault.
    AnyPeer,
}

/// Input to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The process has started.
    Start,
    /// The store returned its current bundle, which the driver has verified.
    StoreHead(SignedBundle),
    /// The store reported that the version held by this instance is current.
    StoreConfirms {
        /// Current version of the store.
        version: Version,
    },
    /// The store contains no configuration yet.
    StoreEmpty,
    /// A store read failed or timed out.
    StoreUnreachable,
    /// A peer reported the confirmed version it holds. The message must have been sent after this
    /// process started, that is, in reply to its own heartbeat or fetch.
    PeerHolds {
        /// The peer.
        instance: InstanceId,
        /// Its version, or `None` if it has no confirmed version.
        version: Option<Version>,
    },
    /// A peer died or left; nothing is fetched from it or pushed to it any more.
    PeerGone {
        /// The peer.
        instance: InstanceId,
    },
    /// A peer sent its bundle, whole or as a delta, and the driver has verified the result.
    PeerBundle(SignedBundle),
    /// A fetch failed, or its response could not be verified or applied.
    FetchFailed,
    /// This instance became or ceased to be a watcher of its data centre.
    #[serde(rename = "Watching")]
    RoleChanged(Role),
    /// The time returned by `next_wakeup` has been reached.
    Tick,
}

/// Whether an instance watches the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Reads the store only at start and when no peer reports arrive.
    #[default]
    Follower,
    /// Watches the store and pushes new versions to peers.
    Watcher,
}

/// Command for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Read the current bundle from the store and report one store event. With [`ReadMode::Wait`]
    /// the read is a long poll that ends when the version differs from `have` or the poll times
    /// out.
    ReadStore {
        /// Version this instance holds.
        have: Option<Version>,
        /// Whether the read waits for a change.
        mode: ReadMode,
    },
    /// Fetch the bundle from a peer, then report `PeerBundle` or `FetchFailed`.
    FetchFromPeer {
        /// The peer.
        instance: InstanceId,
        /// Version this instance holds, so that the peer can send a delta.
        have: Option<Version>,
    },
    /// Activate the bundle. Its version is higher than that of every earlier `Activate`.
    Activate(SignedBundle),
    /// Push the active version to peers that hold an older one.
    PushTo {
        /// The peers and the versions they hold, which decide between a delta and the whole bundle.
        peers: Vec<(InstanceId, Option<Version>)>,
    },
}

/// Whether a store read waits for a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReadMode {
    /// The read returns immediately.
    Now,
    /// The read returns when the version changes.
    Wait,
}
