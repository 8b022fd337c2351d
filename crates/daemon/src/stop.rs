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
pub enum Ending {
    /// Every request in flight was finished.
    Graceful,
    /// Requests were cut off.
    Forced,
    /// A thread ended by itself, which is a fault.
    ThreadLost,
}

/// Waits for a signal and stops the instance.
#[must_use]
pub fn run_until_stopped(
    daemon: &Daemon,
    stop: &Stop,
    notices: &Receiver<Notice>,
    log: &Logger,
) -> Ending {
    match notices.recv() {
        Ok(Notice::StopAsked) => {}
        Ok(Notice::Ended(thread)) => {
            error!(log, "a thread ended by itself"; "thread" => ?thread);
            return Ending::ThreadLost;
        }
        Err(_) => return Ending::ThreadLost,
    }
    info!(log, "the stop begins"; "in_flight" => daemon.in_flight.list().len());
    let ending = Stopping { daemon, notices, by: Instant::now() + stop.grace }.run(stop);
    match ending {
        Ending::Graceful => info!(log, "stopped"),
        Ending::Forced | Ending::ThreadLost => log_cut_off(daemon, log),
    }
    ending
}

struct Stopping<'a> {
    daemon: &'a Daemon,
    notices: &'a Receiver<Notice>,
    by: Instant,
}

impl Stopping<'_> {
    fn run(&self, stop: &Stop) -> Ending {
        let lifecycle = &self.daemon.lifecycle;
        lifecycle.enter(Phase::Unready);
        let unready_until = self.by.min(Instant::now() + stop.unready);
        if let Err(ending) = self.pause(unready_until) {
            return ending;
        }
        let steps = [(Phase::Draining, ThreadKind::Front), (Phase::Finishing, ThreadKind::Control)];
        for (phase, thread) in steps {
            lifecycle.enter(phase);
            if let Err(ending) = self.await_end(vec![thread], self.by) {
                return ending;
            }
        }
        lifecycle.enter(Phase::Ending);
        let mut last = vec![ThreadKind::Engine, ThreadKind::Telemetry];
        last.resize(last.len() + self.daemon.upstreams_threads, ThreadKind::Upstreams);
        // Every request is finished, so a slow client of the admin port changes nothing.
        let _ = self.await_end(last, self.by.min(Instant::now() + END_TIMEOUT));
        Ending::Graceful
    }

    fn pause(&self, until: Instant) -> Result<(), Ending> {
        match self.notices.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Ok(Notice::StopAsked) => Err(Ending::Forced),
            Ok(Notice::Ended(_)) | Err(RecvTimeoutError::Disconnected) => Err(Ending::ThreadLost),
        }
    }

    fn await_end(&self, mut left: Vec<ThreadKind>, by: Instant) -> Result<(), Ending> {
        while !left.is_empty() {
            match self.notices.recv_timeout(by.saturating_duration_since(Instant::now())) {
                Ok(Notice::Ended(thread)) if left.contains(&thread) => {
                    let at = left.iter().position(|it| *it == thread);
                    at.map(|at| left.swap_remove(at));
                }
                Ok(Notice::StopAsked) | Err(RecvTimeoutError::Timeout) => {
                    return Err(Ending::Forced);
                }
                Ok(Notice::Ended(_)) | Err(RecvTimeoutError::Disconnected) => {
                    return Err(Ending::ThreadLost);
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
        let age = now.saturating_sub(request.since);
        warn!(log, "a request is cut off"; "request" => %request.what,
            "trace_id" => %request.trace.trace_id_text(),
            "age_ms" => u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    }
    warn!(log, "the stop was forced"; "cut_off" => requests.len());
}
