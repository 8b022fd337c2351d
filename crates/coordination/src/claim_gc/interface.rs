//! Events, actions and settings of the collector, and the choice of the instance that collects.

use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use crate::hash;

/// Settings of the collector.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Unix time in milliseconds at `Time::ZERO`.
    pub unix_ms_at_zero: u64,
    /// How far before the minimum age a collector without memory begins. Older claims are not
    /// found any more.
    #[builder(default = Duration::from_secs(7 * 24 * 60 * 60))]
    pub look_back: Duration,
    /// Least time between two deletions. 50/s leave 250 of 300 writes/s to actions and remove
    /// 4.3 million claims a day.
    #[builder(default = Duration::from_millis(20))]
    pub delete_interval: Duration,
    /// Least time between two lists. 5/s are 0.25% of the store's reads.
    #[builder(default = Duration::from_millis(200))]
    pub list_interval: Duration,
    /// Time without calls after one has failed.
    #[builder(default = Duration::from_secs(5))]
    pub pause: Duration,
    /// Deletions whose results are awaited at the same time.
    #[builder(default = 8)]
    pub max_in_flight: usize,
}

/// A stored claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Its path.
    pub path: CompactString,
    /// Its entity tag.
    pub etag: CompactString,
}

/// How a deletion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DeleteResult {
    /// The claim was deleted.
    Deleted,
    /// The claim is gone or was changed since it was listed.
    Conflict,
    /// The store did not answer, or failed. The deletion may have been applied.
    Failed,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// Whether this instance collects, and the callers whose claims there can be.
    #[serde(rename = "Duty")]
    RoleChanged {
        /// Whether this instance is the collector.
        is_collector: bool,
        /// Names of the callers.
        callers: Vec<CompactString>,
    },
    /// The claims below a prefix that was to be listed.
    Listed {
        /// The prefix.
        prefix: CompactString,
        /// The claims.
        claims: Vec<ClaimRef>,
    },
    /// A prefix could not be listed.
    ListFailed {
        /// The prefix.
        prefix: CompactString,
    },
    /// A deletion ended.
    Deleted {
        /// The claim.
        claim: ClaimRef,
        /// How it ended.
        result: DeleteResult,
    },
    /// Time has passed; sent at `next_wakeup`.
    Tick,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// List the objects below a prefix.
    List {
        /// The prefix.
        prefix: CompactString,
    },
    /// Delete a claim if it still has its entity tag.
    Delete(ClaimRef),
    /// Report a path that names no claim. It is left alone.
    Unreadable {
        /// The path.
        path: CompactString,
    },
}

/// Chooses the collector of the fleet among its live instances by rendezvous hash.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::claim_gc::collector;
///
/// let live = ["entry-2".into(), "entry-1".into()];
/// assert_eq!(collector(&live), collector(live.iter().rev()));
/// ```
#[must_use]
pub fn collector<'a>(live: impl IntoIterator<Item = &'a InstanceId>) -> Option<&'a InstanceId> {
    let seed = hash::bytes(0, b"claim collector");
    live.into_iter().max_by_key(|it| (hash::bytes(seed, it.as_bytes()), *it))
}
