//! Short runs of fixed seeds, and the checks themselves.
//!
//! Seeds that ever failed, with the cause: none so far with the program as it is. Seeds 3, 4 and 6
//! find programs whose guards were removed: 3 and 4 one that repeats orders whose answer was lost,
//! 6 one that takes replies to other requests. Seed 3 failed once beside another run because an outgoing
//! connection had taken the port of a machine before it started; ports now lie outside that range.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use rosemarybank_soak::{
    checks::{Evidence, check},
    clients::{Asked, Record},
    plan::Sizes,
    run::run,
};
use rosemarybank_standins::platform_mode::{Execution, Response};

/// Program that `cargo build --workspace --bins` has put beside the test.
fn binary() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let path = test.ancestors().nth(2).unwrap().join("rosemarybankd");
    assert!(path.exists(), "build it first: cargo build --workspace --bins");
    path
}

fn play(seed: u64) {
    let sizes = Sizes { machines: 3, replicas: 15, length: Duration::from_secs(10) };
    let dir = tempfile::TempDir::new().unwrap();
    let outcome = run(seed, sizes, dir.path(), &binary()).unwrap();
    assert!(outcome.requests > 300, "{outcome:?}");
    assert!(outcome.served * 10 > outcome.requests * 5, "{outcome:?}");
    assert_eq!(outcome.faults, Vec::<String>::new(), "logs: {}", dir.keep().display());
}

#[test]
fn seed_3_keeps_all_promises() {
    play(3);
}

#[test]
fn seed_4_keeps_all_promises() {
    play(4);
}

#[test]
fn seed_6_keeps_all_promises() {
    play(6);
}

fn record(id: &str, asked: Asked, status: u16, at: Instant) -> Record {
    let answer = Response { start_line: format!("HTTP/1.1 {status} S"), ..Response::default() };
    Record {
        id: id.to_owned(),
        asked,
        machine: 0,
        sent: at,
        ended: at + Duration::from_millis(5),
        answer: Some(answer),
        has_more: false,
    }
}

fn ran(request: &str, replica: &str, at: Instant) -> Execution {
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

/// Guards against checks that cannot fail: each kind of evidence is found, and its innocent
/// counterpart is not.
#[test]
fn broken_promises_are_found() {
    let start = Instant::now();
    let found = |change: &dyn Fn(&mut Evidence)| {
        let mut evidence = Evidence::default();
        change(&mut evidence);
        check(&evidence).len()
    };
    let order = |it: &mut Evidence, status| {
        it.records.push(record("o", Asked::Order, status, start));
    };
    assert_eq!(found(&|it| order(it, 502)), 0);
    let twice = |it: &mut Evidence| {
        order(it, 502);
        it.runs.extend([ran("o", "r1", start), ran("o", "r2", start)]);
    };
    assert_eq!(found(&twice), 1, "an order that ran twice");
    let refused = |it: &mut Evidence| {
        order(it, 503);
        it.runs.push(ran("o", "r1", start));
    };
    assert_eq!(found(&refused), 1, "a refusal that is not true");
    let foreign = |it: &mut Evidence| it.records.push(record("r", Asked::Read, 200, start));
    assert_eq!(found(&foreign), 1, "a success without its proof");
    let drained = |it: &mut Evidence| {
        it.runs.push(Execution { started_after_drain: true, ..ran("d", "r1", start) });
    };
    assert_eq!(found(&drained), 1, "a request after a drain");
    let many = |it: &mut Evidence| {
        it.records.push(record("m", Asked::Read, 502, start));
        it.runs.extend(["r1", "r2", "r3"].map(|replica| ran("m", replica, start)));
    };
    assert_eq!(found(&many), 1, "more replicas than the route allows");
    let back = |it: &mut Evidence| {
        it.records.push(record("v1", Asked::Version(2), 200, start));
        let mut late = record("v2", Asked::Version(2), 404, start + Duration::from_secs(1));
        late.asked = Asked::Version(2);
        it.records.push(late);
    };
    // The first record lacks a proof as well.
    assert_eq!(found(&back), 2, "a version that went back");
    let budget = |it: &mut Evidence| {
        for number in 0..60 {
            let id = format!("b{number}");
            it.runs.extend([ran(&id, "r1", start), ran(&id, "r2", start)]);
        }
        for number in 0..60 {
            it.records.push(record(&format!("b{number}"), Asked::Read, 502, start));
        }
    };
    assert_eq!(found(&budget), 0, "60 extra sends for 60 requests are 12 + 50");
    let over = |it: &mut Evidence| {
        budget(it);
        for number in 0..60 {
            it.runs.push(ran(&format!("b{number}"), "r1", start));
        }
    };
    assert_eq!(found(&over), 1, "120 extra sends for 60 requests");
    let stop = |it: &mut Evidence| it.stops.push((0, start, false));
    assert_eq!(found(&stop), 1, "a stop that was forced");
}
