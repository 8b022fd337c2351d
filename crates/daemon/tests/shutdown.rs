//! Planned stops of the real process: what it finishes, when it gives up, and its exit code.

mod common;

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    process::Command,
    thread,
    time::Duration,
};

use common::{
    Bench, key,
    process::{Process, read_all},
};
use http::Method;
use rosemarybank_standins::{platform::faults::PlatformFaults, upstream::faults::StandingFaults};

const STOCK: [&str; 4] = ["stock-low-1", "stock-low-2", "stock-high-1", "stock-high-2"];

fn slow(delay_ms: u64) -> StandingFaults {
    StandingFaults { delay_ms, ..StandingFaults::default() }
}

/// Guards against a planned stop that cuts off a request, or that takes new connections.
#[test]
fn a_stop_finishes_searches_in_flight() {
    let bench = Bench::start();
    let process = Process::start(&bench, &[], 10_000);
    bench.upstream_faults(&STOCK, slow(800));
    let caller = process.search(5_000);
    process.signal();
    thread::sleep(Duration::from_millis(200));
    let ready = bench.send(Method::GET, process.admin, "/ready", &[], "");
    assert_eq!(ready.status(), 503);
    assert!(TcpStream::connect(process.callers).is_err());
    let answer = read_all(caller);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains(r#""complete":true"#), "{answer}");
    let (status, _, log) = process.ended();
    assert_eq!(status.code(), Some(0), "{log}");
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a log line is JSON");
        assert!(line["msg"].is_string() && line["level"].is_string() && line["ts"].is_u64());
    }
}

/// Guards against an action that is lost because its caller hung up before the stop.
#[test]
fn a_stop_finishes_actions_without_callers() {
    let bench = Bench::start();
    let process = Process::start(&bench, &[], 10_000);
    bench.platform_faults(PlatformFaults { slow_ms: 200, ..PlatformFaults::default() });
    let (key, body) = (key(), r#"{"body":"reserve 12"}"#);
    let headers = format!("idempotency-key: {key}\r\n");
    drop(process.send("/v1/services/lots/actions", &headers, body));
    process.signal();
    let (status, _, log) = process.ended();
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(bench.effects(), 1);
    bench.platform_faults(PlatformFaults::default());
    let path = format!("/objects/claims/desk/{key}");
    let claim = bench.send(Method::GET, bench.platform, &path, &[], "");
    assert!(String::from_utf8_lossy(claim.body()).contains("done"), "{claim:?}");
}

/// Guards against a stop that never ends, and one that hides what it cut off.
#[test]
fn the_grace_bound_ends_a_stop_and_names_what_it_cut_off() {
    let bench = Bench::start();
    let process = Process::start(&bench, &[], 700);
    bench.upstream_faults(&STOCK, StandingFaults { silent: true, ..StandingFaults::default() });
    let caller = process.search(30_000);
    process.signal();
    let (status, took, log) = process.ended();
    assert_eq!(status.code(), Some(1), "{log}");
    assert!(took < Duration::from_secs(2), "{took:?}");
    assert!(log.contains("a request is cut off"), "{log}");
    assert!(log.contains("POST /v1/services/stock/search"), "{log}");
    assert_eq!(read_all(caller), "");
}

/// Guards against an operator who can't end a stop.
#[test]
fn a_second_signal_ends_a_stop_at_once() {
    let bench = Bench::start();
    let process = Process::start(&bench, &[], 60_000);
    bench.upstream_faults(&STOCK, StandingFaults { silent: true, ..StandingFaults::default() });
    let _caller = process.search(30_000);
    process.signal();
    thread::sleep(Duration::from_millis(300));
    process.signal();
    let (status, took, log) = process.ended();
    assert_eq!(status.code(), Some(1), "{log}");
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert!(log.contains("a request is cut off"), "{log}");
}

/// Guards against a stop that waits for a peer or a store that accepts and never answers, and for
/// idle or silent connections.
#[test]
fn frozen_peers_and_a_silent_store_do_not_hold_a_stop() {
    let bench = Bench::start();
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let process = Process::start(&bench, &[frozen.local_addr().unwrap()], 10_000);
    bench.platform_faults(PlatformFaults { silent: true, ..PlatformFaults::default() });
    let _silent = TcpStream::connect(process.callers).unwrap();
    thread::sleep(Duration::from_millis(300));
    process.signal();
    let (status, took, log) = process.ended();
    assert_eq!(status.code(), Some(0), "{log}");
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against a client of the admin port that delays a stop or turns it into a failure.
#[test]
fn a_slow_client_of_the_admin_port_does_not_hold_a_stop() {
    let bench = Bench::start();
    let process = Process::start(&bench, &[], 10_000);
    let mut slow = TcpStream::connect(process.admin).unwrap();
    slow.write_all(b"GET /metrics HTTP/1.1\r\nhost:").unwrap();
    thread::sleep(Duration::from_millis(100));
    process.signal();
    let (status, took, log) = process.ended();
    assert_eq!(status.code(), Some(0), "{log}");
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Guards against settings whose faults are found one at a time, or only at the start.
#[test]
fn check_settings_reports_every_fault() {
    let check = |file: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rosemarybankd"));
        command.args(["--settings", file, "--check-settings"]).output().unwrap()
    };
    let reference = concat!(env!("CARGO_MANIFEST_DIR"), "/../../config/rosemarybankd.yaml");
    assert!(check(reference).status.success());
    let mut faulty = tempfile::NamedTempFile::new().unwrap();
    write!(faulty, "instance: entry-1\ncolour: red\n").unwrap();
    let output = check(faulty.path().to_str().unwrap());
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for key in ["colour", "data_centre", "callers.addr", "trusted_keys"] {
        assert!(text.contains(&format!(": {key}: ")), "{text}");
    }
}
