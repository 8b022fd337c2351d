//! Pool of HTTP/1.1 connections to the platform.

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

/// Largest body of a reply: 32 times the largest object, to leave room for lists.
const MAX_REPLY_BYTES: usize = 32 << 20;

/// Pool of idle connections. Each connection carries one call at a time.
pub(crate) struct ConnectionPool {
    settings: Settings,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

/// A completely received reply.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Error of an exchange on one connection.
enum ExchangeError {
    /// No part of the request was sent; returns the request.
    NotSent(Box<Request<Full<Bytes>>>),
    Other(CallError),
}

impl ConnectionPool {
    pub(crate) fn new(settings: Settings) -> ConnectionPool {
        ConnectionPool { settings, idle: Mutex::default() }
    }

    /// Sends a request and reads the reply. Opening a connection may take the call timeout, and the
    /// reply may take the call timeout plus `wait`.
    pub(crate) async fn call(
        &self,
        mut req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, CallError> {
        // The platform may have closed an idle connection; the request is then unsent and can go out
        // on another connection.
        while let Some(sender) = self.take_idle() {
            match self.exchange(sender, req, wait).await {
                Err(ExchangeError::NotSent(it)) => req = *it,
                Err(ExchangeError::Other(err)) => return Err(err),
                Ok(reply) => return Ok(reply),
            }
        }
        let opened = timeout(self.settings.call_timeout, self.open()).await;
        let sender = opened.unwrap_or_else(|_| Err(CallError::Connect("timed out".into())))?;
        self.exchange(sender, req, wait).await.map_err(|err| match err {
            ExchangeError::NotSent(_) => CallError::NotSent,
            ExchangeError::Other(err) => err,
        })
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|it| !it.is_closed());
        idle.pop()
    }

    /// Sends a request on a connection, and returns the connection to the pool if a reply arrived.
    /// After a timeout the connection may be dead, so it is dropped.
    async fn exchange(
        &self,
        mut sender: SendRequest<Full<Bytes>>,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, ExchangeError> {
        let deadline = Instant::now() + self.settings.call_timeout + wait;
        let exchange = send_request(&mut sender, req);
        let reply = timeout_at(deadline, exchange).await;
        let reply = reply.unwrap_or(Err(ExchangeError::Other(CallError::Timeout)))?;
        if !sender.is_closed() {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
        }
        Ok(reply)
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let connect_error = |err: std::io::Error| CallError::Connect(err.to_string().into());
        let stream = self.connect().await.map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(|err| CallError::Connect(error_chain(&err)))?;
        // An error of the connection is reported by the call that uses it.
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

async fn send_request(
    sender: &mut SendRequest<Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<Reply, ExchangeError> {
    if sender.ready().await.is_err() {
        return Err(ExchangeError::NotSent(Box::new(req)));
    }
    let reply = sender.try_send_request(req).await.map_err(|mut err| {
        // hyper returns the request only if no part of it was written to the connection.
        match err.take_message() {
            Some(req) => ExchangeError::NotSent(Box::new(req)),
            None => reply_lost(err.into_error()),
        }
    })?;
    let (head, body) = reply.into_parts();
    let body = Limited::new(body, MAX_REPLY_BYTES).collect().await.map_err(reply_lost)?;
    Ok(Reply { status: head.status, headers: head.headers, body: body.to_bytes() })
}

fn reply_lost(err: impl Into<Box<dyn Error + Send + Sync>>) -> ExchangeError {
    ExchangeError::Other(CallError::Lost(error_chain(err.into().as_ref())))
}

/// Joins the messages of an error and its sources: the message of a hyper error names only the
/// phase of the request.
fn error_chain(err: &(dyn Error + 'static)) -> CompactString {
    let causes = std::iter::successors(Some(err), |it| (**it).source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ").into()
}
