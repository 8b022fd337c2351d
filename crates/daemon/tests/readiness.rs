//! Readiness of the daemon process.

mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{TestEnv, process::DaemonProcess};

/// Waits until the process is ready, and returns the time that it took.
fn wait_until_ready(process: &DaemonProcess, env: &TestEnv) -> Duration {
    let started = Instant::now();
    while !process.is_ready(env) {
        assert!(started.elapsed() < Duration::from_secs(10), "not ready in time");
        thread::sleep(Duration::from_millis(1));
    }
    started.elapsed()
}

/// Guards against an instance that is ready before it knows which replica serves which keys. A load
/// balancer would prefer it, because its requests fail fast.
#[test]
fn the_first_search_after_ready_is_complete() {
    let env = TestEnv::start();
    let mut incomplete = 0;
    for _ in 0..12 {
        let process = DaemonProcess::spawn(&env, &[], 1_000);
        let took = wait_until_ready(&process, &env);
        let (status, body) = process.run_search(&env);
        println!("ready after {took:?}: {status}, complete: {}", body["complete"]);
        incomplete += u32::from(status != 200 || body["complete"] != true);
        assert!(took < Duration::from_millis(1_500), "ready only at the time limit: {took:?}");
    }
    assert_eq!(incomplete, 0);
}

/// Guards against a lost shard that prevents an instance from ever becoming ready.
#[test]
fn a_lost_shard_delays_readiness_for_a_limited_time() {
    let env = TestEnv::start();
    for replica in ["stock-high-1", "stock-high-2"] {
        env.send(
            http::Method::DELETE,
            env.platform,
            &format!("/objects/instances/{replica}"),
            &[],
            "",
        );
    }
    let process = DaemonProcess::spawn(&env, &[], 1_000);
    let took = wait_until_ready(&process, &env);
    assert!(took > Duration::from_millis(1_500), "{took:?}");
    assert!(took < Duration::from_secs(5), "{took:?}");
    let (status, body) = process.run_search(&env);
    println!("ready after {took:?}: {status}");
    assert_ne!(body["complete"], true);
}
