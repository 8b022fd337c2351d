//! Measures the processor time of the engine per shard request, and its memory.
//!
//! Each query is submitted, every shard replies, and the engine answers. The time of all calls of
//! the engine is divided by the number of shard requests. The time to build the events is not
//! counted. Memory is an estimate from the sizes and capacities of the tables.
//!
//! Run `cargo run --release -p rosemarybank-query --example decision_cost`.

mod fixture;

use std::time::{Duration, Instant};

use fixture::{SLOTS, configure, list, name, reply, status, submit};
use rosemarybank_protocol::{prelude::*, upstream::Load};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, Event, Send},
    settings::Settings,
};

/// Shard requests per measurement, which take about a second.
const REQUESTS: usize = 400_000;

/// Measurements per line. The lowest and the median are printed, because other processes share the
/// machine.
const RUNS: usize = 5;

fn engine(shards: usize, replicas: usize) -> Engine {
    let mut engine = Engine::new(Settings::builder().data_centre("dc0".into()).build(), 1);
    let statuses = (0..replicas).map(|it| status(it, shards, Load::default()));
    for event in [configure(shards), list(shards, replicas)].into_iter().chain(statuses) {
        engine.handle(Duration::ZERO, event, &mut Vec::new());
    }
    engine
}

fn search(query: u64, now: Time) -> Event {
    submit(query, Priority::Normal, now + Duration::from_millis(400))
}

/// Measures the nanoseconds per shard request.
fn measure(shards: usize, replicas: usize) -> f64 {
    let mut engine = engine(shards, replicas);
    let mut now = Duration::from_secs(1);
    let mut out = Vec::new();
    let mut spent = Duration::ZERO;
    let mut requests = 0;
    let mut query = 0;
    while requests < REQUESTS {
        query += 1;
        now += Duration::from_millis(1);
        let event = search(query, now);
        out.clear();
        let start = Instant::now();
        engine.handle(now, event, &mut out);
        spent += start.elapsed();
        let sent = out.iter().filter_map(|it| match it {
            Action::Send(send) => Some(send.clone()),
            _ => None,
        });
        let load = Load { in_flight: 1, queued: 0, slots: SLOTS };
        let done = |it: Send| Event::AttemptDone { attempt: it.attempt, outcome: reply(&it, load) };
        let replies: Vec<_> = sent.map(done).collect();
        requests += replies.len();
        now += Duration::from_millis(4);
        out.clear();
        let start = Instant::now();
        for event in replies {
            engine.handle(now, event, &mut out);
        }
        spent += start.elapsed();
        let answers = out.iter().filter(|it| matches!(it, Action::Answer { .. })).count();
        assert_eq!(answers, 1, "every query is answered");
    }
    spent.as_nanos() as f64 / requests as f64
}

/// Measures the microseconds of the first query after a replica began to drain, which rebuilds the
/// layout.
fn rebuild(shards: usize, replicas: usize) -> f64 {
    let mut engine = engine(shards, replicas);
    let now = Duration::from_secs(1);
    engine.handle(now, search(1, now), &mut Vec::new());
    engine.handle(now, Event::GoingAway { replica: name(0) }, &mut Vec::new());
    let event = search(2, now);
    let start = Instant::now();
    engine.handle(now, event, &mut Vec::new());
    start.elapsed().as_secs_f64() * 1e6
}

/// Estimated bytes of the tables, and of a query in flight.
fn memory(shards: usize, replicas: usize) -> (usize, usize) {
    let mut engine = engine(shards, replicas);
    let now = Duration::from_secs(1);
    engine.handle(now, search(1, now), &mut Vec::new());
    let memory = engine.memory();
    (memory.table_bytes, memory.query_bytes)
}

fn main() {
    println!(
        "shards  replicas  lowest ns  middle ns  rebuild us  tables KB  KB per query in flight"
    );
    for shards in [10, 50, 220] {
        for replicas in [30, 300, 3_900] {
            // Every shard needs a replica.
            let replicas = replicas.max(shards);
            let mut runs: Vec<_> = (0..RUNS).map(|_| measure(shards, replicas)).collect();
            runs.sort_by(f64::total_cmp);
            let mut rebuilds: Vec<_> = (0..RUNS).map(|_| rebuild(shards, replicas)).collect();
            rebuilds.sort_by(f64::total_cmp);
            let (tables, query) = memory(shards, replicas);
            println!(
                "{shards:6}  {replicas:8}  {:9.0}  {:9.0}  {:10.0}  {:9.1}  {:8.1}",
                runs[0],
                runs[RUNS / 2],
                rebuilds[RUNS / 2],
                tables as f64 / 1e3,
                query as f64 / 1e3,
            );
        }
    }
}
