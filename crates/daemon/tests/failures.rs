//! Instances that are paused or killed while an action is in progress.

mod common;

use std::{thread, time::Duration};

use common::{
    TestEnv, eventually, new_key,
    process::{DaemonProcess, read_all},
};
use http::Method;
use rosemarybank_standins::{platform::faults::PlatformFaults, upstream::faults::ReplicaFaults};

const PATH: &str = "/v1/services/lots/actions";
const BODY: &str = r#"{"body":"reserve 12","timeout_ms":1000}"#;

/// Guards against a paused instance that sends an action after its deadline, when the caller may
/// already have been told that it was not run.
#[test]
fn a_paused_instance_does_not_send_after_the_deadline() {
    let env = TestEnv::start();
    let process = DaemonProcess::start(&env, &[], 10_000);
    env.set_platform_faults(PlatformFaults { slow_ms: 300, ..PlatformFaults::default() });
    let key = new_key();
    let caller = process.start_request(PATH, &format!("idempotency-key: {key}\r\n"), BODY);
    process.send_signal("-STOP");
    thread::sleep(Duration::from_millis(1_500));
    process.send_signal("-CONT");
    env.set_platform_faults(PlatformFaults::default());
    process.terminate();
    let response = read_all(caller);
    assert!(response.starts_with("HTTP/1.1 504 "), "{response}");
    assert!(response.contains(r#""execution":"not_run""#), "{response}");
    let (status, _, log) = process.wait_for_exit();
    assert_eq!(status.code(), Some(0), "{log}");
    assert_eq!(env.effect_count(), 0);
}

/// Guards against an instance that sends the action of a killed instance a second time.
#[test]
fn the_claim_of_a_killed_instance_is_never_taken_over() {
    let env = TestEnv::start();
    let (process, other) = (DaemonProcess::start(&env, &[], 10_000), env.start_instance());
    let key = new_key();
    let path = format!("/objects/claims/desk/{key}");
    let headers = format!("idempotency-key: {key}\r\n");
    // The delayed reply ensures that the outcome is not recorded before the instance is killed.
    let late = ReplicaFaults { delay_ms: 3_000, ..ReplicaFaults::default() };
    env.set_upstream_faults(&["lots-1", "lots-2"], late);
    let _caller = process.start_request(PATH, &headers, BODY);
    eventually("the claim is created", || {
        env.send(Method::GET, env.platform, &path, &[], "").status() == 200
    });
    process.send_signal("-KILL");
    env.set_upstream_faults(&["lots-1", "lots-2"], ReplicaFaults::default());
    let headers = [("idempotency-key", key.as_str())];
    let (status, response) =
        env.send_as_desk(Method::POST, other.daemon.callers_addr, PATH, &headers, BODY);
    assert_eq!((status, &response["error"]), (502, &"outcome_unknown".into()), "{response}");
    // Whether or not the killed instance had sent the action, no other instance sends it.
    thread::sleep(Duration::from_millis(200));
    assert!(env.effect_count() <= 1);
}
