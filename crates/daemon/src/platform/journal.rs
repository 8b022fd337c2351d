//! Structured log lines on standard output, bounded and never blocking.
//!
//! Lines are collected in memory and handed to a writer thread in batches, because each write
//! costs a system call and a wake-up. Each kind of line has a limit per second; what exceeds it is
//! counted and reported, so that a flood of one kind cannot hide another.

use std::{
    fmt::{self, Write as _},
    io::Write as _,
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread::{self, JoinHandle},
    time::Duration,
};

use rosemarybank_protocol::prelude::*;

/// Batches that may wait for the writer; further ones are dropped and counted.
const MAX_BATCHES: usize = 16;

/// Size in bytes at which a batch is handed over before its time.
const BATCH_LEN: usize = 8 << 10;

/// Longest time for which a line waits for its batch.
const FLUSH_EVERY: Duration = Duration::from_millis(400);

/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Kinds of lines, each with a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Start, stop, reload, and lost or regained dependencies.
    Life,
    /// The configuration, replicas or instances as the instance believes them.
    Belief,
    /// A request that ended without a complete answer.
    Failure,
    /// A further attempt for a request.
    Attempt,
    /// A request that was answered.
    Answer,
}

impl Kind {
    const ALL: [Kind; 5] = [Kind::Life, Kind::Belief, Kind::Failure, Kind::Attempt, Kind::Answer];

    /// Most lines per second. Failures come first; complete answers are only sampled.
    const fn limit(self) -> u32 {
        match self {
            Kind::Life => 50,
            Kind::Belief => 20,
            Kind::Failure => 60,
            Kind::Attempt => 15,
            Kind::Answer => 2,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Kind::Life => "life",
            Kind::Belief => "belief",
            Kind::Failure => "failure",
            Kind::Attempt => "attempt",
            Kind::Answer => "answer",
        }
    }
}

/// Collects log lines.
#[derive(Debug)]
pub struct Journal {
    tx: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<()>>,
    batch: String,
    flushed: Time,
    window: u64,
    written: [u32; Kind::ALL.len()],
    suppressed: [u32; Kind::ALL.len()],
    lost_batches: u32,
}

impl Journal {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start() -> std::io::Result<Journal> {
        let (tx, rx) = sync_channel(MAX_BATCHES);
        let writer = thread::Builder::new().name("journal".to_owned()).spawn(|| write_all(rx))?;
        Ok(Journal {
            tx: Some(tx),
            writer: Some(writer),
            batch: String::with_capacity(BATCH_LEN),
            flushed: Time::ZERO,
            window: 0,
            written: [0; Kind::ALL.len()],
            suppressed: [0; Kind::ALL.len()],
            lost_batches: 0,
        })
    }

    /// Adds a line: an event and its fields, written as the inside of a JSON object.
    pub fn line(&mut self, now: Time, kind: Kind, event: &str, fields: fmt::Arguments<'_>) {
        self.begin_window(now);
        let index = kind as usize;
        if self.written[index] >= kind.limit() {
            self.suppressed[index] += 1;
            return;
        }
        self.written[index] += 1;
        self.push(now, event, fields);
    }

    /// Hands the batch to the writer when it is due.
    pub fn tick(&mut self, now: Time) {
        let is_due = now >= self.flushed + FLUSH_EVERY || self.batch.len() >= BATCH_LEN;
        if !self.batch.is_empty() && is_due {
            self.flush(now);
        }
    }

    /// Writes everything and ends the writer.
    pub fn close(mut self) {
        self.flush(self.flushed);
        self.tx = None;
        if let Some(writer) = self.writer.take() {
            // A writer that panicked has nothing left to write.
            let _ = writer.join();
        }
    }

    fn push(&mut self, now: Time, event: &str, fields: fmt::Arguments<'_>) {
        let ms = now.as_millis();
        // Writing to a string does not fail.
        let _ = writeln!(self.batch, r#"{{"up_ms":{ms},"event":"{event}",{fields}}}"#);
    }

    fn begin_window(&mut self, now: Time) {
        let window = (now.as_nanos() / WINDOW.as_nanos()) as u64;
        if window == self.window {
            return;
        }
        self.window = window;
        self.written = [0; Kind::ALL.len()];
        let suppressed = std::mem::take(&mut self.suppressed);
        for (kind, count) in Kind::ALL.iter().zip(suppressed) {
            if count > 0 {
                let name = kind.name();
                self.push(
                    now,
                    "lines_left_out",
                    format_args!(r#""kind":"{name}","count":{count}"#),
                );
            }
        }
        let lost = std::mem::take(&mut self.lost_batches);
        if lost > 0 {
            self.push(now, "batches_lost", format_args!(r#""count":{lost}"#));
        }
    }

    fn flush(&mut self, now: Time) {
        self.flushed = now;
        let Some(tx) = &self.tx else { return };
        let batch = std::mem::take(&mut self.batch).into_bytes();
        match tx.try_send(batch) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.lost_batches += 1,
        }
    }
}

fn write_all(rx: Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    for batch in rx {
        // Without standard output there is nowhere to report the failure.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
