//! The memory that the buffers of clients may occupy, and who gives way when it is used up.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;
use rosemarybank_query::{
    buffer_budget::MIN_LARGEST_BODIES,
    forward::{Answer, ClientLimits},
};

use crate::platform::{
    event_loop::{Conn, EventLoop},
    journal::LineKind,
    reply_memory::reply_memory,
};

/// Part of the memory of the machine that the buffers of clients may occupy. The rest is for replies of
/// replicas, the configuration and lists, and for what the allocator cannot use.
const CLIENT_MEMORY_DIVISOR: usize = 8;

/// The same, if the configuration permits requests that would not fit into that part.
const MAX_CLIENT_MEMORY_DIVISOR: usize = 2;

/// Time after which a client that was refused for lack of memory may come back at the earliest.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of bytes that the buffers of clients may occupy on a machine. There is room for a single request
/// of any permitted size, unless that takes a large part of the memory.
pub(super) fn client_memory(memory_mb: u64, limits: &ClientLimits) -> usize {
    let memory = usize::try_from(memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX);
    let largest = limits.head_bytes.saturating_add(limits.body_bytes);
    let needed = largest.saturating_mul(MIN_LARGEST_BODIES);
    needed.clamp(memory / CLIENT_MEMORY_DIVISOR, memory / MAX_CLIENT_MEMORY_DIVISOR)
}

impl EventLoop {
    /// Refuses a request that is not complete because the memory for clients is used up. It has not run.
    pub(super) fn refuse_upload(&mut self, index: usize) {
        let kind = ErrorKind::Overloaded;
        let retry_after = self.next_memory_return();
        let reason = "the memory for requests is used up";
        self.reject_with(index, kind.spec().status, kind, reason, Some(retry_after));
    }

    /// Time after which the next client that was refused for lack of memory may come back.
    fn next_memory_return(&mut self) -> Duration {
        self.memory_returns.next_delay(self.now, 0, self.now + MEMORY_RETRY_AFTER)
    }

    /// Refusal of a whole request for lack of memory.
    pub(super) fn memory_refusal(&mut self) -> Answer {
        let retry_after = Some(self.next_memory_return());
        Answer::Refused { kind: ErrorKind::Overloaded, retry_after }
    }

    /// Sets the memory for clients and for replies by the settings and the configuration.
    pub(super) fn set_memory_limits(&mut self) {
        self.buffers.set_limit(client_memory(self.settings.memory_mb, &self.limits()));
        self.replies.set_limit(reply_memory(self.settings.memory_mb));
    }

    /// Records the memory that a connection occupies.
    pub(super) fn record_buffer(&mut self, index: usize) {
        if let Some(Conn::Client(client)) = self.conns.get(index) {
            let (usage, len) = client.buffer_use();
            self.buffers.update(client.buffer, self.now, usage, len);
        }
    }

    /// Releases the memory of clients while their budget is exceeded.
    pub(super) fn release_buffers(&mut self) {
        while let Some(key) = self.buffers.next_release() {
            let Some(index) = self.buffer_conns.get(key).copied() else {
                self.buffers.remove(key);
                continue;
            };
            let Some(Conn::Client(client)) = self.conns.get(index) else { return };
            self.metrics.buffers_released += 1;
            if client.is_receiving() && client.socket.is_flushed() {
                self.refuse_upload(index);
                self.record_buffer(index);
            } else {
                // The client does not read its answer, or the connection is of no use any more.
                let reason = if client.socket.is_flushed() { "idle" } else { "answer not read" };
                let unsent = client.socket.unsent_len();
                self.journal.log(
                    self.now,
                    LineKind::Failure,
                    "closed_for_memory",
                    format_args!(r#""reason":"{reason}","unsent":{unsent}"#),
                );
                self.close_client(index);
            }
        }
    }
}
