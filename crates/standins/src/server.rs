//! Server for HTTP/1.1 and HTTP/2 whose connections can be reset or drained at run time.

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
    /// Answers a request from `peer`, or closes its connection without a reply.
    fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Reply, NoReply>> + Send;

    /// Limits for a new connection; called after each accept.
    fn limits(&self, _peer: SocketAddr) -> ConnLimits {
        ConnLimits::default()
    }
}

/// Limits that apply to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnLimits {
    /// Maximum number of open connections; further ones are closed right after the accept.
    pub max_conns: u32,
    /// Delay between the accept and the first read.
    pub read_delay: Duration,
}

impl Default for ConnLimits {
    fn default() -> ConnLimits {
        ConnLimits { max_conns: u32::MAX, read_delay: Duration::ZERO }
    }
}

/// Signals to all connections of a listener. Incrementing a counter sends its signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnSignals {
    /// Drops all connections at once.
    pub resets: u64,
    /// Closes all connections after their requests in progress (GOAWAY on HTTP/2).
    pub drains: u64,
}

/// Serves `listener` until the future is dropped.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    signals: watch::Receiver<ConnSignals>,
    handler: H,
) {
    let open = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // The process may be out of file descriptors until other connections close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let limits = handler.limits(peer);
        let Some(slot) = ConnSlot::try_acquire(&open, limits.max_conns) else { continue };
        let (handler, signals) = (handler.clone(), signals.clone());
        tokio::spawn(async move {
            let _slot = slot;
            serve_connection(stream, peer, limits.read_delay, signals, handler).await;
        });
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    delay: Duration,
    mut signals: watch::Receiver<ConnSignals>,
    handler: H,
) {
    let mut handled = *signals.borrow_and_update();
    tokio::time::sleep(delay).await;
    // Without this, a small reply may wait for the acknowledgement of an earlier one.
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
            // Once the signal channel is closed, this branch is disabled and the connection stays
            // open.
            Ok(()) = signals.changed() => {
                let current = *signals.borrow_and_update();
                if current.resets != handled.resets {
                    return;
                }
                if current.drains != handled.drains {
                    conn.as_mut().graceful_shutdown();
                }
                handled = current;
            }
        }
    }
}

/// Counts an open connection until it is dropped.
struct ConnSlot(Arc<AtomicU32>);

impl ConnSlot {
    fn try_acquire(open: &Arc<AtomicU32>, max: u32) -> Option<ConnSlot> {
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
