//! Requests that the front refuses: their error responses, and that nothing is sent upstream.

mod common;

use std::{fmt::Write, thread, time::Duration};

use common::{Instance, TOKEN, TestEnv, new_key};
use http::Method;
use serde_json::Value;

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const SEARCH_PATH: &str = "/v1/services/stock/search";
const ACTIONS_PATH: &str = "/v1/services/lots/actions";

struct Case<'a> {
    name: &'a str,
    method: Method,
    path: &'a str,
    headers: Vec<(&'a str, &'a str)>,
    body: String,
}

fn case<'a>(name: &'a str, path: &'a str, body: &str) -> Case<'a> {
    Case { name, method: Method::POST, path, headers: Vec::new(), body: body.to_owned() }
}

fn attempt_count(env: &TestEnv, instance: &Instance) -> u64 {
    let reply = env.send(Method::GET, instance.daemon.admin_addr, "/metrics", &[], "");
    let text = String::from_utf8(reply.body().to_vec()).unwrap();
    let line = text.lines().find_map(|it| it.strip_prefix("rosemarybank_attempts_total "));
    line.unwrap().parse().unwrap()
}

/// Guards against error responses that differ from the documented ones, and against refused
/// requests that are sent to an upstream.
#[test]
fn refused_requests_get_the_documented_error_and_are_not_sent() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    // The engine reports its counters every 250 ms.
    thread::sleep(Duration::from_millis(600));
    let before = attempt_count(&env, &instance);
    let large = format!(r#"{{"query":"{}"}}"#, "x".repeat(70_000));
    let (old, new) = ("018cc251-f400-7abc-8def-0123456789ab", new_key());
    let action = r#"{"body":"reserve 12"}"#;
    let cases = [
        case("malformed JSON", SEARCH_PATH, "{\"query\":"),
        case("unknown field", SEARCH_PATH, r#"{"query":"a","colour":"red"}"#),
        case("body too large", SEARCH_PATH, &large),
        case("limit out of range", SEARCH_PATH, r#"{"query":"a","limit":0}"#),
        case("timeout out of range", SEARCH_PATH, r#"{"query":"a","timeout_ms":3600000}"#),
        case("deadline already past", SEARCH_PATH, r#"{"query":"a","timeout_ms":0}"#),
        case("unknown service", "/v1/services/spoons/search", r#"{"query":"a"}"#),
        case("ledger searched", "/v1/services/lots/search", r#"{"query":"a"}"#),
        case("service not allowed", "/v1/services/hidden/search", r#"{"query":"a"}"#),
        Case {
            headers: vec![("authorization", "Bearer guess")],
            ..case("bad token", SEARCH_PATH, "{}")
        },
        Case { headers: vec![("authorization", "Basic x")], ..case("no token", SEARCH_PATH, "{}") },
        case("unknown path", "/v2/anything", "{}"),
        Case { method: Method::PUT, ..case("wrong method", SEARCH_PATH, "{}") },
        case("no idempotency key", ACTIONS_PATH, action),
        Case {
            headers: vec![("idempotency-key", "7")],
            ..case("malformed key", ACTIONS_PATH, action)
        },
        Case { headers: vec![("idempotency-key", old)], ..case("old key", ACTIONS_PATH, action) },
        Case {
            headers: vec![("idempotency-key", &new)],
            ..case("malformed action", ACTIONS_PATH, "[]")
        },
        Case {
            headers: vec![("idempotency-key", &new)],
            ..case("action past its deadline", ACTIONS_PATH, r#"{"body":"a","timeout_ms":0}"#)
        },
    ];
    let mut rendered = String::new();
    for Case { name, method, path, mut headers, body } in cases {
        let token = format!("Bearer {TOKEN}");
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            headers.push(("authorization", &token));
        }
        headers.push(("traceparent", TRACEPARENT));
        let reply = env.send(method, instance.daemon.callers_addr, path, &headers, body);
        let traceparent = reply.headers()["traceparent"].to_str().unwrap();
        assert!(traceparent.starts_with("00-0af7651916cd43dd8448eb211c80319c-"), "{name}");
        let json: Value = serde_json::from_slice(reply.body()).unwrap();
        let json = serde_json::to_string_pretty(&json).unwrap();
        writeln!(rendered, "{name}: {}\n{json}\n", reply.status()).unwrap();
    }
    insta::assert_snapshot!(rendered);
    thread::sleep(Duration::from_millis(600));
    assert_eq!(attempt_count(&env, &instance), before);
    assert_eq!(env.effect_count(), 0);
}

/// Guards against an instance that serves requests before it has a confirmed configuration.
#[test]
fn an_instance_without_configuration_is_not_ready() {
    let env = TestEnv::start_without_bundle();
    let instance = env.start_unready_instance("entry-1", "127.0.0.1:0", &[]);
    let (status, body) = env.send_as_desk(
        Method::POST,
        instance.daemon.callers_addr,
        SEARCH_PATH,
        &[],
        r#"{"query":"a"}"#,
    );
    assert_eq!(
        (status, &body["error"], &body["execution"]),
        (503, &"not_ready".into(), &"not_run".into())
    );
    let ready = env.send(Method::GET, instance.daemon.admin_addr, "/ready", &[], "");
    assert_eq!(ready.status(), 503);
    env.roll_out(1, &common::bundle());
    env.wait_until_ready(&instance);
}
