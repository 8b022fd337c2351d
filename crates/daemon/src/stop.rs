//! The stop of an instance: graceful within a bound, forced after it.

use std::{
    sync::mpsc::{Receiver, RecvTimeoutError},
    time::{Duration, Instant},
};

use slog::{Logger, error, info, warn};

use crate::{
    daemon::{Daemon, Notice, ThreadKind},
    lifecycle::Phase,
    settings::Stop,
};

/// Time allowed for the threads to end once every request is finished.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// How the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// Every request in flight was finished.
    Graceful,
    /// Requests were cut off.
    Forced,
    /// A thread ended by itself, which is a fault.
    ThreadExited,
}

/// Waits for a signal and stops the instance.
#[must_use]
pub fn run_until_stopped(
    daemon: &Daemon,
    stop: &Stop,
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
    let ending = Stopping { daemon, notices, by: Instant::now() + stop.grace }.run(stop);
    match ending {
        StopOutcome::Graceful => info!(log, "stopped"),
        StopOutcome::Forced | StopOutcome::ThreadExited => log_cut_off(daemon, log),
    }
    ending
}

struct Stopping<'a> {
    daemon: &'a Daemon,
    notices: &'a Receiver<Notice>,
    by: Instant,
}

impl Stopping<'_> {
    fn run(&self, stop: &Stop) -> StopOutcome {
        let lifecycle = &self.daemon.lifecycle;
        lifecycle.advance_to(Phase::Unready);
        let unready_until = self.by.min(Instant::now() + stop.unready);
        if let Err(ending) = self.pause(unready_until) {
            return ending;
        }
        let steps =
            [(Phase::Draining, ThreadKind::Front), (Phase::FinishingActions, ThreadKind::Control)];
        for (phase, thread) in steps {
            lifecycle.advance_to(phase);
            if let Err(ending) = self.await_end(vec![thread], self.by) {
                return ending;
            }
        }
        lifecycle.advance_to(Phase::Exiting);
        let mut last = vec![ThreadKind::Engine, ThreadKind::Telemetry];
        last.resize(last.len() + self.daemon.upstreams_threads, ThreadKind::Upstreams);
        // Every request is finished, so a slow client of the admin port changes nothing.
        let _ = self.await_end(last, self.by.min(Instant::now() + END_TIMEOUT));
        StopOutcome::Graceful
    }

    fn pause(&self, until: Instant) -> Result<(), StopOutcome> {
        match self.notices.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(Notice::StopRequested) => Err(StopOutcome::Forced),
            Ok(Notice::ThreadExited(_)) | Err(RecvTimeoutError::Disconnected) => {
                Err(StopOutcome::ThreadExited)
            }
        }
    }

    fn await_end(&self, mut left: Vec<ThreadKind>, by: Instant) -> Result<(), StopOutcome> {
        while !left.is_empty() {
            match self.notices.recv_timeout(by.saturating_duration_since(Instant::now())) {
                Ok(Notice::ThreadExited(thread)) if left.contains(&thread) => {
                    let at = left.iter().position(|it| *it == thread);
                    at.map(|at| left.swap_remove(at));
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

fn log_cut_off(daemon: &Daemon, log: &Logger) {
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
