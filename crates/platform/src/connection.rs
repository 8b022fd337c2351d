//! The h2 connection that all calls share.

use std::{error::Error, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::Mutex,
    time::{Instant, timeout, timeout_at},
};

use crate::{outcome::CallError, settings::Settings};

/// Largest reply in bytes; 32 times the largest object, to leave room for lists.
const MAX_REPLY_LEN: usize = 32 << 20;

pub(crate) struct Connection {
    settings: Settings,
    open: Mutex<Option<Open>>,
}

/// An open connection; the number tells it from those before and after it.
#[derive(Clone)]
struct Open {
    number: u64,
    sender: SendRequest<Full<Bytes>>,
}

/// A whole reply.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Connection {
    pub(crate) fn new(settings: Settings) -> Connection {
        Connection { settings, open: Mutex::new(None) }
    }

    /// Sends a request and reads the reply. The time to connect is bounded by the call timeout;
    /// the reply may take `wait` longer than that.
    pub(crate) async fn call(
        &self,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, CallError> {
        let connected = timeout(self.settings.call_timeout, self.connected()).await;
        let Open { number, mut sender } =
            connected.unwrap_or_else(|_| Err(CallError::Connect("timed out".into())))?;
        let until = Instant::now() + self.settings.call_timeout + wait;
        let result = timeout_at(until, exchange(&mut sender, req)).await;
        let result = result.unwrap_or(Err(CallError::Timeout));
        if matches!(result, Err(CallError::Timeout | CallError::NotSent)) {
            self.abandon(number).await;
        }
        result
    }

    async fn connected(&self) -> Result<Open, CallError> {
        let mut open = self.open.lock().await;
        if let Some(it) = open.as_ref().filter(|it| !it.sender.is_closed()) {
            return Ok(it.clone());
        }
        let number = open.as_ref().map_or(0, |it| it.number + 1);
        let it = Open { number, sender: self.open().await? };
        *open = Some(it.clone());
        Ok(it)
    }

    /// Makes the next call open another connection, because a silent one may be dead.
    async fn abandon(&self, number: u64) {
        let mut open = self.open.lock().await;
        if open.as_ref().is_some_and(|it| it.number == number) {
            *open = None;
        }
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let failed = |err: std::io::Error| CallError::Connect(err.to_string().into());
        let stream = self.connect().await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        // A watch may wait long on a connection that has died without a trace; pings find out.
        let handshake = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(self.settings.call_timeout)
            .keep_alive_timeout(self.settings.call_timeout)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, conn) = handshake.map_err(|err| CallError::Connect(describe(&err)))?;
        // The end of the connection shows in the calls that use it.
        tokio::spawn(async move { drop(conn.await) });
        Ok(sender)
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        let addr = self.settings.addr;
        let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(source) = self.settings.source {
            socket.bind((source, 0).into())?;
        }
        socket.connect(addr).await
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<Reply, CallError> {
    sender.ready().await.map_err(|_| CallError::NotSent)?;
    let reply = sender.try_send_request(req).await.map_err(|err| {
        // The request comes back only when no part of it was put on the connection.
        if err.message().is_some() { CallError::NotSent } else { lost(err.into_error()) }
    })?;
    let (head, body) = reply.into_parts();
    let body = Limited::new(body, MAX_REPLY_LEN).collect().await.map_err(lost)?;
    Ok(Reply { status: head.status, headers: head.headers, body: body.to_bytes() })
}

fn lost(err: impl Into<Box<dyn Error + Send + Sync>>) -> CallError {
    CallError::Lost(describe(err.into().as_ref()))
}

/// The error with its causes, because hyper's own text names only the phase of the request.
fn describe(err: &(dyn Error + 'static)) -> CompactString {
    let causes = std::iter::successors(Some(err), |it| (**it).source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ").into()
}
