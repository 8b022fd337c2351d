//! Tracks the frames of an HTTP/2 connection.
//!
//! The `h2` crate exposes neither the last stream identifier of a GOAWAY frame nor whether the
//! HEADERS frame of a stream was written to the socket. Both determine whether a request can have
//! been executed, so they are read from the frame headers in the bytes of the socket.

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

/// Length of the connection preface of a client.
const PREFACE_LEN: usize = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".len();
/// Length of a frame header.
const HEADER_LEN: usize = 9;
const TYPE_HEADERS: u8 = 1;
const TYPE_SETTINGS: u8 = 4;
const TYPE_GOAWAY: u8 = 7;
/// Clears the reserved bit before a stream identifier.
const STREAM_ID_MASK: u32 = 0x7fff_ffff;

/// State of a connection, derived from the frames written and read so far.
#[derive(Debug)]
pub(super) struct FrameTracker {
    /// Highest stream whose HEADERS frame was written.
    last_opened_stream: AtomicU32,
    /// Lowest last stream identifier of all GOAWAY frames; `u32::MAX` before the first.
    goaway_last_stream: AtomicU32,
    bytes_read: AtomicU64,
    settings_received: AtomicBool,
    closed: AtomicBool,
    goaway_notify: Notify,
    settings_or_close_notify: Notify,
}

impl Default for FrameTracker {
    fn default() -> FrameTracker {
        FrameTracker {
            last_opened_stream: AtomicU32::new(0),
            goaway_last_stream: AtomicU32::new(u32::MAX),
            bytes_read: AtomicU64::new(0),
            settings_received: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            goaway_notify: Notify::new(),
            settings_or_close_notify: Notify::new(),
        }
    }
}

impl FrameTracker {
    /// Whether the replica cannot have processed a stream that failed: the stream is beyond the last
    /// one of a GOAWAY frame, or its HEADERS frame was never written.
    pub(super) fn is_unprocessed(&self, stream: u32) -> bool {
        let refused = self.goaway_last_stream.load(Ordering::Acquire) < stream;
        // While the connection is open, a buffered HEADERS frame may still be written.
        let unsent = self.is_closed() && self.last_opened_stream.load(Ordering::Acquire) < stream;
        refused || unsent
    }

    /// Whether the peer has sent GOAWAY.
    pub(super) fn is_going_away(&self) -> bool {
        self.goaway_last_stream.load(Ordering::Acquire) != u32::MAX
    }

    /// Waits until the peer sends GOAWAY.
    pub(super) async fn wait_for_goaway(&self) {
        while !self.is_going_away() {
            self.goaway_notify.notified().await;
        }
    }

    /// Waits for the first SETTINGS frame of the peer. Returns `false` when the connection closes
    /// without one.
    pub(super) async fn wait_for_settings(&self) -> bool {
        loop {
            if self.settings_received.load(Ordering::Acquire) {
                return true;
            }
            if self.is_closed() {
                return false;
            }
            self.settings_or_close_notify.notified().await;
        }
    }

    /// Number of bytes read from the peer.
    pub(super) fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Relaxed)
    }

    /// Records that the connection is closed and no further frame is written.
    pub(super) fn mark_closed(&self) {
        self.closed.store(true, Ordering::Release);
        self.settings_or_close_notify.notify_one();
    }

    /// Whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    fn on_frame_written(&self, frame: &Frame) {
        if frame.kind == TYPE_HEADERS {
            self.last_opened_stream.fetch_max(frame.stream, Ordering::AcqRel);
        }
    }

    fn on_frame_read(&self, frame: &Frame) {
        if frame.kind == TYPE_GOAWAY {
            self.goaway_last_stream.fetch_min(frame.first_word & STREAM_ID_MASK, Ordering::AcqRel);
            self.goaway_notify.notify_one();
        }
        if frame.kind == TYPE_SETTINGS {
            self.settings_received.store(true, Ordering::Release);
            self.settings_or_close_notify.notify_one();
        }
    }
}

/// A socket whose frames update a [`FrameTracker`].
pub(super) struct ObservedIo<T> {
    io: T,
    tracker: Arc<FrameTracker>,
    written: FrameScanner,
    read: FrameScanner,
}

impl<T> ObservedIo<T> {
    /// Wraps the client socket of a connection. No byte may have been written to it before.
    pub(super) fn new(io: T, tracker: Arc<FrameTracker>) -> ObservedIo<T> {
        ObservedIo {
            io,
            tracker,
            written: FrameScanner::new(PREFACE_LEN),
            read: FrameScanner::new(0),
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ObservedIo<T> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let start = buf.filled().len();
        ready!(Pin::new(&mut this.io).poll_read(cx, buf))?;
        let bytes = &buf.filled()[start..];
        this.tracker.bytes_read.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        this.read.scan(bytes, |frame| this.tracker.on_frame_read(frame));
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ObservedIo<T> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let n = ready!(Pin::new(&mut this.io).poll_write(cx, buf))?;
        this.written.scan(&buf[..n], |frame| this.tracker.on_frame_written(frame));
        Poll::Ready(Ok(n))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let n = ready!(Pin::new(&mut this.io).poll_write_vectored(cx, bufs))?;
        let mut remaining = n;
        for buf in bufs {
            let taken = remaining.min(buf.len());
            this.written.scan(&buf[..taken], |frame| this.tracker.on_frame_written(frame));
            remaining -= taken;
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

/// Header of a frame.
struct Frame {
    kind: u8,
    stream: u32,
    /// First four bytes of the payload of a GOAWAY frame, which hold the last stream identifier;
    /// otherwise 0.
    first_word: u32,
}

/// Parses frame headers from a byte stream that arrives in chunks.
struct FrameScanner {
    /// Bytes of the preface or of a payload to skip before the next frame header.
    skip_bytes: usize,
    /// A frame header, followed by the first word of a GOAWAY payload.
    buf: [u8; HEADER_LEN + 4],
    buffered: usize,
}

impl FrameScanner {
    fn new(skip_bytes: usize) -> FrameScanner {
        FrameScanner { skip_bytes, buf: [0; HEADER_LEN + 4], buffered: 0 }
    }

    fn scan(&mut self, mut bytes: &[u8], mut on_frame: impl FnMut(&Frame)) {
        while !bytes.is_empty() {
            let skipped = self.skip_bytes.min(bytes.len());
            self.skip_bytes -= skipped;
            bytes = &bytes[skipped..];
            let missing = self.bytes_to_buffer() - self.buffered;
            let taken = missing.min(bytes.len());
            self.buf[self.buffered..self.buffered + taken].copy_from_slice(&bytes[..taken]);
            self.buffered += taken;
            bytes = &bytes[taken..];
            if self.buffered == self.bytes_to_buffer() && self.buffered > 0 {
                self.emit_frame(&mut on_frame);
            }
        }
    }

    /// Length of the frame header, plus the first payload word of a GOAWAY frame.
    fn bytes_to_buffer(&self) -> usize {
        let is_goaway = self.buffered >= HEADER_LEN && self.buf[3] == TYPE_GOAWAY;
        if is_goaway && self.payload_len() >= 4 { HEADER_LEN + 4 } else { HEADER_LEN }
    }

    fn payload_len(&self) -> usize {
        let [a, b, c, ..] = self.buf;
        usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
    }

    fn emit_frame(&mut self, on_frame: &mut impl FnMut(&Frame)) {
        let word_at = |at: usize| {
            let bytes = &self.buf[at..at + 4];
            u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
        };
        let payload_buffered = self.buffered - HEADER_LEN;
        let first_word = if payload_buffered == 4 { word_at(HEADER_LEN) } else { 0 };
        on_frame(&Frame { kind: self.buf[3], stream: word_at(5) & STREAM_ID_MASK, first_word });
        self.skip_bytes = self.payload_len() - payload_buffered;
        self.buffered = 0;
    }
}

#[cfg(test)]
mod tests;
