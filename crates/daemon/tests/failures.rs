//! Instances that are frozen or killed while an action is in progress.

mod common;

use std::{thread, time::Duration};

use common::{
    Bench, eventually, key,
    process::{Process, read_all},
};
use http::Method;
use rosemarybank_standins::{platform::faults::PlatformFaults, upstream::faults::StandingFaults};

const PATH: &str = "/v1/services/lots/actions";
const BODY: &str = r#"{"body":"reserve 12","timeout_ms":1000}"#;

/// Guards against a paused instance that sends an action after its deadline, when its caller has
/// long been told something else.
#[test]
fn a_frozen_instance_does_not_send_after_the_deadline() {
    let bench = Bench::start();
    let process = Process::start(&bench, &[], 10_000);
    bench.platform_faults(PlatformFaults { slow_ms: 300, ..PlatformFaults::default() });
    let key = key();
    let caller = process.send(PATH, &format!("idempotency-key: {key}\r\n"), BODY);
    process.send_signal("-STOP");
    thread::sleep(Duration::from_millis(1_500));
    process.send_signal("-CONT");
    bench.platform_faults(PlatformFaults::default());
    process.signal();
    let answer = read_all(caller);
    assert!(answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert!(answer.contains(r#""execution":"not_run""#), "{answer}");
    let (status, _, log) = process.ended();
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(bench.effects(), 0);
}

/// Guards against an action of a killed instance that another instance sends a second time.
#[test]
fn the_claim_of_a_killed_instance_is_never_taken_over() {
    let bench = Bench::start();
    let (process, other) = (Process::start(&bench, &[], 10_000), bench.instance());
    let key = key();
    let path = format!("/objects/claims/desk/{key}");
    let headers = format!("idempotency-key: {key}\r\n");
    // The reply is late, so the outcome is not recorded when the instance is killed.
    let late = StandingFaults { delay_ms: 3_000, ..StandingFaults::default() };
    bench.upstream_faults(&["lots-1", "lots-2"], late);
    let _caller = process.send(PATH, &headers, BODY);
    eventually("the claim is created", || {
        bench.send(Method::GET, bench.platform, &path, &[], "").status() == 200
    });
    process.send_signal("-KILL");
    bench.upstream_faults(&["lots-1", "lots-2"], StandingFaults::default());
    let headers = [("idempotency-key", key.as_str())];
    let (status, answer) = bench.ask(Method::POST, other.daemon.callers_addr, PATH, &headers, BODY);
    assert_eq!((status, &answer["error"]), (502, &"outcome_unknown".into()), "{answer}");
    // Whether the killed instance had sent the action or not, nobody sends it now.
    thread::sleep(Duration::from_millis(200));
    assert!(bench.effects() <= 1);
}
