use std::{collections::VecDeque, task::Waker, thread};

use rosemarybank_protocol::id::Time;
use rosemarybank_query::{interface::Event, settings::Settings};
use rosemarybank_ring::{Receiver, SendError, Sender, thread_waker};

use super::{
    driver::{Driver, Outgoing},
    report::{REPORT_INTERVAL, Report},
    served::ServedCheck,
};
use crate::{
    clock::Clock,
    lifecycle::{Phase, PhaseWatch},
    message::{ControlToEngine, EngineToControl, EngineToFront, EngineToUpstreams, FrontToEngine},
    telemetry::Recorder,
};

/// Messages taken from one ring before the next ring has its turn.
const BATCH: usize = 64;

/// Rings of the engine thread.
pub struct EngineRings {
    /// From the front.
    pub from_front: Receiver<FrontToEngine>,
    /// To the front.
    pub to_front: Sender<EngineToFront>,
    /// From the upstreams threads.
    pub from_upstreams: Vec<Receiver<Event>>,
    /// To the upstreams threads.
    pub to_upstreams: Vec<Sender<EngineToUpstreams>>,
    /// From control.
    pub from_control: Receiver<ControlToEngine>,
    /// To control.
    pub to_control: Sender<EngineToControl>,
}

/// What the engine thread needs besides its rings.
pub struct EngineSetup {
    /// The daemon's time.
    pub clock: Clock,
    /// Settings of the engine.
    pub settings: Settings,
    /// Seed of the engine's random choices.
    pub seed: u64,
    /// Records for telemetry.
    pub recorder: Recorder,
    /// Phases of the process.
    pub phase: PhaseWatch,
}

/// Runs the engine until the phase [`Phase::Exiting`].
pub fn run(setup: EngineSetup, rings: EngineRings) {
    let EngineSetup { clock, settings, seed, recorder, phase } = setup;
    let mut thread = EngineThread {
        driver: Driver::new(settings, seed, recorder.clone()),
        served: ServedCheck::default(),
        out: Outgoing::default(),
        held: Held::new(rings.to_upstreams.len()),
        rings,
        clock,
    };
    let waker = thread_waker();
    let mut report = Report::new(recorder);
    while phase.current() < Phase::Exiting {
        thread.register(&waker);
        let is_busy = thread.turn();
        if thread.served.run(thread.clock.now(), is_busy, &mut thread.driver) {
            thread.out.control.push(EngineToControl::Served);
            thread.flush();
        }
        report.run(thread.clock.now(), thread.driver.engine());
        if !is_busy {
            thread.sleep();
        }
    }
}

struct EngineThread {
    driver: Driver,
    served: ServedCheck,
    out: Outgoing,
    held: Held,
    rings: EngineRings,
    clock: Clock,
}

/// Messages that wait for space in a ring.
struct Held {
    front: VecDeque<EngineToFront>,
    upstreams: Vec<VecDeque<EngineToUpstreams>>,
    control: VecDeque<EngineToControl>,
}

impl Held {
    fn new(upstreams_threads: usize) -> Held {
        let upstreams = (0..upstreams_threads).map(|_| VecDeque::new()).collect();
        Held { front: VecDeque::new(), upstreams, control: VecDeque::new() }
    }

    fn push_upstreams(&mut self, message: EngineToUpstreams) {
        let threads = self.upstreams.len();
        match (message.thread(threads), message) {
            (Some(thread), message) => self.upstreams[thread].push_back(message),
            (None, EngineToUpstreams::Cancel { attempt }) => {
                for held in &mut self.upstreams {
                    held.push_back(EngineToUpstreams::Cancel { attempt });
                }
            }
            // Only a cancellation has no thread of its own.
            (None, message) => self.upstreams[0].push_back(message),
        }
    }
}

impl EngineThread {
    fn register(&self, waker: &Waker) {
        self.rings.from_front.set_waker(waker);
        self.rings.from_upstreams.iter().for_each(|it| it.set_waker(waker));
        self.rings.from_control.set_waker(waker);
        self.rings.to_front.set_waker(waker);
        self.rings.to_upstreams.iter().for_each(|it| it.set_waker(waker));
        self.rings.to_control.set_waker(waker);
    }

    /// Takes what the rings hold. `true` when there was something.
    fn turn(&mut self) -> bool {
        let EngineThread { driver, out, rings, clock, .. } = self;
        let mut taken = 0;
        // Outcomes go first, because they free slots that new searches need.
        for ring in &mut rings.from_upstreams {
            for event in std::iter::from_fn(|| ring.try_recv()).take(BATCH) {
                driver.event(clock.now(), event, out);
                taken += 1;
            }
        }
        for message in std::iter::from_fn(|| rings.from_control.try_recv()).take(BATCH) {
            driver.control(clock.now(), message, out);
            taken += 1;
        }
        for message in std::iter::from_fn(|| rings.from_front.try_recv()).take(BATCH) {
            driver.front(clock.now(), message, out);
            taken += 1;
        }
        let now = clock.now();
        if driver.engine().next_wakeup().is_some_and(|at| at <= now) {
            driver.event(now, Event::Tick, out);
        }
        self.flush();
        taken > 0
    }

    fn flush(&mut self) {
        let EngineThread { out, held, rings, .. } = self;
        held.front.extend(out.front.drain(..));
        out.upstreams.drain(..).for_each(|message| held.push_upstreams(message));
        held.control.extend(out.control.drain(..));
        push(&mut rings.to_front, &mut held.front);
        for (ring, held) in rings.to_upstreams.iter_mut().zip(&mut held.upstreams) {
            push(ring, held);
        }
        push(&mut rings.to_control, &mut held.control);
    }

    fn sleep(&self) {
        let now = self.clock.now();
        let wakeups = [self.driver.engine().next_wakeup(), self.served.next_wakeup()];
        let until = wakeups.into_iter().flatten().min().unwrap_or(Time::MAX);
        let wait = until.saturating_sub(now).min(REPORT_INTERVAL);
        if !wait.is_zero() {
            thread::park_timeout(wait);
        }
    }
}

fn push<T>(ring: &mut Sender<T>, held: &mut VecDeque<T>) {
    while let Some(item) = held.pop_front() {
        match ring.try_send(item) {
            Ok(()) => {}
            Err(SendError::Full(item)) => {
                held.push_front(item);
                return;
            }
            // The receiver is gone only at the end of a stop.
            Err(SendError::Closed(_)) => held.clear(),
        }
    }
}
