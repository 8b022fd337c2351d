//! Server for HTTP/1.1 and HTTP/2 that limits the resources held by idle, slow and malicious
//! clients.
//!
//! hyper's own timeouts do not cover a client that sends nothing or only part of an HTTP/2
//! preface, so each connection also has an idle timeout.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use gotham::helpers::http::Body;
use http::{Request, Response, Version};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore},
    time,
};
use tokio_util::task::TaskTracker;

use crate::lifecycle::{Phase, PhaseWatch};

/// Delay after a failed accept, which usually means that file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Idle time after which an HTTP/1.1 connection is closed once draining has begun.
///
/// HTTP/1.1 has no GOAWAY frame: closing a connection as soon as it is idle would lose a request
/// that is already on the wire. A request that arrives within this time is still served, and its
/// response carries `connection: close`.
const HTTP1_CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Limits of an HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum number of concurrent connections.
    pub max_connections: u32,
    /// Maximum number of concurrent streams per HTTP/2 connection.
    pub streams_per_connection: u32,
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: u32,
    /// Time allowed for receiving a request head, and idle timeout of a connection without
    /// requests in flight.
    pub head_timeout: Duration,
    /// First phase in which no connections are accepted and open ones complete their requests.
    pub drain_from: Phase,
}

/// Responds to requests.
pub trait Handler: Clone + Send + 'static {
    /// Responds to a request of the client at `peer`. The future is dropped when the client
    /// disconnects.
    fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Response<Body>, Infallible>> + Send;
}

/// Receives connection events, for metrics.
pub trait ConnectionObserver: Clone + Send + 'static {
    /// Called when a connection is accepted.
    fn accepted(&self);
    /// Called when a connection is closed by force because it stayed idle or was too slow.
    fn closed_as_idle(&self);
}

/// Accepts and serves connections until the phase `drain_from`, and returns when the last
/// connection is closed.
pub async fn serve(
    listener: TcpListener,
    limits: HttpLimits,
    handler: impl Handler,
    observer: impl ConnectionObserver,
    mut phase: PhaseWatch,
    log: Logger,
) {
    let permits = Arc::new(Semaphore::new(limits.max_connections as usize));
    let tracker = TaskTracker::new();
    let connection_phase = phase.clone();
    let mut draining = pin!(phase.wait_for(limits.drain_from));
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit,
            () = &mut draining => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut draining => break,
        };
        match accepted {
            Ok((socket, peer)) => {
                observer.accepted();
                let (handler, observer) = (handler.clone(), observer.clone());
                let (phase, log) = (connection_phase.clone(), log.clone());
                tracker.spawn(async move {
                    serve_connection(socket, peer, limits, handler, observer, phase, log).await;
                    drop(permit);
                });
            }
            Err(err) => {
                warn!(log, "failed to accept a connection"; "error" => %err);
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections in the listen backlog may already carry requests, so they are served as well, even
    // above `max_connections`.
    while let Some(Ok((socket, peer))) = now_or_never(listener.accept()).await {
        observer.accepted();
        let (handler, observer) = (handler.clone(), observer.clone());
        let served = serve_connection(
            socket,
            peer,
            limits,
            handler,
            observer,
            connection_phase.clone(),
            log.clone(),
        );
        tracker.spawn(served);
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

/// Serves one connection until it is closed.
async fn serve_connection(
    socket: TcpStream,
    peer: SocketAddr,
    limits: HttpLimits,
    handler: impl Handler,
    observer: impl ConnectionObserver,
    mut phase: PhaseWatch,
    log: Logger,
) {
    let _ = socket.set_nodelay(true);
    let activity = Arc::new(Activity::default());
    let request_activity = Arc::clone(&activity);
    let service = service_fn(move |req: Request<Incoming>| {
        let guard = RequestGuard::new(Arc::clone(&request_activity), req.version());
        let handler = handler.clone();
        async move {
            let response = handler.handle(req, peer).await;
            drop(guard);
            response
        }
    });
    let builder = connection_builder(limits);
    let mut conn = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let mut draining = pin!(phase.wait_for(limits.drain_from));
    let mut state = State::Open;
    loop {
        let idle_timeout = match state {
            State::LastRequest => HTTP1_CLOSE_DELAY,
            State::Open | State::Closing => limits.head_timeout,
        };
        tokio::select! {
            result = conn.as_mut() => {
                if let Err(err) = result {
                    debug!(log, "connection failed"; "peer" => %peer, "error" => %err);
                }
                return;
            }
            () = &mut draining, if state == State::Open => {
                state = State::LastRequest;
                if activity.is_h2.load(Ordering::Acquire) {
                    state = State::Closing;
                    conn.as_mut().graceful_shutdown();
                }
            }
            () = activity.idle_for(idle_timeout) => {
                if state == State::Closing {
                    observer.closed_as_idle();
                    return;
                }
                state = State::Closing;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// State of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Serves requests.
    Open,
    /// HTTP/1.1 connection while draining: one more request is served.
    LastRequest,
    /// Closes once the requests in flight are completed.
    Closing,
}

fn connection_builder(limits: HttpLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(limits.streams_per_connection)
        .max_header_list_size(limits.max_head_bytes)
        .keep_alive_interval(limits.head_timeout)
        .keep_alive_timeout(limits.head_timeout);
    builder
}

/// Tracks the requests in flight on a connection.
#[derive(Default)]
struct Activity {
    in_flight: AtomicU32,
    /// Whether the latest request used HTTP/2.
    is_h2: AtomicBool,
    changed: Notify,
}

impl Activity {
    /// Waits until the connection has had no requests in flight for `timeout`.
    async fn idle_for(&self, timeout: Duration) {
        loop {
            let changed = self.changed.notified();
            if self.in_flight.load(Ordering::Acquire) > 0 {
                changed.await;
            } else if time::timeout(timeout, changed).await.is_err() {
                return;
            }
        }
    }
}

/// Counts a request as in flight until its handler returns or is dropped.
struct RequestGuard(Arc<Activity>);

impl RequestGuard {
    fn new(activity: Arc<Activity>, version: Version) -> RequestGuard {
        activity.is_h2.store(version == Version::HTTP_2, Ordering::Release);
        activity.in_flight.fetch_add(1, Ordering::AcqRel);
        activity.changed.notify_one();
        RequestGuard(activity)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.0.changed.notify_one();
    }
}

/// Polls a future once and returns its output if it is ready.
async fn now_or_never<F: Future>(fut: F) -> Option<F::Output> {
    let mut fut = pin!(fut);
    std::future::poll_fn(|cx: &mut Context<'_>| match fut.as_mut().poll(cx) {
        Poll::Ready(out) => Poll::Ready(Some(out)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
