//! Peer clients and servers over loopback sockets.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, StatusCode};
use proptest::{prelude::*, test_runner::RngSeed};
use rosemarybank_protocol::{
    peer::{ConfigUpdate, MAX_PEER_MESSAGE_LEN, PeerEnvelope, PeerMessage},
    platform::SignedBundle,
};
use rosemarybank_transport::{
    peer::{PeerClient, PeerClientSettings, PeerError, PeerHandler, PeerServerSettings, serve},
    traffic::ByteCounter,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

/// Replies to each message with the message itself; replies to a `ConfigFetch` only after `delay`.
#[derive(Clone)]
struct Echo {
    delay: Duration,
    handled: Arc<AtomicU32>,
}

impl PeerHandler for Echo {
    async fn handle(&self, envelope: PeerEnvelope) -> PeerMessage {
        self.handled.fetch_add(1, Ordering::SeqCst);
        if let PeerMessage::ConfigFetch { .. } = envelope.message {
            tokio::time::sleep(self.delay).await;
        }
        envelope.message
    }
}

struct Server {
    addr: SocketAddr,
    stop: CancellationToken,
    handled: Arc<AtomicU32>,
    bytes: ByteCounter,
    task: JoinHandle<()>,
}

impl Server {
    async fn start(addr: &str, delay: Duration) -> Server {
        let listener = TcpListener::bind(addr).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let handler = Echo { delay, handled: Arc::default() };
        let (stop, handled) = (CancellationToken::new(), handler.handled.clone());
        let bytes = ByteCounter::default();
        let settings = PeerServerSettings::builder()
            .name("e2")
            .byte_counter(bytes.clone())
            .message_timeout(Duration::from_millis(500))
            .build();
        let task = tokio::spawn(serve(listener, settings, handler, stop.clone()));
        Server { addr, stop, handled, bytes, task }
    }

    fn client(&self) -> PeerClient {
        PeerClient::new(PeerClientSettings::builder().addr(self.addr).from("e1").build())
    }
}

fn push(len: usize) -> PeerMessage {
    PeerMessage::ConfigPush(ConfigUpdate::Whole(SignedBundle {
        version: 1,
        signer: "ops".into(),
        bundle: "x".repeat(len),
        signature: "AA==".into(),
    }))
}

/// Guards against replies that are lost, truncated or attributed to another sender.
#[tokio::test]
async fn messages_of_all_sizes_receive_a_reply() {
    let server = Server::start("127.0.0.1:0", Duration::ZERO).await;
    let client = server.client();
    for len in [0, 100, 70_000, 1 << 20] {
        let reply = client.send(push(len)).await.unwrap();
        assert_eq!((reply.from.as_str(), reply.message), ("e2", push(len)));
    }
    assert_eq!(client.send(push(MAX_PEER_MESSAGE_LEN)).await, Err(PeerError::TooLarge));
}

/// Guards against bytes that only one end of a connection counts, or that are counted twice.
#[tokio::test]
async fn both_ends_count_the_same_bytes() {
    let server = Server::start("127.0.0.1:0", Duration::ZERO).await;
    let bytes = ByteCounter::default();
    let settings =
        PeerClientSettings::builder().addr(server.addr).from("e1").byte_counter(bytes.clone());
    let client = PeerClient::new(settings.build());
    let mut before = 0;
    for len in [0, 100, 70_000] {
        client.send(push(len)).await.unwrap();
        assert_eq!(bytes.total(), server.bytes.total());
        let growth = bytes.total() - before;
        before = bytes.total();
        // The payload is sent in both directions; envelopes and headers are short.
        let min_bytes = 2 * len as u64 + 1;
        assert!((min_bytes..min_bytes + 200).contains(&growth), "{len}: {growth}");
    }
}

/// Guards against a client that stays disconnected after its peer restarted.
#[tokio::test]
async fn a_client_reconnects_after_a_peer_restart() {
    let server = Server::start("127.0.0.1:0", Duration::ZERO).await;
    let client = server.client();
    client.send(PeerMessage::Ack).await.unwrap();
    server.stop.cancel();
    server.task.await.unwrap();
    client.send(PeerMessage::Ack).await.unwrap_err();
    let error = client.send(PeerMessage::Ack).await.unwrap_err();
    assert!(matches!(error, PeerError::Connect(_)), "{error:?}");

    let server = Server::start(&server.addr.to_string(), Duration::ZERO).await;
    client.send(PeerMessage::Ack).await.unwrap();
    assert_eq!(server.handled.load(Ordering::SeqCst), 1);
}

/// Guards against a stop that aborts a message in progress.
#[tokio::test]
async fn a_stop_completes_messages_in_progress() {
    let server = Server::start("127.0.0.1:0", Duration::from_millis(100)).await;
    let client = Arc::new(server.client());
    let fetch = {
        let client = client.clone();
        tokio::spawn(async move { client.send(PeerMessage::ConfigFetch { have: None }).await })
    };
    while server.handled.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.stop.cancel();
    fetch.await.unwrap().unwrap();
    server.task.await.unwrap();
}

/// Guards against a client that waits forever for a peer that does not reply, and a server that
/// waits forever for its handler.
#[tokio::test]
async fn unresponsive_peers_and_handlers_time_out() {
    // The kernel completes the TCP handshake, but nothing replies on the connection.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let timeout = Duration::from_millis(50);
    let settings = PeerClientSettings::builder().addr(addr).from("e1").timeout(timeout).build();
    let start = Instant::now();
    assert_eq!(PeerClient::new(settings).send(PeerMessage::Ack).await, Err(PeerError::Timeout));
    assert!(start.elapsed() < Duration::from_secs(5));

    let server = Server::start("127.0.0.1:0", Duration::from_secs(60)).await;
    let fetch = server.client().send(PeerMessage::ConfigFetch { have: None }).await;
    assert_eq!(fetch, Err(PeerError::Refused(408)));
}

/// Guards against a server that reads a body beyond the size limit, with or without a
/// `content-length` header.
#[tokio::test]
async fn oversized_bodies_are_refused_before_they_are_complete() {
    let server = Server::start("127.0.0.1:0", Duration::ZERO).await;
    let len = MAX_PEER_MESSAGE_LEN + 1;
    for content_length in [Some(len), None] {
        let stream = TcpStream::connect(server.addr).await.unwrap();
        let (mut sender, conn) = h2::client::handshake(stream).await.unwrap();
        tokio::spawn(conn);
        let mut req = Request::post(format!("http://{}/peer", server.addr));
        if let Some(len) = content_length {
            req = req.header("content-length", len);
        }
        let (reply, mut body) = sender.send_request(req.body(()).unwrap(), false).unwrap();
        if content_length.is_none() {
            body.send_data(Bytes::from(vec![1; len]), false).unwrap();
        }
        let reply = tokio::time::timeout(Duration::from_secs(5), reply).await.unwrap();
        assert_eq!(reply.unwrap().status(), StatusCode::PAYLOAD_TOO_LARGE);
    }
    assert_eq!(server.handled.load(Ordering::SeqCst), 0);
    server.client().send(PeerMessage::Ack).await.unwrap();
}

/// Guards against a server that panics, hangs or stops serving other clients after it received
/// arbitrary bytes as an HTTP/2 connection or as the body of a message.
#[test]
fn the_server_tolerates_arbitrary_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let server = runtime.block_on(Server::start("127.0.0.1:0", Duration::ZERO));
    let config =
        ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() };
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    proptest!(config, |(bytes in bytes, preface in any::<bool>())| {
        runtime.block_on(send_raw(server.addr, &bytes, preface));
        let status = runtime.block_on(post(server.addr, bytes));
        prop_assert!(status.is_client_error(), "{status}");
        runtime.block_on(server.client().send(PeerMessage::Ack)).unwrap();
    });
}

async fn send_raw(addr: SocketAddr, bytes: &[u8], preface: bool) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    if preface {
        stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").await.unwrap();
    }
    // The server may close the connection at the first invalid byte.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut rest = Vec::new();
    let read = stream.read_to_end(&mut rest);
    let _ = tokio::time::timeout(Duration::from_secs(5), read)
        .await
        .expect("the server does not close the connection");
}

async fn post(addr: SocketAddr, body: Vec<u8>) -> StatusCode {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut sender, conn) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(conn);
    let req = Request::post(format!("http://{addr}/peer")).body(()).unwrap();
    let (reply, mut stream) = sender.send_request(req, false).unwrap();
    stream.send_data(body.into(), true).unwrap();
    tokio::time::timeout(Duration::from_secs(5), reply).await.unwrap().unwrap().status()
}
