//! Replicas that drain, fail and recover, as callers see them.

mod common;

use common::{Instance, TestEnv, eventually};
use http::Method;
use rosemarybank_standins::upstream::faults::{Command, FaultRequest, ReplicaFaults};
use serde_json::Value;

fn search(env: &TestEnv, instance: &Instance, trace: u128) -> (u16, Value) {
    let parent = format!("00-{trace:032x}-b7ad6b7169203331-01");
    let path = "/v1/services/stock/search";
    let headers = [("traceparent", parent.as_str())];
    let body = r#"{"query":"plum","timeout_ms":1000}"#;
    env.send_as_desk(Method::POST, instance.daemon.callers_addr, path, &headers, body)
}

/// Returns the descriptions of all attempts of the searches with these trace ids.
fn attempts(env: &TestEnv, instance: &Instance, traces: std::ops::Range<u128>) -> Vec<String> {
    let mut attempts = Vec::new();
    for trace in traces {
        eventually("the trace is complete", || {
            let path = format!("/traces/{trace:032x}");
            let reply = env.send(Method::GET, instance.daemon.admin_addr, &path, &[], "");
            let trace: Value = serde_json::from_slice(reply.body()).unwrap();
            let spans = trace["spans"].as_array().cloned().unwrap_or_default();
            let is_complete = spans.iter().any(|it| it["hop"] == "front");
            let attempt_spans = spans.iter().filter(|it| it["hop"] == "attempt");
            attempts
                .extend(attempt_spans.filter_map(|it| it["detail"].as_str().map(str::to_owned)));
            is_complete
        });
    }
    attempts
}

/// Guards against a draining replica that still gets requests, because the platform's list is out
/// of date and shows it as live.
#[test]
fn a_draining_replica_gets_no_new_requests() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let drain =
        FaultRequest { replicas: vec!["stock-low-1".into()], set: None, run: vec![Command::Drain] };
    env.upstreams.apply(&drain).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    for trace in 1..=30 {
        let (status, response) = search(&env, &instance, trace);
        assert_eq!((status, &response["complete"]), (200, &true.into()), "{response}");
    }
    let attempts = attempts(&env, &instance, 1..31);
    assert!(attempts.iter().any(|it| it.starts_with("stock-low-2 ")), "{attempts:?}");
    assert!(!attempts.iter().any(|it| it.starts_with("stock-low-1 ")), "{attempts:?}");
}

/// Guards against searches that fail because one replica of a shard is down, and against a replica
/// that is not used again after it has recovered.
#[test]
fn a_lost_replica_is_replaced_and_used_again() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    // An instance is ready with one replica per shard; the others may not have been polled yet.
    let mut next = 1_000;
    let mut replied = std::collections::HashSet::new();
    eventually("all four replicas have replied", || {
        next += 1;
        search(&env, &instance, next);
        let attempts = attempts(&env, &instance, next..next + 1);
        replied.extend(attempts.into_iter().filter(|it| it.ends_with(" replied")));
        replied.len() == 4
    });
    let down = ReplicaFaults { down: true, ..ReplicaFaults::default() };
    env.set_upstream_faults(&["stock-high-1"], down);
    for trace in 1..=30 {
        let (status, response) = search(&env, &instance, trace);
        assert_eq!((status, &response["complete"]), (200, &true.into()), "{response}");
    }
    env.set_upstream_faults(&["stock-high-1"], ReplicaFaults::default());
    let mut next = 100;
    eventually("the replica is used again", || {
        next += 1;
        search(&env, &instance, next);
        let attempts = attempts(&env, &instance, next..next + 1);
        attempts.iter().any(|it| it == "stock-high-1 replied")
    });
}

/// Guards against a response that doesn't report a lost shard, and against a partial response to a
/// search that requires complete coverage.
#[test]
fn a_lost_shard_is_reported_as_missing() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let down = ReplicaFaults { down: true, ..ReplicaFaults::default() };
    env.set_upstream_faults(&["stock-high-1", "stock-high-2"], down);
    eventually("the missing range is reported", || {
        let (status, response) = search(&env, &instance, 1);
        let missing = &response["coverage"]["missing"];
        status == 200
            && response["complete"] == false
            && response["coverage"]["records_covered"] == 500
            && missing[0]["range"]["first"] == "8000000000000000"
            && missing[0]["range"]["last"] == "ffffffffffffffff"
    });
    let path = "/v1/services/stock/search";
    let body = r#"{"query":"plum","timeout_ms":500,"coverage":"complete"}"#;
    let (status, response) =
        env.send_as_desk(Method::POST, instance.daemon.callers_addr, path, &[], body);
    assert!(status >= 500, "{response}");
    assert_ne!(response["execution"], "unknown", "{response}");
}
