//! The client against the platform stand-in.

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
    server::{self, ConnOrders, Handler},
};
use rosemarybank_store::{
    CallCounts, CallError, Settings, StoreClient, Watch, WatchEvent, WriteOutcome,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

const KEPT_CHANGES: usize = 20;

const HEALTHY: u8 = 0;
const LOSES_REPLIES: u8 = 1;
const SILENT: u8 = 2;
const REFUSES_REQUESTS: u8 = 3;

/// The stand-in with faults in front of it.
#[derive(Clone)]
struct Faulty {
    service: PlatformService,
    mode: Arc<AtomicU8>,
}

impl Handler for Faulty {
    async fn handle(&self, req: Request<Incoming>, peer: SocketAddr) -> Result<Reply, NoReply> {
        match self.mode.load(Ordering::SeqCst) {
            LOSES_REPLIES => {
                let _ = self.service.handle(req, peer).await;
                Err(NoReply)
            }
            SILENT => std::future::pending().await,
            REFUSES_REQUESTS => Err(NoReply),
            _ => self.service.handle(req, peer).await,
        }
    }
}

struct Platform {
    addr: SocketAddr,
    mode: Arc<AtomicU8>,
    orders: watch::Sender<ConnOrders>,
}

impl Platform {
    async fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let orders = watch::Sender::default();
        let mode = Arc::new(AtomicU8::new(HEALTHY));
        let handler = Faulty {
            service: PlatformService::new(Store::keeping(KEPT_CHANGES)),
            mode: mode.clone(),
        };
        tokio::spawn(server::serve(listener, orders.subscribe(), handler));
        Platform { addr, mode, orders }
    }

    fn client(&self) -> StoreClient {
        client_of(self.addr)
    }

    fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }

    fn reset_connections(&self) {
        self.orders.send_modify(|it| it.resets += 1);
    }
}

fn client_of(addr: SocketAddr) -> StoreClient {
    let settings = Settings::builder()
        .addr(addr)
        .seed(1)
        .call_timeout(Duration::from_millis(300))
        .watch_wait(Duration::from_secs(20))
        .backoff_base(Duration::from_millis(2))
        .build();
    StoreClient::new(settings)
}

fn applied(change: WriteOutcome) -> u64 {
    match change {
        WriteOutcome::Applied { version } => version,
        other => panic!("not applied: {other:?}"),
    }
}

async fn next(watch: &mut Watch) -> WatchEvent {
    tokio::time::timeout(Duration::from_secs(10), watch.next()).await.expect("an event in time")
}

/// Guards against outcomes of conditional changes that are mixed up.
#[tokio::test]
async fn changes_tell_applied_from_conflict() {
    let client = Platform::start().await.client();
    let path = "claims/buyer é?/01";
    let first = applied(client.create(path, "1").await);
    assert_eq!(client.create(path, "2").await, WriteOutcome::Conflict { current: Some(first) });
    let second = applied(client.update(path, first, "3").await);
    assert_eq!(
        client.update(path, first, "4").await,
        WriteOutcome::Conflict { current: Some(second) }
    );
    let object = client.get(path).await.unwrap().unwrap();
    assert_eq!((object.version, &object.value[..]), (second, &b"3"[..]));
    assert_eq!(client.list("claims/").await.unwrap().objects, [object]);

    assert_eq!(client.delete(path, first).await, WriteOutcome::Conflict { current: Some(second) });
    applied(client.delete(path, second).await);
    assert_eq!(client.delete(path, second).await, WriteOutcome::Conflict { current: None });
    assert_eq!(client.get(path).await, Ok(None));
    let counts = CallCounts { get: 2, list: 1, create: 2, update: 2, delete: 3, watch: 0 };
    assert_eq!(client.counts(), counts);
}

/// Guards against bytes of one direction, or of calls of one kind, that are not counted.
#[tokio::test]
async fn the_bytes_of_calls_and_replies_are_counted() {
    const LEN: u64 = 10_000;
    let client = Platform::start().await.client();
    assert_eq!(client.transferred_bytes(), 0);
    let path = "config/current";
    let value = format!("\"{}\"", "x".repeat(LEN as usize));
    applied(client.create(path, value).await);
    let created = client.transferred_bytes();
    // The reply to a write holds the object.
    assert!((2 * LEN..2 * LEN + 500).contains(&created), "{created}");
    client.get(path).await.unwrap().unwrap();
    let read = client.transferred_bytes() - created;
    assert!((LEN..LEN + 500).contains(&read), "{read}");
    next(&mut client.watch("config/")).await;
    assert!(client.transferred_bytes() - created - read >= LEN);
}

/// Guards against a change that was applied but is reported as not applied.
#[tokio::test]
async fn a_lost_reply_is_unknown() {
    let platform = Platform::start().await;
    let client = platform.client();
    applied(client.create("a", "1").await);
    platform.set(LOSES_REPLIES);
    let change = client.create("b", "1").await;
    assert!(matches!(change, WriteOutcome::Unknown(CallError::Lost(_))), "{change:?}");
    platform.set(SILENT);
    assert_eq!(client.create("c", "1").await, WriteOutcome::Unknown(CallError::Timeout));
    platform.set(REFUSES_REQUESTS);
    let change = client.create("d", "1").await;
    assert!(matches!(change, WriteOutcome::Unknown(_)), "{change:?}");

    platform.set(HEALTHY);
    assert!(client.get("b").await.unwrap().is_some());
    assert!(client.get("c").await.unwrap().is_none());
    assert!(client.get("d").await.unwrap().is_none());
}

/// Guards against calls that report an unknown outcome although nothing was sent.
#[tokio::test]
async fn an_unreachable_or_refusing_platform_applies_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let change = client_of(addr).create("a", "1").await;
    assert!(matches!(change, WriteOutcome::NotApplied(CallError::Connect(_))), "{change:?}");

    let client = Platform::start().await.client();
    let change = client.create("a", "not JSON").await;
    assert_eq!(change, WriteOutcome::NotApplied(CallError::Refused(400)));
    let change = client.create("a", vec![b'1'; (1 << 20) + 1]).await;
    assert_eq!(change, WriteOutcome::NotApplied(CallError::Refused(413)));
    assert_eq!(client.get("a").await, Ok(None));
}

/// Guards against a client that stays on a connection that was closed.
#[tokio::test]
async fn calls_reconnect() {
    let platform = Platform::start().await;
    let client = platform.client();
    for round in 0..3 {
        applied(client.create(&format!("a/{round}"), "1").await);
        platform.reset_connections();
        // A call that meets the closing connection may fail, and then its successor must not.
        let _ = client.get("a/0").await;
    }
    assert_eq!(client.list("a/").await.unwrap().objects.len(), 3);
}

/// Guards against a watch that misses changes across a broken connection.
#[tokio::test]
async fn a_watch_resumes_from_its_revision() {
    let platform = Platform::start().await;
    let (client, writer) = (platform.client(), platform.client());
    applied(writer.create("w/a", "1").await);
    let mut watch = client.watch("w/");
    let WatchEvent::Listed(listing) = next(&mut watch).await else { panic!("a list comes first") };
    assert_eq!(listing.objects.len(), 1);

    platform.reset_connections();
    let version = applied(platform.client().create("w/b", "2").await);
    let changes = loop {
        match next(&mut watch).await {
            WatchEvent::Changed(changes) => break changes,
            WatchEvent::Interrupted(_) => {}
            WatchEvent::Listed(_) => panic!("the revision was still kept"),
        }
    };
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].path.as_str(), changes[0].version), ("w/b", version));
    assert_eq!(client.counts().list, 1);
}

/// Guards against a watch that stops, or goes on with a gap, when its revision was compacted.
#[tokio::test]
async fn a_watch_lists_again_after_compaction() {
    let platform = Platform::start().await;
    let (client, writer) = (platform.client(), platform.client());
    let mut watch = client.watch("w/");
    assert!(matches!(next(&mut watch).await, WatchEvent::Listed(_)));
    // These writes push the watched revision out of the kept changes.
    let mut version = applied(writer.create("other", "0").await);
    for _ in 0..KEPT_CHANGES {
        version = applied(writer.update("other", version, "0").await);
    }
    applied(writer.create("w/a", "1").await);
    let WatchEvent::Listed(listing) = next(&mut watch).await else { panic!("a list is due") };
    assert_eq!(listing.objects.len(), 1);
}

/// Guards against a watch that waits its whole time on a connection whose other end has vanished.
#[tokio::test]
async fn a_dead_connection_interrupts_a_watch() {
    let platform = Platform::start().await;
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = client_of(relay.local_addr().unwrap());
    let cut = relay_to(relay, platform.addr);
    let mut watch = client.watch("w/");
    assert!(matches!(next(&mut watch).await, WatchEvent::Listed(_)));
    cut.send_replace(true);
    let event = tokio::time::timeout(Duration::from_secs(5), watch.next()).await;
    let event = event.expect("the watch ends long before its 20 s");
    assert_eq!(event, WatchEvent::Interrupted(CallError::Timeout));
}

/// Passes bytes on until the returned switch is set; then it keeps connections and passes nothing.
fn relay_to(listener: TcpListener, to: SocketAddr) -> watch::Sender<bool> {
    let cut = watch::Sender::new(false);
    let mut switch = cut.subscribe();
    tokio::spawn(async move {
        let (mut near, _) = listener.accept().await.unwrap();
        let mut far = TcpStream::connect(to).await.unwrap();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
            _ = async { switch.wait_for(|it| *it).await.is_ok() } => {}
        }
        std::future::pending::<()>().await;
    });
    cut
}
