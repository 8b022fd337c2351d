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

/// Largest value that is written; the platform's limit is 1 MB and the history adds a time.
const MAX_VALUE_BYTES: usize = 999_000;

/// Times that the update is sent. The same conditional update can be repeated, because it takes
/// effect at most once.
const MAX_ATTEMPTS: u32 = 5;

/// Pause before the update is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// What to roll out.
#[derive(Debug)]
pub(crate) enum Candidate<'a> {
    /// A text that is signed for the next version.
    Text { text: &'a str, key: &'a KeyPair },
    /// A bundle that was signed elsewhere for a certain version.
    Signed(SignedBundle),
}

/// The configuration before the roll-out.
pub(crate) type CurrentConfig = Option<(ObjectVersion, SignedBundle)>;

/// Reads the configuration in force.
pub(crate) async fn read_current(store: &impl ObjectStore) -> Result<CurrentConfig, CliError> {
    get_json(store, CONFIG_PATH).await
}

/// Makes the candidate the successor of `current`, if nobody else has made another one, and returns
/// it as it was rolled out. `expected` is the version that the operator has seen.
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
            // An earlier attempt may still take effect, so only the first failure is a certain one.
            WriteOutcome::NotApplied(e) if lost_response.is_none() => return Err(CliError::Platform(e)),
            WriteOutcome::NotApplied(_) => {}
            WriteOutcome::Unknown(e) => {
                lost_response = Some(e);
                // When this read fails too, the next attempt finds out.
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

/// Reads back which bundle became the successor.
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
    // Whoever rolled out a later version kept its predecessor in the history first.
    if active.version > signed.version {
        let kept = history::read(store, signed.version).await?;
        if kept.is_some_and(|entry| entry.signed == *signed) {
            return Ok(());
        }
    }
    Err(conflict_error(&active, signed))
}

/// The error of an update that certainly had no effect. An equal bundle in force is another
/// operator's, who signed the same text with the same key.
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
