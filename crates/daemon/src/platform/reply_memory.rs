//! The memory that replies in progress may occupy, and which of them give way when it is used up.

use rosemarybank_http1::Framing;
use rosemarybank_query::{buffer_budget::BufferUse, forward::Failure};

use crate::platform::{
    event_loop::{Conn, EventLoop},
    upstream::{UpstreamConn, UpstreamState},
};

/// Part of the memory of the machine that the replies in progress may occupy. It is not shared with clients, so
/// that neither a crowd of clients nor faulty replicas can take the other's.
const REPLY_MEMORY_DIVISOR: usize = 8;

/// Maximum size of a reply body in bytes.
const MAX_BODY_LEN: usize = 8 << 20;

/// Maximum size of a reply body as a fraction of the memory of the machine.
const MAX_BODY_MEMORY_DIVISOR: usize = 256;

/// Number of bytes that the replies in progress may occupy on a machine.
pub(super) fn reply_memory(memory_mb: u64) -> usize {
    machine_memory(memory_mb) / REPLY_MEMORY_DIVISOR
}

/// Maximum size of a reply body in bytes on a machine.
pub(super) fn max_reply_body(memory_mb: u64) -> usize {
    (machine_memory(memory_mb) / MAX_BODY_MEMORY_DIVISOR).min(MAX_BODY_LEN)
}

fn machine_memory(memory_mb: u64) -> usize {
    usize::try_from(memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX)
}

impl UpstreamConn {
    /// Use of the memory of this connection, and its length. A body with a stated length has its whole memory
    /// reserved from its head on, so that an admitted one can always be completed.
    fn buffer_use(&self) -> (BufferUse, usize) {
        let (usage, len) = match &self.state {
            UpstreamState::Busy(exchange) => {
                let stated = exchange.head.as_ref().and_then(|it| it.framing);
                match (&exchange.body, stated) {
                    (Some(_), Some(Framing::Length(len))) => {
                        (BufferUse::Held, usize::try_from(len).unwrap_or(usize::MAX))
                    }
                    (Some(body), _) => (BufferUse::Releasable, body.capacity()),
                    (None, _) => (BufferUse::Releasable, 0),
                }
            }
            _ => (BufferUse::Releasable, 0),
        };
        (usage, len.saturating_add(self.buf.capacity()))
    }
}

impl EventLoop {
    /// Records the memory that a connection to a replica occupies, and gives up replies while the memory for
    /// them is exceeded.
    pub(super) fn record_reply(&mut self, index: usize) {
        if let Some(Conn::Upstream(conn)) = self.conns.get(index) {
            let (usage, len) = conn.buffer_use();
            self.replies.update(conn.buffer, self.now, usage, len);
        }
        while let Some(key) = self.replies.next_release() {
            if let Some(index) = self.reply_conns.get(key).copied() {
                let reason = "the memory for replies is used up";
                self.fail_exchange(index, Failure::Overlong, reason);
            }
            // Only an exchange has a buffer.
            self.replies.remove(key);
        }
    }
}
