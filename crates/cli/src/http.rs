use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, header::HeaderName};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use thiserror::Error;

/// Largest reply that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP client that keeps its connections. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient(Client<HttpConnector, Full<Bytes>>);

/// Why no reply was read.
#[derive(Debug, Error)]
pub(crate) enum HttpError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request may have arrived.
    #[error("no reply: {0}")]
    NoResponse(String),
}

/// A request with a whole body.
#[derive(Debug)]
pub(crate) struct HttpRequest<'a> {
    pub(crate) method: Method,
    pub(crate) addr: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) headers: Vec<(HeaderName, &'a str)>,
    pub(crate) body: Bytes,
    pub(crate) timeout: Duration,
}

impl HttpClient {
    /// A client that speaks HTTP/1.1.
    pub(crate) fn http1() -> HttpClient {
        HttpClient(Client::builder(TokioExecutor::new()).build_http())
    }

    /// A client that speaks h2 with prior knowledge, over one connection to each address.
    pub(crate) fn h2() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        HttpClient(Client::builder(TokioExecutor::new()).http2_only(true).build(connector))
    }

    /// Sends a request and reads the whole reply.
    pub(crate) async fn send(&self, call: HttpRequest<'_>) -> Result<Response<Bytes>, HttpError> {
        let timeout = call.timeout;
        match tokio::time::timeout(timeout, self.send_and_read(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::NoResponse(format!("none within {} ms", timeout.as_millis()))),
        }
    }

    async fn send_and_read(&self, call: HttpRequest<'_>) -> Result<Response<Bytes>, HttpError> {
        let uri = format!("http://{}{}", call.addr, call.path);
        let mut req = Request::builder().method(call.method).uri(uri);
        for (name, value) in &call.headers {
            req = req.header(name, *value);
        }
        let req = req.body(Full::new(call.body));
        let req = req.map_err(|e| HttpError::NotSent(e.to_string()))?;
        let resp = self.0.request(req).await.map_err(|e| {
            let text = error_chain(&e);
            if e.is_connect() { HttpError::NotSent(text) } else { HttpError::NoResponse(text) }
        })?;
        let (head, body) = resp.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| HttpError::NoResponse(e.to_string()))?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// The error and its causes in one line; the outer error alone says only `client error`.
fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text.push_str(&format!(": {e}"));
        source = e.source();
    }
    text
}
