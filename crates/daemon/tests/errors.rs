//! Every refusal of the front: its rendered answer, and that nothing is sent upstream.

mod common;

use std::{fmt::Write, thread, time::Duration};

use common::{Bench, Instance, TOKEN, key};
use http::Method;
use serde_json::Value;

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const SEARCH: &str = "/v1/services/stock/search";
const ACT: &str = "/v1/services/lots/actions";

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

fn attempts(bench: &Bench, instance: &Instance) -> u64 {
    let reply = bench.send(Method::GET, instance.daemon.admin_addr, "/metrics", &[], "");
    let text = String::from_utf8(reply.body().to_vec()).unwrap();
    let line = text.lines().find_map(|it| it.strip_prefix("rosemarybank_attempts_total "));
    line.unwrap().parse().unwrap()
}

/// Guards against answers that differ from the table, and against refused requests that reach an
/// upstream.
#[test]
fn refusals_are_answered_from_the_table_and_not_sent() {
    let bench = Bench::start();
    let instance = bench.instance();
    // The engine's counters are reported every 250 ms.
    thread::sleep(Duration::from_millis(600));
    let before = attempts(&bench, &instance);
    let large = format!(r#"{{"query":"{}"}}"#, "x".repeat(70_000));
    let (old, new) = ("018cc251-f400-7abc-8def-0123456789ab", key());
    let action = r#"{"body":"reserve 12"}"#;
    let cases = [
        case("malformed JSON", SEARCH, "{\"query\":"),
        case("unknown field", SEARCH, r#"{"query":"a","colour":"red"}"#),
        case("body too large", SEARCH, &large),
        case("limit out of range", SEARCH, r#"{"query":"a","limit":0}"#),
        case("timeout out of range", SEARCH, r#"{"query":"a","timeout_ms":3600000}"#),
        case("deadline already past", SEARCH, r#"{"query":"a","timeout_ms":0}"#),
        case("unknown service", "/v1/services/spoons/search", r#"{"query":"a"}"#),
        case("ledger searched", "/v1/services/lots/search", r#"{"query":"a"}"#),
        case("service not allowed", "/v1/services/hidden/search", r#"{"query":"a"}"#),
        Case {
            headers: vec![("authorization", "Bearer guess")],
            ..case("bad token", SEARCH, "{}")
        },
        Case { headers: vec![("authorization", "Basic x")], ..case("no token", SEARCH, "{}") },
        case("unknown path", "/v2/anything", "{}"),
        Case { method: Method::PUT, ..case("wrong method", SEARCH, "{}") },
        case("no idempotency key", ACT, action),
        Case { headers: vec![("idempotency-key", "7")], ..case("malformed key", ACT, action) },
        Case { headers: vec![("idempotency-key", old)], ..case("old key", ACT, action) },
        Case { headers: vec![("idempotency-key", &new)], ..case("malformed action", ACT, "[]") },
        Case {
            headers: vec![("idempotency-key", &new)],
            ..case("action past its deadline", ACT, r#"{"body":"a","timeout_ms":0}"#)
        },
    ];
    let mut rendered = String::new();
    for Case { name, method, path, mut headers, body } in cases {
        let token = format!("Bearer {TOKEN}");
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            headers.push(("authorization", &token));
        }
        headers.push(("traceparent", PARENT));
        let reply = bench.send(method, instance.daemon.callers_addr, path, &headers, body);
        let traceparent = reply.headers()["traceparent"].to_str().unwrap();
        assert!(traceparent.starts_with("00-0af7651916cd43dd8448eb211c80319c-"), "{name}");
        let json: Value = serde_json::from_slice(reply.body()).unwrap();
        let json = serde_json::to_string_pretty(&json).unwrap();
        writeln!(rendered, "{name}: {}\n{json}\n", reply.status()).unwrap();
    }
    insta::assert_snapshot!(rendered);
    thread::sleep(Duration::from_millis(600));
    assert_eq!(attempts(&bench, &instance), before);
    assert_eq!(bench.effects(), 0);
}

/// Guards against an instance that answers before it has a confirmed configuration.
#[test]
fn an_instance_without_configuration_is_not_ready() {
    let bench = Bench::start_without_bundle();
    let instance = bench.unready_instance("entry-1", "127.0.0.1:0", &[]);
    let (status, body) =
        bench.ask(Method::POST, instance.daemon.callers_addr, SEARCH, &[], r#"{"query":"a"}"#);
    assert_eq!(
        (status, &body["error"], &body["execution"]),
        (503, &"not_ready".into(), &"not_run".into())
    );
    let ready = bench.send(Method::GET, instance.daemon.admin_addr, "/ready", &[], "");
    assert_eq!(ready.status(), 503);
    bench.roll_out(1, &common::bundle());
    bench.await_ready(&instance);
}
