//! Readiness of the daemon process.

mod common;

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use common::{TestEnv, eventually, process::DaemonProcess};
use http::Method;
use rosemarybank_daemon::{
    clock::Clock,
    front::{self, FrontRings, FrontSetup},
    in_flight::InFlightRequests,
    lifecycle::{Lifecycle, Phase, Readiness},
    message::{ControlToFront, FrontConfig},
    settings,
    telemetry::Recorder,
};
use rosemarybank_ring::channel;
use rosemarybank_standins::client::HttpClient;
use slog::{Discard, Logger, o};

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

/// Guards against an instance that is ready while its callers' port has no configuration yet and
/// refuses every request: readiness was set when the configuration was sent to the port, and on a
/// busy machine the first searches arrived before it.
#[test]
fn readiness_follows_the_configuration_of_the_callers_port() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let text = "instance: entry-1\ndata_centre: maun\ncallers: { addr: 127.0.0.1:0 }\n\
                peers: { addr: 127.0.0.1:0 }\nadmin: { addr: 127.0.0.1:0 }\n\
                platform: { addr: 127.0.0.1:1 }\ntrusted_keys: []\n";
    let (lifecycle, readiness) = (Lifecycle::default(), Readiness::default());
    let (to_engine, _engine) = channel(8);
    let (_to_front, from_engine) = channel(8);
    let (to_control, _control) = channel(8);
    let (mut control, from_control) = channel(8);
    let (records, _telemetry) = channel(8);
    let setup = FrontSetup {
        clock: Clock::start(),
        settings: settings::parse(text).unwrap().callers,
        listener,
        readiness: readiness.clone(),
        in_flight: InFlightRequests::default(),
        recorder: Recorder::new(records, Arc::default()),
        log: Logger::root(Discard, o!()),
        phase: lifecycle.watch(),
    };
    let rings = FrontRings { to_engine, from_engine, to_control, from_control };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let served = runtime.spawn(front::run(setup, rings));
    let client = HttpClient::http1();
    let status = |addr: SocketAddr| {
        let path = "/v1/services/stock/search";
        runtime.block_on(client.send(Method::POST, addr, path, &[], "{}")).unwrap().status()
    };
    assert_eq!(status(addr), 503);
    assert!(!readiness.is_ready(Phase::Running));
    let config = FrontConfig::default();
    control.try_send(ControlToFront::Config(Arc::new(config))).unwrap();
    eventually("the port is ready", || readiness.is_ready(Phase::Running));
    assert_eq!(status(addr), 401, "the configuration decides the first request after readiness");
    lifecycle.advance_to(Phase::Exiting);
    runtime.block_on(served).unwrap().unwrap();
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
