//! Runs short soaks of fixed seeds, and tests the checks.
//!
//! The seeds detect removed safeguards: seeds 3 and 4 fail if the tier repeats an order whose
//! response was lost, and seed 6 fails if it accepts replies to other requests. No seed has failed
//! because of a fault of the tier.
//!
//! Instances listen on ports outside the range of outgoing connections. Seed 3 once failed because
//! an outgoing connection of a concurrent run used the port of an instance before it started.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use rosemarybank_soak::{
    checks::{Observations, check},
    clients::{RequestKind, RequestRecord},
    plan::{Mode, RunSize},
    run::run,
};
use rosemarybank_standins::platform_mode::{Execution, Response};

/// Returns the path of the instance binary, which `cargo build --workspace --bins` creates.
fn binary() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let path = test.ancestors().nth(2).unwrap().join("rosemarybankd");
    assert!(path.exists(), "rosemarybankd is missing; run cargo build --workspace --bins");
    path
}

fn run_seed(seed: u64) {
    let length = Duration::from_secs(10);
    let size = RunSize { instances: 3, replicas: 15, length, mode: Mode::Usual };
    let dir = tempfile::TempDir::new().unwrap();
    let outcome = run(seed, size, dir.path(), &binary()).unwrap();
    // The logs are kept if a check fails.
    let logs = dir.keep();
    assert!(outcome.requests > 300, "{outcome:?}, logs: {}", logs.display());
    assert!(outcome.served * 10 > outcome.requests * 5, "{outcome:?}, logs: {}", logs.display());
    assert_eq!(outcome.violations, Vec::<String>::new(), "logs: {}", logs.display());
    std::fs::remove_dir_all(logs).unwrap();
}

/// Guards against repeating an order whose response was lost.
#[test]
fn seed_3_violates_no_guarantee() {
    run_seed(3);
}

/// Guards against repeating an order whose response was lost, under another fault schedule.
#[test]
fn seed_4_violates_no_guarantee() {
    run_seed(4);
}

/// Guards against accepting replies to other requests.
#[test]
fn seed_6_violates_no_guarantee() {
    run_seed(6);
}

/// Guards against replies without end that take the memory of an instance. Without a limit on their sum, a run
/// of 12 s took 92 MB of 64.
#[test]
fn seed_2_of_hostile_replicas_violates_no_guarantee() {
    let length = Duration::from_secs(10);
    let size = RunSize { instances: 3, replicas: 15, length, mode: Mode::Hostile };
    let dir = tempfile::TempDir::new().unwrap();
    let outcome = run(2, size, dir.path(), &binary()).unwrap();
    let logs = dir.keep();
    assert!(outcome.requests > 300, "{outcome:?}, logs: {}", logs.display());
    assert_eq!(outcome.violations, Vec::<String>::new(), "logs: {}", logs.display());
    std::fs::remove_dir_all(logs).unwrap();
}

fn record(id: &str, kind: RequestKind, status: u16, at: Instant) -> RequestRecord {
    let answer = Response { start_line: format!("HTTP/1.1 {status} S"), ..Response::default() };
    RequestRecord {
        id: id.to_owned(),
        kind,
        instance: 0,
        sent: at,
        ended: at + Duration::from_millis(5),
        answer: Some(answer),
        has_trailing_bytes: false,
    }
}

fn replica_run(request: &str, replica: &str, at: Instant) -> Execution {
    Execution {
        request_id: request.to_owned(),
        replica: replica.to_owned(),
        service: "orders".to_owned(),
        request_line: String::new(),
        started_at: at,
        started_after_drain: false,
        deadline_ms: 1_000,
    }
}

/// Guards against checks that never fail: each kind of violation is detected, and requests without
/// a violation are not reported.
#[test]
fn violations_are_detected() {
    let start = Instant::now();
    let violations = |modify: &dyn Fn(&mut Observations)| {
        let mut observations = Observations::default();
        modify(&mut observations);
        check(&observations).len()
    };
    let order = |it: &mut Observations, status| {
        it.records.push(record("o", RequestKind::Order, status, start));
    };
    assert_eq!(violations(&|it| order(it, 502)), 0);
    let twice = |it: &mut Observations| {
        order(it, 502);
        it.runs.extend([replica_run("o", "r1", start), replica_run("o", "r2", start)]);
    };
    assert_eq!(violations(&twice), 1, "an order that executed twice");
    let refused = |it: &mut Observations| {
        order(it, 503);
        it.runs.push(replica_run("o", "r1", start));
    };
    assert_eq!(violations(&refused), 1, "a rejection of an order that executed");
    let unproven =
        |it: &mut Observations| it.records.push(record("r", RequestKind::Read, 200, start));
    assert_eq!(violations(&unproven), 1, "a success without a server stamp");
    let drained = |it: &mut Observations| {
        it.runs.push(Execution { started_after_drain: true, ..replica_run("d", "r1", start) });
    };
    assert_eq!(violations(&drained), 1, "a request after a drain");
    let three_replicas = |it: &mut Observations| {
        it.records.push(record("m", RequestKind::Read, 502, start));
        it.runs.extend(["r1", "r2", "r3"].map(|replica| replica_run("m", replica, start)));
    };
    assert_eq!(violations(&three_replicas), 1, "more replicas than the route allows");
    let reverted = |it: &mut Observations| {
        it.records.push(record("v1", RequestKind::Version(2), 200, start));
        let mut late = record("v2", RequestKind::Version(2), 404, start + Duration::from_secs(1));
        late.kind = RequestKind::Version(2);
        it.records.push(late);
    };
    // The first record also lacks a server stamp, which is a second violation.
    assert_eq!(violations(&reverted), 2, "a version that was reverted");
    let within_budget = |it: &mut Observations| {
        for number in 0..60 {
            let id = format!("b{number}");
            it.runs.extend([replica_run(&id, "r1", start), replica_run(&id, "r2", start)]);
        }
        for number in 0..60 {
            it.records.push(record(&format!("b{number}"), RequestKind::Read, 502, start));
        }
    };
    assert_eq!(violations(&within_budget), 0, "60 extra sends for 60 requests are 12 + 50");
    let over_budget = |it: &mut Observations| {
        within_budget(it);
        for number in 0..60 {
            it.runs.push(replica_run(&format!("b{number}"), "r1", start));
        }
    };
    assert_eq!(violations(&over_budget), 1, "120 extra sends for 60 requests");
    let forced_stop = |it: &mut Observations| it.stops.push((0, start, false));
    assert_eq!(violations(&forced_stop), 1, "a forced stop");
}
