//! Accept loop for HTTP/1.1 and h2 that bounds what silent, slow and hostile clients can hold.
//!
//! hyper's own timeouts do not cover a client that sends nothing, or half of an h2 preface, so
//! each connection also has an idle limit.

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

/// Pause after a failed accept, which means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Silence after which an HTTP/1.1 connection is closed once a stop has begun.
///
/// HTTP/1.1 has no GOAWAY: a connection that is closed as soon as it is idle loses a request that
/// is already on the wire. Within this time the next request is served, and its answer carries
/// `connection: close`.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Connections served at once.
    pub max_connections: u32,
    /// Requests that one h2 connection may have in flight.
    pub streams_per_connection: u32,
    /// Largest head of a request in bytes.
    pub max_head_bytes: u32,
    /// Time allowed for a request head; a connection without a request in flight is closed after
    /// this time of silence.
    pub head_timeout: Duration,
    /// Phase from which no connection is accepted and open ones finish their requests.
    pub drain_from: Phase,
}

/// Answers requests.
pub trait Handler: Clone + Send + 'static {
    /// Answers a request of `peer`. The future is dropped when the client hangs up.
    fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Result<Response<Body>, Infallible>> + Send;
}

/// Observes connections.
pub trait ConnectionObserver: Clone + Send + 'static {
    /// A connection was accepted.
    fn accepted(&self);
    /// A connection was closed because it was silent or slow.
    fn closed_as_idle(&self);
}

/// Serves a listener until the phase `drain_from`, and returns when the last connection has ended.
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
    let stop = phase.clone();
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
                let (stop, log) = (stop.clone(), log.clone());
                tracker.spawn(async move {
                    connection(socket, peer, limits, handler, observer, stop, log).await;
                    drop(permit);
                });
            }
            Err(err) => {
                warn!(log, "accept failed"; "error" => %err);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that the kernel has already accepted may carry requests.
    while let Some(Ok((socket, peer))) = now_or_never(listener.accept()).await {
        observer.accepted();
        let (handler, observer) = (handler.clone(), observer.clone());
        let served = connection(socket, peer, limits, handler, observer, stop.clone(), log.clone());
        tracker.spawn(served);
    }
    drop(listener);
    tracker.close();
    tracker.wait().await;
}

async fn connection(
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
    let requests = Arc::clone(&activity);
    let service = service_fn(move |req: Request<Incoming>| {
        let in_flight = RequestGuard::begin(Arc::clone(&requests), req.version());
        let handler = handler.clone();
        async move {
            let response = handler.handle(req, peer).await;
            drop(in_flight);
            response
        }
    });
    let builder = builder(limits);
    let mut conn = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let mut draining = pin!(phase.wait_for(limits.drain_from));
    let mut state = State::Open;
    loop {
        let silence = match state {
            State::Waiting => CLOSE_DELAY,
            State::Open | State::Closing => limits.head_timeout,
        };
        tokio::select! {
            result = conn.as_mut() => {
                if let Err(err) = result {
                    debug!(log, "a connection failed"; "peer" => %peer, "error" => %err);
                }
                return;
            }
            () = &mut draining, if state == State::Open => {
                state = State::Waiting;
                if activity.is_h2.load(Ordering::Acquire) {
                    state = State::Closing;
                    conn.as_mut().graceful_shutdown();
                }
            }
            () = activity.idle_for(silence) => {
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
    /// A stop has begun; one more request is served.
    Waiting,
    /// Was told to close after the requests in flight.
    Closing,
}

fn builder(limits: HttpLimits) -> auto::Builder<TokioExecutor> {
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

/// Requests in flight on a connection.
#[derive(Default)]
struct Activity {
    in_flight: AtomicU32,
    /// Whether a request came over h2.
    is_h2: AtomicBool,
    changed: Notify,
}

impl Activity {
    /// Waits until no request has been in flight for `limit`.
    async fn idle_for(&self, limit: Duration) {
        loop {
            let changed = self.changed.notified();
            if self.in_flight.load(Ordering::Acquire) > 0 {
                changed.await;
            } else if time::timeout(limit, changed).await.is_err() {
                return;
            }
        }
    }
}

/// Counts a request as in flight until its handler has ended or was dropped.
struct RequestGuard(Arc<Activity>);

impl RequestGuard {
    fn begin(activity: Arc<Activity>, version: Version) -> RequestGuard {
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

/// The result of a future if it is ready at the first poll.
async fn now_or_never<F: Future>(fut: F) -> Option<F::Output> {
    let mut fut = pin!(fut);
    std::future::poll_fn(|cx: &mut Context<'_>| match fut.as_mut().poll(cx) {
        Poll::Ready(out) => Poll::Ready(Some(out)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}
