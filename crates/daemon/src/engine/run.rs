use std::{collections::VecDeque, task::Waker, thread};

use rosemarybank_protocol::id::Time;
use rosemarybank_query::{interface::Event, settings::Settings};
use rosemarybank_ring::{Receiver, SendError, Sender, thread_waker};

use super::{
    coverage::CoverageCheck,
    driver::{Driver, Outgoing},
    report::{MetricsReporter, REPORT_INTERVAL},
};
use crate::{
    clock::Clock,
    lifecycle::{Phase, PhaseWatch},
    message::{ControlToEngine, EngineToControl, EngineToFront, EngineToUpstreams, FrontToEngine},
    telemetry::Recorder,
};

/// Maximum number of messages received from one ring per round.
const MAX_BATCH: usize = 64;

/// Rings of the engine thread.
pub struct EngineRings {
    /// From `front`.
    pub from_front: Receiver<FrontToEngine>,
    /// To `front`.
    pub to_front: Sender<EngineToFront>,
    /// From the upstreams threads.
    pub from_upstreams: Vec<Receiver<Event>>,
    /// To the upstreams threads.
    pub to_upstreams: Vec<Sender<EngineToUpstreams>>,
    /// From `control`.
    pub from_control: Receiver<ControlToEngine>,
    /// To `control`.
    pub to_control: Sender<EngineToControl>,
}

/// Settings and shared state of the engine thread.
pub struct EngineSetup {
    /// Clock of the daemon.
    pub clock: Clock,
    /// Settings of the engine.
    pub settings: Settings,
    /// Seed of the engine's random number generator.
    pub seed: u64,
    /// Sends records to telemetry.
    pub recorder: Recorder,
    /// Phases of the process.
    pub phase: PhaseWatch,
}

/// Runs the engine until the phase [`Phase::Exiting`].
pub fn run(setup: EngineSetup, rings: EngineRings) {
    let EngineSetup { clock, settings, seed, recorder, phase } = setup;
    let mut thread = EngineThread {
        driver: Driver::new(settings, seed, recorder.clone()),
        coverage: CoverageCheck::default(),
        out: Outgoing::default(),
        queues: SendQueues::new(rings.to_upstreams.len()),
        rings,
        clock,
    };
    let waker = thread_waker();
    let mut reporter = MetricsReporter::new(recorder);
    while phase.current() < Phase::Exiting {
        thread.register(&waker);
        let is_busy = thread.process_messages();
        if thread.coverage.run(thread.clock.now(), is_busy, &mut thread.driver) {
            thread.out.control.push(EngineToControl::AllKeysCovered);
            thread.flush();
        }
        reporter.run(thread.clock.now(), thread.driver.engine());
        if !is_busy {
            thread.sleep();
        }
    }
}

/// State of the engine thread.
struct EngineThread {
    driver: Driver,
    coverage: CoverageCheck,
    out: Outgoing,
    queues: SendQueues,
    rings: EngineRings,
    clock: Clock,
}

/// Messages that wait for space in their ring.
struct SendQueues {
    front: VecDeque<EngineToFront>,
    upstreams: Vec<VecDeque<EngineToUpstreams>>,
    control: VecDeque<EngineToControl>,
}

impl SendQueues {
    fn new(upstreams_threads: usize) -> SendQueues {
        let upstreams = (0..upstreams_threads).map(|_| VecDeque::new()).collect();
        SendQueues { front: VecDeque::new(), upstreams, control: VecDeque::new() }
    }

    fn push_upstreams(&mut self, message: EngineToUpstreams) {
        let threads = self.upstreams.len();
        match (message.thread_index(threads), message) {
            (Some(thread), message) => self.upstreams[thread].push_back(message),
            (None, EngineToUpstreams::Cancel { attempt }) => {
                for queue in &mut self.upstreams {
                    queue.push_back(EngineToUpstreams::Cancel { attempt });
                }
            }
            // Unreachable: only a cancellation goes to all threads.
            (None, message) => self.upstreams[0].push_back(message),
        }
    }
}

impl EngineThread {
    /// Registers the waker with all rings, so that messages and space in a ring wake the thread.
    fn register(&self, waker: &Waker) {
        self.rings.from_front.set_waker(waker);
        self.rings.from_upstreams.iter().for_each(|it| it.set_waker(waker));
        self.rings.from_control.set_waker(waker);
        self.rings.to_front.set_waker(waker);
        self.rings.to_upstreams.iter().for_each(|it| it.set_waker(waker));
        self.rings.to_control.set_waker(waker);
    }

    /// Processes up to [`MAX_BATCH`] messages of each ring and a due tick of the engine. Returns
    /// whether there were messages.
    fn process_messages(&mut self) -> bool {
        let EngineThread { driver, out, rings, clock, .. } = self;
        let mut received = 0;
        // Outcomes go first, because they free slots that new searches need.
        for ring in &mut rings.from_upstreams {
            for event in std::iter::from_fn(|| ring.try_recv()).take(MAX_BATCH) {
                driver.handle_event(clock.now(), event, out);
                received += 1;
            }
        }
        for message in std::iter::from_fn(|| rings.from_control.try_recv()).take(MAX_BATCH) {
            driver.handle_control(clock.now(), message, out);
            received += 1;
        }
        for message in std::iter::from_fn(|| rings.from_front.try_recv()).take(MAX_BATCH) {
            driver.handle_front(clock.now(), message, out);
            received += 1;
        }
        let now = clock.now();
        if driver.engine().next_wakeup().is_some_and(|at| at <= now) {
            driver.handle_event(now, Event::Tick, out);
        }
        self.flush();
        received > 0
    }

    /// Queues the outgoing messages and sends as many as the rings have space for.
    fn flush(&mut self) {
        let EngineThread { out, queues, rings, .. } = self;
        queues.front.extend(out.front.drain(..));
        out.upstreams.drain(..).for_each(|message| queues.push_upstreams(message));
        queues.control.extend(out.control.drain(..));
        send_queued(&mut rings.to_front, &mut queues.front);
        for (ring, queue) in rings.to_upstreams.iter_mut().zip(&mut queues.upstreams) {
            send_queued(ring, queue);
        }
        send_queued(&mut rings.to_control, &mut queues.control);
    }

    /// Parks the thread until the next wakeup or until a ring wakes it.
    fn sleep(&self) {
        let now = self.clock.now();
        let wakeups = [self.driver.engine().next_wakeup(), self.coverage.next_wakeup()];
        let until = wakeups.into_iter().flatten().min().unwrap_or(Time::MAX);
        let wait = until.saturating_sub(now).min(REPORT_INTERVAL);
        if !wait.is_zero() {
            thread::park_timeout(wait);
        }
    }
}

/// Sends queued items until the queue is empty or the ring is full.
fn send_queued<T>(ring: &mut Sender<T>, queue: &mut VecDeque<T>) {
    while let Some(item) = queue.pop_front() {
        match ring.try_send(item) {
            Ok(()) => {}
            Err(SendError::Full(item)) => {
                queue.push_front(item);
                return;
            }
            // The receiver is closed only at the end of a shutdown.
            Err(SendError::Closed(_)) => queue.clear(),
        }
    }
}
