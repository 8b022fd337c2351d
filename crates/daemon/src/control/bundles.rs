use std::collections::BTreeMap;

use rosemarybank_bundle::{self as bundle, TrustedKeys};
use rosemarybank_coordination::config::{apply_delta, make_delta};
use rosemarybank_protocol::{peer::ConfigUpdate, platform::SignedBundle, prelude::*};

/// Number of versions kept as bases for deltas. At the planned rate of configuration changes this
/// covers about four minutes; a peer that is further behind receives the whole bundle.
const MAX_VERSIONS: usize = 8;

/// The latest signed bundles that were active on this instance.
#[derive(Default)]
pub(super) struct BundleHistory {
    versions: BTreeMap<Version, SignedBundle>,
}

impl BundleHistory {
    /// Adds an activated bundle and drops the oldest one if there are too many.
    pub(super) fn push(&mut self, signed: SignedBundle) {
        self.versions.insert(signed.version, signed);
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
        }
    }

    /// Returns the update for a peer that holds version `have`: none, a delta or the whole bundle.
    pub(super) fn update_for(&self, have: Option<Version>) -> ConfigUpdate {
        let Some(newest) = self.versions.values().next_back() else {
            return ConfigUpdate::Current;
        };
        let Some(have) = have else { return ConfigUpdate::Whole(newest.clone()) };
        if have >= newest.version {
            return ConfigUpdate::Current;
        }
        let Some(base) = self.versions.get(&have) else {
            return ConfigUpdate::Whole(newest.clone());
        };
        let delta = make_delta(base, newest);
        let inserted_bytes: usize =
            delta.edits.iter().flat_map(|it| &it.inserted).map(|line| line.len() + 1).sum();
        // The encoding of the edits makes a delta that replaces most lines larger than the bundle.
        if inserted_bytes * 2 > newest.bundle.len() {
            return ConfigUpdate::Whole(newest.clone());
        }
        ConfigUpdate::Delta(delta)
    }

    /// Returns the bundle that results from an update; `None` when the update is empty, its base is
    /// not in the history or it does not apply to the base.
    pub(super) fn resolve(&self, update: ConfigUpdate) -> Option<SignedBundle> {
        match update {
            ConfigUpdate::Current => None,
            ConfigUpdate::Whole(signed) => Some(signed),
            ConfigUpdate::Delta(delta) => apply_delta(self.versions.get(&delta.base)?, &delta).ok(),
        }
    }
}

/// Verifies the signature of a bundle and parses its content.
///
/// # Errors
///
/// Returns the reason why the bundle is rejected.
pub(super) fn verify_and_parse(
    signed: &SignedBundle,
    trusted: &TrustedKeys,
) -> Result<Bundle, String> {
    bundle::verify(signed, trusted).map_err(|err| err.to_string())?;
    bundle::parse(&signed.bundle).map_err(|faults| {
        let first = faults.first().map(ToString::to_string).unwrap_or_default();
        format!("version {} has {} errors; the first is: {first}", signed.version, faults.len())
    })
}
