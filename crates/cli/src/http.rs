use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, header::HeaderName};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use thiserror::Error;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// HTTP client with a connection pool that its clones share.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient(Client<HttpConnector, Full<Bytes>>);

/// Error of a request without a complete response.
#[derive(Debug, Error)]
pub(crate) enum HttpError {
    /// The connection failed, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The response is missing or incomplete; the server may have processed the request.
    #[error("no response: {0}")]
    NoResponse(String),
}

/// A request with its complete body.
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
    /// Creates an HTTP/1.1 client.
    pub(crate) fn http1() -> HttpClient {
        HttpClient(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Creates an HTTP/2 client with prior knowledge, which uses one connection per address.
    pub(crate) fn h2() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        HttpClient(Client::builder(TokioExecutor::new()).http2_only(true).build(connector))
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send(&self, call: HttpRequest<'_>) -> Result<Response<Bytes>, HttpError> {
        let timeout = call.timeout;
        match tokio::time::timeout(timeout, self.send_and_read(call)).await {
            Ok(result) => result,
            Err(_) => {
                Err(HttpError::NoResponse(format!("timed out after {} ms", timeout.as_millis())))
            }
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

/// Formats the error and its sources in one line; the outer error alone only says `client error`.
fn error_chain(e: &dyn std::error::Error) -> String {
    let mut text = e.to_string();
    let mut source = e.source();
    while let Some(e) = source {
        text.push_str(&format!(": {e}"));
        source = e.source();
    }
    text
}
