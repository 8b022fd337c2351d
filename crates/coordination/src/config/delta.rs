//! Line-based deltas between two versions of a bundle.

use compact_str::CompactString;
use rosemarybank_protocol::{
    peer::{ConfigDelta, LineEdit},
    platform::SignedBundle,
    prelude::Version,
};
use serde::{Deserialize, Serialize};

use super::lcs::matching_runs;

/// Why a delta could not be applied. The receiver then fetches the whole bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaError {
    /// The base version of the delta is not the version held.
    WrongBase {
        /// Version held.
        held: Version,
        /// Base version of the delta.
        base: Version,
    },
    /// The resulting version is not newer than the base.
    NotNewer {
        /// Resulting version of the delta.
        version: Version,
    },
    /// An edit extends past the last line of the base.
    OutOfBounds {
        /// Index of the edit.
        edit: usize,
    },
    /// An edit starts before the end of the previous one.
    OutOfOrder {
        /// Index of the edit.
        edit: usize,
    },
    /// An inserted line contains a line break.
    LineEnd {
        /// Index of the edit.
        edit: usize,
    },
}

impl std::fmt::Display for DeltaError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DeltaError::WrongBase { held, base } => {
                write!(f, "the base of the delta is version {base}, but version {held} is held")
            }
            DeltaError::NotNewer { version } => {
                write!(f, "the delta produces version {version}, which is not newer than its base")
            }
            DeltaError::OutOfBounds { edit } => {
                write!(f, "edit {edit} extends past the end of the base")
            }
            DeltaError::OutOfOrder { edit } => {
                write!(f, "edit {edit} starts before the end of the previous one")
            }
            DeltaError::LineEnd { edit } => {
                write!(f, "edit {edit} inserts a line that contains a line break")
            }
        }
    }
}

impl std::error::Error for DeltaError {}

/// Creates the delta that turns `base` into `target`.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::config::{apply_delta, make_delta};
/// use rosemarybank_protocol::platform::SignedBundle;
///
/// let bundle = |version, text: &str| SignedBundle {
///     version,
///     signer: "ops".into(),
///     bundle: text.into(),
///     signature: "c2ln".into(),
/// };
/// let (old, new) = (bundle(1, "a\nb\nc\n"), bundle(2, "a\nB\nc\n"));
/// let delta = make_delta(&old, &new);
/// assert_eq!(delta.edits.len(), 1);
/// assert_eq!(apply_delta(&old, &delta), Ok(new));
/// ```
#[must_use]
pub fn make_delta(base: &SignedBundle, target: &SignedBundle) -> ConfigDelta {
    let old: Vec<&str> = base.bundle.split('\n').collect();
    let new: Vec<&str> = target.bundle.split('\n').collect();
    ConfigDelta {
        base: base.version,
        version: target.version,
        signer: target.signer.clone(),
        signature: target.signature.clone(),
        edits: diff_lines(&old, &new),
    }
}

/// Applies a delta to `base`. The caller must verify the signature of the result.
///
/// # Errors
///
/// Returns an error if the delta has another base version, does not produce a newer version, or
/// contains edits that do not fit the base.
pub fn apply_delta(base: &SignedBundle, delta: &ConfigDelta) -> Result<SignedBundle, DeltaError> {
    if base.version != delta.base {
        return Err(DeltaError::WrongBase { held: base.version, base: delta.base });
    }
    if delta.version <= delta.base {
        return Err(DeltaError::NotNewer { version: delta.version });
    }
    let old: Vec<&str> = base.bundle.split('\n').collect();
    let mut new: Vec<&str> = Vec::with_capacity(old.len());
    let mut position = 0;
    for (edit, LineEdit { start, removed, inserted }) in delta.edits.iter().enumerate() {
        let (start, removed) = (*start as usize, *removed as usize);
        if start < position {
            return Err(DeltaError::OutOfOrder { edit });
        }
        let end = start.checked_add(removed).filter(|end| *end <= old.len());
        let Some(end) = end else { return Err(DeltaError::OutOfBounds { edit }) };
        if inserted.iter().any(|line| line.contains('\n')) {
            return Err(DeltaError::LineEnd { edit });
        }
        new.extend(&old[position..start]);
        new.extend(inserted.iter().map(String::as_str));
        position = end;
    }
    new.extend(&old[position..]);
    Ok(SignedBundle {
        version: delta.version,
        signer: CompactString::clone(&delta.signer),
        bundle: new.join("\n"),
        signature: CompactString::clone(&delta.signature),
    })
}

/// Returns an edit for each gap between runs of equal lines.
fn diff_lines(old: &[&str], new: &[&str]) -> Vec<LineEdit> {
    let mut edits = Vec::new();
    let (mut a, mut b) = (0, 0);
    for run in matching_runs(old, new) {
        if run.old > a || run.new > b {
            edits.push(line_edit(a, run.old, &new[b..run.new]));
        }
        (a, b) = (run.old + run.len, run.new + run.len);
    }
    if a < old.len() || b < new.len() {
        edits.push(line_edit(a, old.len(), &new[b..]));
    }
    edits
}

fn line_edit(start: usize, end: usize, inserted: &[&str]) -> LineEdit {
    let count = |n: usize| u32::try_from(n).expect("a bundle of 1 MB has fewer than 2^32 lines");
    LineEdit {
        start: count(start),
        removed: count(end - start),
        inserted: inserted.iter().map(|line| String::from(*line)).collect(),
    }
}
