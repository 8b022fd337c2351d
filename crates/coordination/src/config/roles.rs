//! Which instances watch the store and which one writes the status of a data centre.

use rosemarybank_protocol::prelude::*;

use crate::hash;

/// Number of watchers in each data centre: one may be stuck or cut off without delay to the rest.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Chooses the [`WATCHERS_PER_DATA_CENTRE`] of a data centre among its live instances by rendezvous hash.
///
/// The order of `live` does not matter. When a member that is no watcher comes or goes, the
/// watchers stay the same. Every instance that sees the same members makes the same choice.
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

/// The live instance of a data centre that writes its status object: the lowest name.
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
