//! Structured, rate-limited log lines on standard output, written without blocking the event loop.
//!
//! Lines are collected in memory and passed to a writer thread in batches, because each write
//! costs a system call and a wake-up. Each kind of line has a rate limit, so that many lines of one
//! kind cannot displace others. Suppressed lines are counted and reported.

use std::{
    fmt::{self, Write as _},
    io::Write as _,
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rosemarybank_protocol::prelude::*;

/// Maximum number of batches queued for the writer; further ones are dropped and counted.
const MAX_QUEUED_BATCHES: usize = 16;

/// Size in bytes at which a batch is flushed before [`FLUSH_INTERVAL`].
const MAX_BATCH_LEN: usize = 8 << 10;

/// Maximum time for which lines are collected in a batch.
const FLUSH_INTERVAL: Duration = Duration::from_millis(400);

/// Time that the writer has for the last lines when the process ends.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval of checking whether the writer is done with them.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Window of the rate limits.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);

/// Maximum length of a line in bytes.
const MAX_LINE_LEN: usize = 4 << 10;

/// Maximum length in bytes of a text of a client in a line; see [`excerpt`].
const MAX_EXCERPT_LEN: usize = 256;

/// Maximum number of bytes of lines that the writer has not taken: those of the time in which the queue fills up,
/// and of one further window.
pub(super) const MAX_LEN: usize = {
    let batches = MAX_QUEUED_BATCHES as u128 + 2;
    let windows = batches * FLUSH_INTERVAL.as_millis() / LIMIT_WINDOW.as_millis() + 2;
    windows as usize * MAX_LINES * MAX_LINE_LEN
};

/// Maximum number of lines of all kinds in a [`LIMIT_WINDOW`].
const MAX_LINES: usize = {
    let (mut sum, mut index) = (0, 0);
    while index < LineKind::ALL.len() {
        // A further line reports how many were left out.
        sum += LineKind::ALL[index].limit() as usize + 1;
        index += 1;
    }
    sum
};

/// Kind of a log line. Each kind has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Start, stop and reload, and dependencies that fail or recover.
    Lifecycle,
    /// Changes of the known configuration, replicas, instances and quarantine.
    Discovery,
    /// A request that failed.
    Failure,
    /// A retry or hedge, a failed connect, or a partial answer.
    Attempt,
    /// A request that succeeded.
    Answer,
}

impl LineKind {
    const ALL: [LineKind; 5] = [
        LineKind::Lifecycle,
        LineKind::Discovery,
        LineKind::Failure,
        LineKind::Attempt,
        LineKind::Answer,
    ];

    /// Maximum number of lines per [`LIMIT_WINDOW`]. Failures have the highest limit; successful
    /// requests are only sampled.
    const fn limit(self) -> u32 {
        match self {
            LineKind::Lifecycle => 50,
            LineKind::Discovery => 20,
            LineKind::Failure => 60,
            LineKind::Attempt => 15,
            LineKind::Answer => 2,
        }
    }

    /// Value of `kind` in the event `lines_left_out`.
    const fn name(self) -> &'static str {
        match self {
            LineKind::Lifecycle => "life",
            LineKind::Discovery => "belief",
            LineKind::Failure => "failure",
            LineKind::Attempt => "attempt",
            LineKind::Answer => "answer",
        }
    }
}

/// Batches log lines and passes them to the writer thread.
#[derive(Debug)]
pub struct Journal {
    tx: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<()>>,
    batch: String,
    flushed_at: Time,
    /// Number of the current [`LIMIT_WINDOW`], counted from the start.
    window: u64,
    /// Lines logged in the current window, by kind.
    written: [u32; LineKind::ALL.len()],
    /// Lines suppressed in the current window, by kind.
    suppressed: [u32; LineKind::ALL.len()],
    /// Batches that the writer did not accept, and that are not reported yet.
    lost_batches: u32,
}

impl Journal {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start() -> std::io::Result<Journal> {
        let (tx, rx) = sync_channel(MAX_QUEUED_BATCHES);
        let writer = thread::Builder::new().name("journal".to_owned()).spawn(|| write_all(rx))?;
        Ok(Journal {
            tx: Some(tx),
            writer: Some(writer),
            batch: String::with_capacity(MAX_BATCH_LEN),
            flushed_at: Time::ZERO,
            window: 0,
            written: [0; LineKind::ALL.len()],
            suppressed: [0; LineKind::ALL.len()],
            lost_batches: 0,
        })
    }

    /// Logs a line. `fields` holds the members of a JSON object without its braces.
    pub fn log(&mut self, now: Time, kind: LineKind, event: &str, fields: fmt::Arguments<'_>) {
        self.begin_window(now);
        let index = kind as usize;
        if self.written[index] >= kind.limit() {
            self.suppressed[index] += 1;
            return;
        }
        self.written[index] += 1;
        self.append(now, event, fields);
    }

    /// Passes the batch to the writer if it is due.
    pub fn flush_if_due(&mut self, now: Time) {
        let is_due = now >= self.flushed_at + FLUSH_INTERVAL || self.batch.len() >= MAX_BATCH_LEN;
        if !self.batch.is_empty() && is_due {
            self.flush(now);
        }
    }

    /// Flushes all lines and stops the writer. Gives up the lines that nobody has read after [`CLOSE_TIMEOUT`].
    pub fn close(mut self) {
        self.flush(self.flushed_at);
        self.tx = None;
        let Some(writer) = self.writer.take() else { return };
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while !writer.is_finished() && Instant::now() < deadline {
            thread::sleep(CLOSE_POLL_INTERVAL);
        }
        if writer.is_finished() {
            // A writer that panicked cannot write the remaining lines.
            let _ = writer.join();
        }
    }

    fn append(&mut self, now: Time, event: &str, fields: fmt::Arguments<'_>) {
        let (ms, start) = (now.as_millis(), self.batch.len());
        // Writing to a string cannot fail.
        let _ = writeln!(self.batch, r#"{{"up_ms":{ms},"event":"{event}",{fields}}}"#);
        let len = self.batch.len() - start;
        if len > MAX_LINE_LEN {
            self.batch.truncate(start);
            let _ = writeln!(self.batch, r#"{{"up_ms":{ms},"event":"{event}","left_out":{len}}}"#);
        }
    }

    fn begin_window(&mut self, now: Time) {
        let window = (now.as_nanos() / LIMIT_WINDOW.as_nanos()) as u64;
        if window == self.window {
            return;
        }
        self.window = window;
        self.written = [0; LineKind::ALL.len()];
        let suppressed = std::mem::take(&mut self.suppressed);
        for (kind, count) in LineKind::ALL.iter().zip(suppressed) {
            if count > 0 {
                let name = kind.name();
                self.append(
                    now,
                    "lines_left_out",
                    format_args!(r#""kind":"{name}","count":{count}"#),
                );
            }
        }
        let lost = std::mem::take(&mut self.lost_batches);
        if lost > 0 {
            self.append(now, "batches_lost", format_args!(r#""count":{lost}"#));
        }
    }

    fn flush(&mut self, now: Time) {
        self.flushed_at = now;
        let Some(tx) = &self.tx else { return };
        let batch = std::mem::take(&mut self.batch).into_bytes();
        match tx.try_send(batch) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.lost_batches += 1,
        }
    }
}

/// Returns the start of a text of a client, for a line.
pub(super) fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_EXCERPT_LEN)]
}

fn write_all(rx: Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    for batch in rx {
        // There is no other output on which to report the failure.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
