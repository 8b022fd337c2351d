use std::collections::BTreeMap;

use rosemarybank_bundle::{self as bundle, TrustedKeys};
use rosemarybank_coordination::config::{apply_delta, make_delta};
use rosemarybank_protocol::{peer::ConfigUpdate, platform::SignedBundle, prelude::*};

/// Versions kept as bases of deltas. At the planned rate of changes this covers about four
/// minutes; a peer that is further behind gets the whole bundle.
const KEPT: usize = 8;

/// Signed bundles that were in force here.
#[derive(Default)]
pub(super) struct Bundles {
    kept: BTreeMap<Version, SignedBundle>,
}

impl Bundles {
    /// Keeps a bundle that came into force.
    pub(super) fn push(&mut self, signed: SignedBundle) {
        self.kept.insert(signed.version, signed);
        while self.kept.len() > KEPT {
            self.kept.pop_first();
        }
    }

    /// What a peer that holds `have` needs: nothing, a change or the whole bundle.
    pub(super) fn update_for(&self, have: Option<Version>) -> ConfigUpdate {
        let Some(newest) = self.kept.values().next_back() else { return ConfigUpdate::Current };
        let Some(have) = have else { return ConfigUpdate::Whole(newest.clone()) };
        if have >= newest.version {
            return ConfigUpdate::Current;
        }
        let Some(base) = self.kept.get(&have) else { return ConfigUpdate::Whole(newest.clone()) };
        let delta = make_delta(base, newest);
        let inserted: usize =
            delta.edits.iter().flat_map(|it| &it.inserted).map(|line| line.len() + 1).sum();
        // A change that replaces most lines is larger than the bundle, because of its edits.
        if inserted * 2 > newest.bundle.len() {
            return ConfigUpdate::Whole(newest.clone());
        }
        ConfigUpdate::Delta(delta)
    }

    /// The bundle that an update gives; `None` when it gives none or its base is not kept.
    pub(super) fn resolve(&self, update: ConfigUpdate) -> Option<SignedBundle> {
        match update {
            ConfigUpdate::Current => None,
            ConfigUpdate::Whole(signed) => Some(signed),
            ConfigUpdate::Delta(delta) => apply_delta(self.kept.get(&delta.base)?, &delta).ok(),
        }
    }
}

/// Checks the signature and the content of a bundle.
///
/// # Errors
///
/// Returns why the bundle is refused.
pub(super) fn check(signed: &SignedBundle, trusted: &TrustedKeys) -> Result<Bundle, String> {
    bundle::verify(signed, trusted).map_err(|err| err.to_string())?;
    bundle::parse(&signed.bundle).map_err(|faults| {
        let first = faults.first().map(ToString::to_string).unwrap_or_default();
        format!("version {} has {} faults; the first is {first}", signed.version, faults.len())
    })
}
