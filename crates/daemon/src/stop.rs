//! Shutdown of an instance: graceful until a deadline, forced after it.

use std::{
    sync::mpsc::{Receiver, RecvTimeoutError},
    time::{Duration, Instant},
};

use slog::{Logger, error, info, warn};

use crate::{
    daemon::{Daemon, Notice, ThreadKind},
    lifecycle::Phase,
    settings::StopSettings,
};

/// Time allowed for the threads to exit once every request is completed.
const THREAD_EXIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Every request in flight was completed.
    Graceful,
    /// The deadline passed or a second signal arrived; requests in flight were aborted.
    Forced,
    /// A thread exited without being told to, which is a bug.
    ThreadExited,
}

/// Waits for a request to stop, then shuts the instance down. Returns without a shutdown when a
/// thread exits before the request.
#[must_use]
pub fn run_until_stopped(
    daemon: &Daemon,
    stop: &StopSettings,
    notices: &Receiver<Notice>,
    log: &Logger,
) -> StopOutcome {
    match notices.recv() {
        Ok(Notice::StopRequested) => {}
        Ok(Notice::ThreadExited(thread)) => {
            error!(log, "a thread ended by itself"; "thread" => ?thread);
            return StopOutcome::ThreadExited;
        }
        Err(_) => return StopOutcome::ThreadExited,
    }
    info!(log, "the stop begins"; "in_flight" => daemon.in_flight.list().len());
    let outcome = Shutdown { daemon, notices, deadline: Instant::now() + stop.grace }.run(stop);
    match outcome {
        StopOutcome::Graceful => info!(log, "stopped"),
        StopOutcome::Forced | StopOutcome::ThreadExited => log_aborted_requests(daemon, log),
    }
    outcome
}

/// A shutdown in progress.
struct Shutdown<'a> {
    daemon: &'a Daemon,
    notices: &'a Receiver<Notice>,
    deadline: Instant,
}

impl Shutdown<'_> {
    fn run(&self, stop: &StopSettings) -> StopOutcome {
        let lifecycle = &self.daemon.lifecycle;
        lifecycle.advance_to(Phase::Unready);
        let unready_until = self.deadline.min(Instant::now() + stop.unready);
        if let Err(outcome) = self.wait_until(unready_until) {
            return outcome;
        }
        let steps =
            [(Phase::Draining, ThreadKind::Front), (Phase::FinishingActions, ThreadKind::Control)];
        for (phase, thread) in steps {
            lifecycle.advance_to(phase);
            if let Err(outcome) = self.wait_for_threads(vec![thread], self.deadline) {
                return outcome;
            }
        }
        lifecycle.advance_to(Phase::Exiting);
        let mut remaining = vec![ThreadKind::Engine, ThreadKind::Telemetry];
        remaining.resize(remaining.len() + self.daemon.upstreams_threads, ThreadKind::Upstreams);
        // Every request is completed, so the shutdown counts as graceful even if a slow client of
        // the admin port keeps the telemetry thread from exiting in time.
        let _ = self
            .wait_for_threads(remaining, self.deadline.min(Instant::now() + THREAD_EXIT_TIMEOUT));
        StopOutcome::Graceful
    }

    /// Waits until `until`. Fails when a second signal arrives or a thread exits.
    fn wait_until(&self, until: Instant) -> Result<(), StopOutcome> {
        match self.notices.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(Notice::StopRequested) => Err(StopOutcome::Forced),
            Ok(Notice::ThreadExited(_)) | Err(RecvTimeoutError::Disconnected) => {
                Err(StopOutcome::ThreadExited)
            }
        }
    }

    /// Waits until all `threads` have exited. Fails when the deadline passes, a second signal
    /// arrives or another thread exits.
    fn wait_for_threads(
        &self,
        mut threads: Vec<ThreadKind>,
        deadline: Instant,
    ) -> Result<(), StopOutcome> {
        while !threads.is_empty() {
            match self.notices.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(Notice::ThreadExited(thread)) if threads.contains(&thread) => {
                    let index = threads.iter().position(|it| *it == thread);
                    index.map(|index| threads.swap_remove(index));
                }
                Ok(Notice::StopRequested) | Err(RecvTimeoutError::Timeout) => {
                    return Err(StopOutcome::Forced);
                }
                Ok(Notice::ThreadExited(_)) | Err(RecvTimeoutError::Disconnected) => {
                    return Err(StopOutcome::ThreadExited);
                }
            }
        }
        Ok(())
    }
}

/// Logs each request that is still in flight, and their number.
fn log_aborted_requests(daemon: &Daemon, log: &Logger) {
    let now = daemon.clock.now();
    let requests = daemon.in_flight.list();
    for request in &requests {
        let age = now.saturating_sub(request.arrived_at);
        warn!(log, "a request is cut off"; "request" => %request.description,
            "trace_id" => %request.trace.trace_id_hex(),
            "age_ms" => u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    }
    warn!(log, "the stop was forced"; "cut_off" => requests.len());
}
