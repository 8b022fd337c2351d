//! Accept loop for HTTP/1.1 and h2 whose connections can be reset or drained at run time.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use http::Request;
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
};

use crate::http::{NoReply, Reply};

/// Answers the requests of a listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request from `peer`, or ends it without a reply.
    fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Reply, NoReply>> + Send;

    /// Limits for a new connection, asked at each accept.
    fn limits(&self, _peer: SocketAddr) -> ConnLimits {
        ConnLimits::default()
    }
}

/// How a listener treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnLimits {
    /// Connections at once; a further one is closed at once.
    pub max_conns: u32,
    /// Delay between the accept and the first byte that is read.
    pub read_delay: Duration,
}

impl Default for ConnLimits {
    fn default() -> ConnLimits {
        ConnLimits { max_conns: u32::MAX, read_delay: Duration::ZERO }
    }
}

/// Counts the orders to all connections of a listener; a change is the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnSignals {
    /// Grows when every connection is to be dropped at once.
    pub resets: u64,
    /// Grows when every connection is to finish its requests and close (GOAWAY on h2).
    pub drains: u64,
}

/// Serves `listener` until the task is dropped.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    orders: watch::Receiver<ConnSignals>,
    handler: H,
) {
    let open = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Accepting fails while the process is out of file descriptors; closing ones end that.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let limits = handler.limits(peer);
        let Some(slot) = ConnSlot::take(&open, limits.max_conns) else { continue };
        let (handler, orders) = (handler.clone(), orders.clone());
        tokio::spawn(async move {
            let _slot = slot;
            serve_connection(stream, peer, limits.read_delay, orders, handler).await;
        });
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    delay: Duration,
    mut orders: watch::Receiver<ConnSignals>,
    handler: H,
) {
    let mut seen = *orders.borrow_and_update();
    tokio::time::sleep(delay).await;
    // Small replies must not wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new()).max_concurrent_streams(1_000);
    let closing = Arc::new(Notify::new());
    let service = service_fn(|req| {
        let (handler, closing) = (handler.clone(), closing.clone());
        async move {
            let result = handler.handle(req, peer).await;
            if result.is_err() {
                closing.notify_one();
            }
            result
        }
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    loop {
        tokio::select! {
            biased;
            () = closing.notified() => return,
            _ = conn.as_mut() => return,
            // Without a giver of orders, the connection runs on.
            Ok(()) = orders.changed() => {
                let now = *orders.borrow_and_update();
                if now.resets != seen.resets {
                    return;
                }
                if now.drains != seen.drains {
                    conn.as_mut().graceful_shutdown();
                }
                seen = now;
            }
        }
    }
}

struct ConnSlot(Arc<AtomicU32>);

impl ConnSlot {
    fn take(open: &Arc<AtomicU32>, max: u32) -> Option<ConnSlot> {
        if open.fetch_add(1, Ordering::Relaxed) >= max {
            open.fetch_sub(1, Ordering::Relaxed);
            return None;
        }
        Some(ConnSlot(open.clone()))
    }
}

impl Drop for ConnSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
