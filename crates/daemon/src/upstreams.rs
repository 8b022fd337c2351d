//! The upstreams thread: sends the engine's attempts to replicas and reports their outcomes.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use compact_str::format_compact;
use rosemarybank_protocol::{
    prelude::*,
    upstream::{UpstreamAction, UpstreamError},
};
use rosemarybank_query::interface::{AttemptId, AttemptOutcome, Event};
use rosemarybank_ring::{Receiver, Sender};
use rosemarybank_transport::upstream::{
    CallOptions, CallOutcome, Pool, PoolSettings, ShardCall, Target,
};
use tokio::{
    sync::mpsc,
    task::{AbortHandle, spawn_local},
    time::Instant,
};

use crate::{
    clock::Clock,
    lifecycle::{Phase, PhaseWatch},
    message::{EngineToUpstreams, Targets},
    shared_sender::SharedSender,
    telemetry::{Counter, Hop, Record, Recorder, Span},
    trace::TraceContext,
};

/// Timeout of a status poll; shorter than the interval between two polls of a replica.
const STATUS_POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Rings of the upstreams thread.
pub struct UpstreamsRings {
    /// From the engine.
    pub from_engine: Receiver<EngineToUpstreams>,
    /// To the engine.
    pub to_engine: Sender<Event>,
    /// From control.
    pub from_control: Receiver<Targets>,
}

/// Settings and shared state of the upstreams thread.
pub struct UpstreamsSetup {
    /// Clock of the daemon.
    pub clock: Clock,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Memory in bytes for the replies in progress of this thread.
    pub reply_memory: usize,
    /// Local address to connect from; chosen by the operating system when absent.
    pub source: Option<IpAddr>,
    /// Sends records to telemetry.
    pub recorder: Recorder,
    /// Phases of the process.
    pub phase: PhaseWatch,
}

/// Sends attempts until the phase [`Phase::Exiting`]. Must run within a tokio `LocalSet`.
pub async fn run(setup: UpstreamsSetup, mut rings: UpstreamsRings) {
    let UpstreamsSetup { clock, connect_timeout, reply_memory, source, recorder, mut phase } =
        setup;
    let (notices_tx, mut notices) = mpsc::unbounded_channel();
    let settings = PoolSettings::builder()
        .connect_timeout(connect_timeout)
        .reply_memory(reply_memory)
        .maybe_source(source)
        .build();
    let to_engine = SharedSender::new(rings.to_engine);
    spawn_local(to_engine.clone().pump());
    let upstreams = Upstreams {
        pool: Pool::new(settings, notices_tx),
        to_engine,
        running: Rc::default(),
        poll_traffic: Rc::default(),
        clock,
        recorder,
    };
    loop {
        tokio::select! {
            Some(message) = rings.from_engine.recv() => upstreams.handle(message),
            Some(targets) = rings.from_control.recv() => upstreams.pool.set_targets(targets),
            Some(notice) = notices.recv() => {
                upstreams.to_engine.send(Event::GoingAway { replica: notice.replica });
            }
            () = phase.wait_for(Phase::Exiting) => return,
        }
    }
}

/// State of the upstreams thread. Clones share it.
#[derive(Clone)]
struct Upstreams {
    pool: Pool,
    to_engine: SharedSender<Event>,
    /// Tasks of the attempts in flight.
    running: Rc<RefCell<HashMap<AttemptId, AbortHandle>>>,
    poll_traffic: Rc<PollTraffic>,
    clock: Clock,
    recorder: Recorder,
}

/// An attempt: one request to one replica, without its content.
struct Attempt {
    id: AttemptId,
    target: Target,
    deadline: Time,
    trace: TraceContext,
}

impl Upstreams {
    fn handle(&self, message: EngineToUpstreams) {
        match message {
            EngineToUpstreams::Search { attempt: id, replica, addr, request, deadline, trace } => {
                let attempt = Attempt { id, target: target(replica, addr), deadline, trace };
                self.spawn(id, self.clone().search(attempt, request));
            }
            EngineToUpstreams::Action { attempt: id, replica, addr, action, deadline, trace } => {
                let attempt = Attempt { id, target: target(replica, addr), deadline, trace };
                self.spawn(id, self.clone().run_action(attempt, action));
            }
            EngineToUpstreams::Cancel { attempt } => {
                // Aborting the task drops its stream, which resets it.
                if let Some(task) = self.running.borrow_mut().remove(&attempt) {
                    task.abort();
                }
            }
            EngineToUpstreams::PollStatus { replica, addr } => {
                spawn_local(self.clone().poll_status(target(replica, addr)));
            }
        }
    }

    /// Starts the task of an attempt, which a cancellation can abort.
    fn spawn(&self, attempt: AttemptId, task: impl Future<Output = ()> + 'static) {
        let task = spawn_local(task).abort_handle();
        self.running.borrow_mut().insert(attempt, task);
    }

    async fn search(self, attempt: Attempt, request: ShardCall) {
        let mut span = self.span(&attempt);
        let outcome =
            self.pool.search(&attempt.target, &request, &self.call_options(&attempt)).await;
        self.finish(&attempt, &mut span, attempt_outcome(outcome, AttemptOutcome::Reply));
    }

    async fn run_action(self, attempt: Attempt, action: UpstreamAction) {
        let mut span = self.span(&attempt);
        let outcome =
            self.pool.run_action(&attempt.target, &action, &self.call_options(&attempt)).await;
        let outcome = attempt_outcome(outcome, |reply| AttemptOutcome::ActionReply(reply.result));
        self.finish(&attempt, &mut span, outcome);
    }

    async fn poll_status(self, target: Target) {
        let call =
            CallOptions { deadline: Instant::now() + STATUS_POLL_TIMEOUT, traceparent: None };
        self.to_engine.send(match self.pool.status(&target, &call).await {
            CallOutcome::Reply(status) => Event::ReplicaStatus(status),
            _ => Event::PollFailed { replica: target.replica },
        });
        self.poll_traffic.report(self.clock.now(), self.pool.status_bytes(), &self.recorder);
    }

    fn call_options(&self, attempt: &Attempt) -> CallOptions {
        let deadline = self.clock.instant_at(attempt.deadline).into();
        CallOptions { deadline, traceparent: Some(attempt.trace.header_value()) }
    }

    fn span(&self, attempt: &Attempt) -> AttemptSpan {
        AttemptSpan {
            recorder: self.recorder.clone(),
            clock: self.clock,
            trace: attempt.trace,
            replica: attempt.target.replica.clone(),
            start: self.clock.now(),
            outcome: "cancelled",
        }
    }

    /// Reports the outcome of an attempt to the engine.
    fn finish(&self, attempt: &Attempt, span: &mut AttemptSpan, outcome: AttemptOutcome) {
        span.outcome = outcome_label(&outcome);
        self.running.borrow_mut().remove(&attempt.id);
        self.to_engine.send(Event::AttemptDone { attempt: attempt.id, outcome });
    }
}

/// Reports the bytes of status polls to telemetry. Every replica is polled once per second and each
/// poll calls `report`, which records at most once per second and thread.
#[derive(Default)]
struct PollTraffic {
    reported: Cell<u64>,
    next_report: Cell<Time>,
}

impl PollTraffic {
    fn report(&self, now: Time, total: u64, recorder: &Recorder) {
        if now < self.next_report.get() {
            return;
        }
        self.next_report.set(now + Duration::from_secs(1));
        let reported = self.reported.replace(total);
        recorder.record(Record::Count(Counter::PollBytes, total - reported));
    }
}

/// Records the span of an attempt when dropped, also when the attempt's task is aborted.
struct AttemptSpan {
    recorder: Recorder,
    clock: Clock,
    trace: TraceContext,
    replica: ReplicaId,
    start: Time,
    outcome: &'static str,
}

impl Drop for AttemptSpan {
    fn drop(&mut self) {
        let detail = format_compact!("{} {}", self.replica, self.outcome);
        let (trace, start, end) = (self.trace, self.start, self.clock.now());
        self.recorder.record(Record::Span(Span { trace, hop: Hop::Attempt, start, end, detail }));
    }
}

/// Target for a replica that the engine chose. Its limit of one connection applies only until
/// control's list of targets contains the replica.
fn target(replica: ReplicaId, addr: SocketAddr) -> Target {
    Target { replica, addr, max_connections: 1 }
}

/// Converts the outcome of a call; `on_reply` converts the reply of a successful one.
fn attempt_outcome<T>(
    outcome: CallOutcome<T>,
    on_reply: impl FnOnce(T) -> AttemptOutcome,
) -> AttemptOutcome {
    match outcome {
        CallOutcome::Reply(it) => on_reply(it),
        CallOutcome::Refused(UpstreamError { error, snapshots }) => {
            AttemptOutcome::Refused { error, snapshots }
        }
        CallOutcome::NotSent => AttemptOutcome::NotSent,
        CallOutcome::Disconnected => AttemptOutcome::Disconnected,
        CallOutcome::TimedOut => AttemptOutcome::TimedOut,
    }
}

/// Label of an outcome in the detail of a span.
fn outcome_label(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Reply(_) | AttemptOutcome::ActionReply(_) => "replied",
        AttemptOutcome::Refused { .. } => "refused",
        AttemptOutcome::NotSent => "not sent",
        AttemptOutcome::Disconnected => "disconnected",
        AttemptOutcome::TimedOut => "timed out",
    }
}
