use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::{
    entry::{bad_reply, unreachable},
    error::CliError,
    http::{Call, Http},
};

/// Time for a reply, which an instance gives from memory.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The admin port of an entry instance.
#[derive(Debug)]
pub(crate) struct Admin {
    addr: SocketAddr,
    http: Http,
}

impl Admin {
    pub(crate) fn new(addr: SocketAddr) -> Admin {
        Admin { addr, http: Http::http1() }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads a JSON document; `None` when there is none at the path.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, CliError> {
        let Some(reply) = self.call(Method::GET, path).await? else { return Ok(None) };
        let document = serde_json::from_slice(reply.body());
        document.map(Some).map_err(|_| bad_reply(self.addr, &reply))
    }

    /// Reads a text.
    pub(crate) async fn text(&self, path: &str) -> Result<String, CliError> {
        let reply = self.call(Method::GET, path).await?;
        Ok(reply.map(|it| String::from_utf8_lossy(it.body()).into_owned()).unwrap_or_default())
    }

    /// Deletes what is at the path; `None` when nothing is there.
    pub(crate) async fn delete(&self, path: &str) -> Result<Option<()>, CliError> {
        Ok(self.call(Method::DELETE, path).await?.map(|_| ()))
    }

    async fn call(&self, method: Method, path: &str) -> Result<Option<Response<Bytes>>, CliError> {
        let (addr, headers, body) = (self.addr, Vec::new(), Bytes::new());
        let call = Call { method, addr, path, headers, body, timeout: TIMEOUT };
        let reply = self.http.send(call).await.map_err(|e| unreachable(addr, e))?;
        match reply.status() {
            StatusCode::OK => Ok(Some(reply)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(bad_reply(addr, &reply)),
        }
    }
}
