//! Admin port: metrics, statsd, traces and status.

mod common;

use std::{net::UdpSocket, time::Duration};

use common::{TestEnv, eventually};
use http::Method;
use serde_json::Value;

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";

/// Guards against spans that are missing from a trace or have the wrong parent.
#[test]
fn a_trace_links_all_spans_of_a_request() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    let parent = format!("00-{TRACE_ID}-b7ad6b7169203331-01");
    let headers = [("traceparent", parent.as_str())];
    let path = "/v1/services/stock/search";
    env.send_as_desk(
        Method::POST,
        instance.daemon.callers_addr,
        path,
        &headers,
        r#"{"query":"plum"}"#,
    );
    let mut spans = Vec::new();
    eventually("the trace has four spans", || {
        let path = format!("/traces/{TRACE_ID}");
        let reply = env.send(Method::GET, instance.daemon.admin_addr, &path, &[], "");
        let trace: Value = serde_json::from_slice(reply.body()).unwrap();
        spans = trace["spans"].as_array().cloned().unwrap_or_default();
        spans.len() >= 4
    });
    let hop = |name: &str| spans.iter().filter(|it| it["hop"] == name).collect::<Vec<_>>();
    let (front, engine, attempts) = (hop("front"), hop("engine"), hop("attempt"));
    assert_eq!(front[0]["parent_id"], "b7ad6b7169203331");
    assert_eq!(engine[0]["parent_id"], front[0]["span_id"]);
    assert!(attempts.len() >= 2, "one attempt for each shard");
    assert!(attempts.iter().all(|it| it["parent_id"] == engine[0]["span_id"]));
    let missing = env.send(Method::GET, instance.daemon.admin_addr, "/traces/12", &[], "");
    assert_eq!(missing.status(), 404);
}

/// Guards against metrics that are not reported or not sent to the statsd address.
#[test]
fn metrics_are_served_and_sent_to_statsd() {
    let env = TestEnv::start();
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    statsd.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let metrics = format!("metrics: {{ statsd: {} }}", statsd.local_addr().unwrap());
    let instance = env.start_instance_with_settings(&metrics);
    let mut sent = Vec::new();
    let mut buf = [0; 2_048];
    while !sent.iter().any(|it: &String| it.starts_with("rosemarybank.requests_total:1|c")) {
        let n = statsd.recv(&mut buf).unwrap();
        sent.push(String::from_utf8(buf[..n].to_vec()).unwrap());
    }
    eventually("the counters are served", || {
        let reply = env.send(Method::GET, instance.daemon.admin_addr, "/metrics", &[], "");
        let text = String::from_utf8(reply.body().to_vec()).unwrap();
        let is_positive = |name: &str| {
            let line = text.lines().find_map(|it| it.strip_prefix(name));
            line.and_then(|it| it.trim().parse::<u64>().ok()).is_some_and(|n| n > 0)
        };
        [
            r#"rosemarybank_requests_total{service="stock",status="200"}"#,
            "rosemarybank_platform_calls_total",
            "rosemarybank_attempts_total",
            r#"rosemarybank_control_bytes_total{kind="platform"}"#,
            r#"rosemarybank_control_bytes_total{kind="poll"}"#,
            "rosemarybank_connections_total",
            "rosemarybank_replicas",
            "rosemarybank_version",
        ]
        .iter()
        .all(|name| is_positive(name))
    });
}

/// Guards against a status without what operators need: the configuration version, the numbers of
/// replicas and instances, the watcher role and the number of store calls.
#[test]
fn the_status_reports_version_and_replicas() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    eventually("the status is complete", || {
        let reply = env.send(Method::GET, instance.daemon.admin_addr, "/status", &[], "");
        let status: Value = serde_json::from_slice(reply.body()).unwrap();
        status["instance"] == "entry-1"
            && status["version"] == 1
            && status["replicas"] == 6
            && status["fleet_size"] == 1
            && status["is_watcher"] == true
            && status["platform_calls"].as_u64().unwrap() > 0
    });
    let health = env.send(Method::GET, instance.daemon.admin_addr, "/health", &[], "");
    assert_eq!(health.status(), 200);
}
