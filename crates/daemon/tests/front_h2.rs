//! The front over HTTP/2: limits on streams and heads, resets, and graceful shutdown.

#[path = "common/front.rs"]
mod common;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use common::{HEAD_TIMEOUT, TestFront};
use h2::{
    Reason,
    client::{ResponseFuture, SendRequest},
};
use http::{Method, Request, Version};
use rosemarybank_daemon::{lifecycle::Phase, message::FrontToEngine};
use tokio::{net::TcpStream, sync::oneshot, time::timeout};

type Stream = (ResponseFuture, h2::SendStream<Bytes>);

/// Client of an open connection.
struct Client {
    requests: SendRequest<Bytes>,
    /// Receives the result of the connection when it is closed.
    closed: oneshot::Receiver<Result<(), h2::Error>>,
    max_streams: usize,
}

async fn connect(front: &TestFront) -> Client {
    let socket = TcpStream::connect(front.addr).await.unwrap();
    let (requests, mut conn) = h2::client::handshake(socket).await.unwrap();
    let (limit_tx, limit_rx) = oneshot::channel();
    let (closed_tx, closed) = oneshot::channel();
    tokio::spawn(async move {
        // The server's settings arrive with its first frames.
        let _ = timeout(Duration::from_millis(50), &mut conn).await;
        let _ = limit_tx.send(conn.max_concurrent_send_streams());
        let _ = closed_tx.send(conn.await);
    });
    Client { requests, closed, max_streams: limit_rx.await.unwrap() }
}

fn search(client: &mut Client, headers: &[(&str, &str)]) -> Stream {
    try_search(client, headers).unwrap()
}

/// Sends a search, or returns an error if the front has closed the connection.
fn try_search(client: &mut Client, headers: &[(&str, &str)]) -> Result<Stream, h2::Error> {
    let mut req = Request::builder()
        .method(Method::POST)
        .version(Version::HTTP_2)
        .uri("http://entry/v1/services/stock/search")
        .header("authorization", "Bearer t");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let (response, mut stream) = client.requests.send_request(req.body(()).unwrap(), false)?;
    stream.send_data(Bytes::from_static(br#"{"query":"a"}"#), true)?;
    Ok((response, stream))
}

fn run_with_timeout<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async { timeout(Duration::from_secs(20), test).await.unwrap() })
}

/// Guards against a connection that uses all capacity of an instance, and against request heads of
/// unlimited size.
#[test]
fn streams_and_heads_are_bounded() {
    let front = TestFront::start(16, 16);
    run_with_timeout(async {
        let mut client = connect(&front).await;
        assert_eq!(client.max_streams, 8);
        let long = "y".repeat(20_000);
        let (response, _stream) = search(&mut client, &[("x", &long)]);
        match response.await {
            Ok(response) => assert_eq!(response.status(), 431),
            Err(err) => assert!(err.is_reset() || err.is_go_away(), "{err}"),
        }
    });
}

/// Guards against searches that continue after their stream was reset.
#[test]
fn a_reset_stream_cancels_its_search() {
    let mut front = TestFront::start(16, 16);
    run_with_timeout(async {
        let mut client = connect(&front).await;
        let (response, mut stream) = search(&mut client, &[]);
        let query = tokio::task::block_in_place(|| front.next_submission());
        stream.send_reset(Reason::CANCEL);
        drop(response);
        match tokio::task::block_in_place(|| front.next_message()) {
            FrontToEngine::CallerGone { query: cancelled } => assert_eq!(cancelled, query),
            other => panic!("{other:?}"),
        }
    });
}

/// Guards against a caller that keeps opening and resetting streams: each search that reached the
/// engine must be cancelled there, and other callers must be served.
#[test]
fn rapid_resets_leave_no_searches_in_progress() {
    let mut front = TestFront::start(64, 16);
    run_with_timeout(async {
        for _ in 0..3 {
            let mut client = connect(&front).await;
            for _ in 0..400 {
                let Ok((_response, mut stream)) = try_search(&mut client, &[]) else { break };
                stream.send_reset(Reason::CANCEL);
                tokio::task::yield_now().await;
            }
            let closed = timeout(Duration::from_secs(2), client.closed).await;
            assert!(closed.is_ok(), "the connection is still open");
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut in_progress = std::collections::HashSet::new();
        while let Some(message) = front.try_next_message() {
            match message {
                FrontToEngine::Submit { submission, .. } => {
                    assert!(in_progress.insert(submission.query))
                }
                FrontToEngine::CallerGone { query } => assert!(in_progress.remove(&query)),
            }
            tokio::time::sleep(Duration::from_micros(50)).await;
        }
        assert!(in_progress.is_empty(), "{} searches are left", in_progress.len());
        let mut client = connect(&front).await;
        let (response, _stream) = search(&mut client, &[]);
        let query = tokio::task::block_in_place(|| front.next_submission());
        front.send_result(query);
        assert_eq!(response.await.unwrap().status(), 200);
    });
}

/// Guards against idle connections that are never closed.
#[test]
fn idle_connections_are_closed() {
    let front = TestFront::start(16, 16);
    run_with_timeout(async {
        let client = connect(&front).await;
        let closed = timeout(HEAD_TIMEOUT * 4, client.closed).await;
        assert!(closed.is_ok(), "still open");
    });
}

/// Guards against a stop that aborts a stream in flight.
#[test]
fn a_draining_front_finishes_its_streams() {
    let mut front = TestFront::start(16, 16);
    run_with_timeout(async {
        let mut client = connect(&front).await;
        let (response, _stream) = search(&mut client, &[]);
        let query = tokio::task::block_in_place(|| front.next_submission());
        front.lifecycle.advance_to(Phase::Draining);
        tokio::time::sleep(Duration::from_millis(100)).await;
        front.send_result(query);
        assert_eq!(response.await.unwrap().status(), 200);
        assert!(timeout(Duration::from_secs(2), client.closed).await.is_ok());
    });
    front.thread.join().unwrap();
}
