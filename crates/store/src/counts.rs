//! Number of calls by kind, and bytes transferred.

use std::sync::atomic::{AtomicU64, Ordering};

use http::HeaderMap;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read of one object.
    Get,
    /// One page of a list.
    List,
    /// Creation of an object.
    Create,
    /// Update of an object.
    Update,
    /// Deletion of an object.
    Delete,
    /// One long poll of a watch.
    Watch,
}

/// Number of calls since the client was created, including failed calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of one object.
    pub get: u64,
    /// Pages of lists.
    pub list: u64,
    /// Creations.
    pub create: u64,
    /// Updates.
    pub update: u64,
    /// Deletions.
    pub delete: u64,
    /// Long polls of watches.
    pub watch: u64,
}

/// Thread-safe counters behind [`CallCounts`].
#[derive(Default)]
pub(crate) struct Counters {
    calls: [AtomicU64; 6],
    bytes: AtomicU64,
}

impl Counters {
    pub(crate) fn add(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds `content_bytes` bytes and the names and values of the header fields.
    pub(crate) fn add_bytes(&self, content_bytes: usize, headers: &HeaderMap) {
        let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
        self.bytes.fetch_add((content_bytes + fields.sum::<usize>()) as u64, Ordering::Relaxed);
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
