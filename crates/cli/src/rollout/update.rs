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
const MAX_VALUE_LEN: usize = 999_000;

/// Times that the update is sent. The same conditional update can be repeated, because it takes
/// effect at most once.
const ATTEMPTS: u32 = 5;

/// Pause before the update is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What to roll out.
#[derive(Debug)]
pub(crate) enum Candidate<'a> {
    /// A text that is signed for the next version.
    Text { text: &'a str, key: &'a KeyPair },
    /// A bundle that was signed elsewhere for a certain version.
    Signed(SignedBundle),
}

/// The configuration before the roll-out.
pub(crate) type Base = Option<(ObjectVersion, SignedBundle)>;

/// Reads the configuration in force.
pub(crate) async fn read_base(store: &impl ObjectStore) -> Result<Base, CliError> {
    get_json(store, CONFIG_PATH).await
}

/// Makes the candidate the successor of `base`, if nobody else has made another one, and returns
/// it as it was rolled out. `expected` is the version that the operator has seen.
pub(crate) async fn roll_out(
    store: &impl ObjectStore,
    base: &Base,
    candidate: Candidate<'_>,
    expected: Option<Version>,
) -> Result<SignedBundle, CliError> {
    let in_force = base.as_ref().map_or(0, |(_, bundle)| bundle.version);
    let next = in_force + 1;
    let signed = match candidate {
        Candidate::Text { text, key } => sign(key, next, text)?,
        Candidate::Signed(signed) => signed,
    };
    let planned = expected.map_or(signed.version, |seen| seen + 1);
    if planned != next || signed.version != next {
        let signer = base.as_ref().map_or("nobody", |(_, bundle)| &bundle.signer).to_owned();
        return Err(CliError::RollOutConflict { planned, in_force, signer });
    }
    let value = to_json(&signed);
    if value.len() > MAX_VALUE_LEN {
        return Err(CliError::BundleTooLarge { len: value.len(), max: MAX_VALUE_LEN });
    }
    if let Some((_, before)) = base {
        history::keep(store, before, None).await?;
    }
    let object = base.as_ref().map(|&(object, _)| object);
    replace(store, object, &signed, &value).await?;
    Ok(signed)
}

async fn replace(
    store: &impl ObjectStore,
    base: Option<ObjectVersion>,
    signed: &SignedBundle,
    value: &Bytes,
) -> Result<(), CliError> {
    let mut lost = None;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        let change = match base {
            Some(version) => store.update(CONFIG_PATH, version, value.clone()).await,
            None => store.create(CONFIG_PATH, value.clone()).await,
        };
        match change {
            WriteOutcome::Applied { .. } => return Ok(()),
            WriteOutcome::Conflict { .. } if lost.is_none() => {
                return Err(conflict(store, signed).await);
            }
            WriteOutcome::Conflict { .. } => return winner(store, signed).await,
            // An earlier attempt may still take effect, so only the first failure is a certain one.
            WriteOutcome::NotApplied(e) if lost.is_none() => return Err(CliError::Platform(e)),
            WriteOutcome::NotApplied(_) => {}
            WriteOutcome::Unknown(e) => {
                lost = Some(e);
                // When this read fails too, the next attempt finds out.
                if let Ok(Some((_, now))) = read_base(store).await
                    && now.version >= signed.version
                {
                    return winner(store, signed).await;
                }
            }
        }
    }
    Err(CliError::RollOutUnknown { version: signed.version })
}

/// Reads back which bundle became the successor.
async fn winner(store: &impl ObjectStore, signed: &SignedBundle) -> Result<(), CliError> {
    let Some((_, now)) = read_base(store).await? else {
        return Err(CliError::NoConfiguration);
    };
    if now == *signed {
        return Ok(());
    }
    // Whoever rolled out a later version kept its predecessor in the history first.
    if now.version > signed.version {
        let kept = history::read(store, signed.version).await?;
        if kept.is_some_and(|entry| entry.signed == *signed) {
            return Ok(());
        }
    }
    Err(lost_to(&now, signed))
}

/// The error of an update that certainly had no effect. An equal bundle in force is another
/// operator's, who signed the same text with the same key.
async fn conflict(store: &impl ObjectStore, signed: &SignedBundle) -> CliError {
    match read_base(store).await {
        Ok(Some((_, now))) => lost_to(&now, signed),
        Ok(None) => CliError::NoConfiguration,
        Err(e) => e,
    }
}

fn lost_to(now: &SignedBundle, signed: &SignedBundle) -> CliError {
    CliError::RollOutConflict {
        planned: signed.version,
        in_force: now.version,
        signer: now.signer.to_string(),
    }
}
