//! HTTP API of the platform stand-in.

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use rosemarybank_standins::{
    client::HttpClient,
    platform::{PlatformService, Store},
    server,
};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let signals = watch::Sender::default();
    tokio::spawn(async move {
        server::serve(listener, signals.subscribe(), PlatformService::new(Store::default())).await;
    });
    addr
}

/// Guards against replies without the version that a conditional update needs.
#[tokio::test]
async fn conditional_updates_work_over_http1_and_h2() {
    let addr = start().await;
    for (client, path) in [(HttpClient::http1(), "/objects/a"), (HttpClient::h2(), "/objects/b")] {
        let put = |headers, body| client.send(Method::PUT, addr, path, headers, body);
        let created = put(&[("if-none-match", "*")], r#"{"n":1}"#).await.unwrap();
        assert_eq!(created.status(), StatusCode::OK);
        let etag = created.headers()["etag"].to_str().unwrap().to_owned();
        let conflict = put(&[("if-none-match", "*")], "2").await.unwrap();
        assert_eq!(conflict.status(), StatusCode::PRECONDITION_FAILED);
        assert_eq!(conflict.headers()["etag"], etag.as_str());

        let headers = [("if-match", etag.as_str())];
        let updated = client.send(Method::PUT, addr, path, &headers, "2").await.unwrap();
        assert_eq!(updated.status(), StatusCode::OK);
        let got = client.send(Method::GET, addr, path, &[], "").await.unwrap();
        assert_eq!(got.body(), "2");
        assert_eq!(got.headers()["etag"], updated.headers()["etag"]);

        let stale = client.send(Method::DELETE, addr, path, &headers, "").await.unwrap();
        assert_eq!(stale.status(), StatusCode::PRECONDITION_FAILED);
        let deleted = client.send(Method::DELETE, addr, path, &[], "").await.unwrap();
        assert_eq!(deleted.status(), StatusCode::OK);
        let gone = client.send(Method::GET, addr, path, &[], "").await.unwrap();
        assert_eq!(gone.status(), StatusCode::NOT_FOUND);
    }
}

/// Guards against a watch that misses a change made while it waits, or never returns.
#[tokio::test]
async fn a_watch_returns_changes_and_the_revision_to_resume_from() {
    let addr = start().await;
    let client = HttpClient::http1();
    let path = "/watch?prefix=status%2F&after=0&wait_ms=10000";
    let watch = client.send(Method::GET, addr, path, &[], "");
    let change = async {
        // The watch, which is polled first, is sent before the change.
        tokio::time::sleep(Duration::from_millis(20)).await;
        client.send(Method::PUT, addr, "/objects/other/x", &[], "1").await.unwrap();
        client.send(Method::PUT, addr, "/objects/status/dc1", &[], "[]").await.unwrap();
    };
    let (reply, ()) = tokio::join!(watch, change);
    let reply: Value = serde_json::from_slice(reply.unwrap().body()).unwrap();
    let change = json!({ "path": "status/dc1", "version": 2, "value": [] });
    assert_eq!(reply, json!({ "revision": 2, "changes": [change] }));

    let path = "/watch?prefix=status/&after=2&wait_ms=10";
    let idle = client.send(Method::GET, addr, path, &[], "").await.unwrap();
    assert_eq!(idle.body(), r#"{"revision":2,"changes":[]}"#);
    let path = "/watch?prefix=status/&after=3&wait_ms=10";
    let ahead = client.send(Method::GET, addr, path, &[], "").await.unwrap();
    assert_eq!(ahead.status(), StatusCode::GONE);
}
