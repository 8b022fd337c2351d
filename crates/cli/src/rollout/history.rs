use rosemarybank_protocol::{
    id::Version,
    platform::{HISTORY_PREFIX, SignedBundle},
};
use rosemarybank_store::WriteOutcome;
use serde::{Deserialize, Serialize};

use crate::{
    error::CliError,
    store::{ObjectStore, get_json, list_json, to_json},
};

/// Number of versions in the history. At the maximum size of 1 MB they take 20 MB in the platform's
/// store.
pub(crate) const MAX_VERSIONS: u64 = 20;

/// A version in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HistoryEntry {
    /// The bundle as it was rolled out.
    #[serde(flatten)]
    pub(crate) signed: SignedBundle,
    /// Time of the roll-out in milliseconds since the Unix epoch. `None` if the command did not
    /// write the entry, because it failed or ended early, and the next roll-out added it.
    pub(crate) rolled_out_unix_ms: Option<u64>,
}

/// Adds a version to the history unless it already exists.
pub(crate) async fn insert(
    store: &impl ObjectStore,
    signed: &SignedBundle,
    rolled_out_unix_ms: Option<u64>,
) -> Result<(), CliError> {
    let entry = HistoryEntry { signed: signed.clone(), rolled_out_unix_ms };
    match store.create(&path(signed.version), to_json(&entry)).await {
        WriteOutcome::Applied { .. } | WriteOutcome::Conflict { .. } => Ok(()),
        WriteOutcome::NotApplied(e) | WriteOutcome::Unknown(e) => Err(CliError::Platform(e)),
    }
}

/// Deletes the version that exceeds the size of the history once `newest` is added.
pub(crate) async fn prune(store: &impl ObjectStore, newest: Version) -> Result<(), CliError> {
    let Some(oldest) = newest.checked_sub(MAX_VERSIONS) else { return Ok(()) };
    let path = path(oldest);
    let Some((object_version, _)) = get_json::<HistoryEntry>(store, &path).await? else {
        return Ok(());
    };
    match store.delete(&path, object_version).await {
        WriteOutcome::Applied { .. } | WriteOutcome::Conflict { .. } => Ok(()),
        WriteOutcome::NotApplied(e) | WriteOutcome::Unknown(e) => Err(CliError::Platform(e)),
    }
}

/// Reads one version.
pub(crate) async fn read(
    store: &impl ObjectStore,
    version: Version,
) -> Result<Option<HistoryEntry>, CliError> {
    Ok(get_json(store, &path(version)).await?.map(|(_, entry)| entry))
}

/// Lists the versions, newest first.
pub(crate) async fn list(store: &impl ObjectStore) -> Result<Vec<HistoryEntry>, CliError> {
    let mut entries: Vec<HistoryEntry> =
        list_json(store, HISTORY_PREFIX).await?.into_iter().map(|(_, entry)| entry).collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.signed.version));
    Ok(entries)
}

fn path(version: Version) -> String {
    format!("{HISTORY_PREFIX}{version:020}")
}
