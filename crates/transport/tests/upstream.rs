//! Outcomes of requests to upstreams that answer, refuse, vanish or stay silent.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use h2::{Reason, RecvStream, server::SendResponse};
use http::{HeaderValue, Request, Response};
use rosemarybank_protocol::upstream::{
    DEADLINE_HEADER, UpstreamAction, UpstreamActionReply, UpstreamErrorKind,
};
use rosemarybank_transport::upstream::{
    CallOptions, CallOutcome, GoingAway, Pool, PoolSettings, Target,
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

fn call_within(ms: u64) -> CallOptions {
    let traceparent = HeaderValue::from_static("00-1-2-01");
    CallOptions {
        deadline: Instant::now() + Duration::from_millis(ms),
        traceparent: Some(traceparent),
    }
}

async fn act(pool: &Pool, target: &Target, ms: u64) -> CallOutcome<UpstreamActionReply> {
    let action =
        UpstreamAction { service: "lots".into(), key: "key".into(), body: "one lot".into() };
    pool.run_action(target, &action, &call_within(ms)).await
}

async fn next(server: &mut Server) -> Incoming {
    server.accept().await.unwrap().unwrap()
}

fn answer(respond: &mut SendResponse<Bytes>, status: u16, body: &'static str) {
    let head = Response::builder().status(status).body(()).unwrap();
    let mut stream = respond.send_response(head, false).unwrap();
    stream.send_data(Bytes::from_static(body.as_bytes()), true).unwrap();
}

/// Serves the connection, so that frames are written, until it ends.
async fn drain(mut server: Server) {
    while let Some(Ok(_)) = server.accept().await {}
}

async fn outcome_when(
    serve: impl AsyncFnOnce(Server),
    ms: u64,
) -> CallOutcome<UpstreamActionReply> {
    let upstream = Upstream::bind().await;
    let (pool, _notices) = pool();
    let target = upstream.target();
    let serving = async { serve(upstream.accept().await).await };
    let (outcome, ()) = tokio::join!(act(&pool, &target, ms), serving);
    outcome
}

/// Guards against a request that goes out without its deadline or trace.
#[tokio::test]
async fn a_reply_is_read_and_the_headers_are_sent() {
    let serve = async |mut server: Server| {
        let (req, mut respond) = next(&mut server).await;
        let left: u64 = req.headers()[DEADLINE_HEADER].to_str().unwrap().parse().unwrap();
        assert!((1..=1_000).contains(&left));
        assert_eq!(req.headers()["traceparent"], "00-1-2-01");
        answer(&mut respond, 200, r#"{"result":"taken"}"#);
        let _ = timeout(Duration::from_millis(200), drain(server)).await;
    };
    let want = UpstreamActionReply { result: "taken".into() };
    assert_eq!(outcome_when(serve, 1_000).await, CallOutcome::Reply(want));
}

/// Guards against a refusal that is believed although its status contradicts it.
#[tokio::test]
async fn a_refusal_counts_only_with_its_own_status() {
    for (status, kind) in [(503, UpstreamErrorKind::Shed), (500, UpstreamErrorKind::Failed)] {
        let serve = async |mut server: Server| {
            let (_req, mut respond) = next(&mut server).await;
            answer(&mut respond, status, r#"{"error":"shed"}"#);
            let _ = timeout(Duration::from_millis(200), drain(server)).await;
        };
        let CallOutcome::Refused(err) = outcome_when(serve, 1_000).await else {
            panic!("{status}")
        };
        assert_eq!(err.error, kind);
    }
}

/// Guards against a disconnect after the send that is reported as not sent, which would let an
/// action run twice.
#[tokio::test]
async fn a_disconnect_after_the_send_is_told_apart() {
    let serve = async |mut server: Server| drop(next(&mut server).await);
    assert_eq!(outcome_when(serve, 1_000).await, CallOutcome::Disconnected);
}

/// Guards against a refused stream that is taken for a crash.
#[tokio::test]
async fn a_refused_stream_was_not_sent_and_a_failed_one_was() {
    for (reason, not_sent) in [(Reason::REFUSED_STREAM, true), (Reason::INTERNAL_ERROR, false)] {
        let serve = async |mut server: Server| {
            let (_req, mut respond) = next(&mut server).await;
            respond.send_reset(reason);
            let _ = timeout(Duration::from_millis(200), drain(server)).await;
        };
        let outcome = outcome_when(serve, 1_000).await;
        assert_eq!(outcome == CallOutcome::NotSent, not_sent, "{reason:?}: {outcome:?}");
        assert_ne!(outcome, CallOutcome::Disconnected);
    }
}

/// Guards against a GOAWAY that covers the request being taken for a refusal of it, and the
/// reverse.
#[tokio::test]
async fn the_last_stream_of_a_goaway_decides() {
    let covered = async |mut server: Server| {
        let _held = next(&mut server).await;
        server.abrupt_shutdown(Reason::INTERNAL_ERROR);
        let _ = timeout(Duration::from_millis(200), drain(server)).await;
    };
    assert_eq!(outcome_when(covered, 1_000).await, CallOutcome::Disconnected);

    // Sent before the request was read: last stream 0.
    let uncovered = async |mut server: Server| {
        sleep(Duration::from_millis(50)).await;
        server.abrupt_shutdown(Reason::NO_ERROR);
        let _ = timeout(Duration::from_millis(200), drain(server)).await;
    };
    assert_eq!(outcome_when(uncovered, 1_000).await, CallOutcome::NotSent);
}

/// Guards against a crash sign for a replica that accepts connections and closes them at once,
/// as one at its limit of connections does.
#[tokio::test]
async fn a_connection_that_is_closed_at_once_is_not_used() {
    let upstream = Upstream::bind().await;
    let (pool, _notices) = pool();
    let target = upstream.target();
    let closing = tokio::spawn(async move {
        loop {
            drop(upstream.listener.accept().await.unwrap());
        }
    });
    for _ in 0..20 {
        assert_eq!(act(&pool, &target, 1_000).await, CallOutcome::NotSent);
        sleep(Duration::from_millis(10)).await;
    }
    closing.abort();
}

/// Guards against requests that wait for an upstream that cannot be reached.
#[tokio::test]
async fn an_unreachable_replica_is_reported_at_once() {
    let upstream = Upstream::bind().await;
    let target = upstream.target();
    drop(upstream);
    let (pool, _notices) = pool();
    let started = Instant::now();
    assert_eq!(act(&pool, &target, 5_000).await, CallOutcome::NotSent);
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against a late reply that occupies a slot: the stream must be reset at the deadline,
/// and when the caller drops the request.
#[tokio::test]
async fn the_deadline_and_a_dropped_request_reset_the_stream() {
    let upstream = Upstream::bind().await;
    let (pool, _notices) = pool();
    let target = upstream.target();
    let serving = async {
        let mut server = upstream.accept().await;
        for _ in 0..2 {
            let (_req, mut respond) = next(&mut server).await;
            let reset = async { std::future::poll_fn(|cx| respond.poll_reset(cx)).await.unwrap() };
            let reason = tokio::select! {
                it = reset => it,
                _ = server.accept() => panic!("an unexpected request"),
            };
            assert_eq!(reason, Reason::CANCEL);
        }
    };
    let asking = async {
        assert_eq!(act(&pool, &target, 100).await, CallOutcome::TimedOut);
        // Lets the server see the first reset before the second request.
        sleep(Duration::from_millis(100)).await;
        let dropped = timeout(Duration::from_millis(100), act(&pool, &target, 60_000)).await;
        assert!(dropped.is_err());
        sleep(Duration::from_millis(200)).await;
    };
    timeout(Duration::from_secs(5), async { tokio::join!(serving, asking) }).await.unwrap();
}

/// Guards against a draining replica that goes unnoticed, and against more connections than the
/// share: the second connection may only be opened when the first has ended.
#[tokio::test]
async fn goaway_is_reported_and_the_share_is_kept() {
    let upstream = Upstream::bind().await;
    let (pool, mut notices) = pool();
    let target = upstream.target();
    pool.set_targets([target.clone()]);
    let mut first = timeout(Duration::from_secs(1), upstream.accept()).await.unwrap();
    let asking = tokio::spawn({
        let (pool, target) = (pool.clone(), target.clone());
        async move { act(&pool, &target, 2_000).await }
    });
    let (_req, mut respond) = next(&mut first).await;
    first.graceful_shutdown();
    let serving = tokio::spawn(drain(first));
    let notice = timeout(Duration::from_secs(1), notices.recv()).await.unwrap().unwrap();
    assert_eq!(notice.replica, "lots-1");
    assert!(timeout(Duration::from_millis(100), upstream.listener.accept()).await.is_err());

    answer(&mut respond, 200, r#"{"result":"taken"}"#);
    assert!(matches!(asking.await.unwrap(), CallOutcome::Reply(_)));
    timeout(Duration::from_secs(1), serving).await.unwrap().unwrap();
    drop(timeout(Duration::from_secs(2), upstream.accept()).await.unwrap());
}

/// Guards against a connection through a dead link that takes every later request with it.
#[tokio::test]
async fn a_connection_without_any_sign_of_life_is_replaced() {
    let upstream = Upstream::bind().await;
    let (pool, _notices) = pool();
    let target = Target { max_connections: 2, ..upstream.target() };
    pool.set_targets([target.clone()]);
    let mut first = upstream.accept().await;
    // Reads the client's settings, and then nothing more.
    assert!(timeout(Duration::from_millis(100), first.accept()).await.is_err());
    sleep(Duration::from_millis(1_100)).await;
    assert_eq!(act(&pool, &target, 100).await, CallOutcome::TimedOut);
    let serving = async {
        let mut second = timeout(Duration::from_secs(2), upstream.accept()).await.unwrap();
        let (_req, mut respond) = next(&mut second).await;
        answer(&mut respond, 200, r#"{"result":"taken"}"#);
        let _ = timeout(Duration::from_millis(200), drain(second)).await;
    };
    let (outcome, ()) = tokio::join!(act(&pool, &target, 2_000), serving);
    assert!(matches!(outcome, CallOutcome::Reply(_)), "{outcome:?}");
}
