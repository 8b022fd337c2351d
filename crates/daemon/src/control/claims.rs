use std::rc::Rc;

use rosemarybank_coordination::claim::{Action, CallId, Etag, StoreReply};
use rosemarybank_protocol::{
    id::Time,
    platform::{CLAIMS_PREFIX, Claim},
};
use rosemarybank_store::{CallError, Change, Object, WatchEvent};
use tokio::time::timeout_at;

use super::shared::Shared;

/// Path of the claim of a caller's key.
pub(super) fn path_of(caller: &str, key: &str) -> String {
    format!("{CLAIMS_PREFIX}{caller}/{key}")
}

/// Makes the store call that an action asks for; `None` when it asks for none.
pub(super) async fn store_call(
    shared: Rc<Shared>,
    path: Rc<str>,
    action: Action,
) -> Option<(CallId, StoreReply)> {
    Some(match action {
        Action::Create { call, claim } => (call, create(&shared, &path, &claim).await),
        Action::Update { call, claim, if_match } => {
            (call, update(&shared, &path, &claim, &if_match).await)
        }
        Action::Read { call } => (call, read(&shared, &path).await),
        Action::WaitForChange { call, after, until } => {
            (call, wait(&shared, &path, &after, until).await)
        }
        Action::Dispatch { .. } | Action::Answer(_) => return None,
    })
}

async fn create(shared: &Shared, path: &str, claim: &Claim) -> StoreReply {
    let Ok(value) = serde_json::to_vec(claim) else { return StoreReply::Failed };
    match shared.platform.create(path, value).await {
        Change::Applied { version } => StoreReply::Created { etag: etag(version) },
        other => not_applied(&other),
    }
}

async fn update(shared: &Shared, path: &str, claim: &Claim, if_match: &Etag) -> StoreReply {
    let (Ok(value), Ok(version)) = (serde_json::to_vec(claim), if_match.parse()) else {
        return StoreReply::Failed;
    };
    match shared.platform.update(path, version, value).await {
        Change::Applied { version } => StoreReply::Updated { etag: etag(version) },
        other => not_applied(&other),
    }
}

async fn read(shared: &Shared, path: &str) -> StoreReply {
    match shared.platform.get(path).await {
        Ok(Some(object)) => found(&object),
        Ok(None) => StoreReply::Missing,
        Err(err) => failed(&err),
    }
}

/// Waits until the claim differs from the one with the tag `after`, at most until a time.
async fn wait(shared: &Shared, path: &str, after: &Etag, until: Time) -> StoreReply {
    let deadline = shared.clock.instant_at(until).into();
    let mut watch = shared.platform.watch(path);
    let changed = async {
        loop {
            let changed = match watch.next().await {
                WatchEvent::Listed(listing) => listing
                    .objects
                    .iter()
                    .find(|it| it.path == path)
                    .is_none_or(|it| etag(it.version) != *after),
                WatchEvent::Changed(changes) => changes.iter().any(|it| it.path == path),
                WatchEvent::Interrupted(_) => false,
            };
            if changed {
                return;
            }
        }
    };
    // Whether the wait ends by a change or by its time, the claim is read.
    let _ = timeout_at(deadline, changed).await;
    read(shared, path).await
}

fn found(object: &Object) -> StoreReply {
    match serde_json::from_slice(&object.value) {
        Ok(claim) => StoreReply::Found { claim, etag: etag(object.version) },
        Err(_) => StoreReply::Failed,
    }
}

fn not_applied(change: &Change) -> StoreReply {
    match change {
        Change::Conflict { .. } => StoreReply::Conflict,
        Change::NotApplied(_) => StoreReply::Failed,
        Change::Applied { .. } | Change::Unknown(_) => StoreReply::Lost,
    }
}

fn failed(err: &CallError) -> StoreReply {
    match err {
        CallError::Connect(_) | CallError::NotSent | CallError::Refused(_) => StoreReply::Failed,
        _ => StoreReply::Lost,
    }
}

/// Entity tag of a version.
pub(super) fn etag(version: u64) -> Etag {
    compact_str::format_compact!("{version}")
}
