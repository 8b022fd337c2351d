//! One-time actions through the claim and the store.

mod common;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use common::{Bench, Instance, TOKEN, eventually, key};
use http::Method;
use rosemarybank_standins::{
    platform::faults::{LoseReplies, PlatformFaults},
    upstream::faults::{CrashPoint, CrashRule, StandingFaults},
};
use serde_json::Value;

const PATH: &str = "/v1/services/lots/actions";

fn act(bench: &Bench, callers: SocketAddr, key: &str, body: &str) -> (u16, Value) {
    let body = format!(r#"{{"body":"{body}","timeout_ms":1500}}"#);
    bench.ask(Method::POST, callers, PATH, &[("idempotency-key", key)], &body)
}

fn look_up(bench: &Bench, instance: &Instance, key: &str) -> (u16, Value) {
    bench.ask(Method::GET, instance.daemon.callers_addr, &format!("{PATH}/{key}"), &[], "")
}

/// Guards against an action that a retry runs again, and a key that is taken for another action.
#[test]
fn a_repeated_key_returns_the_first_outcome() {
    let bench = Bench::start();
    let instance = bench.instance();
    let (callers, key) = (instance.daemon.callers_addr, key());
    let first = act(&bench, callers, &key, "reserve 12");
    let second = act(&bench, callers, &key, "reserve 12");
    assert_eq!((first.0, &first.1["outcome"]), (200, &second.1["outcome"]));
    let (status, other) = act(&bench, callers, &key, "reserve 13");
    assert_eq!((status, &other["error"]), (409, &"key_conflict".into()));
    assert_eq!(bench.effects(), 1);
    let (status, missing) = look_up(&bench, &instance, &common::key());
    assert_eq!((status, &missing["error"]), (404, &"not_found".into()));
}

/// Guards against an action that is sent although its claim is not confirmed, or that is reported
/// as not run and then runs.
#[test]
fn without_the_store_nothing_is_run() {
    let bench = Bench::start();
    let instance = bench.instance();
    let (callers, key) = (instance.daemon.callers_addr, key());
    bench.platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let (status, answer) = act(&bench, callers, &key, "reserve 12");
    assert_eq!((status, &answer["error"]), (503, &"store_unavailable".into()));
    assert_eq!(answer["execution"], "not_run");
    assert_eq!(look_up(&bench, &instance, &key).0, 503);
    let search = r#"{"query":"cherry"}"#;
    let (status, _) = bench.ask(Method::POST, callers, "/v1/services/stock/search", &[], search);
    assert_eq!(status, 200, "searches need no store");
    bench.platform_faults(PlatformFaults::default());
    assert_eq!(bench.effects(), 0);
    eventually("the action can be run", || act(&bench, callers, &key, "reserve 12").0 == 200);
    assert_eq!(bench.effects(), 1);
}

/// Guards against a lost reply of the store that is taken for a failure of the create.
#[test]
fn a_lost_reply_of_the_store_is_read_back() {
    let bench = Bench::start();
    let instance = bench.instance();
    let lose_replies = Some(LoseReplies { prefix: "claims/".to_owned(), count: 1 });
    bench.platform_faults(PlatformFaults { lose_replies, ..PlatformFaults::default() });
    let (status, answer) = act(&bench, instance.daemon.callers_addr, &key(), "reserve 12");
    assert_eq!((status, &answer["outcome"]["state"]), (200, &"done".into()), "{answer}");
    assert_eq!(bench.effects(), 1);
}

/// Guards against an action that is sent to a second replica after the first crashed, having run
/// it or not.
#[test]
fn a_crash_after_the_send_leaves_the_outcome_unknown() {
    let bench = Bench::start();
    let instance = bench.instance();
    let (callers, key) = (instance.daemon.callers_addr, key());
    let crash = Some(CrashRule { text: "reserve".into(), at: CrashPoint::AfterEffect });
    let faults = StandingFaults { crash, ..StandingFaults::default() };
    bench.upstream_faults(&["lots-1", "lots-2"], faults);
    let (status, answer) = act(&bench, callers, &key, "reserve 12");
    assert_eq!((status, &answer["error"]), (502, &"outcome_unknown".into()), "{answer}");
    assert_eq!(answer["execution"], "unknown");
    bench.upstream_faults(&["lots-1", "lots-2"], StandingFaults::default());
    assert_eq!(act(&bench, callers, &key, "reserve 12").0, 502);
    eventually("the claim is settled", || {
        look_up(&bench, &instance, &key).1["outcome"]["state"] == "unknown"
    });
    assert_eq!(bench.effects(), 1);
}

/// Guards against actions without bound in memory while the store is slow.
#[test]
fn too_many_actions_are_refused_as_overloaded() {
    let bench = Bench::start();
    let instance = bench.limited_instance(2);
    bench.platform_faults(PlatformFaults { slow_ms: 300, ..PlatformFaults::default() });
    let callers = instance.daemon.callers_addr;
    let statuses = thread::scope(|scope| {
        let act = || act(&bench, callers, &key(), "reserve 12").0;
        let running: Vec<_> = (0..5).map(|_| scope.spawn(act)).collect();
        let mut statuses: Vec<_> = running.into_iter().map(|it| it.join().unwrap()).collect();
        statuses.sort_unstable();
        statuses
    });
    assert_eq!(statuses, [200, 200, 503, 503, 503]);
    assert_eq!(bench.effects(), 2);
}

/// Guards against an action that stops halfway because its caller hung up.
#[test]
fn an_action_outlives_its_caller() {
    let bench = Bench::start();
    let instance = bench.instance();
    let key = key();
    bench.platform_faults(PlatformFaults { slow_ms: 100, ..PlatformFaults::default() });
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
        look_up(&bench, &instance, &key).1["outcome"]["state"] == "done"
    });
    assert_eq!(bench.effects(), 1);
}
