//! Graceful shutdown of the daemon process: which requests it finishes, when it gives up, and its
//! exit code.

mod common;

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    process::Command,
    thread,
    time::Duration,
};

use common::{
    TestEnv, new_key,
    process::{DaemonProcess, read_all},
};
use http::Method;
use rosemarybank_standins::{platform::faults::PlatformFaults, upstream::faults::ReplicaFaults};

const STOCK: [&str; 4] = ["stock-low-1", "stock-low-2", "stock-high-1", "stock-high-2"];
const LEDGERS: [&str; 2] = ["lots-1", "lots-2"];

fn delayed(delay_ms: u64) -> ReplicaFaults {
    ReplicaFaults { delay_ms, ..ReplicaFaults::default() }
}

/// Guards against a stop that aborts requests or accepts new connections.
#[test]
fn a_stop_finishes_searches_in_flight() {
    let env = TestEnv::start();
    let process = DaemonProcess::start(&env, &[], 10_000);
    env.set_upstream_faults(&STOCK, delayed(800));
    let caller = process.start_search(5_000);
    process.terminate();
    thread::sleep(Duration::from_millis(200));
    let ready = env.send(Method::GET, process.admin, "/ready", &[], "");
    assert_eq!(ready.status(), 503);
    assert!(TcpStream::connect(process.callers).is_err());
    let response = read_all(caller);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.contains(r#""complete":true"#), "{response}");
    let (status, _, log) = process.wait_for_exit();
    assert_eq!(status.code(), Some(0), "{log}");
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a log line is JSON");
        assert!(line["msg"].is_string() && line["level"].is_string() && line["ts"].is_u64());
    }
}

/// Guards against an action that is lost because its caller disconnected before the stop.
#[test]
fn a_stop_finishes_actions_of_disconnected_callers() {
    let env = TestEnv::start();
    let process = DaemonProcess::start(&env, &[], 10_000);
    env.set_platform_faults(PlatformFaults { slow_ms: 200, ..PlatformFaults::default() });
    let (key, body) = (new_key(), r#"{"body":"reserve 12"}"#);
    let headers = format!("idempotency-key: {key}\r\n");
    drop(process.start_request("/v1/services/lots/actions", &headers, body));
    process.terminate();
    let (status, _, log) = process.wait_for_exit();
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(env.effect_count(), 1);
    env.set_platform_faults(PlatformFaults::default());
    let path = format!("/objects/claims/desk/{key}");
    let claim = env.send(Method::GET, env.platform, &path, &[], "");
    assert!(String::from_utf8_lossy(claim.body()).contains("done"), "{claim:?}");
}

/// Guards against a stop that never ends, and against one that doesn't log the requests it aborts.
#[test]
fn the_grace_period_ends_a_stop_and_aborted_requests_are_logged() {
    let env = TestEnv::start();
    let process = DaemonProcess::start(&env, &[], 700);
    env.set_upstream_faults(&STOCK, ReplicaFaults { silent: true, ..ReplicaFaults::default() });
    let caller = process.start_search(30_000);
    process.terminate();
    let (status, took, log) = process.wait_for_exit();
    assert_eq!(status.code(), Some(1), "{log}");
    assert!(took < Duration::from_secs(2), "{took:?}");
    assert!(log.contains("a request is cut off"), "{log}");
    assert!(log.contains("POST /v1/services/stock/search"), "{log}");
    assert_eq!(read_all(caller), "");
}

/// Guards against a stop that waits until the outcome of an action is recorded, which is retried
/// for 90 seconds if every call times out, and against one that doesn't log which outcome was not
/// recorded.
#[test]
fn an_outcome_that_cannot_be_recorded_does_not_block_a_stop() {
    for faults in [
        PlatformFaults { down: true, ..PlatformFaults::default() },
        PlatformFaults { silent: true, ..PlatformFaults::default() },
    ] {
        let env = TestEnv::start();
        let process = DaemonProcess::start(&env, &[], 1_500);
        env.set_upstream_faults(&LEDGERS, delayed(500));
        let headers = format!("idempotency-key: {}\r\nconnection: close\r\n", new_key());
        let caller = process.start_request(
            "/v1/services/lots/actions",
            &headers,
            r#"{"body":"reserve 12"}"#,
        );
        // The claim is created, and the upstream runs the action.
        thread::sleep(Duration::from_millis(200));
        env.set_platform_faults(faults);
        let response = read_all(caller);
        assert!(response.contains(r#""state":"done""#), "{response}");
        process.terminate();
        let (status, took, log) = process.wait_for_exit();
        assert_eq!(status.code(), Some(1), "{log}");
        assert!(took < Duration::from_millis(3_000), "{took:?}");
        assert!(log.contains("claim of desk"), "{log}");
        assert_eq!(env.effect_count(), 1);
    }
}

/// Guards against a stop that an operator can't abort.
#[test]
fn a_second_signal_ends_a_stop_at_once() {
    let env = TestEnv::start();
    let process = DaemonProcess::start(&env, &[], 60_000);
    env.set_upstream_faults(&STOCK, ReplicaFaults { silent: true, ..ReplicaFaults::default() });
    let _caller = process.start_search(30_000);
    process.terminate();
    thread::sleep(Duration::from_millis(300));
    process.terminate();
    let (status, took, log) = process.wait_for_exit();
    assert_eq!(status.code(), Some(1), "{log}");
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert!(log.contains("a request is cut off"), "{log}");
}

/// Guards against a stop that waits for a peer or store that accepts connections but never replies,
/// or for idle and silent connections.
#[test]
fn unresponsive_peers_and_stores_do_not_block_a_stop() {
    let env = TestEnv::start();
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let process = DaemonProcess::start(&env, &[unresponsive.local_addr().unwrap()], 10_000);
    env.set_platform_faults(PlatformFaults { silent: true, ..PlatformFaults::default() });
    let _idle = TcpStream::connect(process.callers).unwrap();
    thread::sleep(Duration::from_millis(300));
    process.terminate();
    let (status, took, log) = process.wait_for_exit();
    assert_eq!(status.code(), Some(0), "{log}");
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against a client of the admin port that delays a stop or makes it fail.
#[test]
fn a_slow_client_of_the_admin_port_does_not_block_a_stop() {
    let env = TestEnv::start();
    let process = DaemonProcess::start(&env, &[], 10_000);
    let mut slow = TcpStream::connect(process.admin).unwrap();
    slow.write_all(b"GET /metrics HTTP/1.1\r\nhost:").unwrap();
    thread::sleep(Duration::from_millis(100));
    process.terminate();
    let (status, took, log) = process.wait_for_exit();
    assert_eq!(status.code(), Some(0), "{log}");
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against settings errors that are reported one at a time, or only when the daemon starts.
#[test]
fn check_settings_reports_every_error() {
    let check = |file: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rosemarybankd"));
        command.args(["--settings", file, "--check-settings"]).output().unwrap()
    };
    let reference = concat!(env!("CARGO_MANIFEST_DIR"), "/../../config/rosemarybankd.yaml");
    assert!(check(reference).status.success());
    let mut invalid = tempfile::NamedTempFile::new().unwrap();
    write!(invalid, "instance: entry-1\ncolour: red\n").unwrap();
    let output = check(invalid.path().to_str().unwrap());
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for key in ["colour", "data_centre", "callers.addr", "trusted_keys"] {
        assert!(text.contains(&format!(": {key}: ")), "{text}");
    }
}
