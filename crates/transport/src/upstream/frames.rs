//! Observes the frame headers of an h2 connection.
//!
//! `h2` reports neither the last stream of a GOAWAY frame nor whether the HEADERS frame of a
//! stream left the write buffer. Both decide whether a request can have run, so they are read
//! from the 9-byte frame headers that pass through the socket.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
};

const PREFACE_LEN: usize = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".len();
const HEADER_LEN: usize = 9;
const TYPE_HEADERS: u8 = 1;
const TYPE_SETTINGS: u8 = 4;
const TYPE_GOAWAY: u8 = 7;
const STREAM_ID_MASK: u32 = 0x7fff_ffff;

/// What the frames of one connection have shown so far.
#[derive(Debug)]
pub(super) struct FrameLog {
    opened: AtomicU32,
    last_accepted: AtomicU32,
    bytes_read: AtomicU64,
    settled: AtomicBool,
    finished: AtomicBool,
    going_away: Notify,
    settled_or_finished: Notify,
}

impl Default for FrameLog {
    fn default() -> FrameLog {
        FrameLog {
            opened: AtomicU32::new(0),
            last_accepted: AtomicU32::new(u32::MAX),
            bytes_read: AtomicU64::new(0),
            settled: AtomicBool::new(false),
            finished: AtomicBool::new(false),
            going_away: Notify::new(),
            settled_or_finished: Notify::new(),
        }
    }
}

impl FrameLog {
    /// Whether the stream cannot have been processed, given that its connection failed.
    pub(super) fn is_unprocessed(&self, stream: u32) -> bool {
        let refused = self.last_accepted.load(Ordering::Acquire) < stream;
        // Before the connection has finished, a buffered HEADERS frame may still be written.
        let unsent = self.is_finished() && self.opened.load(Ordering::Acquire) < stream;
        refused || unsent
    }

    /// Whether the peer has sent GOAWAY.
    pub(super) fn is_going_away(&self) -> bool {
        self.last_accepted.load(Ordering::Acquire) != u32::MAX
    }

    /// Waits for GOAWAY.
    pub(super) async fn going_away(&self) {
        while !self.is_going_away() {
            self.going_away.notified().await;
        }
    }

    /// Waits for the peer's first settings; `false` when the connection ends without them.
    pub(super) async fn settled(&self) -> bool {
        loop {
            if self.settled.load(Ordering::Acquire) {
                return true;
            }
            if self.is_finished() {
                return false;
            }
            self.settled_or_finished.notified().await;
        }
    }

    /// Number of bytes read from the peer.
    pub(super) fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Relaxed)
    }

    /// Records that the connection has ended and writes nothing more.
    pub(super) fn finish(&self) {
        self.finished.store(true, Ordering::Release);
        self.settled_or_finished.notify_one();
    }

    /// Whether the connection has ended.
    pub(super) fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Acquire)
    }

    fn wrote(&self, frame: &Frame) {
        if frame.kind == TYPE_HEADERS {
            self.opened.fetch_max(frame.stream, Ordering::AcqRel);
        }
    }

    fn read(&self, frame: &Frame) {
        if frame.kind == TYPE_GOAWAY {
            self.last_accepted.fetch_min(frame.first_word & STREAM_ID_MASK, Ordering::AcqRel);
            self.going_away.notify_one();
        }
        if frame.kind == TYPE_SETTINGS {
            self.settled.store(true, Ordering::Release);
            self.settled_or_finished.notify_one();
        }
    }
}

/// A socket whose frames are recorded in a [`FrameLog`].
pub(super) struct Observed<T> {
    io: T,
    log: Arc<FrameLog>,
    sent: Scanner,
    received: Scanner,
}

impl<T> Observed<T> {
    /// Wraps the client end of a connection on which nothing has been sent.
    pub(super) fn new(io: T, log: Arc<FrameLog>) -> Observed<T> {
        Observed { io, log, sent: Scanner::new(PREFACE_LEN), received: Scanner::new(0) }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Observed<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let start = buf.filled().len();
        ready!(Pin::new(&mut this.io).poll_read(cx, buf))?;
        let bytes = &buf.filled()[start..];
        this.log.bytes_read.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        this.received.scan(bytes, |frame| this.log.read(frame));
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Observed<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let n = ready!(Pin::new(&mut this.io).poll_write(cx, buf))?;
        this.sent.scan(&buf[..n], |frame| this.log.wrote(frame));
        Poll::Ready(Ok(n))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let n = ready!(Pin::new(&mut this.io).poll_write_vectored(cx, bufs))?;
        let mut left = n;
        for buf in bufs {
            let taken = left.min(buf.len());
            this.sent.scan(&buf[..taken], |frame| this.log.wrote(frame));
            left -= taken;
        }
        Poll::Ready(Ok(n))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(cx)
    }
}

struct Frame {
    kind: u8,
    stream: u32,
    /// First four bytes of the payload of a GOAWAY frame, otherwise 0.
    first_word: u32,
}

/// Finds frame headers in a byte stream that arrives in pieces.
struct Scanner {
    skip: usize,
    head: [u8; HEADER_LEN + 4],
    filled: usize,
}

impl Scanner {
    fn new(skip: usize) -> Scanner {
        Scanner { skip, head: [0; HEADER_LEN + 4], filled: 0 }
    }

    fn scan(&mut self, mut bytes: &[u8], mut found: impl FnMut(&Frame)) {
        while !bytes.is_empty() {
            let skipped = self.skip.min(bytes.len());
            self.skip -= skipped;
            bytes = &bytes[skipped..];
            let wanted = self.wanted() - self.filled;
            let taken = wanted.min(bytes.len());
            self.head[self.filled..self.filled + taken].copy_from_slice(&bytes[..taken]);
            self.filled += taken;
            bytes = &bytes[taken..];
            if self.filled == self.wanted() && self.filled > 0 {
                self.take_frame(&mut found);
            }
        }
    }

    fn wanted(&self) -> usize {
        let is_goaway = self.filled >= HEADER_LEN && self.head[3] == TYPE_GOAWAY;
        if is_goaway && self.payload_len() >= 4 { HEADER_LEN + 4 } else { HEADER_LEN }
    }

    fn payload_len(&self) -> usize {
        let [a, b, c, ..] = self.head;
        usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
    }

    fn take_frame(&mut self, found: &mut impl FnMut(&Frame)) {
        let word = |at: usize| {
            let bytes = &self.head[at..at + 4];
            u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
        };
        let in_head = self.filled - HEADER_LEN;
        let first_word = if in_head == 4 { word(HEADER_LEN) } else { 0 };
        found(&Frame { kind: self.head[3], stream: word(5) & STREAM_ID_MASK, first_word });
        self.skip = self.payload_len() - in_head;
        self.filled = 0;
    }
}

#[cfg(test)]
mod tests;
