//! Measures the processor time of the decisions per shard request, and memory.
//!
//! Each query is submitted, every shard replies, and the answer is taken; the time of all calls of
//! the engine is divided by the number of shard requests. The time to build the events is not
//! counted. Memory is an estimate from the sizes and capacities of the tables.
//!
//! Run `cargo run --release -p rosemarybank-query --example decision_cost`.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rosemarybank_protocol::{
    bundle::Canary,
    platform::{InstanceEntry, InstanceState},
    prelude::*,
    upstream::{Holding, Load, RangeCount, ReplicaState, ReplicaStatus, ShardReply},
};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Event, Send, Submission},
    settings::Settings,
};

/// Shard requests per cell of the table; enough for about a second each.
const REQUESTS: usize = 400_000;

/// Runs per cell; the lowest and the middle are printed, because other work shares the machine.
const RUNS: usize = 5;

fn range(shard: usize, shards: usize) -> KeyRange {
    let width = u64::MAX / shards as u64;
    let last = if shard + 1 == shards { u64::MAX } else { (shard as u64 + 1) * width - 1 };
    KeyRange::new(shard as u64 * width, last).expect("the shards are in order")
}

fn bundle(shards: usize) -> Bundle {
    let upstream = |it: usize| -> UpstreamId { format!("u{it}").into() };
    let shard = |it| ShardConfig { range: range(it, shards), upstream: upstream(it) };
    let config = |it| UpstreamConfig { name: upstream(it), slots: 2, connections: 25 };
    Bundle {
        format: 1,
        services: vec![ServiceConfig {
            name: "records".into(),
            kind: ServiceKind::Search,
            shards: (0..shards).map(shard).collect(),
            timeout_ms: 400,
            coverage: CoverageMode::Partial,
            canary: Canary::Suspects,
        }],
        upstreams: (0..shards).map(config).collect(),
        callers: Vec::new(),
        limits: Limits::default(),
    }
}

fn engine(shards: usize, replicas: usize) -> Engine {
    let mut engine = Engine::new(Settings::builder().data_centre("dc0".into()).build(), 1);
    let mut out = Vec::new();
    engine.handle(Duration::ZERO, Event::Configure(Box::new(bundle(shards))), &mut out);
    let entry = |it: usize| InstanceEntry {
        replica: format!("replica-{it}").into(),
        upstream: format!("u{}", it % shards).into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: format!("dc{}", it / shards % 3).into(),
        state: InstanceState::Live,
    };
    let list = (0..replicas).map(entry).collect();
    engine.handle(Duration::ZERO, Event::ReplicaList(list), &mut out);
    for replica in 0..replicas {
        let ranges = vec![RangeCount { range: range(replica % shards, shards), records: 1_000 }];
        let status = ReplicaStatus {
            replica: format!("replica-{replica}").into(),
            incarnation: 1,
            state: ReplicaState::Serving,
            load: Load::default(),
            holdings: vec![Holding { service: "records".into(), snapshot: 1, ranges }],
        };
        engine.handle(Duration::ZERO, Event::ReplicaStatus(status), &mut out);
    }
    engine
}

fn submit(query: u64, now: Time) -> Event {
    Event::Submit(Submission {
        query,
        service: "records".into(),
        fingerprint: query,
        priority: Priority::Normal,
        coverage: CoverageMode::Partial,
        limit: 20,
        deadline: now + Duration::from_millis(400),
    })
}

fn reply(send: &Send) -> Event {
    let hit = |it| Hit { key: send.range.first() + it, score: it as u32, record: "r".into() };
    let outcome = AttemptOutcome::Reply(ShardReply {
        snapshot: send.snapshot,
        covered: vec![RangeCount { range: send.range, records: 1_000 }],
        hits: (0..5).map(hit).collect(),
        load: Load { in_flight: 1, queued: 0, slots: 2 },
    });
    Event::AttemptDone { attempt: send.attempt, outcome }
}

/// Nanoseconds per shard request.
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
        let event = submit(query, now);
        out.clear();
        let start = Instant::now();
        engine.handle(now, event, &mut out);
        spent += start.elapsed();
        let sent = out.iter().filter_map(|it| match it {
            Action::Send(send) => Some(send.clone()),
            _ => None,
        });
        let replies: Vec<_> = sent.map(|it| reply(&it)).collect();
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

/// Estimated bytes of the tables, and of a query in flight.
fn memory(shards: usize, replicas: usize) -> (usize, usize) {
    let mut engine = engine(shards, replicas);
    let now = Duration::from_secs(1);
    engine.handle(now, submit(1, now), &mut Vec::new());
    let memory = engine.memory();
    (memory.table_bytes, memory.query_bytes)
}

fn main() {
    println!("shards  replicas  lowest ns  middle ns  tables KB  KB per query in flight");
    for shards in [10, 50, 220] {
        for replicas in [30, 300, 3_900] {
            // A shard needs a replica.
            let replicas = replicas.max(shards);
            let mut runs: Vec<_> = (0..RUNS).map(|_| measure(shards, replicas)).collect();
            runs.sort_by(f64::total_cmp);
            let (tables, query) = memory(shards, replicas);
            println!(
                "{shards:6}  {replicas:8}  {:9.0}  {:9.0}  {:9.1}  {:8.1}",
                runs[0],
                runs[RUNS / 2],
                tables as f64 / 1e3,
                query as f64 / 1e3,
            );
        }
    }
}
