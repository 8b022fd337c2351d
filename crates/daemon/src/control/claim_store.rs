use std::rc::Rc;

use rosemarybank_coordination::claim::{Action, CallId, Etag, StoreReply};
use rosemarybank_protocol::{
    id::Time,
    platform::{CLAIMS_PREFIX, Claim},
};
use rosemarybank_store::{CallError, Object, WatchEvent, WriteOutcome};
use tokio::time::timeout_at;

use super::shared::Shared;

/// Returns the path of the claim for a caller's idempotency key.
pub(super) fn claim_path(caller: &str, key: &str) -> String {
    format!("{CLAIMS_PREFIX}{caller}/{key}")
}

/// Executes the store call of an action of the claim state machine; `None` when the action is not
/// a store call.
pub(super) async fn execute_store_call(
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
            (call, wait_for_change(&shared, &path, &after, until).await)
        }
        Action::Dispatch { .. } | Action::Answer(_) => return None,
    })
}

async fn create(shared: &Shared, path: &str, claim: &Claim) -> StoreReply {
    let Ok(value) = serde_json::to_vec(claim) else { return StoreReply::Failed };
    match shared.platform.create(path, value).await {
        WriteOutcome::Applied { version } => StoreReply::Created { etag: etag(version) },
        other => not_applied(&other),
    }
}

async fn update(shared: &Shared, path: &str, claim: &Claim, if_match: &Etag) -> StoreReply {
    let (Ok(value), Ok(version)) = (serde_json::to_vec(claim), if_match.parse()) else {
        return StoreReply::Failed;
    };
    match shared.platform.update(path, version, value).await {
        WriteOutcome::Applied { version } => StoreReply::Updated { etag: etag(version) },
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

/// Waits until the claim's entity tag differs from `after` or the time `until` is reached, and
/// reads the claim.
async fn wait_for_change(shared: &Shared, path: &str, after: &Etag, until: Time) -> StoreReply {
    let deadline = shared.clock.instant_at(until).into();
    let mut watch = shared.platform.watch(path);
    let changed = async {
        loop {
            let is_changed = match watch.next().await {
                WatchEvent::Listed(listing) => listing
                    .objects
                    .iter()
                    .find(|it| it.path == path)
                    .is_none_or(|it| etag(it.version) != *after),
                WatchEvent::Changed(changes) => changes.iter().any(|it| it.path == path),
                WatchEvent::Interrupted(_) => false,
            };
            if is_changed {
                return;
            }
        }
    };
    // The claim is read in both cases, after a change and after the timeout.
    let _ = timeout_at(deadline, changed).await;
    read(shared, path).await
}

fn found(object: &Object) -> StoreReply {
    match serde_json::from_slice(&object.value) {
        Ok(claim) => StoreReply::Found { claim, etag: etag(object.version) },
        Err(_) => StoreReply::Failed,
    }
}

/// Reply for a write that was not confirmed: `Lost` when it may have been applied.
fn not_applied(change: &WriteOutcome) -> StoreReply {
    match change {
        WriteOutcome::Conflict { .. } => StoreReply::Conflict,
        WriteOutcome::NotApplied(_) => StoreReply::Failed,
        WriteOutcome::Applied { .. } | WriteOutcome::Unknown(_) => StoreReply::Lost,
    }
}

/// Reply for a call that failed: `Lost` when the store may have executed the call.
fn failed(err: &CallError) -> StoreReply {
    match err {
        CallError::Connect(_) | CallError::NotSent | CallError::Refused(_) => StoreReply::Failed,
        _ => StoreReply::Lost,
    }
}

/// Returns the entity tag of an object version.
pub(super) fn etag(version: u64) -> Etag {
    compact_str::format_compact!("{version}")
}
