//! A search and an action from the callers' port to upstreams and back.

mod common;

use common::{Bench, eventually, key};
use http::Method;
use rosemarybank_daemon::stop::StopOutcome;

/// Guards against threads that are joined wrongly: an answer, its trace and the action's claim
/// cross all of them.
#[test]
fn a_search_and_an_action_are_answered() {
    let bench = Bench::start();
    let instance = bench.instance();
    let callers = instance.daemon.callers_addr;
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    let (status, answer) = bench.ask(
        Method::POST,
        callers,
        "/v1/services/stock/search",
        &[("traceparent", parent)],
        r#"{"query":"cherry ladle","limit":5}"#,
    );
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["complete"], true);
    assert_eq!(answer["coverage"]["records_covered"], 1_000);
    assert_eq!(answer["trace_id"], "0af7651916cd43dd8448eb211c80319c");

    let key = key();
    let path = "/v1/services/lots/actions";
    let (status, answer) = bench.ask(
        Method::POST,
        callers,
        path,
        &[("idempotency-key", &key)],
        r#"{"body":"reserve 12"}"#,
    );
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["outcome"]["state"], "done");
    assert_eq!(bench.effects(), 1);
    let (status, found) = bench.ask(Method::GET, callers, &format!("{path}/{key}"), &[], "");
    assert_eq!((status, &found["outcome"]), (200, &answer["outcome"]));

    let admin = instance.daemon.admin_addr;
    eventually("the trace has a span for each hop", || {
        let path = "/traces/0af7651916cd43dd8448eb211c80319c";
        let trace = bench.send(Method::GET, admin, path, &[], "");
        let text = String::from_utf8(trace.body().to_vec()).unwrap();
        ["front", "engine", "attempt"].iter().all(|hop| text.contains(hop))
    });
    assert_eq!(instance.stop(), StopOutcome::Graceful);
}
