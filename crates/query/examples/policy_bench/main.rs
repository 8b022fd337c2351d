//! Compares the routing policy with the baseline in modelled time, with fixed seeds.
//!
//! Six engines in three data centres search ten shards of three replicas, one per data centre,
//! with two slots and a queue of eight each. Service times are lognormal around 4 ms; a route
//! takes 0.2 ms within a data centre and 4 ms between two, one way.
//!
//! Run `cargo run --release -p rosemarybank-query --example policy_bench [modelled seconds]
//! [part of a scenario's name]`.

#[path = "../fixture/mod.rs"]
mod fixture;
mod tally;

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
use tally::Tally;

const SHARDS: usize = 10;
const CENTRES: usize = 3;
const REPLICAS: usize = SHARDS * CENTRES;
const ENGINES: usize = 6;
const QUEUE: usize = 8;
const MEDIAN_US: f64 = 4_000.0;
const SIGMA: f64 = 0.3;
const DEADLINE: Duration = Duration::from_millis(400);
/// Queries per second at which all slots of a shard are busy: 6 slots, 4.18 ms on average.
const CAPACITY: f64 = 1_434.0;
const SEEDS: [u64; 3] = [1, 2, 3];

/// What takes twenty times as long.
#[derive(Clone, Copy)]
enum Slow {
    Nothing,
    /// Three of thirty replicas, in three shards and three data centres.
    Stragglers,
    /// Two or three replicas, others every three seconds.
    Rotating,
    /// One request in a hundred, on any replica.
    Stalls,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    load: f64,
    slow: Slow,
    loses_centre: bool,
}

enum Step {
    Arrive,
    Request(usize, usize, Send),
    Served(usize, u64),
    Outcome(usize, u64, AttemptOutcome),
    Cancel(usize, u64),
    Wake(usize),
    Status(usize, usize),
    LoseCentre,
}

struct Job {
    engine: usize,
    send: Send,
}

/// Number of an attempt among those of all engines.
fn global(engine: usize, attempt: u64) -> u64 {
    attempt * ENGINES as u64 + engine as u64
}

#[derive(Default)]
struct Replica {
    running: BTreeMap<u64, Job>,
    waiting: VecDeque<Job>,
    is_lost: bool,
}

struct Bench {
    scenario: Scenario,
    rng: Rng,
    now: Duration,
    serial: u64,
    steps: BTreeMap<(Duration, u64), Step>,
    places: HashMap<u64, usize>,
    cancelled: HashSet<u64>,
    engines: Vec<(Engine, Duration)>,
    replicas: Vec<Replica>,
    queries: HashMap<u64, (Duration, Priority)>,
    tally: Tally,
    end: Duration,
}

impl Bench {
    fn new(scenario: Scenario, policy: Policy, seed: u64, seconds: u64) -> Bench {
        let mut bench = Bench {
            scenario,
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            serial: 0,
            steps: BTreeMap::new(),
            places: HashMap::new(),
            cancelled: HashSet::new(),
            engines: Vec::new(),
            replicas: Vec::new(),
            queries: HashMap::new(),
            tally: Tally::default(),
            end: Duration::from_secs(seconds),
        };
        bench.replicas.resize_with(REPLICAS, Replica::default);
        for engine in 0..ENGINES {
            let data_centre = format!("dc{}", engine % CENTRES).into();
            let settings = Settings::builder().data_centre(data_centre).policy(policy).build();
            bench.engines.push((Engine::new(settings, seed * 100 + engine as u64), Duration::MAX));
            bench.feed(engine, configure(SHARDS));
            bench.feed(engine, list(SHARDS, REPLICAS));
        }
        bench.after(Duration::from_millis(500), Step::Arrive);
        if scenario.loses_centre {
            bench.after(bench.end / 2, Step::LoseCentre);
        }
        bench
    }

    fn run(mut self) -> (Tally, f64) {
        while let Some(((at, _), step)) = self.steps.pop_first() {
            self.now = at;
            self.step(step);
        }
        let (mut first, mut extra) = (0, 0);
        for (engine, _) in &self.engines {
            let counters = engine.counters();
            first += counters.first_sends;
            extra += counters.retries + counters.hedges;
        }
        (self.tally, extra as f64 / first as f64)
    }

    fn after(&mut self, delay: Duration, step: Step) {
        self.serial += 1;
        self.steps.insert((self.now + delay, self.serial), step);
    }

    fn route(&mut self, engine: usize, replica: usize) -> Duration {
        let is_local = engine % CENTRES == replica / SHARDS;
        let base = if is_local { 200 } else { 4_000 };
        Duration::from_micros(base + self.rng.u64(..base / 10))
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Request(engine, replica, send) => self.request(engine, replica, send),
            Step::Served(replica, attempt) => {
                let Some(job) = self.replicas[replica].running.remove(&attempt) else { return };
                self.start_next(replica);
                let reply = reply(&job.send, self.load(replica));
                self.respond(job.engine, replica, job.send.attempt, reply);
            }
            Step::Outcome(engine, attempt, outcome) => {
                self.feed(engine, Event::AttemptDone { attempt, outcome });
            }
            Step::Cancel(replica, attempt) => {
                let it = &mut self.replicas[replica];
                let waiting = it.waiting.len();
                it.waiting.retain(|job| global(job.engine, job.send.attempt) != attempt);
                if it.running.remove(&attempt).is_some() {
                    self.start_next(replica);
                } else if it.waiting.len() == waiting {
                    self.cancelled.insert(attempt);
                }
            }
            Step::Wake(engine) => {
                self.engines[engine].1 = Duration::MAX;
                self.feed(engine, Event::Tick);
            }
            Step::Status(engine, replica) => {
                let event = match self.replicas[replica].is_lost {
                    true => Event::PollFailed { replica: name(replica) },
                    false => status(replica, SHARDS, self.load(replica)),
                };
                self.feed(engine, event);
            }
            Step::LoseCentre => self.lose_centre(),
        }
    }

    fn arrive(&mut self) {
        if self.now > self.end {
            return;
        }
        let rate = self.scenario.load * CAPACITY;
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.after(Duration::from_secs_f64(gap), Step::Arrive);
        let priority = Priority::ALL[[0, 0, 1, 1, 1, 1, 1, 2, 2, 2][self.rng.usize(..10)]];
        let query = self.serial;
        self.queries.insert(query, (self.now, priority));
        let engine = self.rng.usize(..ENGINES);
        self.feed(engine, submit(query, priority, self.now + DEADLINE));
    }

    fn request(&mut self, engine: usize, replica: usize, send: Send) {
        let attempt = send.attempt;
        if self.cancelled.remove(&global(engine, attempt)) {
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
        let attempt = global(job.engine, job.send.attempt);
        it.running.insert(attempt, job);
        let epoch = self.now.as_secs() as usize / 3;
        let is_slow = match self.scenario.slow {
            Slow::Nothing => false,
            Slow::Stragglers => replica.is_multiple_of(11),
            Slow::Rotating => replica % 11 == epoch % 11,
            Slow::Stalls => self.rng.u32(..100) == 0,
        };
        let slowdown = if is_slow { 20.0 } else { 1.0 };
        // Box-Muller.
        let normal = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt()
            * (std::f64::consts::TAU * self.rng.f64()).cos();
        let us = MEDIAN_US * (SIGMA * normal).exp() * slowdown;
        self.after(Duration::from_nanos((us * 1e3) as u64), Step::Served(replica, attempt));
    }

    fn load(&self, replica: usize) -> Load {
        let it = &self.replicas[replica];
        let (in_flight, queued) = (it.running.len() as u32, it.waiting.len() as u32);
        Load { in_flight, queued, slots: SLOTS }
    }

    fn respond(&mut self, engine: usize, replica: usize, attempt: u64, outcome: AttemptOutcome) {
        let delay = self.route(engine, replica);
        self.after(delay, Step::Outcome(engine, attempt, outcome));
    }

    fn lose_centre(&mut self) {
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
            self.act(engine, action);
        }
        let (machine, armed) = &mut self.engines[engine];
        if let Some(at) = machine.next_wakeup().filter(|it| it < armed && self.now <= self.end * 2)
        {
            *armed = at;
            self.after(at.saturating_sub(self.now), Step::Wake(engine));
        }
    }

    fn act(&mut self, engine: usize, action: Action) {
        match action {
            Action::Send(send) => {
                let replica: usize = send.replica.parse().expect("replicas are numbered");
                let delay = self.route(engine, replica);
                self.places.insert(global(engine, send.attempt), replica);
                self.after(delay, Step::Request(engine, replica, send));
            }
            Action::Cancel { attempt } => {
                let id = global(engine, attempt);
                let replica = self.places[&id];
                let delay = self.route(engine, replica);
                self.after(delay, Step::Cancel(replica, id));
            }
            Action::Poll { replica, .. } => {
                let replica = replica.parse().expect("replicas are numbered");
                let delay = 2 * self.route(engine, replica);
                self.after(delay, Step::Status(engine, replica));
            }
            Action::Answer { query, answer } => {
                let Some((asked, class)) = self.queries.remove(&query) else { return };
                // The first second fills the estimates.
                if asked < Duration::from_secs(1) {
                    return;
                }
                self.tally.add(self.now, asked, class, &answer);
            }
            Action::SendAction(_) | Action::Dispatched { .. } | Action::Quarantine { .. } => {}
        }
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(10);
    let only = std::env::args().nth(2).unwrap_or_default();
    let plain = |name, load| Scenario { name, load, slow: Slow::Nothing, loses_centre: false };
    let scenarios = [
        plain("healthy 40%", 0.4),
        Scenario { slow: Slow::Stragglers, ..plain("stragglers 40%", 0.4) },
        Scenario { slow: Slow::Rotating, ..plain("rotating 40%", 0.4) },
        Scenario { slow: Slow::Stalls, ..plain("stalls 40%", 0.4) },
        plain("load 80%", 0.8),
        plain("load 95%", 0.95),
        plain("load 200%", 2.0),
        Scenario { loses_centre: true, ..plain("centre lost 40%", 0.4) },
        Scenario { loses_centre: true, ..plain("centre lost 80%", 0.8) },
    ];
    println!("scenario         policy    seed  {}", tally::HEADER);
    for scenario in scenarios.into_iter().filter(|it| it.name.contains(&only)) {
        for (seed, policy) in
            SEEDS.iter().flat_map(|it| [(*it, Policy::Baseline), (*it, Policy::Adaptive)])
        {
            let (tally, extra) = Bench::new(scenario, policy, seed, seconds).run();
            let policy = format!("{policy:?}");
            let line = tally.line(extra, seconds);
            println!("{:16} {policy:9} {seed:4}  {line}", scenario.name);
        }
    }
}
