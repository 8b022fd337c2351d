//! Events, actions and settings of the quarantine machine.

use std::time::Duration;

use rosemarybank_protocol::{platform::QuarantineEntry, prelude::*};
use serde::{Deserialize, Serialize};

/// Settings of the quarantine machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Wall-clock time at `Time::ZERO` in milliseconds since the Unix epoch.
    pub unix_ms_at_zero: u64,
    /// Maximum time for which a quarantined fingerprint is refused.
    #[builder(default = Duration::from_secs(600))]
    pub duration: Duration,
    /// Delay before a failed store call is retried.
    #[builder(default = Duration::from_secs(2))]
    pub store_retry: Duration,
    /// Time after the start at which the machine counts as loaded even if the store has not
    /// responded, so that a store outage does not prevent instances from serving.
    #[builder(default = Duration::from_secs(3))]
    pub load_timeout: Duration,
    /// Minimum time between pushes of the whole set to the same peer.
    #[builder(default = Duration::from_secs(2))]
    pub push_interval: Duration,
}

/// Service and fingerprint that an entry applies to.
pub type EntryKey = (ServiceId, Fingerprint);

/// Input to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The process has started.
    Start,
    /// The query engine of this instance quarantined a fingerprint.
    #[serde(rename = "Condemned")]
    Quarantined {
        /// Service that the request was sent to.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Number of replicas that it crashed on this instance.
        crashes: u32,
        /// Time for which it is refused, limited to [`Settings::duration`].
        duration: Duration,
    },
    /// An operator released a fingerprint.
    Release {
        /// Service that the request was sent to.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// A peer pushed entries.
    PeerEntries(Vec<QuarantineEntry>),
    /// A heartbeat of a peer contained the digest of its entries.
    PeerDigest {
        /// The peer.
        instance: InstanceId,
        /// Its digest.
        digest: u64,
    },
    /// Result of `LoadStore`: all stored entries.
    StoreEntries(Vec<QuarantineEntry>),
    /// `LoadStore` failed or timed out.
    StoreUnreachable,
    /// Result of `WriteStore`.
    StoreWrite {
        /// The entry that was to be written.
        key: EntryKey,
        /// Result of the write.
        result: WriteResult,
    },
    /// The time returned by `next_wakeup` has been reached.
    Tick,
}

/// Result of writing an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WriteResult {
    /// The store contains the entry.
    Written,
    /// The write failed or its reply was lost. It is retried.
    Failed,
}

/// Command for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// List all stored entries.
    LoadStore,
    /// Read the stored entry, merge this one into it with [`merge`](super::merge), write the result
    /// conditionally if it differs, then report `StoreWrite`.
    WriteStore(QuarantineEntry),
    /// Delete a stored entry that has expired, unless it was changed since it was listed.
    DeleteStore {
        /// The expired entry.
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
    /// Tell the query engine to refuse a fingerprint until `until`. A time that is not in the future
    /// releases it.
    Apply {
        /// Service that the request was sent to.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// End of the quarantine.
        until: Time,
    },
}
