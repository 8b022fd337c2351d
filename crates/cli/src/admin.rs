use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::{
    entry::{invalid_response, request_error},
    error::CliError,
    http::{HttpClient, HttpRequest},
};

/// Timeout of a request; instances respond from memory.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the admin port of an entry instance.
#[derive(Debug)]
pub(crate) struct AdminClient {
    addr: SocketAddr,
    http: HttpClient,
}

impl AdminClient {
    pub(crate) fn new(addr: SocketAddr) -> AdminClient {
        AdminClient { addr, http: HttpClient::http1() }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads the JSON document at a path; `None` if it does not exist.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, CliError> {
        let Some(resp) = self.send(Method::GET, path).await? else { return Ok(None) };
        let document = serde_json::from_slice(resp.body());
        document.map(Some).map_err(|_| invalid_response(self.addr, &resp))
    }

    /// Reads the text at a path; empty if it does not exist.
    pub(crate) async fn get_text(&self, path: &str) -> Result<String, CliError> {
        let resp = self.send(Method::GET, path).await?;
        Ok(resp.map(|it| String::from_utf8_lossy(it.body()).into_owned()).unwrap_or_default())
    }

    /// Deletes the resource at a path; `None` if it does not exist.
    pub(crate) async fn delete(&self, path: &str) -> Result<Option<()>, CliError> {
        Ok(self.send(Method::DELETE, path).await?.map(|_| ()))
    }

    async fn send(&self, method: Method, path: &str) -> Result<Option<Response<Bytes>>, CliError> {
        let (addr, headers, body) = (self.addr, Vec::new(), Bytes::new());
        let req = HttpRequest { method, addr, path, headers, body, timeout: REQUEST_TIMEOUT };
        let resp = self.http.send(req).await.map_err(|e| request_error(addr, e))?;
        match resp.status() {
            StatusCode::OK => Ok(Some(resp)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(invalid_response(addr, &resp)),
        }
    }
}
