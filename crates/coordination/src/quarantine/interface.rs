//! Events, actions and settings of the quarantine machine.

use std::time::Duration;

use rosemarybank_protocol::{platform::QuarantineEntry, prelude::*};
use serde::{Deserialize, Serialize};

/// Settings of the quarantine machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Wall-clock time at `Time` zero, in milliseconds since the Unix epoch.
    pub unix_ms_at_zero: u64,
    /// Longest time for which a condemned fingerprint is refused.
    #[builder(default = Duration::from_secs(600))]
    pub duration: Duration,
    /// Pause between a failed store call and the next one.
    #[builder(default = Duration::from_secs(2))]
    pub store_retry: Duration,
    /// Time after the start at which the machine counts as loaded although the store did not
    /// answer, so that an outage of the store does not keep instances from serving.
    #[builder(default = Duration::from_secs(3))]
    pub load_timeout: Duration,
    /// Shortest time between two pushes of the whole set to the same peer.
    #[builder(default = Duration::from_secs(2))]
    pub push_interval: Duration,
}

/// What an entry is about.
pub type EntryKey = (ServiceId, Fingerprint);

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The process has started.
    Start,
    /// The local engine condemned a fingerprint.
    #[serde(rename = "Condemned")]
    Quarantined {
        /// Service that was asked.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Replicas that it crashed here.
        crashes: u32,
        /// Time for which it is refused; at most [`Settings::duration`].
        duration: Duration,
    },
    /// An operator releases a fingerprint.
    Release {
        /// Service that was asked.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A peer pushed entries.
    PeerEntries(Vec<QuarantineEntry>),
    /// A peer's heartbeat carried the digest of its entries.
    PeerDigest {
        /// The peer.
        instance: InstanceId,
        /// Its digest.
        digest: u64,
    },
    /// The answer to `LoadStore`: all stored entries.
    StoreEntries(Vec<QuarantineEntry>),
    /// `LoadStore` failed or timed out.
    StoreUnreachable,
    /// The answer to `WriteStore`.
    StoreWrite {
        /// The entry that was to be written.
        key: EntryKey,
        /// How the write ended.
        result: WriteResult,
    },
    /// Time has passed; sent at `next_wakeup`.
    Tick,
}

/// How a write of an entry ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WriteResult {
    /// The store holds the entry.
    Written,
    /// The write failed or its reply was lost; it is repeated.
    Failed,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// List all stored entries.
    LoadStore,
    /// Read the stored entry, merge this one into it with [`merge`](super::merge) and write the
    /// result conditionally if it differs; report `StoreWrite`.
    WriteStore(QuarantineEntry),
    /// Delete a stored entry that has expired, if it is unchanged since it was listed.
    DeleteStore {
        /// What the entry is about.
        key: EntryKey,
    },
    /// Push entries to all live peers.
    PushAll(Vec<QuarantineEntry>),
    /// Push entries to one peer.
    PushTo {
        /// The peer.
        instance: InstanceId,
        /// The entries.
        entries: Vec<QuarantineEntry>,
    },
    /// Tell the engine that a fingerprint is refused until `until`; a time that is not in the
    /// future releases it.
    Apply {
        /// Service that was asked.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// End of the quarantine.
        until: Time,
    },
}
