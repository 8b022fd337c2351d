//! Test fixture: a search service with shards of equal width, a ledger, and replies of their
//! replicas.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::{net::SocketAddr, time::Duration};

use rosemarybank_protocol::{
    bundle::Canary,
    platform::{InstanceEntry, InstanceState},
    prelude::*,
    upstream::{Holding, Load, RangeCount, ReplicaState, ReplicaStatus, ShardReply},
};
use rosemarybank_query::{
    engine::Engine,
    interface::{Action, AttemptOutcome, Event, Refusal, SearchResult, Send, Submission},
    settings::Settings,
};

/// Number of records in each shard.
pub const RECORDS: u64 = 100;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Range of shard `index` of `count`.
pub fn shard(index: u64, count: u64) -> KeyRange {
    let width = u64::MAX / count;
    let last = if index + 1 == count { u64::MAX } else { (index + 1) * width - 1 };
    KeyRange::new(index * width, last).unwrap()
}

/// Name of a replica of a shard.
pub fn name(shard: u64, replica: u64) -> ReplicaId {
    format!("s{shard}-r{replica}").into()
}

pub fn addr(shard: u64, replica: u64) -> SocketAddr {
    SocketAddr::from(([127, 0, (shard % 250) as u8, (replica % 250) as u8], 7_000))
}

/// A bundle with the search service `records` of `shards` shards and the ledger `orders`.
pub fn bundle(shards: u64) -> Bundle {
    let shard_configs = (0..shards)
        .map(|it| ShardConfig { range: shard(it, shards), upstream: format!("u{it}").into() })
        .collect();
    let ledger = ShardConfig { range: KeyRange::ALL, upstream: "ledger".into() };
    let service = |name: &str, kind, shards| ServiceConfig {
        name: name.into(),
        kind,
        shards,
        timeout_ms: 100,
        coverage: CoverageMode::Partial,
        canary: Canary::Suspects,
    };
    let upstream = |name: String| UpstreamConfig { name: name.into(), slots: 2, connections: 25 };
    Bundle {
        format: 1,
        services: vec![
            service("records", ServiceKind::Search, shard_configs),
            service("orders", ServiceKind::Ledger, vec![ledger]),
        ],
        upstreams: (0..shards)
            .map(|it| upstream(format!("u{it}")))
            .chain([upstream("ledger".into())])
            .collect(),
        callers: Vec::new(),
        limits: Limits::default(),
    }
}

pub fn entry(shard: u64, replica: u64) -> InstanceEntry {
    InstanceEntry {
        replica: name(shard, replica),
        upstream: format!("u{shard}").into(),
        addr: addr(shard, replica),
        data_centre: format!("dc{replica}").into(),
        state: InstanceState::Live,
    }
}

pub fn ledger_entry(replica: u64) -> InstanceEntry {
    InstanceEntry {
        replica: format!("l{replica}").into(),
        upstream: "ledger".into(),
        addr: addr(249, replica),
        data_centre: "dc0".into(),
        state: InstanceState::Live,
    }
}

/// Status of a serving replica that holds `range` of each given snapshot.
pub fn status(replica: ReplicaId, range: KeyRange, snapshots: &[SnapshotId]) -> ReplicaStatus {
    let holding = |snapshot: &SnapshotId| Holding {
        service: "records".into(),
        snapshot: *snapshot,
        ranges: vec![RangeCount { range, records: RECORDS }],
    };
    ReplicaStatus {
        replica,
        incarnation: 1,
        state: ReplicaState::Serving,
        load: Load { in_flight: 0, queued: 0, slots: 2 },
        holdings: snapshots.iter().map(holding).collect(),
    }
}

pub fn submission(query: u64, deadline: Time) -> Submission {
    Submission {
        query,
        service: "records".into(),
        fingerprint: query,
        priority: Priority::Normal,
        coverage: CoverageMode::Partial,
        limit: 10,
        deadline,
    }
}

/// A reply that covers the requested range, with one hit at its first key.
pub fn reply(send: &Send) -> AttemptOutcome {
    AttemptOutcome::Reply(ShardReply {
        snapshot: send.snapshot,
        covered: vec![RangeCount { range: send.range, records: RECORDS }],
        hits: vec![Hit { key: send.range.first(), score: 1, record: "record".into() }],
        load: Load { in_flight: 0, queued: 0, slots: 2 },
    })
}

pub fn settings() -> Settings {
    Settings::builder().data_centre("dc0".into()).build()
}

/// An engine with `shards` shards of `replicas` replicas each, one per data centre, and three
/// replicas of the ledger. All search replicas hold snapshot 7.
pub fn engine(settings: Settings, shards: u64, replicas: u64) -> Engine {
    let mut engine = Engine::new(settings, 1);
    let all: Vec<_> =
        (0..shards).flat_map(|shard| (0..replicas).map(move |it| (shard, it))).collect();
    let list = all.iter().map(|(s, r)| entry(*s, *r)).chain((0..3).map(ledger_entry)).collect();
    feed(&mut engine, Duration::ZERO, Event::Configure(Box::new(bundle(shards))));
    feed(&mut engine, Duration::ZERO, Event::ReplicaList(list));
    for (s, r) in all {
        let status = status(name(s, r), shard(s, shards), &[7]);
        feed(&mut engine, Duration::ZERO, Event::ReplicaStatus(status));
    }
    engine
}

/// Handles an event and returns the resulting actions except polls.
pub fn feed(engine: &mut Engine, now: Time, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    engine.handle(now, event, &mut out);
    out.retain(|it| !matches!(it, Action::Poll { .. }));
    out
}

pub fn done(attempt: u64, outcome: AttemptOutcome) -> Event {
    Event::AttemptDone { attempt, outcome }
}

pub fn sends(actions: &[Action]) -> Vec<Send> {
    let send = |it: &Action| match it {
        Action::Send(send) => Some(send.clone()),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn answer(actions: &[Action]) -> Option<Result<SearchResult, Refusal>> {
    actions.iter().find_map(|it| match it {
        Action::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    })
}
