//! A non-blocking socket with a write buffer.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
};

use bytes::{Buf as _, Bytes, BytesMut};
use mio::{Interest, Registry, Token, net::TcpStream};

/// Result of reading from a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// All available bytes were read.
    Drained,
    /// The limit was reached. More bytes may be available, and no further event reports them.
    LimitReached,
    /// The peer closed its sending side.
    Closed,
    /// The connection failed.
    Broken,
}

impl ReadOutcome {
    /// Whether nothing more will arrive.
    pub(super) fn is_end(self) -> bool {
        matches!(self, ReadOutcome::Closed | ReadOutcome::Broken)
    }
}

/// Result of flushing a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The kernel accepted all bytes.
    Done,
    /// The send buffer of the kernel is full.
    Blocked,
    /// The connection failed; `true` when the kernel accepted no byte of the buffer.
    Broken(bool),
}

/// Minimum length of a body that is shared with other messages instead of copied. A shared body takes a
/// write of its own.
const MIN_SHARED_LEN: usize = 4 << 10;

/// Maximum capacity of an empty write buffer that is kept for the next message.
const MAX_IDLE_CAPACITY: usize = 4 << 10;

/// A stream registered with the poll, and its write buffer.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    /// Whether the peer has closed its sending side; bytes sent before may still be unread.
    is_read_closed: bool,
    /// Whether a write failed. The kernel reports the error of a connection once, so that the following
    /// read sees an orderly end.
    is_write_broken: bool,
    write_buf: Vec<u8>,
    /// Number of bytes of `write_buf` that the kernel has accepted.
    written: usize,
    /// Rest of a shared body, sent after `write_buf`.
    shared_body: Bytes,
}

impl Socket {
    /// Registers a stream for readability and writability.
    pub(super) fn new(
        mut stream: TcpStream,
        registry: &Registry,
        token: usize,
    ) -> io::Result<Socket> {
        stream.set_nodelay(true)?;
        registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE)?;
        Ok(Socket {
            stream,
            is_read_closed: false,
            is_write_broken: false,
            write_buf: Vec::new(),
            written: 0,
            shared_body: Bytes::new(),
        })
    }

    /// Starts a non-blocking connect.
    pub(super) fn connect(
        addr: SocketAddr,
        registry: &Registry,
        token: usize,
    ) -> io::Result<Socket> {
        Socket::new(TcpStream::connect(addr)?, registry, token)
    }

    /// Returns whether a connect has completed, or the error with which it failed.
    pub(super) fn is_connected(&self) -> io::Result<bool> {
        if let Some(err) = self.stream.take_error()? {
            return Err(err);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(err) if err.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(err) => Err(err),
        }
    }

    /// Returns the write buffer, to append to.
    pub(super) fn write_buf(&mut self) -> &mut Vec<u8> {
        &mut self.write_buf
    }

    /// Appends a message to the write buffer. Its body is not copied if it is long; nothing may be
    /// appended after it before it is flushed.
    pub(super) fn push_message(&mut self, head: &[u8], body: &Bytes) {
        self.write_buf.extend_from_slice(head);
        match body.len() < MIN_SHARED_LEN {
            true => self.write_buf.extend_from_slice(body),
            false => self.shared_body = body.clone(),
        }
    }

    /// Whether the write buffer is empty.
    pub(super) fn is_flushed(&self) -> bool {
        self.write_buf.is_empty() && self.shared_body.is_empty()
    }

    /// Number of bytes that the kernel has not accepted yet.
    pub(super) fn unsent_len(&self) -> usize {
        self.write_buf.len() - self.written + self.shared_body.len()
    }

    /// Number of bytes of memory that the write buffer occupies.
    pub(super) fn write_capacity(&self) -> usize {
        self.write_buf.capacity() + self.shared_body.len()
    }

    /// Writes the buffer until it is empty or the socket would block.
    pub(super) fn flush(&mut self) -> WriteOutcome {
        while self.unsent_len() > 0 {
            let is_in_buf = self.written < self.write_buf.len();
            let unsent =
                if is_in_buf { &self.write_buf[self.written..] } else { &self.shared_body };
            match self.stream.write(unsent) {
                Ok(len) if len > 0 && is_in_buf => self.written += len,
                Ok(len) if len > 0 => self.shared_body.advance(len),
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    return WriteOutcome::Blocked;
                }
                Ok(_) | Err(_) => {
                    self.is_write_broken = true;
                    return WriteOutcome::Broken(self.written == 0);
                }
            }
        }
        // An empty `Bytes` may still own its memory.
        self.shared_body = Bytes::new();
        match self.write_buf.capacity() <= MAX_IDLE_CAPACITY {
            true => self.write_buf.clear(),
            false => self.write_buf = Vec::new(),
        }
        self.written = 0;
        WriteOutcome::Done
    }

    /// Records that an event reported the end of the input.
    pub(super) fn set_read_closed(&mut self) {
        self.is_read_closed = true;
    }

    /// Appends the available bytes to `buf` while it is shorter than `limit`. `scratch` is the buffer
    /// of single reads.
    pub(super) fn read(
        &mut self,
        buf: &mut BytesMut,
        scratch: &mut [u8],
        limit: usize,
    ) -> ReadOutcome {
        while buf.len() < limit {
            match self.stream.read(scratch) {
                Ok(0) if self.is_write_broken => return ReadOutcome::Broken,
                Ok(0) => return ReadOutcome::Closed,
                Ok(len) => {
                    buf.extend_from_slice(&scratch[..len]);
                    // A short read means that the socket is empty; a later close is a new event. A close
                    // that was reported together with these bytes is not reported again.
                    if len < scratch.len() && !self.is_read_closed {
                        return ReadOutcome::Drained;
                    }
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return ReadOutcome::Drained,
                Err(_) => return ReadOutcome::Broken,
            }
        }
        ReadOutcome::LimitReached
    }

    /// Shuts down the sending side, so that the peer reads the last answer before a reset.
    pub(super) fn shutdown_write(&mut self) {
        // The peer may have closed already; the connection is closed in any case.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Deregisters the stream from the poll.
    pub(super) fn deregister(&mut self, registry: &Registry) {
        // Closing the descriptor deregisters it as well, so a failure can be ignored.
        let _ = registry.deregister(&mut self.stream);
    }
}
