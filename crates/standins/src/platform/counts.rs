//! Counters of the calls to the platform, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use http::{Method, Uri};
use serde::{Deserialize, Serialize};

/// Calls since the start: the body of `GET /counts` on the control address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of one object, and all calls that no other counter counts.
    pub get: u64,
    /// Creations and updates.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Lists.
    pub list: u64,
    /// Watches; each long poll counts as one call.
    pub watch: u64,
}

/// Counters of calls by kind.
#[derive(Default)]
pub struct CallCounters {
    get: AtomicU64,
    put: AtomicU64,
    delete: AtomicU64,
    list: AtomicU64,
    watch: AtomicU64,
}

impl CallCounters {
    /// Counts a call.
    pub fn add(&self, method: &Method, uri: &Uri) {
        let kind = uri.path().strip_prefix("/-/objects/").filter(|it| !it.contains('/'));
        let is_watch = uri.query().is_some_and(|it| it.starts_with("watch="));
        let counter = match (method, uri.path()) {
            (_, "/list") => &self.list,
            (_, "/watch") => &self.watch,
            (&Method::GET, _) if kind.is_some() && is_watch => &self.watch,
            (&Method::GET, _) if kind.is_some() => &self.list,
            (&Method::PUT | &Method::POST, _) => &self.put,
            (&Method::DELETE, _) => &self.delete,
            _ => &self.get,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Calls so far.
    #[must_use]
    pub fn snapshot(&self) -> PlatformCounts {
        PlatformCounts {
            get: self.get.load(Ordering::Relaxed),
            put: self.put.load(Ordering::Relaxed),
            delete: self.delete.load(Ordering::Relaxed),
            list: self.list.load(Ordering::Relaxed),
            watch: self.watch.load(Ordering::Relaxed),
        }
    }
}
