//! Compares the adaptive routing policy with the baseline policy in a simulation with fixed seeds.
//!
//! Six engines in three data centres search ten shards of three replicas, one per data centre, with
//! two slots and a queue of eight each. Service times are lognormal with a median of 4 ms; the
//! network latency is 0.2 ms within a data centre and 4 ms between two, one way.
//!
//! Run `cargo run --release -p rosemarybank-query --example policy_bench [simulated seconds] [part
//! of a scenario name]`.

#[path = "../fixture/mod.rs"]
mod fixture;
mod summary;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    time::Duration,
};

use fastrand::Rng;
use fixture::{SLOTS, configure, list, name, reply, status, submit};
use rosemarybank_protocol::{
    prelude::*,
    upstream::{Load, UpstreamErrorKind},
};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Event, Send},
    settings::{Policy, Settings},
};
use summary::Summary;

const SHARDS: usize = 10;
const DATA_CENTRES: usize = 3;
const REPLICAS: usize = SHARDS * DATA_CENTRES;
const ENGINES: usize = 6;
const QUEUE: usize = 8;
const MEDIAN_US: f64 = 4_000.0;
const SIGMA: f64 = 0.3;
const DEADLINE: Duration = Duration::from_millis(400);
/// Queries per second at which all slots of a shard are busy: 6 slots, 4.18 ms on average.
const CAPACITY: f64 = 1_434.0;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Which requests take twenty times as long.
#[derive(Clone, Copy)]
enum SlowRequests {
    None,
    /// Those on three of thirty replicas, in three shards and three data centres.
    Stragglers,
    /// Those on two or three replicas, which change every three seconds.
    Rotating,
    /// One in a hundred, on any replica.
    Stalls,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    load: f64,
    slow_requests: SlowRequests,
    loses_data_centre: bool,
}

enum SimEvent {
    Arrival,
    Request(usize, usize, Send),
    Completed(usize, u64),
    Outcome(usize, u64, AttemptOutcome),
    Cancel(usize, u64),
    Wake(usize),
    Status(usize, usize),
    LoseDataCentre,
}

struct Job {
    engine: usize,
    send: Send,
}

/// Id of an attempt that is unique across all engines.
fn global_attempt_id(engine: usize, attempt: u64) -> u64 {
    attempt * ENGINES as u64 + engine as u64
}

#[derive(Default)]
struct Replica {
    running: BTreeMap<u64, Job>,
    waiting: VecDeque<Job>,
    is_lost: bool,
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now: Duration,
    serial: u64,
    events: BTreeMap<(Duration, u64), SimEvent>,
    attempt_replicas: HashMap<u64, usize>,
    cancelled: HashSet<u64>,
    engines: Vec<(Engine, Duration)>,
    replicas: Vec<Replica>,
    queries: HashMap<u64, (Duration, Priority)>,
    summary: Summary,
    end: Duration,
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy, seed: u64, seconds: u64) -> Simulation {
        let mut simulation = Simulation {
            scenario,
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            serial: 0,
            events: BTreeMap::new(),
            attempt_replicas: HashMap::new(),
            cancelled: HashSet::new(),
            engines: Vec::new(),
            replicas: Vec::new(),
            queries: HashMap::new(),
            summary: Summary::default(),
            end: Duration::from_secs(seconds),
        };
        simulation.replicas.resize_with(REPLICAS, Replica::default);
        for engine in 0..ENGINES {
            let data_centre = format!("dc{}", engine % DATA_CENTRES).into();
            let settings = Settings::builder().data_centre(data_centre).policy(policy).build();
            simulation
                .engines
                .push((Engine::new(settings, seed * 100 + engine as u64), Duration::MAX));
            simulation.feed(engine, configure(SHARDS));
            simulation.feed(engine, list(SHARDS, REPLICAS));
        }
        simulation.schedule(Duration::from_millis(500), SimEvent::Arrival);
        if scenario.loses_data_centre {
            simulation.schedule(simulation.end / 2, SimEvent::LoseDataCentre);
        }
        simulation
    }

    fn run(mut self) -> (Summary, f64) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.handle_event(event);
        }
        let (mut first, mut extra) = (0, 0);
        for (engine, _) in &self.engines {
            let counters = engine.counters();
            first += counters.first_sends;
            extra += counters.retries + counters.hedges;
        }
        (self.summary, extra as f64 / first as f64)
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    fn network_latency(&mut self, engine: usize, replica: usize) -> Duration {
        let is_local = engine % DATA_CENTRES == replica / SHARDS;
        let base = if is_local { 200 } else { 4_000 };
        Duration::from_micros(base + self.rng.u64(..base / 10))
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.submit_query(),
            SimEvent::Request(engine, replica, send) => self.request(engine, replica, send),
            SimEvent::Completed(replica, attempt) => {
                let Some(job) = self.replicas[replica].running.remove(&attempt) else { return };
                self.start_next(replica);
                let reply = reply(&job.send, self.load(replica));
                self.respond(job.engine, replica, job.send.attempt, reply);
            }
            SimEvent::Outcome(engine, attempt, outcome) => {
                self.feed(engine, Event::AttemptDone { attempt, outcome });
            }
            SimEvent::Cancel(replica, attempt) => {
                let it = &mut self.replicas[replica];
                let waiting = it.waiting.len();
                it.waiting.retain(|job| global_attempt_id(job.engine, job.send.attempt) != attempt);
                if it.running.remove(&attempt).is_some() {
                    self.start_next(replica);
                } else if it.waiting.len() == waiting {
                    self.cancelled.insert(attempt);
                }
            }
            SimEvent::Wake(engine) => {
                self.engines[engine].1 = Duration::MAX;
                self.feed(engine, Event::Tick);
            }
            SimEvent::Status(engine, replica) => {
                let event = match self.replicas[replica].is_lost {
                    true => Event::PollFailed { replica: name(replica) },
                    false => status(replica, SHARDS, self.load(replica)),
                };
                self.feed(engine, event);
            }
            SimEvent::LoseDataCentre => self.lose_data_centre(),
        }
    }

    fn submit_query(&mut self) {
        if self.now > self.end {
            return;
        }
        let rate = self.scenario.load * CAPACITY;
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), SimEvent::Arrival);
        let priority = Priority::ALL[[0, 0, 1, 1, 1, 1, 1, 2, 2, 2][self.rng.usize(..10)]];
        let query = self.serial;
        self.queries.insert(query, (self.now, priority));
        let engine = self.rng.usize(..ENGINES);
        self.feed(engine, submit(query, priority, self.now + DEADLINE));
    }

    fn request(&mut self, engine: usize, replica: usize, send: Send) {
        let attempt = send.attempt;
        if self.cancelled.remove(&global_attempt_id(engine, attempt)) {
            return;
        }
        let it = &mut self.replicas[replica];
        let outcome = if it.is_lost {
            AttemptOutcome::NotSent
        } else if it.waiting.len() >= QUEUE {
            AttemptOutcome::Refused { error: UpstreamErrorKind::Shed, snapshots: Vec::new() }
        } else {
            it.waiting.push_back(Job { engine, send });
            return self.start_next(replica);
        };
        self.respond(engine, replica, attempt, outcome);
    }

    fn start_next(&mut self, replica: usize) {
        let it = &mut self.replicas[replica];
        if it.running.len() >= SLOTS as usize {
            return;
        }
        let Some(job) = it.waiting.pop_front() else { return };
        let attempt = global_attempt_id(job.engine, job.send.attempt);
        it.running.insert(attempt, job);
        let period = self.now.as_secs() as usize / 3;
        let is_slow = match self.scenario.slow_requests {
            SlowRequests::None => false,
            SlowRequests::Stragglers => replica.is_multiple_of(11),
            SlowRequests::Rotating => replica % 11 == period % 11,
            SlowRequests::Stalls => self.rng.u32(..100) == 0,
        };
        let slowdown = if is_slow { 20.0 } else { 1.0 };
        // Normally distributed by the Box-Muller transform.
        let normal = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt()
            * (std::f64::consts::TAU * self.rng.f64()).cos();
        let us = MEDIAN_US * (SIGMA * normal).exp() * slowdown;
        self.schedule(
            Duration::from_nanos((us * 1e3) as u64),
            SimEvent::Completed(replica, attempt),
        );
    }

    fn load(&self, replica: usize) -> Load {
        let it = &self.replicas[replica];
        let (in_flight, queued) = (it.running.len() as u32, it.waiting.len() as u32);
        Load { in_flight, queued, slots: SLOTS }
    }

    fn respond(&mut self, engine: usize, replica: usize, attempt: u64, outcome: AttemptOutcome) {
        let delay = self.network_latency(engine, replica);
        self.schedule(delay, SimEvent::Outcome(engine, attempt, outcome));
    }

    fn lose_data_centre(&mut self) {
        for replica in 0..SHARDS {
            let it = &mut self.replicas[replica];
            it.is_lost = true;
            let waiting = std::mem::take(&mut it.waiting);
            let running = std::mem::take(&mut it.running);
            for job in running.into_values().chain(waiting) {
                let attempt = job.send.attempt;
                self.respond(job.engine, replica, attempt, AttemptOutcome::Disconnected);
            }
        }
    }

    fn feed(&mut self, engine: usize, event: Event) {
        let mut out = Vec::new();
        self.engines[engine].0.handle(self.now, event, &mut out);
        for action in out {
            self.perform(engine, action);
        }
        let (engine_state, armed_at) = &mut self.engines[engine];
        if let Some(at) =
            engine_state.next_wakeup().filter(|it| it < armed_at && self.now <= self.end * 2)
        {
            *armed_at = at;
            self.schedule(at.saturating_sub(self.now), SimEvent::Wake(engine));
        }
    }

    fn perform(&mut self, engine: usize, action: Action) {
        match action {
            Action::Send(send) => {
                let replica: usize = send.replica.parse().expect("replicas are numbered");
                let delay = self.network_latency(engine, replica);
                self.attempt_replicas.insert(global_attempt_id(engine, send.attempt), replica);
                self.schedule(delay, SimEvent::Request(engine, replica, send));
            }
            Action::Cancel { attempt } => {
                let id = global_attempt_id(engine, attempt);
                let replica = self.attempt_replicas[&id];
                let delay = self.network_latency(engine, replica);
                self.schedule(delay, SimEvent::Cancel(replica, id));
            }
            Action::Poll { replica, .. } => {
                let replica = replica.parse().expect("replicas are numbered");
                let delay = 2 * self.network_latency(engine, replica);
                self.schedule(delay, SimEvent::Status(engine, replica));
            }
            Action::Answer { query, answer } => {
                let Some((submitted_at, class)) = self.queries.remove(&query) else { return };
                // The first second is left out, because the engines have no estimates yet.
                if submitted_at < Duration::from_secs(1) {
                    return;
                }
                self.summary.add(self.now, submitted_at, class, &answer);
            }
            Action::SendAction(_) | Action::Dispatched { .. } | Action::Quarantine { .. } => {}
        }
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(10);
    let only = std::env::args().nth(2).unwrap_or_default();
    let healthy = |name, load| Scenario {
        name,
        load,
        slow_requests: SlowRequests::None,
        loses_data_centre: false,
    };
    let scenarios = [
        healthy("healthy 40%", 0.4),
        Scenario { slow_requests: SlowRequests::Stragglers, ..healthy("stragglers 40%", 0.4) },
        Scenario { slow_requests: SlowRequests::Rotating, ..healthy("rotating 40%", 0.4) },
        Scenario { slow_requests: SlowRequests::Stalls, ..healthy("stalls 40%", 0.4) },
        healthy("load 80%", 0.8),
        healthy("load 95%", 0.95),
        healthy("load 200%", 2.0),
        Scenario { loses_data_centre: true, ..healthy("centre lost 40%", 0.4) },
        Scenario { loses_data_centre: true, ..healthy("centre lost 80%", 0.8) },
    ];
    println!("scenario         policy    seed  {}", summary::HEADER);
    for scenario in scenarios.into_iter().filter(|it| it.name.contains(&only)) {
        for (seed, policy) in
            SEEDS.iter().flat_map(|it| [(*it, Policy::Baseline), (*it, Policy::Adaptive)])
        {
            let (summary, extra) = Simulation::new(scenario, policy, seed, seconds).run();
            let policy = format!("{policy:?}");
            let line = summary.line(extra, seconds);
            println!("{:16} {policy:9} {seed:4}  {line}", scenario.name);
        }
    }
}
