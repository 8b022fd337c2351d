//! Searches and load runs against stand-ins.

#[allow(dead_code)]
mod support;

use rosemarybank_bundle::{KeyPair, sign};
use rosemarybank_protocol::prelude::*;
use rosemarybank_standins::{
    platform::Store,
    upstream::{HoldingSpec, ReplicaSpec, ServiceTime},
};
use support::{
    Workspace,
    servers::{HalfCoverageEntry, platform, put_object, replicas, serve},
};

/// Two replicas for each shard of the service `order-desk` in the reference bundle.
fn order_desk() -> Vec<ReplicaSpec> {
    let bundle = rosemarybank_bundle::parse(include_str!("../../../config/bundle.yaml")).unwrap();
    let shards = bundle.services[0].shards.iter();
    shards.flat_map(|shard| (0..2).map(move |number| replica(shard, number))).collect()
}

fn replica(shard: &ShardConfig, number: u32) -> ReplicaSpec {
    ReplicaSpec {
        replica: format!("{}-{number}", shard.upstream).into(),
        upstream: shard.upstream.clone(),
        data_centre: "maun".into(),
        addr: ([127, 0, 0, 1], 0).into(),
        slots: 8,
        queue: 64,
        connections: 25,
        connect_ms: 0,
        cold_start_ms: 0,
        service_time: ServiceTime { median_us: 500, sigma: 0.0 },
        holdings: vec![HoldingSpec {
            service: "order-desk".into(),
            snapshot: 7,
            records: 1_000,
            ranges: vec![shard.range],
        }],
        ledgers: Vec::new(),
    }
}

/// Guards against a baseline that skips a shard, extra load that omits requests, and shares that do
/// not match the responses.
#[test]
fn entry_and_direct_rounds_are_measured() {
    let mut store = Store::default();
    let text = include_str!("../../../config/bundle.yaml");
    put_object(
        &mut store,
        "config/current",
        &sign(&KeyPair::generate("ops").unwrap(), 1, text).unwrap(),
    );
    for entry in replicas(order_desk()) {
        put_object(&mut store, &format!("instances/{}", entry.replica), &entry);
    }
    let (platform, entry) =
        (platform(store).to_string(), serve(HalfCoverageEntry::default()).to_string());
    let workspace = Workspace::new();
    let mut args = vec!["load", "order-desk", "--direct", "--rate", "100", "--seconds", "0.3"];
    args.extend(["--entry", &entry, "--admin", &entry, "--json"]);
    let out = workspace.run_at(&platform, &args);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let json: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    for round in 0..5 {
        let (entry_run, direct_run) = (&json["entry"][round], &json["direct"][round]);
        assert_eq!(entry_run["requests"], direct_run["requests"]);
        assert_eq!(
            (&entry_run["complete_share"], &entry_run["coverage_share"]),
            (&0.0.into(), &0.5.into())
        );
        assert_eq!(
            (&direct_run["complete_share"], &direct_run["coverage_share"]),
            (&1.0.into(), &1.0.into())
        );
        // The fake instance counts 3 upstream requests for each search over 2 shards.
        assert_eq!(
            (&entry_run["extra_load"], &direct_run["extra_load"]),
            (&1.5.into(), &1.0.into())
        );
        assert!(direct_run["p50_ms"].as_f64().unwrap() >= 0.5, "{direct_run}");
    }
}

/// Guards against a partial response that is displayed or reported to scripts as complete.
#[test]
fn a_partial_response_lists_the_missing_ranges() {
    let entry = serve(HalfCoverageEntry::default()).to_string();
    let out = Workspace::new().run(&["search", "order-desk", "oak", "--entry", &entry]);
    assert_eq!(out.status.code(), Some(1));
    insta::assert_snapshot!(String::from_utf8(out.stdout).unwrap());
}
