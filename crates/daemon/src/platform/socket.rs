//! A non-blocking socket with its unsent bytes.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
};

use mio::{Interest, Registry, Token, net::TcpStream};

/// What a read found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// All bytes that were there.
    Drained,
    /// The peer sends no more.
    Closed,
    /// The connection is broken.
    Broken,
}

/// What a write achieved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteEnd {
    /// All bytes are with the kernel.
    Done,
    /// The peer must read first.
    Blocked,
    /// The connection is broken; `true` when no byte of the message was taken.
    Broken(bool),
}

/// A registered stream.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    out: Vec<u8>,
    written: usize,
}

impl Socket {
    /// Registers a stream for all events.
    pub(super) fn new(
        mut stream: TcpStream,
        registry: &Registry,
        token: usize,
    ) -> io::Result<Socket> {
        stream.set_nodelay(true)?;
        registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE)?;
        Ok(Socket { stream, out: Vec::new(), written: 0 })
    }

    /// Begins a connection.
    pub(super) fn connect(
        addr: SocketAddr,
        registry: &Registry,
        token: usize,
    ) -> io::Result<Socket> {
        Socket::new(TcpStream::connect(addr)?, registry, token)
    }

    /// Whether a connection that was begun is open; an error when it failed.
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

    /// Bytes to send, to append to.
    pub(super) fn out(&mut self) -> &mut Vec<u8> {
        &mut self.out
    }

    /// Whether all bytes were sent.
    pub(super) fn is_flushed(&self) -> bool {
        self.out.is_empty()
    }

    /// Sends what the peer takes.
    pub(super) fn flush(&mut self) -> WriteEnd {
        while self.written < self.out.len() {
            match self.stream.write(&self.out[self.written..]) {
                Ok(0) => return WriteEnd::Broken(self.written == 0),
                Ok(len) => self.written += len,
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return WriteEnd::Blocked,
                Err(_) => return WriteEnd::Broken(self.written == 0),
            }
        }
        self.out.clear();
        self.written = 0;
        WriteEnd::Done
    }

    /// Appends what has arrived to `buf`, up to `limit` bytes in it.
    pub(super) fn read(&mut self, buf: &mut Vec<u8>, scratch: &mut [u8], limit: usize) -> ReadEnd {
        while buf.len() < limit {
            match self.stream.read(scratch) {
                Ok(0) => return ReadEnd::Closed,
                Ok(len) => {
                    buf.extend_from_slice(&scratch[..len]);
                    // A short read empties the socket; an end that follows is a new event.
                    if len < scratch.len() {
                        return ReadEnd::Drained;
                    }
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return ReadEnd::Drained,
                Err(_) => return ReadEnd::Broken,
            }
        }
        ReadEnd::Drained
    }

    /// Ends the sending direction, so that the peer reads the last answer before it sees a reset.
    pub(super) fn finish(&mut self) {
        // The peer may be gone already; the connection is dropped in any case.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Takes the stream out of the poll.
    pub(super) fn deregister(&mut self, registry: &Registry) {
        // Closing the descriptor removes it as well; a failure changes nothing.
        let _ = registry.deregister(&mut self.stream);
    }
}
