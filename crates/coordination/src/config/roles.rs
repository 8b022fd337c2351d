//! Assignment of the instances that watch the store and write the status of a data centre.

use rosemarybank_protocol::prelude::*;

use crate::hash;

/// Number of instances per data centre that watch the store. With two, updates arrive without delay
/// when one of them hangs or is disconnected.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Selects the instances that watch the store for a data centre, by rendezvous hashing.
///
/// Returns up to [`WATCHERS_PER_DATA_CENTRE`] of the `live` instances, whose order does not matter.
/// Every instance that sees the same live instances selects the same watchers, and the selection
/// does not change when an instance leaves that is not a watcher.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::config::watchers;
///
/// let live = ["entry-1".into(), "entry-2".into(), "entry-3".into()];
/// let chosen = watchers("north-1", &live);
/// assert_eq!(chosen.len(), 2);
/// ```
#[must_use]
pub fn watchers<'a>(
    data_centre: &str,
    live: impl IntoIterator<Item = &'a InstanceId>,
) -> Vec<&'a InstanceId> {
    let seed = hash::bytes(0, data_centre.as_bytes());
    let mut ranked: Vec<_> =
        live.into_iter().map(|i| (hash::bytes(seed, i.as_bytes()), i)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.into_iter().take(WATCHERS_PER_DATA_CENTRE).map(|(_, instance)| instance).collect()
}

/// Selects the instance that writes the status object of a data centre: the live instance with the
/// lowest name.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::config::status_writer;
///
/// let live = ["entry-2".into(), "entry-1".into()];
/// assert_eq!(status_writer(&live), Some(&"entry-1".into()));
/// ```
#[must_use]
pub fn status_writer<'a>(live: impl IntoIterator<Item = &'a InstanceId>) -> Option<&'a InstanceId> {
    live.into_iter().min()
}
