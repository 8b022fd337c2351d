//! Store client against the platform stand-in.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use http::Request;
use hyper::body::Incoming;
use rosemarybank_standins::{
    http::{NoReply, Reply},
    platform::{PlatformService, Store},
    server::{self, ConnSignals, Handler},
};
use rosemarybank_store::{
    CallCounts, CallError, Settings, StoreClient, Watch, WatchEvent, WriteOutcome,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Number of changes that the stand-in keeps before it compacts them.
const KEPT_CHANGES: usize = 20;

/// Requests are processed and answered.
const HEALTHY: u8 = 0;
/// Requests are processed, but the connection is closed without a reply.
const LOSE_REPLIES: u8 = 1;
/// Requests are neither processed nor answered.
const HANG: u8 = 2;
/// The connection is closed before a request is processed.
const DROP_REQUESTS: u8 = 3;

/// Injects faults into the requests of the stand-in.
#[derive(Clone)]
struct FaultInjector {
    service: PlatformService,
    mode: Arc<AtomicU8>,
}

impl Handler for FaultInjector {
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Result<Reply, NoReply> {
        match self.mode.load(Ordering::SeqCst) {
            LOSE_REPLIES => {
                let _ = self.service.handle(req, peer).await;
                Err(NoReply)
            }
            HANG => std::future::pending().await,
            DROP_REQUESTS => Err(NoReply),
            _ => self.service.handle(req, peer).await,
        }
    }
}

struct Platform {
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    orders: watch::Sender<ConnSignals>,
}

impl Platform {
    async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let orders = watch::Sender::default();
        let mode = Arc::new(AtomicU8::new(HEALTHY));
        let handler = FaultInjector {
            service: PlatformService::new(Store::with_history_limit(KEPT_CHANGES)),
            mode: mode.clone(),
        };
        tokio::spawn(server::serve(listener, orders.subscribe(), handler));
        Platform { addr, mode, orders }
    }

    fn client(&self) -> StoreClient {
        client_for(self.addr)
    }

    fn set_mode(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }

    fn reset_connections(&self) {
        self.orders.send_modify(|it| it.resets += 1);
    }
}

fn client_for(addr: SocketAddr) -> StoreClient {
    let settings = Settings::builder()
        .addr(addr)
        .seed(1)
        .call_timeout(Duration::from_millis(300))
        .watch_wait(Duration::from_secs(20))
        .backoff_base(Duration::from_millis(2))
        .build();
    StoreClient::new(settings)
}

fn applied_version(outcome: WriteOutcome) -> u64 {
    match outcome {
        WriteOutcome::Applied { version } => version,
        other => panic!("not applied: {other:?}"),
    }
}

async fn next_event(watch: &mut Watch) -> WatchEvent {
    tokio::time::timeout(Duration::from_secs(10), watch.next()).await.expect("no event within 10 s")
}

/// Guards against mixing up the outcomes of conditional writes.
#[tokio::test]
async fn conditional_writes_distinguish_applied_from_conflict() {
    let client = Platform::start().await.client();
    let path = "claims/buyer é?/01";
    let first = applied_version(client.create(path, "1").await);
    assert_eq!(client.create(path, "2").await, WriteOutcome::Conflict { current: Some(first) });
    let second = applied_version(client.update(path, first, "3").await);
    assert_eq!(
        client.update(path, first, "4").await,
        WriteOutcome::Conflict { current: Some(second) }
    );
    let object = client.get(path).await.unwrap().unwrap();
    assert_eq!((object.version, &object.value[..]), (second, &b"3"[..]));
    assert_eq!(client.list("claims/").await.unwrap().objects, [object]);

    assert_eq!(client.delete(path, first).await, WriteOutcome::Conflict { current: Some(second) });
    applied_version(client.delete(path, second).await);
    assert_eq!(client.delete(path, second).await, WriteOutcome::Conflict { current: None });
    assert_eq!(client.get(path).await, Ok(None));
    let counts = CallCounts { get: 2, list: 1, create: 2, update: 2, delete: 3, watch: 0 };
    assert_eq!(client.counts(), counts);
}

/// Guards against byte counts that miss a direction or a kind of call.
#[tokio::test]
async fn bytes_of_requests_and_replies_are_counted() {
    const LEN: u64 = 10_000;
    let client = Platform::start().await.client();
    assert_eq!(client.transferred_bytes(), 0);
    let path = "config/current";
    let value = format!("\"{}\"", "x".repeat(LEN as usize));
    applied_version(client.create(path, value).await);
    let created = client.transferred_bytes();
    // The reply to a write contains the object.
    assert!((2 * LEN..2 * LEN + 500).contains(&created), "{created}");
    client.get(path).await.unwrap().unwrap();
    let read = client.transferred_bytes() - created;
    assert!((LEN..LEN + 500).contains(&read), "{read}");
    next_event(&mut client.watch("config/")).await;
    assert!(client.transferred_bytes() - created - read >= LEN);
}

/// Guards against reporting a write as not applied although its reply was lost or timed out: it may
/// have been applied.
#[tokio::test]
async fn a_write_without_a_reply_has_an_unknown_outcome() {
    let platform = Platform::start().await;
    let client = platform.client();
    applied_version(client.create("a", "1").await);
    platform.set_mode(LOSE_REPLIES);
    let outcome = client.create("b", "1").await;
    assert!(matches!(outcome, WriteOutcome::Unknown(CallError::Lost(_))), "{outcome:?}");
    platform.set_mode(HANG);
    assert_eq!(client.create("c", "1").await, WriteOutcome::Unknown(CallError::Timeout));
    platform.set_mode(DROP_REQUESTS);
    let outcome = client.create("d", "1").await;
    assert!(matches!(outcome, WriteOutcome::Unknown(_)), "{outcome:?}");

    platform.set_mode(HEALTHY);
    assert!(client.get("b").await.unwrap().is_some());
    assert!(client.get("c").await.unwrap().is_none());
    assert!(client.get("d").await.unwrap().is_none());
}

/// Guards against an unknown outcome when the platform was not reached or refused the write.
#[tokio::test]
async fn unsent_and_refused_writes_are_not_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let outcome = client_for(addr).create("a", "1").await;
    assert!(matches!(outcome, WriteOutcome::NotApplied(CallError::Connect(_))), "{outcome:?}");

    let client = Platform::start().await.client();
    let outcome = client.create("a", "not JSON").await;
    assert_eq!(outcome, WriteOutcome::NotApplied(CallError::Refused(400)));
    let outcome = client.create("a", vec![b'1'; (1 << 20) + 1]).await;
    assert_eq!(outcome, WriteOutcome::NotApplied(CallError::Refused(413)));
    assert_eq!(client.get("a").await, Ok(None));
}

/// Guards against a client that keeps using a closed connection.
#[tokio::test]
async fn calls_reconnect_after_a_reset() {
    let platform = Platform::start().await;
    let client = platform.client();
    for round in 0..3 {
        applied_version(client.create(&format!("a/{round}"), "1").await);
        platform.reset_connections();
        // A call on the closing connection may fail, but the next call must succeed.
        let _ = client.get("a/0").await;
    }
    assert_eq!(client.list("a/").await.unwrap().objects.len(), 3);
}

/// Guards against a watch that misses changes made while its connection was down.
#[tokio::test]
async fn a_watch_resumes_from_its_last_revision() {
    let platform = Platform::start().await;
    let (client, writer) = (platform.client(), platform.client());
    applied_version(writer.create("w/a", "1").await);
    let mut watch = client.watch("w/");
    let WatchEvent::Listed(listing) = next_event(&mut watch).await else {
        panic!("the first event is not a list")
    };
    assert_eq!(listing.objects.len(), 1);

    platform.reset_connections();
    let version = applied_version(platform.client().create("w/b", "2").await);
    let changes = loop {
        match next_event(&mut watch).await {
            WatchEvent::Changed(changes) => break changes,
            WatchEvent::Interrupted(_) => {}
            WatchEvent::Listed(_) => panic!("listed again although the revision was not compacted"),
        }
    };
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].path.as_str(), changes[0].version), ("w/b", version));
    assert_eq!(client.counts().list, 1);
}

/// Guards against a watch that stops or skips changes after its revision was compacted.
#[tokio::test]
async fn a_watch_lists_again_after_compaction() {
    let platform = Platform::start().await;
    let (client, writer) = (platform.client(), platform.client());
    let mut watch = client.watch("w/");
    assert!(matches!(next_event(&mut watch).await, WatchEvent::Listed(_)));
    // These writes compact the watched revision.
    let mut version = applied_version(writer.create("other", "0").await);
    for _ in 0..KEPT_CHANGES {
        version = applied_version(writer.update("other", version, "0").await);
    }
    applied_version(writer.create("w/a", "1").await);
    let WatchEvent::Listed(listing) = next_event(&mut watch).await else {
        panic!("not listed again after compaction")
    };
    assert_eq!(listing.objects.len(), 1);
}

/// Guards against a watch that waits for its whole `watch_wait` on a connection whose peer is
/// unreachable.
#[tokio::test]
async fn a_dead_connection_interrupts_a_watch() {
    let platform = Platform::start().await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = client_for(relay.local_addr().unwrap());
    let partition = relay_to(relay, platform.addr);
    let mut watch = client.watch("w/");
    assert!(matches!(next_event(&mut watch).await, WatchEvent::Listed(_)));
    partition.send_replace(true);
    let event = tokio::time::timeout(Duration::from_secs(5), watch.next()).await;
    let event = event.expect("the watch is not interrupted within 5 s");
    assert_eq!(event, WatchEvent::Interrupted(CallError::Timeout));
}

/// Relays one connection until the returned flag is set. The connection then stays open, but no
/// bytes are relayed.
fn relay_to(listener: TcpListener, to: SocketAddr) -> watch::Sender<bool> {
    let partition = watch::Sender::new(false);
    let mut partitioned = partition.subscribe();
    tokio::spawn(async move {
        let (mut inbound, _) = listener.accept().await.unwrap();
        let mut outbound = TcpStream::connect(to).await.unwrap();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound) => {}
            _ = async { partitioned.wait_for(|it| *it).await.is_ok() } => {}
        }
        std::future::pending::<()>().await;
    });
    partition
}
