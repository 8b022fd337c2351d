//! Replicas that drain, vanish and come back, as callers see them.

mod common;

use common::{Bench, Instance, eventually};
use http::Method;
use rosemarybank_standins::upstream::faults::{Command, FaultOrder, StandingFaults};
use serde_json::Value;

fn search(bench: &Bench, instance: &Instance, trace: u128) -> (u16, Value) {
    let parent = format!("00-{trace:032x}-b7ad6b7169203331-01");
    let path = "/v1/services/stock/search";
    let headers = [("traceparent", parent.as_str())];
    let body = r#"{"query":"plum","timeout_ms":1000}"#;
    bench.ask(Method::POST, instance.daemon.callers_addr, path, &headers, body)
}

/// Replicas that the searches with these traces were sent to.
fn asked(bench: &Bench, instance: &Instance, traces: std::ops::Range<u128>) -> Vec<String> {
    let mut asked = Vec::new();
    for trace in traces {
        eventually("the spans are kept", || {
            let path = format!("/traces/{trace:032x}");
            let reply = bench.send(Method::GET, instance.daemon.admin_addr, &path, &[], "");
            let trace: Value = serde_json::from_slice(reply.body()).unwrap();
            let spans = trace["spans"].as_array().cloned().unwrap_or_default();
            let is_whole = spans.iter().any(|it| it["hop"] == "front");
            let attempts = spans.iter().filter(|it| it["hop"] == "attempt");
            asked.extend(attempts.filter_map(|it| it["detail"].as_str().map(str::to_owned)));
            is_whole
        });
    }
    asked
}

/// Guards against a leaving replica that still gets work, although the platform's list lags and
/// shows it as live.
#[test]
fn a_draining_replica_gets_no_new_work() {
    let bench = Bench::start();
    let instance = bench.instance();
    let order =
        FaultOrder { replicas: vec!["stock-low-1".into()], set: None, run: vec![Command::Drain] };
    bench.upstreams.carry_out(&order).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    for trace in 1..=30 {
        let (status, answer) = search(&bench, &instance, trace);
        assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
    }
    let asked = asked(&bench, &instance, 1..31);
    assert!(asked.iter().any(|it| it.starts_with("stock-low-2 ")), "{asked:?}");
    assert!(!asked.iter().any(|it| it.starts_with("stock-low-1 ")), "{asked:?}");
}

/// Guards against searches that fail because one replica of a shard is gone, and against a replica
/// that is not used again after it came back.
#[test]
fn a_lost_replica_is_replaced_and_used_again() {
    let bench = Bench::start();
    let instance = bench.instance();
    // One replica of each shard is enough to be ready; the other may not have been polled yet.
    let mut next = 1_000;
    let mut replied = std::collections::HashSet::new();
    eventually("all four replicas have replied", || {
        next += 1;
        search(&bench, &instance, next);
        let asked = asked(&bench, &instance, next..next + 1);
        replied.extend(asked.into_iter().filter(|it| it.ends_with(" replied")));
        replied.len() == 4
    });
    let down = StandingFaults { down: true, ..StandingFaults::default() };
    bench.upstream_faults(&["stock-high-1"], down);
    for trace in 1..=30 {
        let (status, answer) = search(&bench, &instance, trace);
        assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
    }
    bench.upstream_faults(&["stock-high-1"], StandingFaults::default());
    let mut next = 100;
    eventually("the replica is used again", || {
        next += 1;
        search(&bench, &instance, next);
        let asked = asked(&bench, &instance, next..next + 1);
        asked.iter().any(|it| it == "stock-high-1 replied")
    });
}

/// Guards against an answer that hides that a whole shard is gone, and a wish for completeness
/// that is not kept.
#[test]
fn a_lost_shard_is_named() {
    let bench = Bench::start();
    let instance = bench.instance();
    let down = StandingFaults { down: true, ..StandingFaults::default() };
    bench.upstream_faults(&["stock-high-1", "stock-high-2"], down);
    eventually("the missing range is named", || {
        let (status, answer) = search(&bench, &instance, 1);
        let missing = &answer["coverage"]["missing"];
        status == 200
            && answer["complete"] == false
            && answer["coverage"]["records_covered"] == 500
            && missing[0]["range"]["first"] == "8000000000000000"
            && missing[0]["range"]["last"] == "ffffffffffffffff"
    });
    let path = "/v1/services/stock/search";
    let body = r#"{"query":"plum","timeout_ms":500,"coverage":"complete"}"#;
    let (status, answer) = bench.ask(Method::POST, instance.daemon.callers_addr, path, &[], body);
    assert!(status >= 500, "{answer}");
    assert_ne!(answer["execution"], "unknown", "{answer}");
}
