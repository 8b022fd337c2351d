//! The bounds of all memory that others can make a process keep, for the sum that must fit into its machine.
//!
//! `docs/design.md` lists the same buffers with what can fill them.

use rosemarybank_query::forward::ClientLimits;

use crate::platform::{
    client_memory::client_memory, feed_codec, journal, reply_memory::reply_memory, store,
};

/// Part of what an allocator gives out that it may need in addition, because freed memory of one size does not
/// serve requests of another.
const ALLOCATOR_OVERHEAD_DIVISOR: usize = 2;

/// Memory of an open connection without buffers: its state, an idle write buffer and its place in the maps.
const CONNECTION_LEN: usize = 5 << 10;

/// Memory of the process, its configuration and its lists.
const BASE_LEN: usize = 24 << 20;

/// Returns what each kind of buffer may occupy in bytes on a machine, by name.
///
/// # Examples
///
/// ```
/// use rosemarybank_daemon::platform::memory_bounds::memory_bounds;
/// use rosemarybank_query::forward::ClientLimits;
///
/// let sum: usize = memory_bounds(260, 3_900, &ClientLimits::default()).iter().map(|it| it.1).sum();
/// assert!(sum < 260 << 20);
/// ```
#[must_use]
pub fn memory_bounds(
    memory_mb: u64,
    max_sockets: usize,
    limits: &ClientLimits,
) -> Vec<(&'static str, usize)> {
    let with_overhead = |len: usize| len + len / ALLOCATOR_OVERHEAD_DIVISOR;
    vec![
        ("requests and unread answers of clients", with_overhead(client_memory(memory_mb, limits))),
        ("replies in progress", with_overhead(reply_memory(memory_mb))),
        ("replies of the store", store::MAX_CALLS * store::MAX_BODY_LEN),
        ("message of another instance", feed_codec::MAX_LEN),
        ("log lines that are not read", journal::MAX_LEN),
        ("connections", max_sockets * CONNECTION_LEN),
        ("process, configuration and lists", BASE_LEN),
    ]
}
