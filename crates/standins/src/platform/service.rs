//! HTTP API of the platform stand-in. The object calls of the platform are under `/-/objects/`.
//! Tests read and write raw objects by path under `/objects/`, `/list` and `/watch`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use hyper::body::Incoming;
use rosemarybank_adapter::calls::{object_to_path, path_to_object};
use serde::{Deserialize, Serialize};
use serde_json::{json, value::RawValue};
use tokio::{sync::watch, time::Instant};

use super::{
    counts::{CallCounters, PlatformCounts},
    faults::CurrentFaults,
    store::{Condition, Conflict, Entry, Store},
};
use crate::{
    http::{NoReply, ReadError, Reply, empty, json, percent_decode, query_value, read_body},
    server::{ConnLimits, Handler},
};

/// Largest value of an object in bytes.
pub const MAX_VALUE_LEN: usize = 1 << 20;

/// Largest body of a write call in bytes, in addition to the value.
const MAX_META_LEN: usize = 4 << 10;

/// Maximum number of objects on a page of a list.
const PAGE_SIZE: usize = 500;

/// Maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Serves the objects of a [`Store`].
#[derive(Clone)]
pub struct PlatformService {
    store: Arc<Mutex<Store>>,
    revision: watch::Sender<u64>,
    faults: Arc<CurrentFaults>,
    counters: Arc<CallCounters>,
}

/// Body of a raw list reply.
#[derive(Serialize)]
struct ListReply {
    revision: u64,
    objects: Vec<Entry>,
}

/// Body of a raw watch reply.
#[derive(Serialize)]
struct WatchReply {
    revision: u64,
    changes: Vec<Entry>,
}

/// Metadata of an object.
#[derive(Serialize)]
struct MetaReply {
    name: String,
    revision: u64,
}

/// An object. `spec` is null in an event of a deletion, and in the replies to deletions and
/// conflicts.
#[derive(Serialize)]
struct ObjectReply {
    meta: MetaReply,
    spec: Option<Box<RawValue>>,
}

/// A page of a list of the objects of a kind.
#[derive(Serialize)]
struct PageReply {
    items: Vec<ObjectReply>,
    has_more: bool,
    at: u64,
}

/// Changes of objects of a kind.
#[derive(Serialize)]
struct EventsReply {
    events: Vec<EventReply>,
    at: u64,
}

/// Change of an object.
#[derive(Serialize)]
struct EventReply {
    object: ObjectReply,
    deleted: bool,
}

/// Body of a write call.
#[derive(Deserialize)]
struct WriteBody {
    meta: WriteMeta,
    spec: Box<RawValue>,
}

#[derive(Deserialize)]
struct WriteMeta {
    name: Option<String>,
    revision: Option<u64>,
}

impl PlatformService {
    /// Creates a service for the objects of `store`.
    #[must_use]
    pub fn new(store: Store) -> PlatformService {
        let revision = watch::Sender::new(store.revision());
        let (faults, counters) = (Arc::default(), Arc::default());
        PlatformService { store: Arc::new(Mutex::new(store)), revision, faults, counters }
    }

    /// The faults in effect.
    #[must_use]
    pub fn faults(&self) -> &CurrentFaults {
        &self.faults
    }

    /// Returns the numbers of calls since the start.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.counters.snapshot()
    }

    /// Writes an object without a condition, independent of faults.
    pub fn put_unconditionally(&self, path: &str, value: Box<RawValue>) {
        let result = self.lock().put(path, Condition::None, value);
        self.write_reply(result);
    }

    async fn route(&self, req: Request<Incoming>) -> Result<Reply, NoReply> {
        let (head, body) = req.into_parts();
        let query = head.uri.query().unwrap_or_default();
        if let Some(rest) = head.uri.path().strip_prefix("/-/objects/") {
            let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
            let (kind, name) = (percent_decode(kind), percent_decode(name));
            return self.object_call(&head.method, &kind, &name, query, body).await;
        }
        let path = percent_decode(head.uri.path());
        if let Some(path) = path.strip_prefix("/objects/") {
            let reply = match head.method {
                Method::GET => return Ok(self.get(path)),
                Method::PUT => self.put(path, &head.headers, body).await?,
                Method::DELETE => self.delete(path, &head.headers),
                _ => return Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
            };
            return if self.faults.consume_lost_reply(path) { Err(NoReply) } else { Ok(reply) };
        }
        match (head.method, path.as_str()) {
            (Method::GET, "/list") => Ok(self.list(query)),
            (Method::GET, "/watch") => Ok(self.watch(query).await),
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn object_call(
        &self,
        method: &Method,
        kind: &str,
        name: &str,
        query: &str,
        body: Incoming,
    ) -> Result<Reply, NoReply> {
        let number = |name| query_value(query, name).and_then(|it| it.parse::<u64>().ok());
        let (path, reply) = match (method.as_str(), name) {
            ("GET", "") => {
                return Ok(match number("watch") {
                    Some(since) => {
                        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                        self.watch_kind(kind, since, wait).await
                    }
                    None => self.list_page(kind, &query_value(query, "after").unwrap_or_default()),
                });
            }
            ("GET", _) => {
                let path = object_to_path(kind, name);
                return Ok(match self.lock().get(&path) {
                    Some(it) => json(StatusCode::OK, &object(name, it.version, Some(&it.value))),
                    None => empty(StatusCode::NOT_FOUND),
                });
            }
            ("DELETE", _) => {
                let path = object_to_path(kind, name);
                let condition = number("revision").map_or(Condition::None, Condition::Version);
                let result = self.lock().delete(&path, condition);
                (path, self.object_write_reply(name, result, None))
            }
            ("POST", "") | ("PUT", _) => {
                let body = match read_body(body, MAX_VALUE_LEN + MAX_META_LEN).await {
                    Ok(it) => it,
                    Err(ReadError::TooLarge) => return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE)),
                    Err(ReadError::Broken) => return Err(NoReply),
                };
                let Ok(WriteBody { meta, spec }) = serde_json::from_slice(&body) else {
                    return Ok(bad_request("the body is not an object with meta and spec"));
                };
                if spec.get().len() > MAX_VALUE_LEN {
                    return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
                }
                let name = meta.name.unwrap_or_else(|| name.to_owned());
                let path = object_to_path(kind, &name);
                let mut store = self.lock();
                let condition = match (method.as_str(), meta.revision) {
                    ("POST", _) => Condition::Absent,
                    (_, Some(revision)) => Condition::Version(revision),
                    (_, None) if store.get(&path).is_none() => {
                        return Ok(empty(StatusCode::NOT_FOUND));
                    }
                    (_, None) => Condition::None,
                };
                let result = store.put(&path, condition, spec.clone());
                drop(store);
                (path, self.object_write_reply(&name, result, Some(&spec)))
            }
            _ => return Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        };
        if self.faults.consume_lost_reply(&path) { Err(NoReply) } else { Ok(reply) }
    }

    /// Notifies watches of a successful write and builds its reply. The reply to a conflict has the
    /// current revision of the object; it is 404 when the object does not exist.
    fn object_write_reply(
        &self,
        name: &str,
        result: Result<u64, Conflict>,
        spec: Option<&RawValue>,
    ) -> Reply {
        match result {
            Ok(version) => {
                self.revision.send_replace(version);
                json(StatusCode::OK, &object(name, version, spec))
            }
            Err(Conflict { current: Some(current) }) => {
                json(StatusCode::CONFLICT, &object(name, current, None))
            }
            Err(Conflict { current: None }) => empty(StatusCode::NOT_FOUND),
        }
    }

    fn list_page(&self, kind: &str, after: &str) -> Reply {
        let prefix = object_to_path(kind, "");
        let store = self.lock();
        let entries = store.list(&prefix).into_iter();
        let of_kind = entries.filter(|it| path_to_object(&it.path).0 == kind);
        let mut rest = of_kind.filter(|it| path_to_object(&it.path).1 > after).peekable();
        let items: Vec<ObjectReply> = rest.by_ref().take(PAGE_SIZE).map(entry_object).collect();
        let has_more = rest.peek().is_some();
        json(StatusCode::OK, &PageReply { items, has_more, at: store.revision() })
    }

    async fn watch_kind(&self, kind: &str, since: u64, wait: Duration) -> Reply {
        let prefix = object_to_path(kind, "");
        let Some(reply) = self.wait_for_changes(&prefix, since, wait).await else {
            return empty(StatusCode::GONE);
        };
        let event =
            |it: Entry| EventReply { deleted: it.value.is_none(), object: entry_object(it) };
        let of_kind = reply.changes.into_iter().filter(|it| path_to_object(&it.path).0 == kind);
        let events = of_kind.map(event).collect();
        json(StatusCode::OK, &EventsReply { events, at: reply.revision })
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
        Ok(self.write_reply(result))
    }

    fn delete(&self, path: &str, headers: &HeaderMap) -> Reply {
        let Some(condition) = condition(headers) else {
            return bad_request("if-match has an unknown form");
        };
        let result = self.lock().delete(path, condition);
        match result {
            Err(Conflict { current: None }) => empty(StatusCode::NOT_FOUND),
            result => self.write_reply(result),
        }
    }

    /// Notifies watches of a successful raw write and builds its reply.
    fn write_reply(&self, result: Result<u64, Conflict>) -> Reply {
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

    /// Answers a raw list call, regardless of faults.
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
        match self.wait_for_changes(&prefix, after, Duration::from_millis(wait_ms)).await {
            Some(reply) => json(StatusCode::OK, &reply),
            None => empty(StatusCode::GONE),
        }
    }

    /// Waits for changes of objects with a path prefix; `None` when the change log does not reach
    /// back to `after`.
    async fn wait_for_changes(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Option<WatchReply> {
        let until = Instant::now() + wait.min(MAX_WAIT);
        let mut revision = self.revision.subscribe();
        loop {
            revision.borrow_and_update();
            let reply = self.changes(prefix, after)?;
            if !reply.changes.is_empty() || Instant::now() >= until {
                return Some(reply);
            }
            // Reads the store again after a timeout as well as after a change.
            let _ = tokio::time::timeout_at(until, revision.changed()).await;
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Option<WatchReply> {
        let store = self.lock();
        let changes = store.changes(prefix, after).ok()?;
        Some(WatchReply { revision: store.revision(), changes })
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no thread panics while it holds the lock")
    }
}

impl Handler for PlatformService {
    async fn handle(&self, req: Request<Incoming>, _peer: SocketAddr) -> Result<Reply, NoReply> {
        self.counters.add(req.method(), req.uri());
        if self.faults.get().silent {
            return std::future::pending().await;
        }
        let half = self.faults.delay() / 2;
        tokio::time::sleep(half).await;
        let reply = self.route(req).await;
        tokio::time::sleep(half).await;
        reply
    }

    fn limits(&self, _peer: SocketAddr) -> ConnLimits {
        let max_conns = if self.faults.get().down { 0 } else { u32::MAX };
        ConnLimits { max_conns, ..ConnLimits::default() }
    }
}

fn object(name: &str, revision: u64, spec: Option<&RawValue>) -> ObjectReply {
    let meta = MetaReply { name: name.to_owned(), revision };
    ObjectReply { meta, spec: spec.map(ToOwned::to_owned) }
}

fn entry_object(entry: Entry) -> ObjectReply {
    let (_, name) = path_to_object(&entry.path);
    object(name, entry.version, entry.value.as_deref())
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
    let value =
        HeaderValue::try_from(format!("\"{version}\"")).expect("digits are a valid header value");
    reply.headers_mut().insert(header::ETAG, value);
    reply
}

fn bad_request(message: &str) -> Reply {
    json(StatusCode::BAD_REQUEST, &json!({ "message": message }))
}
