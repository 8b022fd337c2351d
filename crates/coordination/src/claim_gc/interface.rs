//! Events, actions and settings of the claim collector, and the selection of its instance.

use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use crate::hash;

/// Settings of the claim collector.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Unix time in milliseconds at `Time::ZERO`.
    pub unix_ms_at_zero: u64,
    /// A newly started collector begins with keys whose age is the minimum age plus this time. It
    /// never finds the claims of older keys.
    #[builder(default = Duration::from_secs(7 * 24 * 60 * 60))]
    pub look_back: Duration,
    /// Minimum time between deletions. 50/s leave 250 of 300 writes/s for actions and delete 4.3
    /// million claims per day.
    #[builder(default = Duration::from_millis(20))]
    pub delete_interval: Duration,
    /// Minimum time between list calls. 5/s are 0.25% of the reads that the store allows.
    #[builder(default = Duration::from_millis(200))]
    pub list_interval: Duration,
    /// Time without store calls after a failed call.
    #[builder(default = Duration::from_secs(5))]
    pub pause: Duration,
    /// Maximum number of deletions in flight.
    #[builder(default = 8)]
    pub max_in_flight: usize,
}

/// Reference to a stored claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Path of the claim.
    pub path: CompactString,
    /// Entity tag of the claim when it was listed.
    pub etag: CompactString,
}

/// Result of a deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DeleteResult {
    /// The claim was deleted.
    Deleted,
    /// The claim was deleted or changed since it was listed.
    Conflict,
    /// The call failed or no reply arrived. The deletion may have been applied.
    Failed,
}

/// Input to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// This instance became or ceased to be the collector, or the set of callers changed.
    #[serde(rename = "Duty")]
    RoleChanged {
        /// Whether this instance is the collector.
        is_collector: bool,
        /// Names of the callers that may have claims.
        callers: Vec<CompactString>,
    },
    /// The claims under a prefix were listed.
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
    /// A deletion completed.
    Deleted {
        /// The claim.
        claim: ClaimRef,
        /// Result of the deletion.
        result: DeleteResult,
    },
    /// The time returned by `next_wakeup` has been reached.
    Tick,
}

/// Command for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// List the objects under a prefix.
    List {
        /// The prefix.
        prefix: CompactString,
    },
    /// Delete a claim if its entity tag is unchanged.
    Delete(ClaimRef),
    /// Report a path that is not the path of a claim. The object is not deleted.
    Unreadable {
        /// The path.
        path: CompactString,
    },
}

/// Selects the collector of the fleet from its live instances by rendezvous hashing.
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
