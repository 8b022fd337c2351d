use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{
    Method, Response, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderName},
};
use rosemarybank_protocol::prelude::*;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    error::CliError,
    http::{HttpClient, HttpError, HttpRequest},
};

/// Header with the idempotency key of an action.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Added to the timeout in a request, which the instance enforces, to get the time that the client
/// waits.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);
/// Time to wait for the response to a request without a timeout of its own.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of the callers' port of an entry instance, authenticated with a caller's token.
#[derive(Debug)]
pub(crate) struct EntryClient {
    addr: SocketAddr,
    authorization: String,
    http: HttpClient,
}

impl EntryClient {
    pub(crate) fn new(addr: SocketAddr, token: &str, http: HttpClient) -> EntryClient {
        EntryClient { addr, authorization: format!("Bearer {token}"), http }
    }

    /// Sends a search to a service.
    pub(crate) async fn search(
        &self,
        service: &str,
        req: &SearchRequest,
    ) -> Result<SearchResponse, CliError> {
        let path = format!("/v1/services/{service}/search");
        let resp = self
            .send(Method::POST, &path, None, json_body(req), request_timeout(req.timeout_ms))
            .await?;
        self.parse(&resp)
    }

    /// Submits an action under an idempotency key.
    pub(crate) async fn submit(
        &self,
        service: &str,
        key: &str,
        req: &ActionRequest,
    ) -> Result<ActionResponse, CliError> {
        let path = format!("/v1/services/{service}/actions");
        let timeout = request_timeout(req.timeout_ms);
        let resp = self.send(Method::POST, &path, Some(key), json_body(req), timeout).await;
        self.parse(&resp.map_err(|e| e.for_action(key))?).map_err(|e| e.for_action(key))
    }

    /// Returns the outcome of an action.
    pub(crate) async fn get_action(
        &self,
        service: &str,
        key: &str,
    ) -> Result<ActionResponse, CliError> {
        let path = format!("/v1/services/{service}/actions/{key}");
        let resp = self.send(Method::GET, &path, None, Bytes::new(), DEFAULT_TIMEOUT).await?;
        self.parse(&resp)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CliError> {
        let mut headers =
            vec![(AUTHORIZATION, &*self.authorization), (CONTENT_TYPE, "application/json")];
        headers.extend(key.map(|key| (IDEMPOTENCY_KEY, key)));
        let addr = self.addr;
        let req = HttpRequest { method, addr, path, headers, body, timeout };
        self.http.send(req).await.map_err(|e| request_error(addr, e))
    }

    fn parse<T: DeserializeOwned>(&self, resp: &Response<Bytes>) -> Result<T, CliError> {
        let addr = self.addr;
        if resp.status() == StatusCode::OK {
            let body = serde_json::from_slice(resp.body());
            return body.map_err(|_| invalid_response(addr, resp));
        }
        match serde_json::from_slice(resp.body()) {
            Ok(body) => Err(CliError::ErrorResponse { addr, body: Box::new(body) }),
            Err(_) => Err(invalid_response(addr, resp)),
        }
    }
}

/// Converts the error of a request without a response.
pub(crate) fn request_error(addr: SocketAddr, e: HttpError) -> CliError {
    match e {
        HttpError::NotSent(message) => CliError::Unreachable { addr, message },
        HttpError::NoResponse(message) => CliError::NoResponse { addr, message },
    }
}

/// The error for a response with an unexpected status or body.
pub(crate) fn invalid_response(addr: SocketAddr, resp: &Response<Bytes>) -> CliError {
    let text = String::from_utf8_lossy(resp.body());
    let body_start = text.chars().take(200).collect();
    CliError::InvalidResponse { addr, status: resp.status().as_u16(), body_start }
}

fn json_body(req: &impl Serialize) -> Bytes {
    serde_json::to_vec(req).expect("requests have text keys and finite numbers").into()
}

fn request_timeout(timeout_ms: Option<u64>) -> Duration {
    timeout_ms.map_or(DEFAULT_TIMEOUT, |ms| Duration::from_millis(ms) + RESPONSE_MARGIN)
}
