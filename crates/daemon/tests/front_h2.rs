//! The front over h2: limits of streams and heads, resets, and a graceful stop.

#[path = "common/front.rs"]
mod common;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use common::{Front, HEAD_TIMEOUT};
use h2::{
    Reason,
    client::{ResponseFuture, SendRequest},
};
use http::{Method, Request, Version};
use rosemarybank_daemon::{lifecycle::Phase, message::FrontToEngine};
use tokio::{net::TcpStream, sync::oneshot, time::timeout};

type Stream = (ResponseFuture, h2::SendStream<Bytes>);

/// An open connection and the signal of its end.
struct Client {
    requests: SendRequest<Bytes>,
    closed: oneshot::Receiver<Result<(), h2::Error>>,
    max_streams: usize,
}

async fn connect(front: &Front) -> Client {
    let socket = TcpStream::connect(front.addr).await.unwrap();
    let (requests, mut conn) = h2::client::handshake(socket).await.unwrap();
    let (settled, limit) = oneshot::channel();
    let (tx, closed) = oneshot::channel();
    tokio::spawn(async move {
        // The server's settings arrive with its first frames.
        let _ = timeout(Duration::from_millis(50), &mut conn).await;
        let _ = settled.send(conn.max_concurrent_send_streams());
        let _ = tx.send(conn.await);
    });
    Client { requests, closed, max_streams: limit.await.unwrap() }
}

fn search(client: &mut Client, headers: &[(&str, &str)]) -> Stream {
    try_search(client, headers).unwrap()
}

/// Fails when the front has closed the connection.
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

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async { timeout(Duration::from_secs(20), test).await.unwrap() })
}

/// Guards against one connection that takes the whole instance, and against heads without limit.
#[test]
fn streams_and_heads_are_bounded() {
    let front = Front::start(16, 16);
    run(async {
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

/// Guards against searches that go on after their stream was reset.
#[test]
fn a_reset_stream_cancels_its_search() {
    let mut front = Front::start(16, 16);
    run(async {
        let mut client = connect(&front).await;
        let (response, mut stream) = search(&mut client, &[]);
        let query = tokio::task::block_in_place(|| front.next_query());
        stream.send_reset(Reason::CANCEL);
        drop(response);
        match tokio::task::block_in_place(|| front.next()) {
            FrontToEngine::CallerGone { query: gone } => assert_eq!(gone, query),
            other => panic!("{other:?}"),
        }
    });
}

/// Guards against a caller that opens and resets streams without end: each search that reached
/// the engine must be cancelled there, and other callers must be served.
#[test]
fn rapid_resets_leave_nothing_behind() {
    let mut front = Front::start(64, 16);
    run(async {
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
        let mut open = std::collections::HashSet::new();
        while let Some(message) = front.try_next() {
            match message {
                FrontToEngine::Submit { submission, .. } => assert!(open.insert(submission.query)),
                FrontToEngine::CallerGone { query } => assert!(open.remove(&query)),
            }
            tokio::time::sleep(Duration::from_micros(50)).await;
        }
        assert!(open.is_empty(), "{} searches are left", open.len());
        let mut client = connect(&front).await;
        let (response, _stream) = search(&mut client, &[]);
        let query = tokio::task::block_in_place(|| front.next_query());
        front.answer(query);
        assert_eq!(response.await.unwrap().status(), 200);
    });
}

/// Guards against idle connections that hold a place for good.
#[test]
fn idle_connections_are_closed() {
    let front = Front::start(16, 16);
    run(async {
        let client = connect(&front).await;
        let closed = timeout(HEAD_TIMEOUT * 4, client.closed).await;
        assert!(closed.is_ok(), "still open");
    });
}

/// Guards against a stop that cuts off a stream in flight.
#[test]
fn a_draining_front_finishes_its_streams() {
    let mut front = Front::start(16, 16);
    run(async {
        let mut client = connect(&front).await;
        let (response, _stream) = search(&mut client, &[]);
        let query = tokio::task::block_in_place(|| front.next_query());
        front.lifecycle.advance_to(Phase::Draining);
        tokio::time::sleep(Duration::from_millis(100)).await;
        front.answer(query);
        assert_eq!(response.await.unwrap().status(), 200);
        assert!(timeout(Duration::from_secs(2), client.closed).await.is_ok());
    });
    front.thread.join().unwrap();
}
