//! The upstreams thread: sends the engine's attempts to replicas and reports how they end.

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
    upstream::{ShardRequest, UpstreamAction, UpstreamError},
};
use rosemarybank_query::interface::{AttemptId, AttemptOutcome, Event};
use rosemarybank_ring::{Receiver, Sender};
use rosemarybank_transport::upstream::{Call, Outcome, Pool, PoolSettings, Target};
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

/// Time allowed for a poll of a replica's status; shorter than the interval between two polls.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Rings of the upstreams thread.
pub struct UpstreamsRings {
    /// From the engine.
    pub from_engine: Receiver<EngineToUpstreams>,
    /// To the engine.
    pub to_engine: Sender<Event>,
    /// From control.
    pub from_control: Receiver<Targets>,
}

/// What the upstreams thread needs besides its rings.
pub struct UpstreamsSetup {
    /// The daemon's time.
    pub clock: Clock,
    /// Time allowed for opening a connection.
    pub connect_timeout: Duration,
    /// Local address to connect from; the system chooses when absent.
    pub source: Option<IpAddr>,
    /// Records for telemetry.
    pub recorder: Recorder,
    /// Phases of the process.
    pub phase: PhaseWatch,
}

/// Sends attempts until the phase [`Phase::Exiting`]. Must run within a tokio `LocalSet`.
pub async fn run(setup: UpstreamsSetup, mut rings: UpstreamsRings) {
    let UpstreamsSetup { clock, connect_timeout, source, recorder, mut phase } = setup;
    let (notices_tx, mut notices) = mpsc::unbounded_channel();
    let settings =
        PoolSettings::builder().connect_timeout(connect_timeout).maybe_source(source).build();
    let to_engine = SharedSender::new(rings.to_engine);
    spawn_local(to_engine.clone().pump());
    let upstreams = Upstreams {
        pool: Pool::new(settings, notices_tx),
        to_engine,
        running: Rc::default(),
        poll_bytes: Rc::default(),
        clock,
        recorder,
    };
    loop {
        tokio::select! {
            Some(message) = rings.from_engine.recv() => upstreams.take(message),
            Some(targets) = rings.from_control.recv() => upstreams.pool.set_targets(targets),
            Some(notice) = notices.recv() => {
                upstreams.to_engine.send(Event::GoingAway { replica: notice.replica });
            }
            () = phase.wait_for(Phase::Exiting) => return,
        }
    }
}

#[derive(Clone)]
struct Upstreams {
    pool: Pool,
    to_engine: SharedSender<Event>,
    running: Rc<RefCell<HashMap<AttemptId, AbortHandle>>>,
    poll_bytes: Rc<PollBytes>,
    clock: Clock,
    recorder: Recorder,
}

/// One request to one replica, apart from its content.
struct Sent {
    attempt: AttemptId,
    target: Target,
    deadline: Time,
    trace: TraceContext,
}

impl Upstreams {
    fn take(&self, message: EngineToUpstreams) {
        match message {
            EngineToUpstreams::Search { attempt, replica, addr, request, deadline, trace } => {
                let sent = Sent { attempt, target: target(replica, addr), deadline, trace };
                self.track(attempt, self.clone().search(sent, request));
            }
            EngineToUpstreams::Act { attempt, replica, addr, action, deadline, trace } => {
                let sent = Sent { attempt, target: target(replica, addr), deadline, trace };
                self.track(attempt, self.clone().act(sent, action));
            }
            EngineToUpstreams::Cancel { attempt } => {
                // Aborting the task drops its stream, which resets it.
                if let Some(task) = self.running.borrow_mut().remove(&attempt) {
                    task.abort();
                }
            }
            EngineToUpstreams::Poll { replica, addr } => {
                spawn_local(self.clone().poll(target(replica, addr)));
            }
        }
    }

    fn track(&self, attempt: AttemptId, task: impl Future<Output = ()> + 'static) {
        let task = spawn_local(task).abort_handle();
        self.running.borrow_mut().insert(attempt, task);
    }

    async fn search(self, sent: Sent, request: ShardRequest) {
        let mut span = self.span(&sent);
        let outcome = self.pool.search(&sent.target, &request, &self.call(&sent)).await;
        self.finish(&sent, &mut span, convert(outcome, AttemptOutcome::Reply));
    }

    async fn act(self, sent: Sent, action: UpstreamAction) {
        let mut span = self.span(&sent);
        let outcome = self.pool.act(&sent.target, &action, &self.call(&sent)).await;
        let outcome = convert(outcome, |reply| AttemptOutcome::ActionReply(reply.result));
        self.finish(&sent, &mut span, outcome);
    }

    async fn poll(self, target: Target) {
        let call = Call { deadline: Instant::now() + POLL_TIMEOUT, traceparent: None };
        self.to_engine.send(match self.pool.status(&target, &call).await {
            Outcome::Reply(status) => Event::ReplicaStatus(status),
            _ => Event::PollFailed { replica: target.replica },
        });
        self.poll_bytes.report(self.clock.now(), self.pool.status_bytes(), &self.recorder);
    }

    fn call(&self, sent: &Sent) -> Call {
        let deadline = self.clock.instant_at(sent.deadline).into();
        Call { deadline, traceparent: Some(sent.trace.header_value()) }
    }

    fn span(&self, sent: &Sent) -> AttemptSpan {
        AttemptSpan {
            recorder: self.recorder.clone(),
            clock: self.clock,
            trace: sent.trace,
            replica: sent.target.replica.clone(),
            start: self.clock.now(),
            end: "cancelled",
        }
    }

    fn finish(&self, sent: &Sent, span: &mut AttemptSpan, outcome: AttemptOutcome) {
        span.end = describe(&outcome);
        self.running.borrow_mut().remove(&sent.attempt);
        self.to_engine.send(Event::AttemptDone { attempt: sent.attempt, outcome });
    }
}

/// Reports the bytes of polls, at most once a second because one poll of each replica ends in
/// every second.
#[derive(Default)]
struct PollBytes {
    reported: Cell<u64>,
    next: Cell<Time>,
}

impl PollBytes {
    fn report(&self, now: Time, total: u64, recorder: &Recorder) {
        if now < self.next.get() {
            return;
        }
        self.next.set(now + Duration::from_secs(1));
        let reported = self.reported.replace(total);
        recorder.record(Record::Count(Counter::PollBytes, total - reported));
    }
}

/// Records the span of an attempt when it ends in whatever way.
struct AttemptSpan {
    recorder: Recorder,
    clock: Clock,
    trace: TraceContext,
    replica: ReplicaId,
    start: Time,
    end: &'static str,
}

impl Drop for AttemptSpan {
    fn drop(&mut self) {
        let detail = format_compact!("{} {}", self.replica, self.end);
        let (trace, start, end) = (self.trace, self.start, self.clock.now());
        self.recorder.record(Record::Span(Span { trace, hop: Hop::Attempt, start, end, detail }));
    }
}

/// A replica that the engine chose. Its share matters only when the list has not named it yet.
fn target(replica: ReplicaId, addr: SocketAddr) -> Target {
    Target { replica, addr, share: 1 }
}

fn convert<T>(outcome: Outcome<T>, reply: impl FnOnce(T) -> AttemptOutcome) -> AttemptOutcome {
    match outcome {
        Outcome::Reply(it) => reply(it),
        Outcome::Refused(UpstreamError { error, snapshots }) => {
            AttemptOutcome::Refused { error, snapshots }
        }
        Outcome::NotSent => AttemptOutcome::NotSent,
        Outcome::Disconnected => AttemptOutcome::Disconnected,
        Outcome::TimedOut => AttemptOutcome::TimedOut,
    }
}

fn describe(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Reply(_) | AttemptOutcome::ActionReply(_) => "replied",
        AttemptOutcome::Refused { .. } => "refused",
        AttemptOutcome::NotSent => "not sent",
        AttemptOutcome::Disconnected => "disconnected",
        AttemptOutcome::TimedOut => "timed out",
    }
}
