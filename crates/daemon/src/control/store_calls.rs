use std::{rc::Rc, time::Duration};

use rosemarybank_coordination::quarantine::{EntryKey, Event, WriteResult, entry_key, merge};
use rosemarybank_protocol::platform::{
    CONFIG_PATH, DataCentreStatus, QUARANTINE_PREFIX, QuarantineEntry, STATUS_PREFIX,
};
use rosemarybank_store::{Object, Watch, WatchEvent, WriteOutcome};
use slog::warn;
use tokio::time::timeout;

use super::{input::ConfigRead, shared::Shared};
use crate::telemetry::Counter;

/// Maximum number of conditional writes when others change the object at the same time.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// Reads the configuration without waiting for a change.
pub(super) async fn read_config(shared: &Shared) -> ConfigRead {
    match shared.platform.get(CONFIG_PATH).await {
        Ok(Some(object)) => ConfigRead::Found(object.value),
        Ok(None) => ConfigRead::Empty,
        Err(_) => {
            shared.recorder.count(Counter::PlatformFailures);
            ConfigRead::Unreachable
        }
    }
}

/// Waits up to `max_wait` for a change of the configuration.
pub(super) async fn wait_for_config(
    shared: &Shared,
    watch: &mut Watch,
    max_wait: Duration,
) -> ConfigRead {
    match timeout(max_wait, watch.next()).await {
        Err(_) => ConfigRead::Unchanged,
        Ok(WatchEvent::Listed(listing)) => {
            let object = listing.objects.into_iter().find(|it| it.path == CONFIG_PATH);
            object.map_or(ConfigRead::Empty, |it| ConfigRead::Found(it.value))
        }
        Ok(WatchEvent::Changed(changes)) => {
            let change = changes.into_iter().rfind(|it| it.path == CONFIG_PATH);
            match change {
                Some(change) => change.value.map_or(ConfigRead::Empty, ConfigRead::Found),
                None => ConfigRead::Unchanged,
            }
        }
        Ok(WatchEvent::Interrupted(_)) => {
            shared.recorder.count(Counter::PlatformFailures);
            ConfigRead::Unreachable
        }
    }
}

/// Loads all quarantine entries from the store.
pub(super) async fn load_quarantine(shared: Rc<Shared>) -> Event {
    match shared.platform.list(QUARANTINE_PREFIX).await {
        Ok(listing) => Event::StoreEntries(
            listing.objects.iter().filter_map(|it| parse_entry(&shared, it)).collect(),
        ),
        Err(_) => {
            shared.recorder.count(Counter::PlatformFailures);
            Event::StoreUnreachable
        }
    }
}

/// Merges a quarantine entry into the stored one, or creates it.
pub(super) async fn write_quarantine(shared: Rc<Shared>, entry: QuarantineEntry) -> Event {
    let key = entry_key(&entry);
    let path = quarantine_path(&key);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match merge_into_store(&shared, &path, &entry).await {
            Some(WriteOutcome::Applied { .. }) | None => {
                return Event::StoreWrite { key, result: WriteResult::Written };
            }
            Some(WriteOutcome::Conflict { .. }) => {}
            Some(WriteOutcome::NotApplied(_) | WriteOutcome::Unknown(_)) => break,
        }
    }
    shared.recorder.count(Counter::PlatformFailures);
    Event::StoreWrite { key, result: WriteResult::Failed }
}

/// Deletes a quarantine entry unless it is changed at the same time.
pub(super) async fn delete_quarantine(shared: Rc<Shared>, key: EntryKey) {
    let path = quarantine_path(&key);
    if let Ok(Some(object)) = shared.platform.get(&path).await {
        // If this fails, an instance that loads all entries at a later start deletes the entry.
        let _ = shared.platform.delete(&path, object.version).await;
    }
}

/// Writes the status object of this data centre; returns whether the store holds the status.
pub(super) async fn write_status(shared: &Shared, status: &DataCentreStatus) -> bool {
    let path = format!("{STATUS_PREFIX}{}", shared.settings.data_centre);
    let Ok(value) = serde_json::to_vec(status) else { return false };
    let change = match shared.platform.get(&path).await {
        Ok(Some(object)) if object.value == value => return true,
        Ok(Some(object)) => shared.platform.update(&path, object.version, value).await,
        Ok(None) => shared.platform.create(&path, value).await,
        Err(err) => WriteOutcome::NotApplied(err),
    };
    let is_written = matches!(change, WriteOutcome::Applied { .. });
    if !is_written {
        shared.recorder.count(Counter::PlatformFailures);
    }
    is_written
}

/// Writes the merged entry; `None` when the stored entry already equals it. A stored entry that
/// cannot be parsed is replaced.
async fn merge_into_store(
    shared: &Shared,
    path: &str,
    ours: &QuarantineEntry,
) -> Option<WriteOutcome> {
    let stored = match shared.platform.get(path).await {
        Ok(stored) => stored,
        Err(err) => return Some(WriteOutcome::NotApplied(err)),
    };
    let Some(object) = stored else {
        return Some(shared.platform.create(path, to_json(ours)).await);
    };
    let merged = match parse_entry(shared, &object) {
        Some(theirs) => {
            let merged = merge(ours, &theirs);
            if merged == theirs {
                return None;
            }
            merged
        }
        None => ours.clone(),
    };
    Some(shared.platform.update(path, object.version, to_json(&merged)).await)
}

fn parse_entry(shared: &Shared, object: &Object) -> Option<QuarantineEntry> {
    let parsed = serde_json::from_slice(&object.value);
    parsed
        .inspect_err(|err| {
            warn!(shared.log, "cannot parse a quarantine entry";
                "path" => %object.path, "error" => %err);
        })
        .ok()
}

fn to_json(entry: &QuarantineEntry) -> Vec<u8> {
    serde_json::to_vec(entry).expect("an entry has no map with non-string keys")
}

fn quarantine_path((service, fingerprint): &EntryKey) -> String {
    format!("{QUARANTINE_PREFIX}{service}/{fingerprint:016x}")
}
