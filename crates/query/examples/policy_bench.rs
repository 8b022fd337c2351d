//! Compares the routing policy with the baseline in modelled time, with fixed seeds.
//!
//! Six engines in three data centres search ten shards of three replicas, one per data centre,
//! with two slots and a queue of eight each. Service times are lognormal around 4 ms; a route
//! takes 0.2 ms within a data centre and 4 ms between two, one way.
//!
//! Run `cargo run --release -p rosemarybank-query --example policy_bench [modelled seconds]
//! [part of a scenario's name]`.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use fastrand::Rng;
use rosemarybank_protocol::{
    bundle::Canary,
    platform::{InstanceEntry, InstanceState},
    prelude::*,
    upstream::{
        Holding, Load, RangeCount, ReplicaState, ReplicaStatus, ShardReply, UpstreamErrorKind,
    },
};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Event, Send, Submission},
    settings::{Policy, Settings},
};

const SHARDS: usize = 10;
const CENTRES: usize = 3;
const REPLICAS: usize = SHARDS * CENTRES;
const ENGINES: usize = 6;
const SLOTS: usize = 2;
const QUEUE: usize = 8;
const MEDIAN_US: f64 = 4_000.0;
const SIGMA: f64 = 0.3;
const DEADLINE: Duration = Duration::from_millis(400);
/// Queries per second at which all slots of a shard are busy: 6 slots, 4.18 ms on average.
const CAPACITY: f64 = 1_434.0;
const SEEDS: [u64; 3] = [1, 2, 3];

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    load: f64,
    stragglers: bool,
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

impl Job {
    /// The attempt's number, made unique over the engines.
    fn id(&self) -> u64 {
        global(self.engine, self.send.attempt)
    }
}

fn global(engine: usize, attempt: u64) -> u64 {
    attempt * ENGINES as u64 + engine as u64
}

#[derive(Default)]
struct Replica {
    running: HashMap<u64, Job>,
    waiting: VecDeque<Job>,
    slowdown: f64,
    is_lost: bool,
}

#[derive(Default)]
struct Tally {
    latencies_ms: Vec<f64>,
    by_class: [(u32, u32); 3],
    partial_at: Vec<f64>,
    lost_records: u64,
}

struct Bench {
    scenario: Scenario,
    rng: Rng,
    now: Duration,
    serial: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    steps: HashMap<u64, Step>,
    places: HashMap<u64, usize>,
    cancelled: HashSet<u64>,
    engines: Vec<(Engine, Duration)>,
    replicas: Vec<Replica>,
    queries: HashMap<u64, (Duration, Priority)>,
    tally: Tally,
    end: Duration,
}

fn name(replica: usize) -> ReplicaId {
    format!("{replica}").into()
}

fn range(shard: usize) -> KeyRange {
    let width = u64::MAX / SHARDS as u64;
    let last = if shard + 1 == SHARDS { u64::MAX } else { (shard as u64 + 1) * width - 1 };
    KeyRange::new(shard as u64 * width, last).expect("the shards are in order")
}

fn bundle() -> Bundle {
    let upstream = |it: usize| -> UpstreamId { format!("u{it}").into() };
    let shards = (0..SHARDS).map(|it| ShardConfig { range: range(it), upstream: upstream(it) });
    let upstreams = (0..SHARDS).map(|it| UpstreamConfig {
        name: upstream(it),
        slots: SLOTS as u32,
        connections: 25,
    });
    Bundle {
        format: 1,
        services: vec![ServiceConfig {
            name: "records".into(),
            kind: ServiceKind::Search,
            shards: shards.collect(),
            timeout_ms: 400,
            coverage: CoverageMode::Partial,
            canary: Canary::Suspects,
        }],
        upstreams: upstreams.collect(),
        callers: Vec::new(),
        limits: Limits::default(),
    }
}

impl Bench {
    fn new(scenario: Scenario, policy: Policy, seed: u64, seconds: u64) -> Bench {
        let addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let list: Vec<_> = (0..REPLICAS)
            .map(|it| InstanceEntry {
                replica: name(it),
                upstream: format!("u{}", it % SHARDS).into(),
                addr,
                data_centre: format!("dc{}", it / SHARDS).into(),
                state: InstanceState::Live,
            })
            .collect();
        let mut bench = Bench {
            scenario,
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            serial: 0,
            queue: BinaryHeap::new(),
            steps: HashMap::new(),
            places: HashMap::new(),
            cancelled: HashSet::new(),
            engines: Vec::new(),
            replicas: Vec::new(),
            queries: HashMap::new(),
            tally: Tally::default(),
            end: Duration::from_secs(seconds),
        };
        for replica in 0..REPLICAS {
            // Three of thirty, in three shards and three data centres.
            let is_slow = scenario.stragglers && replica % 11 == 0;
            let slowdown = if is_slow { 20.0 } else { 1.0 };
            bench.replicas.push(Replica { slowdown, ..Replica::default() });
        }
        for engine in 0..ENGINES {
            let data_centre = format!("dc{}", engine % CENTRES).into();
            let settings = Settings::builder().data_centre(data_centre).policy(policy).build();
            bench.engines.push((Engine::new(settings, seed * 100 + engine as u64), Duration::MAX));
            bench.feed(engine, Event::Configure(Box::new(bundle())));
            bench.feed(engine, Event::ReplicaList(list.clone()));
        }
        bench.after(Duration::from_millis(500), Step::Arrive);
        if scenario.loses_centre {
            bench.after(bench.end / 2, Step::LoseCentre);
        }
        bench
    }

    fn run(mut self) -> (Tally, f64) {
        while let Some(Reverse((at, index))) = self.queue.pop() {
            self.now = at;
            if let Some(step) = self.steps.remove(&index) {
                self.step(step);
            }
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
        self.steps.insert(self.serial, step);
        self.queue.push(Reverse((self.now + delay, self.serial)));
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
                let reply = self.reply(replica, &job.send);
                self.respond(job.engine, replica, job.send.attempt, reply);
            }
            Step::Outcome(engine, attempt, outcome) => {
                self.feed(engine, Event::AttemptDone { attempt, outcome });
            }
            Step::Cancel(replica, attempt) => {
                let it = &mut self.replicas[replica];
                let waiting = it.waiting.len();
                it.waiting.retain(|job| job.id() != attempt);
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
            Step::Status(engine, replica) => self.status(engine, replica),
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
        let submission = Submission {
            query,
            service: "records".into(),
            fingerprint: query,
            priority,
            coverage: CoverageMode::Partial,
            limit: 20,
            deadline: self.now + DEADLINE,
        };
        self.feed(engine, Event::Submit(submission));
    }

    fn request(&mut self, engine: usize, replica: usize, send: Send) {
        let attempt = send.attempt;
        let is_cancelled = self.cancelled.remove(&global(engine, attempt));
        let it = &mut self.replicas[replica];
        if is_cancelled {
            return;
        }
        if it.is_lost {
            self.respond(engine, replica, attempt, AttemptOutcome::NotSent);
        } else if it.waiting.len() >= QUEUE {
            let error = UpstreamErrorKind::Shed;
            let shed = AttemptOutcome::Refused { error, snapshots: Vec::new() };
            self.respond(engine, replica, attempt, shed);
        } else {
            it.waiting.push_back(Job { engine, send });
            self.start_next(replica);
        }
    }

    fn start_next(&mut self, replica: usize) {
        let it = &mut self.replicas[replica];
        if it.running.len() >= SLOTS {
            return;
        }
        let Some(job) = it.waiting.pop_front() else { return };
        let attempt = job.id();
        let slowdown = it.slowdown;
        it.running.insert(attempt, job);
        // Box-Muller.
        let normal = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt()
            * (std::f64::consts::TAU * self.rng.f64()).cos();
        let us = MEDIAN_US * (SIGMA * normal).exp() * slowdown;
        self.after(Duration::from_nanos((us * 1e3) as u64), Step::Served(replica, attempt));
    }

    fn load(&self, replica: usize) -> Load {
        let it = &self.replicas[replica];
        let (in_flight, queued) = (it.running.len() as u32, it.waiting.len() as u32);
        Load { in_flight, queued, slots: SLOTS as u32 }
    }

    fn reply(&self, replica: usize, send: &Send) -> AttemptOutcome {
        let covered = vec![RangeCount { range: send.range, records: 1_000 }];
        let load = self.load(replica);
        AttemptOutcome::Reply(ShardReply { snapshot: 1, covered, hits: Vec::new(), load })
    }

    fn respond(&mut self, engine: usize, replica: usize, attempt: u64, outcome: AttemptOutcome) {
        let delay = self.route(engine, replica);
        self.after(delay, Step::Outcome(engine, attempt, outcome));
    }

    fn status(&mut self, engine: usize, replica: usize) {
        if self.replicas[replica].is_lost {
            self.feed(engine, Event::PollFailed { replica: name(replica) });
            return;
        }
        let ranges = vec![RangeCount { range: range(replica % SHARDS), records: 1_000 }];
        let status = ReplicaStatus {
            replica: name(replica),
            incarnation: 1,
            state: ReplicaState::Serving,
            load: self.load(replica),
            holdings: vec![Holding { service: "records".into(), snapshot: 1, ranges }],
        };
        self.feed(engine, Event::ReplicaStatus(status));
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
                let counts = &mut self.tally.by_class[class as usize];
                counts.0 += 1;
                let is_complete = answer.as_ref().is_ok_and(|it| it.coverage.is_complete());
                if is_complete {
                    counts.1 += 1;
                    self.tally.latencies_ms.push((self.now - asked).as_secs_f64() * 1e3);
                } else if let Ok(result) = answer {
                    let missing = SHARDS as u64 * 1_000 - result.coverage.records_covered;
                    self.tally.lost_records += missing;
                    self.tally.partial_at.push(self.now.as_secs_f64());
                }
            }
            Action::SendAction(_) | Action::Dispatched { .. } | Action::Condemn { .. } => {}
        }
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(10);
    let only = std::env::args().nth(2).unwrap_or_default();
    let plain = |name, load| Scenario { name, load, stragglers: false, loses_centre: false };
    let scenarios = [
        plain("healthy 40%", 0.4),
        Scenario { stragglers: true, ..plain("stragglers 40%", 0.4) },
        plain("load 80%", 0.8),
        plain("load 95%", 0.95),
        plain("load 200%", 2.0),
        Scenario { loses_centre: true, ..plain("centre lost 40%", 0.4) },
    ];
    println!(
        "scenario         policy    seed   p50 ms   p99 ms  complete  critical   extra  goodput/s  lost records, span"
    );
    for scenario in scenarios.into_iter().filter(|it| it.name.contains(&only)) {
        for (seed, policy) in
            SEEDS.iter().flat_map(|it| [(*it, Policy::Baseline), (*it, Policy::Adaptive)])
        {
            let (mut tally, extra) = Bench::new(scenario, policy, seed, seconds).run();
            tally.latencies_ms.sort_by(f64::total_cmp);
            let at = |q: f64| {
                let latencies = &tally.latencies_ms;
                latencies.get((latencies.len() as f64 * q) as usize).copied().unwrap_or(f64::NAN)
            };
            let [critical, normal, low] = tally.by_class;
            let share = |it: (u32, u32)| 100.0 * f64::from(it.1) / f64::from(it.0.max(1));
            let all = (critical.0 + normal.0 + low.0, critical.1 + normal.1 + low.1);
            let span = match (tally.partial_at.first(), tally.partial_at.last()) {
                (Some(first), Some(last)) => format!("{first:.2}-{last:.2} s"),
                _ => "none".into(),
            };
            println!(
                "{:16} {:9} {seed:4} {:8.2} {:8.2} {:8.2}% {:8.2}% {:6.2}% {:10.0}  {} {span}",
                scenario.name,
                format!("{policy:?}"),
                at(0.5),
                at(0.99),
                share(all),
                share(critical),
                100.0 * extra,
                f64::from(all.1) / (seconds as f64 - 1.0),
                tally.lost_records,
            );
        }
    }
}
