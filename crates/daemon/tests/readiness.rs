//! When the real process says that it is ready.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{Bench, process::Process};

fn await_ready(process: &Process, bench: &Bench) -> Duration {
    let started = Instant::now();
    while !process.is_ready(bench) {
        assert!(started.elapsed() < Duration::from_secs(10), "never ready");
        thread::sleep(Duration::from_millis(1));
    }
    started.elapsed()
}

/// Guards against an instance that is ready before it knows which replica serves which keys: its
/// fast failures would attract a load balancer.
#[test]
fn the_first_search_after_ready_is_complete() {
    let bench = Bench::start();
    let mut incomplete = 0;
    for _ in 0..12 {
        let process = Process::spawn(&bench, &[], 1_000);
        let took = await_ready(&process, &bench);
        let (status, body) = process.ask_search(&bench);
        println!("ready after {took:?}: {status}, complete: {}", body["complete"]);
        incomplete += u32::from(status != 200 || body["complete"] != true);
        assert!(took < Duration::from_millis(1_500), "the bound was reached: {took:?}");
    }
    assert_eq!(incomplete, 0);
}

/// Guards against a lost shard that keeps the instance out of service for good.
#[test]
fn a_lost_shard_delays_readiness_only_for_a_while() {
    let bench = Bench::start();
    for replica in ["stock-high-1", "stock-high-2"] {
        bench.send(
            http::Method::DELETE,
            bench.platform,
            &format!("/objects/instances/{replica}"),
            &[],
            "",
        );
    }
    let process = Process::spawn(&bench, &[], 1_000);
    let took = await_ready(&process, &bench);
    assert!(took > Duration::from_millis(1_500), "{took:?}");
    assert!(took < Duration::from_secs(5), "{took:?}");
    let (status, body) = process.ask_search(&bench);
    println!("ready after {took:?}: {status}");
    assert_ne!(body["complete"], true);
}
