//! A search and an action through all threads, from the callers' port to the upstreams and back.

mod common;

use common::{TestEnv, eventually, new_key};
use http::Method;
use rosemarybank_daemon::stop::StopOutcome;

/// Guards against threads that are connected incorrectly: a result, its trace and the claim of an
/// action pass through all of them.
#[test]
fn a_search_and_an_action_are_answered() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let callers = instance.daemon.callers_addr;
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    let (status, response) = env.send_as_desk(
        Method::POST,
        callers,
        "/v1/services/stock/search",
        &[("traceparent", parent)],
        r#"{"query":"cherry ladle","limit":5}"#,
    );
    assert_eq!(status, 200, "{response}");
    assert_eq!(response["complete"], true);
    assert_eq!(response["coverage"]["records_covered"], 1_000);
    assert_eq!(response["trace_id"], "0af7651916cd43dd8448eb211c80319c");

    let key = new_key();
    let path = "/v1/services/lots/actions";
    let (status, response) = env.send_as_desk(
        Method::POST,
        callers,
        path,
        &[("idempotency-key", &key)],
        r#"{"body":"reserve 12"}"#,
    );
    assert_eq!(status, 200, "{response}");
    assert_eq!(response["outcome"]["state"], "done");
    assert_eq!(env.effect_count(), 1);
    let (status, lookup) =
        env.send_as_desk(Method::GET, callers, &format!("{path}/{key}"), &[], "");
    assert_eq!((status, &lookup["outcome"]), (200, &response["outcome"]));

    let admin = instance.daemon.admin_addr;
    eventually("the trace has spans of the front, the engine and an attempt", || {
        let path = "/traces/0af7651916cd43dd8448eb211c80319c";
        let trace = env.send(Method::GET, admin, path, &[], "");
        let text = String::from_utf8(trace.body().to_vec()).unwrap();
        ["front", "engine", "attempt"].iter().all(|hop| text.contains(hop))
    });
    assert_eq!(instance.stop(), StopOutcome::Graceful);
}
