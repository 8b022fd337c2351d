//! The HTTP/1.1 connections that the calls share.

use std::{
    error::Error,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{Instant, timeout, timeout_at},
};

use crate::{outcome::CallError, settings::Settings};

/// Largest reply in bytes; 32 times the largest object, to leave room for lists.
const MAX_REPLY_LEN: usize = 32 << 20;

/// A connection carries one call at a time. Those between calls are kept.
pub(crate) struct Connections {
    settings: Settings,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

/// A whole reply.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why an exchange on a connection failed.
enum Failure {
    /// Nothing was sent, and the request is still there.
    NotSent(Box<Request<Full<Bytes>>>),
    Other(CallError),
}

impl Connections {
    pub(crate) fn new(settings: Settings) -> Connections {
        Connections { settings, idle: Mutex::default() }
    }

    /// Sends a request and reads the reply. The time to connect is bounded by the call timeout;
    /// the reply may take `wait` longer than that.
    pub(crate) async fn call(
        &self,
        mut req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, CallError> {
        // A kept connection may have been closed meanwhile, and then nothing was sent on it.
        while let Some(sender) = self.take_idle() {
            match self.exchange(sender, req, wait).await {
                Err(Failure::NotSent(it)) => req = *it,
                Err(Failure::Other(err)) => return Err(err),
                Ok(reply) => return Ok(reply),
            }
        }
        let opened = timeout(self.settings.call_timeout, self.open()).await;
        let sender = opened.unwrap_or_else(|_| Err(CallError::Connect("timed out".into())))?;
        self.exchange(sender, req, wait).await.map_err(|err| match err {
            Failure::NotSent(_) => CallError::NotSent,
            Failure::Other(err) => err,
        })
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|it| !it.is_closed());
        idle.pop()
    }

    /// Makes a call on a connection, and keeps the connection unless the call failed: one that is
    /// silent may be dead.
    async fn exchange(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, Failure> {
        let until = Instant::now() + self.settings.call_timeout + wait;
        let exchange = exchange(&mut sender, req);
        let reply = timeout_at(until, exchange).await;
        let reply = reply.unwrap_or(Err(Failure::Other(CallError::Timeout)))?;
        if !sender.is_closed() {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
        }
        Ok(reply)
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let failed = |err: std::io::Error| CallError::Connect(err.to_string().into());
        let stream = self.connect().await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(|err| CallError::Connect(describe(&err)))?;
        // The end of the connection shows in the call that uses it.
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
) -> Result<Reply, Failure> {
    if sender.ready().await.is_err() {
        return Err(Failure::NotSent(Box::new(req)));
    }
    let reply = sender.try_send_request(req).await.map_err(|mut err| {
        // The request comes back only when no part of it was put on the connection.
        match err.take_message() {
            Some(req) => Failure::NotSent(Box::new(req)),
            None => lost(err.into_error()),
        }
    })?;
    let (head, body) = reply.into_parts();
    let body = Limited::new(body, MAX_REPLY_LEN).collect().await.map_err(lost)?;
    Ok(Reply { status: head.status, headers: head.headers, body: body.to_bytes() })
}

fn lost(err: impl Into<Box<dyn Error + Send + Sync>>) -> Failure {
    Failure::Other(CallError::Lost(describe(err.into().as_ref())))
}

/// The error with its causes, because hyper's own text names only the phase of the request.
fn describe(err: &(dyn Error + 'static)) -> CompactString {
    let causes = std::iter::successors(Some(err), |it| (**it).source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ").into()
}
