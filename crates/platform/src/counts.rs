//! Count of the calls that were made, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// One object was read.
    Get,
    /// A prefix was listed.
    List,
    /// An object was created.
    Create,
    /// An object was updated.
    Update,
    /// An object was deleted.
    Delete,
    /// A prefix was watched; one wait counts as one call.
    Watch,
}

/// Calls since the client was built, including those that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of one object.
    pub get: u64,
    /// Lists.
    pub list: u64,
    /// Creations.
    pub create: u64,
    /// Updates.
    pub update: u64,
    /// Deletions.
    pub delete: u64,
    /// Watches.
    pub watch: u64,
}

#[derive(Default)]
pub(crate) struct Counters([AtomicU64; 6]);

impl Counters {
    pub(crate) fn add(&self, kind: CallKind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn snapshot(&self) -> CallCounts {
        let count = |kind: CallKind| self.0[kind as usize].load(Ordering::Relaxed);
        CallCounts {
            get: count(CallKind::Get),
            list: count(CallKind::List),
            create: count(CallKind::Create),
            update: count(CallKind::Update),
            delete: count(CallKind::Delete),
            watch: count(CallKind::Watch),
        }
    }
}
