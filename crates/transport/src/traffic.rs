//! Counter of transferred bytes.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use http::HeaderMap;

/// Counter of bytes sent and received. Clones share the count.
///
/// It counts request paths, header fields before compression, and bodies. HTTP/2 framing, TCP
/// acknowledgements and keep-alives are not included.
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
    /// Adds to the count.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Number of bytes since the counter was created.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Total length of the names and values of header fields, in bytes.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}
