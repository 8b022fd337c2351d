use std::time::Duration;

use bytes::Bytes;
use rosemarybank_bundle::{KeyPair, sign};
use rosemarybank_protocol::{
    id::Version,
    platform::{CONFIG_PATH, SignedBundle},
};
use rosemarybank_store::{ObjectVersion, WriteOutcome};

use super::history;
use crate::{
    error::CliError,
    store::{ObjectStore, get_json, to_json},
};

/// Maximum size of the stored configuration in bytes. The platform's limit is 1 MB, and the history
/// entry adds a timestamp.
const MAX_VALUE_BYTES: usize = 999_000;

/// Number of attempts to send the update. Retries are safe, because a conditional update takes
/// effect at most once.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before a retry of the update.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The bundle to roll out.
#[derive(Debug)]
pub(crate) enum Candidate<'a> {
    /// An unsigned text, which is signed as the next version.
    Text { text: &'a str, key: &'a KeyPair },
    /// A bundle that is already signed for a specific version.
    Signed(SignedBundle),
}

/// The active bundle and the version of its object; `None` before the first roll-out.
pub(crate) type CurrentConfig = Option<(ObjectVersion, SignedBundle)>;

/// Reads the active configuration.
pub(crate) async fn read_current(store: &impl ObjectStore) -> Result<CurrentConfig, CliError> {
    get_json(store, CONFIG_PATH).await
}

/// Replaces `current` with the candidate unless the configuration has changed since, and returns
/// the signed bundle. `expected` is the version that the operator expects to be active.
pub(crate) async fn roll_out(
    store: &impl ObjectStore,
    current: &CurrentConfig,
    candidate: Candidate<'_>,
    expected: Option<Version>,
) -> Result<SignedBundle, CliError> {
    let active_version = current.as_ref().map_or(0, |(_, bundle)| bundle.version);
    let next_version = active_version + 1;
    let signed = match candidate {
        Candidate::Text { text, key } => sign(key, next_version, text)?,
        Candidate::Signed(signed) => signed,
    };
    let planned_version = expected.map_or(signed.version, |seen| seen + 1);
    if planned_version != next_version || signed.version != next_version {
        let signer = current.as_ref().map_or("nobody", |(_, bundle)| &bundle.signer).to_owned();
        return Err(CliError::RollOutConflict { planned_version, active_version, signer });
    }
    let value = to_json(&signed);
    if value.len() > MAX_VALUE_BYTES {
        return Err(CliError::BundleTooLarge { len: value.len(), max: MAX_VALUE_BYTES });
    }
    if let Some((_, previous)) = current {
        history::insert(store, previous, None).await?;
    }
    let object_version = current.as_ref().map(|&(object_version, _)| object_version);
    replace_config(store, object_version, &signed, &value).await?;
    Ok(signed)
}

async fn replace_config(
    store: &impl ObjectStore,
    current: Option<ObjectVersion>,
    signed: &SignedBundle,
    value: &Bytes,
) -> Result<(), CliError> {
    let mut lost_response = None;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let change = match current {
            Some(version) => store.update(CONFIG_PATH, version, value.clone()).await,
            None => store.create(CONFIG_PATH, value.clone()).await,
        };
        match change {
            WriteOutcome::Applied { .. } => return Ok(()),
            WriteOutcome::Conflict { .. } if lost_response.is_none() => {
                return Err(read_conflict(store, signed).await);
            }
            WriteOutcome::Conflict { .. } => return resolve_unknown_outcome(store, signed).await,
            // After a lost response an earlier attempt may still take effect, so an error is
            // definite only if no response was lost.
            WriteOutcome::NotApplied(e) if lost_response.is_none() => {
                return Err(CliError::Platform(e));
            }
            WriteOutcome::NotApplied(_) => {}
            WriteOutcome::Unknown(e) => {
                lost_response = Some(e);
                // If this read fails too, the next attempt resolves the outcome.
                if let Ok(Some((_, active))) = read_current(store).await
                    && active.version >= signed.version
                {
                    return resolve_unknown_outcome(store, signed).await;
                }
            }
        }
    }
    Err(CliError::RollOutOutcomeUnknown { version: signed.version })
}

/// Determines after a lost response whether `signed` was rolled out, by reading the active bundle
/// and the history.
async fn resolve_unknown_outcome(
    store: &impl ObjectStore,
    signed: &SignedBundle,
) -> Result<(), CliError> {
    let Some((_, active)) = read_current(store).await? else {
        return Err(CliError::NoConfiguration);
    };
    if active == *signed {
        return Ok(());
    }
    // A later roll-out adds its predecessor to the history before the update.
    if active.version > signed.version {
        let kept = history::read(store, signed.version).await?;
        if kept.is_some_and(|entry| entry.signed == *signed) {
            return Ok(());
        }
    }
    Err(conflict_error(&active, signed))
}

/// Returns the error of an update that had no effect. If the active bundle equals `signed`, another
/// operator rolled out the same text with the same key.
async fn read_conflict(store: &impl ObjectStore, signed: &SignedBundle) -> CliError {
    match read_current(store).await {
        Ok(Some((_, active))) => conflict_error(&active, signed),
        Ok(None) => CliError::NoConfiguration,
        Err(e) => e,
    }
}

fn conflict_error(active: &SignedBundle, signed: &SignedBundle) -> CliError {
    CliError::RollOutConflict {
        planned_version: signed.version,
        active_version: active.version,
        signer: active.signer.to_string(),
    }
}
