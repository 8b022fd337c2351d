//! HTTP client for tests and control calls.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// HTTP client with a connection pool, which clones share.
#[derive(Clone)]
pub struct HttpClient(Client<HttpConnector, Full<Bytes>>);

impl HttpClient {
    /// Builds an HTTP/1.1 client.
    #[must_use]
    pub fn http1() -> HttpClient {
        HttpClient(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Builds an HTTP/2 client with prior knowledge, without TLS.
    #[must_use]
    pub fn h2() -> HttpClient {
        HttpClient(Client::builder(TokioExecutor::new()).http2_only(true).build_http())
    }

    /// Sends a request and reads the whole reply.
    ///
    /// # Errors
    ///
    /// Fails when no connection is established, or it fails before the end of the reply.
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> eyre::Result<Response<Bytes>> {
        let mut req = Request::builder().method(method).uri(format!("http://{addr}{path}"));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let reply = self.0.request(req.body(Full::new(body.into()))?).await?;
        let (head, body) = reply.into_parts();
        Ok(Response::from_parts(head, body.collect().await?.to_bytes()))
    }
}
