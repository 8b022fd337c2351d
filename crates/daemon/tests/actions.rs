//! Actions, which run at most once under a claim in the store.

mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use common::{Instance, TOKEN, TestEnv, eventually, new_key};
use http::Method;
use rosemarybank_standins::{
    platform::faults::{LoseReplies, PlatformFaults},
    upstream::faults::{CrashPoint, CrashRule, ReplicaFaults},
};
use serde_json::Value;

const PATH: &str = "/v1/services/lots/actions";

fn submit_action(env: &TestEnv, callers: SocketAddr, key: &str, body: &str) -> (u16, Value) {
    let body = format!(r#"{{"body":"{body}","timeout_ms":1500}}"#);
    env.send_as_desk(Method::POST, callers, PATH, &[("idempotency-key", key)], &body)
}

fn look_up(env: &TestEnv, instance: &Instance, key: &str) -> (u16, Value) {
    env.send_as_desk(Method::GET, instance.daemon.callers_addr, &format!("{PATH}/{key}"), &[], "")
}

/// Guards against a retry that runs an action again, and against a key that is accepted for a
/// second action.
#[test]
fn a_repeated_key_returns_the_first_outcome() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let (callers, key) = (instance.daemon.callers_addr, new_key());
    let first = submit_action(&env, callers, &key, "reserve 12");
    let second = submit_action(&env, callers, &key, "reserve 12");
    assert_eq!((first.0, &first.1["outcome"]), (200, &second.1["outcome"]));
    let (status, other) = submit_action(&env, callers, &key, "reserve 13");
    assert_eq!((status, &other["error"]), (409, &"key_conflict".into()));
    assert_eq!(env.effect_count(), 1);
    let (status, missing) = look_up(&env, &instance, &common::new_key());
    assert_eq!((status, &missing["error"]), (404, &"not_found".into()));
}

/// Guards against an action that is sent without a confirmed claim, or that is reported as not run
/// and runs later.
#[test]
fn without_the_store_no_action_is_run() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let (callers, key) = (instance.daemon.callers_addr, new_key());
    env.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let (status, response) = submit_action(&env, callers, &key, "reserve 12");
    assert_eq!((status, &response["error"]), (503, &"store_unavailable".into()));
    assert_eq!(response["execution"], "not_run");
    assert_eq!(look_up(&env, &instance, &key).0, 503);
    let search = r#"{"query":"cherry"}"#;
    let (status, _) =
        env.send_as_desk(Method::POST, callers, "/v1/services/stock/search", &[], search);
    assert_eq!(status, 200, "searches need no store");
    env.set_platform_faults(PlatformFaults::default());
    assert_eq!(env.effect_count(), 0);
    eventually("the action can be run", || {
        submit_action(&env, callers, &key, "reserve 12").0 == 200
    });
    assert_eq!(env.effect_count(), 1);
}

/// Guards against treating a lost reply of the store as a failure to create the claim.
#[test]
fn after_a_lost_store_reply_the_claim_is_read_back() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let lose_replies = Some(LoseReplies { prefix: "claims/".to_owned(), count: 1 });
    env.set_platform_faults(PlatformFaults { lose_replies, ..PlatformFaults::default() });
    let (status, response) =
        submit_action(&env, instance.daemon.callers_addr, &new_key(), "reserve 12");
    assert_eq!((status, &response["outcome"]["state"]), (200, &"done".into()), "{response}");
    assert_eq!(env.effect_count(), 1);
}

/// Guards against an action that is sent to a second replica after the first one crashed, which may
/// have run the action.
#[test]
fn a_crash_after_the_send_leaves_the_outcome_unknown() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let (callers, key) = (instance.daemon.callers_addr, new_key());
    let crash = Some(CrashRule { text: "reserve".into(), at: CrashPoint::AfterEffect });
    let faults = ReplicaFaults { crash, ..ReplicaFaults::default() };
    env.set_upstream_faults(&["lots-1", "lots-2"], faults);
    let (status, response) = submit_action(&env, callers, &key, "reserve 12");
    assert_eq!((status, &response["error"]), (502, &"outcome_unknown".into()), "{response}");
    assert_eq!(response["execution"], "unknown");
    env.set_upstream_faults(&["lots-1", "lots-2"], ReplicaFaults::default());
    assert_eq!(submit_action(&env, callers, &key, "reserve 12").0, 502);
    eventually("the claim is settled", || {
        look_up(&env, &instance, &key).1["outcome"]["state"] == "unknown"
    });
    assert_eq!(env.effect_count(), 1);
}

/// Guards against an unlimited number of actions in memory while the store is slow.
#[test]
fn too_many_actions_are_refused_as_overloaded() {
    let env = TestEnv::start();
    let instance = env.start_instance_with_action_limit(2);
    env.set_platform_faults(PlatformFaults { slow_ms: 300, ..PlatformFaults::default() });
    let callers = instance.daemon.callers_addr;
    let statuses = thread::scope(|scope| {
        let submit = || submit_action(&env, callers, &new_key(), "reserve 12").0;
        let running: Vec<_> = (0..5).map(|_| scope.spawn(submit)).collect();
        let mut statuses: Vec<_> = running.into_iter().map(|it| it.join().unwrap()).collect();
        statuses.sort_unstable();
        statuses
    });
    assert_eq!(statuses, [200, 200, 503, 503, 503]);
    assert_eq!(env.effect_count(), 2);
}

/// Guards against an action that is abandoned because its caller disconnected.
#[test]
fn an_action_continues_after_its_caller_disconnects() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let key = new_key();
    env.set_platform_faults(PlatformFaults { slow_ms: 100, ..PlatformFaults::default() });
    let mut caller = TcpStream::connect(instance.daemon.callers_addr).unwrap();
    let body = r#"{"body":"reserve 12"}"#;
    write!(
        caller,
        "POST {PATH} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\n\
         idempotency-key: {key}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    thread::sleep(Duration::from_millis(50));
    drop(caller);
    eventually("the action is done", || {
        look_up(&env, &instance, &key).1["outcome"]["state"] == "done"
    });
    assert_eq!(env.effect_count(), 1);
}
