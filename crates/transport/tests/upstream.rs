//! Outcomes of requests to upstreams that reply, refuse, disconnect or hang.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use h2::{Reason, RecvStream, server::SendResponse};
use http::{HeaderValue, Request, Response};
use rosemarybank_protocol::{
    key_range::KeyRange,
    upstream::{
        DEADLINE_HEADER, ShardRequest, UpstreamAction, UpstreamActionReply, UpstreamErrorKind,
    },
};
use rosemarybank_transport::upstream::{
    CallOptions, CallOutcome, GoingAway, Pool, PoolSettings, QueryText, ShardCall, Target,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

type Server = h2::server::Connection<TcpStream, Bytes>;
type Incoming = (Request<RecvStream>, SendResponse<Bytes>);

struct Upstream {
    listener: TcpListener,
    addr: SocketAddr,
}

impl Upstream {
    async fn bind() -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        Upstream { listener, addr }
    }

    async fn accept(&self) -> Server {
        let (socket, _) = self.listener.accept().await.unwrap();
        h2::server::handshake(socket).await.unwrap()
    }

    fn target(&self) -> Target {
        Target { replica: "lots-1".into(), addr: self.addr, max_connections: 1 }
    }
}

fn pool() -> (Pool, mpsc::UnboundedReceiver<GoingAway>) {
    let (tx, rx) = mpsc::unbounded_channel();
    (Pool::new(PoolSettings::builder().build(), tx), rx)
}

fn options_with_timeout(ms: u64) -> CallOptions {
    let traceparent = HeaderValue::from_static("00-1-2-01");
    CallOptions {
        deadline: Instant::now() + Duration::from_millis(ms),
        traceparent: Some(traceparent),
    }
}

async fn run_action(pool: &Pool, target: &Target, ms: u64) -> CallOutcome<UpstreamActionReply> {
    let action =
        UpstreamAction { service: "lots".into(), key: "key".into(), body: "one lot".into() };
    pool.run_action(target, &action, &options_with_timeout(ms)).await
}

async fn next_request(server: &mut Server) -> Incoming {
    server.accept().await.unwrap().unwrap()
}

fn send_reply(respond: &mut SendResponse<Bytes>, status: u16, body: &'static str) {
    let head = Response::builder().status(status).body(()).unwrap();
    let mut stream = respond.send_response(head, false).unwrap();
    stream.send_data(Bytes::from_static(body.as_bytes()), true).unwrap();
}

/// Drives the connection until it closes, so that pending frames are written.
async fn serve_until_closed(mut server: Server) {
    while let Some(Ok(_)) = server.accept().await {}
}

/// Outcome of an action whose connection is served by `serve`.
async fn run_action_against(
    serve: impl AsyncFnOnce(Server),
    ms: u64,
) -> CallOutcome<UpstreamActionReply> {
    let upstream = Upstream::bind().await;
    let (pool, _goaways) = pool();
    let target = upstream.target();
    let serving = async { serve(upstream.accept().await).await };
    let (outcome, ()) = tokio::join!(run_action(&pool, &target, ms), serving);
    outcome
}

/// Guards against a request without its deadline or trace context.
#[tokio::test]
async fn a_request_carries_its_headers_and_returns_the_reply() {
    let serve = async |mut server: Server| {
        let (req, mut respond) = next_request(&mut server).await;
        let remaining_ms: u64 = req.headers()[DEADLINE_HEADER].to_str().unwrap().parse().unwrap();
        assert!((1..=1_000).contains(&remaining_ms));
        assert_eq!(req.headers()["traceparent"], "00-1-2-01");
        send_reply(&mut respond, 200, r#"{"result":"taken"}"#);
        let _ = timeout(Duration::from_millis(200), serve_until_closed(server)).await;
    };
    let want = UpstreamActionReply { result: "taken".into() };
    assert_eq!(run_action_against(serve, 1_000).await, CallOutcome::Reply(want));
}

/// Guards against accepting a refusal whose HTTP status contradicts its error kind.
#[tokio::test]
async fn a_refusal_requires_the_matching_status() {
    for (status, kind) in [(503, UpstreamErrorKind::Shed), (500, UpstreamErrorKind::Failed)] {
        let serve = async |mut server: Server| {
            let (_req, mut respond) = next_request(&mut server).await;
            send_reply(&mut respond, status, r#"{"error":"shed"}"#);
            let _ = timeout(Duration::from_millis(200), serve_until_closed(server)).await;
        };
        let CallOutcome::Refused(err) = run_action_against(serve, 1_000).await else {
            panic!("{status}")
        };
        assert_eq!(err.error, kind);
    }
}

/// Guards against reporting a request as not sent after its connection broke: a retry would execute
/// the action twice.
#[tokio::test]
async fn a_disconnect_after_the_send_is_reported() {
    let serve = async |mut server: Server| drop(next_request(&mut server).await);
    assert_eq!(run_action_against(serve, 1_000).await, CallOutcome::Disconnected);
}

/// Guards against treating a stream reset as a sign of a crash, and a stream that was reset with an
/// error as not sent.
#[tokio::test]
async fn only_a_refused_stream_counts_as_not_sent() {
    for (reason, not_sent) in [(Reason::REFUSED_STREAM, true), (Reason::INTERNAL_ERROR, false)] {
        let serve = async |mut server: Server| {
            let (_req, mut respond) = next_request(&mut server).await;
            respond.send_reset(reason);
            let _ = timeout(Duration::from_millis(200), serve_until_closed(server)).await;
        };
        let outcome = run_action_against(serve, 1_000).await;
        assert_eq!(outcome == CallOutcome::NotSent, not_sent, "{reason:?}: {outcome:?}");
        assert_ne!(outcome, CallOutcome::Disconnected);
    }
}

/// Guards against reporting a request as not sent although the GOAWAY covers its stream, and as sent
/// although the GOAWAY excludes it.
#[tokio::test]
async fn the_last_stream_of_goaway_determines_the_outcome() {
    let covered = async |mut server: Server| {
        let _request = next_request(&mut server).await;
        server.abrupt_shutdown(Reason::INTERNAL_ERROR);
        let _ = timeout(Duration::from_millis(200), serve_until_closed(server)).await;
    };
    assert_eq!(run_action_against(covered, 1_000).await, CallOutcome::Disconnected);

    // This GOAWAY is sent before the request is read, so its last stream is 0.
    let uncovered = async |mut server: Server| {
        sleep(Duration::from_millis(50)).await;
        server.abrupt_shutdown(Reason::NO_ERROR);
        let _ = timeout(Duration::from_millis(200), serve_until_closed(server)).await;
    };
    assert_eq!(run_action_against(uncovered, 1_000).await, CallOutcome::NotSent);
}

/// Guards against reporting a disconnect, which is a sign of a crash, for a replica that closes
/// accepted connections immediately because it is at its connection limit.
#[tokio::test]
async fn a_connection_closed_after_accept_carries_no_request() {
    let upstream = Upstream::bind().await;
    let (pool, _goaways) = pool();
    let target = upstream.target();
    let closing = tokio::spawn(async move {
        loop {
            drop(upstream.listener.accept().await.unwrap());
        }
    });
    for _ in 0..20 {
        assert_eq!(run_action(&pool, &target, 1_000).await, CallOutcome::NotSent);
        sleep(Duration::from_millis(10)).await;
    }
    closing.abort();
}

/// Guards against requests that wait until their deadline for an unreachable upstream.
#[tokio::test]
async fn requests_to_an_unreachable_replica_fail_before_their_deadline() {
    let upstream = Upstream::bind().await;
    let target = upstream.target();
    drop(upstream);
    let (pool, _goaways) = pool();
    let started = Instant::now();
    assert_eq!(run_action(&pool, &target, 5_000).await, CallOutcome::NotSent);
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against a request that keeps occupying a slot of the upstream after its deadline passed or
/// its future was dropped. Its stream must be reset.
#[tokio::test]
async fn the_deadline_and_a_dropped_request_reset_the_stream() {
    let upstream = Upstream::bind().await;
    let (pool, _goaways) = pool();
    let target = upstream.target();
    let serving = async {
        let mut server = upstream.accept().await;
        for _ in 0..2 {
            let (_req, mut respond) = next_request(&mut server).await;
            let reset = async { std::future::poll_fn(|cx| respond.poll_reset(cx)).await.unwrap() };
            let reason = tokio::select! {
                it = reset => it,
                _ = server.accept() => panic!("unexpected request"),
            };
            assert_eq!(reason, Reason::CANCEL);
        }
    };
    let requesting = async {
        assert_eq!(run_action(&pool, &target, 100).await, CallOutcome::TimedOut);
        // Lets the server receive the first reset before the second request.
        sleep(Duration::from_millis(100)).await;
        let dropped = timeout(Duration::from_millis(100), run_action(&pool, &target, 60_000)).await;
        assert!(dropped.is_err());
        sleep(Duration::from_millis(200)).await;
    };
    timeout(Duration::from_secs(5), async { tokio::join!(serving, requesting) }).await.unwrap();
}

/// Guards against an unreported GOAWAY, and against exceeding the connection limit: the second
/// connection may only be opened after the first has closed.
#[tokio::test]
async fn goaway_is_reported_and_the_connection_limit_is_kept() {
    let upstream = Upstream::bind().await;
    let (pool, mut goaways) = pool();
    let target = upstream.target();
    pool.set_targets([target.clone()]);
    let mut first = timeout(Duration::from_secs(1), upstream.accept()).await.unwrap();
    let requesting = tokio::spawn({
        let (pool, target) = (pool.clone(), target.clone());
        async move { run_action(&pool, &target, 2_000).await }
    });
    let (_req, mut respond) = next_request(&mut first).await;
    first.graceful_shutdown();
    let serving = tokio::spawn(serve_until_closed(first));
    let goaway = timeout(Duration::from_secs(1), goaways.recv()).await.unwrap().unwrap();
    assert_eq!(goaway.replica, "lots-1");
    assert!(timeout(Duration::from_millis(100), upstream.listener.accept()).await.is_err());

    send_reply(&mut respond, 200, r#"{"result":"taken"}"#);
    assert!(matches!(requesting.await.unwrap(), CallOutcome::Reply(_)));
    timeout(Duration::from_secs(1), serving).await.unwrap().unwrap();
    drop(timeout(Duration::from_secs(2), upstream.accept()).await.unwrap());
}

/// Guards against sending all later requests on a connection through a dead network path.
#[tokio::test]
async fn a_connection_without_incoming_bytes_is_replaced() {
    let upstream = Upstream::bind().await;
    let (pool, _goaways) = pool();
    let target = Target { max_connections: 2, ..upstream.target() };
    pool.set_targets([target.clone()]);
    let mut first = upstream.accept().await;
    // Reads the SETTINGS frame of the client, and then nothing more.
    assert!(timeout(Duration::from_millis(100), first.accept()).await.is_err());
    sleep(Duration::from_millis(1_100)).await;
    assert_eq!(run_action(&pool, &target, 100).await, CallOutcome::TimedOut);
    let serving = async {
        let mut second = timeout(Duration::from_secs(2), upstream.accept()).await.unwrap();
        let (_req, mut respond) = next_request(&mut second).await;
        send_reply(&mut respond, 200, r#"{"result":"taken"}"#);
        let _ = timeout(Duration::from_millis(200), serve_until_closed(second)).await;
    };
    let (outcome, ()) = tokio::join!(run_action(&pool, &target, 2_000), serving);
    assert!(matches!(outcome, CallOutcome::Reply(_)), "{outcome:?}");
}

/// Guards against a body whose pieces do not make up the request.
#[tokio::test]
async fn queries_of_any_length_arrive_whole() {
    let upstream = Upstream::bind().await;
    let (pool, _notices) = pool();
    let target = upstream.target();
    let (tx, mut bodies) = mpsc::unbounded_channel();
    let server = async {
        let mut server = upstream.accept().await;
        while let Some(Ok((req, mut respond))) = server.accept().await {
            let tx = tx.clone();
            tokio::spawn(async move {
                let mut stream = req.into_body();
                let mut body = Vec::new();
                while let Some(Ok(data)) = stream.data().await {
                    stream.flow_control().release_capacity(data.len()).unwrap();
                    body.extend_from_slice(&data);
                }
                tx.send(body).unwrap();
                let response = Response::builder().status(500).body(()).unwrap();
                let _ = respond.send_response(response, true);
            });
        }
    };
    let client = async {
        for len in [0, 1, 4_000, 5_000, 300_000] {
            let query = "dry \"cherry\"\n".chars().cycle().take(len).collect::<String>();
            let call = ShardCall {
                service: "stock".into(),
                snapshot: 7,
                range: KeyRange::ALL,
                limit: 20,
                query: QueryText::new(&query),
            };
            let _ = pool.search(&target, &call, &options_with_timeout(5_000)).await;
            let received: ShardRequest =
                serde_json::from_slice(&bodies.recv().await.unwrap()).unwrap();
            assert_eq!((received.snapshot, received.limit), (7, 20));
            assert_eq!(received.range, KeyRange::ALL);
            assert!(received.query == query, "{len} bytes");
        }
    };
    tokio::select! { () = server => {}, () = client => {} }
}
