//! Servers for the tool: stand-ins, and an entry instance with a fixed response.

use std::{net::SocketAddr, sync::mpsc, thread};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use rosemarybank_protocol::prelude::*;
use rosemarybank_standins::{
    http::{NoReply, Reply, json},
    platform::{PlatformService, Store, store::Condition},
    server::{self, Handler},
    upstream::{ReplicaSpec, start},
};
use serde_json::value::to_raw_value;
use tokio::{net::TcpListener, sync::watch};

/// Serves on a new thread until the test process exits.
pub fn serve(handler: impl Handler) -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tx.send(listener.local_addr().unwrap()).unwrap();
            let commands = watch::Sender::default();
            server::serve(listener, commands.subscribe(), handler).await;
        });
    });
    rx.recv().unwrap()
}

/// Serves the platform's object API from `store`.
pub fn platform(store: Store) -> SocketAddr {
    serve(PlatformService::new(store))
}

/// Starts replicas and returns their entries for the platform's list.
pub fn replicas(specs: Vec<ReplicaSpec>) -> Vec<rosemarybank_protocol::platform::InstanceEntry> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let replicas = start::start_replicas(specs, 1).await.unwrap();
            tx.send(replicas.iter().map(|it| start::instance_entry(&it.spec)).collect()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    rx.recv().unwrap()
}

/// Stores an object as JSON.
pub fn put_object(store: &mut Store, path: &str, value: &impl serde::Serialize) {
    store.put(path, Condition::None, to_raw_value(value).unwrap()).unwrap();
}

/// Entry instance whose search responses cover half of the records.
#[derive(Clone, Default)]
pub struct HalfCoverageEntry {
    searches: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

impl Handler for HalfCoverageEntry {
    async fn handle(&self, req: Request<Incoming>, _: SocketAddr) -> Result<Reply, NoReply> {
        use std::sync::atomic::Ordering;
        if req.uri().path() == "/metrics" {
            let attempts = 3 * self.searches.load(Ordering::Relaxed);
            let text = format!("rosemarybank_attempts_total {attempts}\n");
            return Ok(Reply::new(text.into()));
        }
        self.searches.fetch_add(1, Ordering::Relaxed);
        let upper = KeyRange::new(1 << 63, u64::MAX).unwrap();
        let resp = SearchResponse {
            snapshot: 7,
            complete: false,
            coverage: Coverage {
                records_covered: 50,
                records_total: RecordTotal::Exact(100),
                missing: vec![MissingRange { range: upper, reason: MissingReason::Deadline }],
            },
            hits: vec![Hit { key: 17, score: 3, record: "oak blank".into() }],
            trace_id: "4bf92f3577b34da6a3ce929d0e0e4736".into(),
        };
        Ok(json(StatusCode::OK, &resp))
    }
}
