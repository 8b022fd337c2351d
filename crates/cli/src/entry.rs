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
    http::{Call, Http, HttpError},
};

/// Header that carries an action's key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time for an answer beyond the request's own time, and for a request that names none.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// The callers port of an entry instance, used with one caller's token.
#[derive(Debug)]
pub(crate) struct Entry {
    addr: SocketAddr,
    authorization: String,
    http: Http,
}

impl Entry {
    pub(crate) fn new(addr: SocketAddr, token: &str, http: Http) -> Entry {
        Entry { addr, authorization: format!("Bearer {token}"), http }
    }

    /// Searches a service.
    pub(crate) async fn search(
        &self,
        service: &str,
        req: &SearchRequest,
    ) -> Result<SearchAnswer, CliError> {
        let path = format!("/v1/services/{service}/search");
        let reply = self.send(Method::POST, &path, None, body(req), limit(req.timeout_ms)).await?;
        self.read(&reply)
    }

    /// Submits an action under a key.
    pub(crate) async fn submit(
        &self,
        service: &str,
        key: &str,
        req: &ActionRequest,
    ) -> Result<ActionAnswer, CliError> {
        let path = format!("/v1/services/{service}/actions");
        let timeout = limit(req.timeout_ms);
        let reply = self.send(Method::POST, &path, Some(key), body(req), timeout).await;
        self.read(&reply.map_err(|e| e.of_action(key))?).map_err(|e| e.of_action(key))
    }

    /// Looks an action up.
    pub(crate) async fn action(&self, service: &str, key: &str) -> Result<ActionAnswer, CliError> {
        let path = format!("/v1/services/{service}/actions/{key}");
        let reply = self.send(Method::GET, &path, None, Bytes::new(), DEFAULT_TIMEOUT).await?;
        self.read(&reply)
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
        let call = Call { method, addr, path, headers, body, timeout };
        self.http.send(call).await.map_err(|e| unreachable(addr, e))
    }

    fn read<T: DeserializeOwned>(&self, reply: &Response<Bytes>) -> Result<T, CliError> {
        let addr = self.addr;
        if reply.status() == StatusCode::OK {
            let answer = serde_json::from_slice(reply.body());
            return answer.map_err(|_| bad_reply(addr, reply));
        }
        match serde_json::from_slice(reply.body()) {
            Ok(body) => Err(CliError::Refused { addr, body: Box::new(body) }),
            Err(_) => Err(bad_reply(addr, reply)),
        }
    }
}

/// The error of a request that got no reply.
pub(crate) fn unreachable(addr: SocketAddr, e: HttpError) -> CliError {
    match e {
        HttpError::NotSent(message) => CliError::Unreachable { addr, message },
        HttpError::NoReply(message) => CliError::NoReply { addr, message },
    }
}

/// The error of a reply that is not as documented.
pub(crate) fn bad_reply(addr: SocketAddr, reply: &Response<Bytes>) -> CliError {
    let text = String::from_utf8_lossy(reply.body());
    let start = text.chars().take(200).collect();
    CliError::BadReply { addr, status: reply.status().as_u16(), start }
}

fn body(req: &impl Serialize) -> Bytes {
    serde_json::to_vec(req).expect("requests have text keys and finite numbers").into()
}

fn limit(timeout_ms: Option<u64>) -> Duration {
    timeout_ms.map_or(DEFAULT_TIMEOUT, |ms| Duration::from_millis(ms) + ANSWER_MARGIN)
}
