//! The object API over HTTP.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::{json, value::RawValue};
use tokio::{sync::watch, time::Instant};

use super::{
    counts::{Counters, PlatformCounts},
    faults::Faults,
    store::{Condition, Conflict, Entry, Store},
};
use crate::{
    http::{NoReply, ReadError, Reply, empty, json, percent_decode, query_value, read_body},
    server::{ConnLimits, Handler},
};

/// Largest value of an object in bytes.
pub const MAX_VALUE_LEN: usize = 1 << 20;

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Answers the object API from a [`Store`].
#[derive(Clone)]
pub struct PlatformService {
    store: Arc<Mutex<Store>>,
    revision: watch::Sender<u64>,
    faults: Arc<Faults>,
    counters: Arc<Counters>,
}

/// Body of a list reply.
#[derive(Serialize)]
struct ListReply {
    revision: u64,
    objects: Vec<Entry>,
}

/// Body of a watch reply.
#[derive(Serialize)]
struct WatchReply {
    revision: u64,
    changes: Vec<Entry>,
}

impl PlatformService {
    /// Serves the objects of `store`.
    #[must_use]
    pub fn new(store: Store) -> PlatformService {
        let revision = watch::Sender::new(store.revision());
        let (faults, counters) = (Arc::default(), Arc::default());
        PlatformService { store: Arc::new(Mutex::new(store)), revision, faults, counters }
    }

    /// The faults that are switched on.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.counters.snapshot()
    }

    /// Writes an object on the platform's own behalf.
    pub fn put_own(&self, path: &str, value: Box<RawValue>) {
        let result = self.lock().put(path, Condition::None, value);
        self.changed(result);
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Reply, NoReply> {
        let (head, body) = req.into_parts();
        let query = head.uri.query().unwrap_or_default();
        let path = percent_decode(head.uri.path());
        if let Some(path) = path.strip_prefix("/objects/") {
            let reply = match head.method {
                Method::GET => return Ok(self.get(path)),
                Method::PUT => self.put(path, &head.headers, body).await?,
                Method::DELETE => self.delete(path, &head.headers),
                _ => return Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
            };
            return if self.faults.take_lost_reply(path) { Err(NoReply) } else { Ok(reply) };
        }
        match (head.method, path.as_str()) {
            (Method::GET, "/list") => Ok(self.list(query)),
            (Method::GET, "/watch") => Ok(self.watch(query).await),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn get(&self, path: &str) -> Reply {
        let store = self.lock();
        let Some(object) = store.get(path) else { return empty(StatusCode::NOT_FOUND) };
        with_etag(json(StatusCode::OK, &object.value), object.version)
    }

    async fn put(&self, path: &str, headers: &HeaderMap, body: Incoming) -> Result<Reply, NoReply> {
        let body = match read_body(body, MAX_VALUE_LEN).await {
            Ok(it) => it,
            Err(ReadError::TooLarge) => return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE)),
            Err(ReadError::Broken) => return Err(NoReply),
        };
        let Ok(value) = serde_json::from_slice::<Box<RawValue>>(&body) else {
            return Ok(bad_request("the value is not JSON"));
        };
        let Some(condition) = condition(headers) else {
            return Ok(bad_request("if-match or if-none-match has an unknown form"));
        };
        let result = self.lock().put(path, condition, value);
        Ok(self.changed(result))
    }

    fn delete(&self, path: &str, headers: &HeaderMap) -> Reply {
        let Some(condition) = condition(headers) else {
            return bad_request("if-match has an unknown form");
        };
        let result = self.lock().delete(path, condition);
        match result {
            Err(Conflict { current: None }) => empty(StatusCode::NOT_FOUND),
            result => self.changed(result),
        }
    }

    fn changed(&self, result: Result<u64, Conflict>) -> Reply {
        match result {
            Ok(version) => {
                self.revision.send_replace(version);
                with_etag(json(StatusCode::OK, &json!({ "version": version })), version)
            }
            Err(Conflict { current }) => {
                let body = json!({ "current": current });
                let reply = json(StatusCode::PRECONDITION_FAILED, &body);
                current.map_or_else(|| reply.clone(), |it| with_etag(reply.clone(), it))
            }
        }
    }

    /// Answers a list call, whatever the faults.
    #[must_use]
    pub fn list(&self, query: &str) -> Reply {
        let prefix = query_value(query, "prefix").unwrap_or_default();
        let store = self.lock();
        let reply = ListReply { revision: store.revision(), objects: store.list(&prefix) };
        drop(store);
        json(StatusCode::OK, &reply)
    }

    async fn watch(&self, query: &str) -> Reply {
        let number = |name| query_value(query, name).map_or(Some(0), |it| it.parse::<u64>().ok());
        let (Some(after), Some(wait_ms)) = (number("after"), number("wait_ms")) else {
            return bad_request("after and wait_ms are numbers");
        };
        let prefix = query_value(query, "prefix").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait_ms).min(MAX_WAIT);
        let mut revision = self.revision.subscribe();
        loop {
            revision.borrow_and_update();
            let Some(reply) = self.changes(&prefix, after) else { return empty(StatusCode::GONE) };
            if !reply.changes.is_empty() || Instant::now() >= until {
                return json(StatusCode::OK, &reply);
            }
            // Whether the wait ends by a change or by its time, the store is read again.
            let _ = tokio::time::timeout_at(until, revision.changed()).await;
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<WatchReply> {
        let store = self.lock();
        let changes = store.changes(prefix, after).ok()?;
        Some(WatchReply { revision: store.revision(), changes })
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no change of the store panics")
    }
}

impl Handler for PlatformService {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Result<Reply, NoReply> {
        self.counters.add(req.method(), req.uri().path());
        if self.faults.get().silent {
            return std::future::pending().await;
        }
        let half = self.faults.delay() / 2;
        tokio::time::sleep(half).await;
        let reply = self.answer(req).await;
        tokio::time::sleep(half).await;
        reply
    }

    fn limits(&self, _peer: SocketAddr) -> ConnLimits {
        let max = if self.faults.get().down { 0 } else { u32::MAX };
        ConnLimits { max, ..ConnLimits::default() }
    }
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if let Some(value) = headers.get(header::IF_NONE_MATCH) {
        return (value == "*").then_some(Condition::Absent);
    }
    let Some(value) = headers.get(header::IF_MATCH) else { return Some(Condition::None) };
    let version = value.to_str().ok()?.trim_matches('"').parse().ok()?;
    Some(Condition::Version(version))
}

fn with_etag(mut reply: Reply, version: u64) -> Reply {
    let value = HeaderValue::try_from(format!("\"{version}\"")).expect("digits are header text");
    reply.headers_mut().insert(header::ETAG, value);
    reply
}

fn bad_request(message: &str) -> Reply {
    json(StatusCode::BAD_REQUEST, &json!({ "message": message }))
}
