//! Counts the bytes of messages.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use http::HeaderMap;

/// Bytes sent and received. Clones share the count.
///
/// Bodies, paths and header fields are counted as the HTTP library hands them over: header fields
/// before their compression, and without frames, acknowledgements and keep-alives.
///
/// # Examples
///
/// ```
/// use rosemarybank_transport::traffic::ByteCounter;
///
/// let counter = ByteCounter::default();
/// counter.clone().add(12);
/// assert_eq!(counter.total(), 12);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    /// Adds bytes.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes since the counter was made.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Length of the names and values of header fields.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
