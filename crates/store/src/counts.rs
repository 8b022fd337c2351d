//! Count of the calls that were made, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use http::HeaderMap;

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
pub(crate) struct Counters {
    calls: [AtomicU64; 6],
    bytes: AtomicU64,
}

impl Counters {
    pub(crate) fn add(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the path or the body of a message and its header fields.
    pub(crate) fn add_bytes(&self, content: usize, headers: &HeaderMap) {
        let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.bytes.fetch_add((content + fields.sum::<usize>()) as u64, Ordering::Relaxed);
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn snapshot(&self) -> CallCounts {
        let count = |kind: CallKind| self.calls[kind as usize].load(Ordering::Relaxed);
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
