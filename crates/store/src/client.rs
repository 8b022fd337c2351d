//! Calls to the object store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use rosemarybank_adapter::{
    Call, Listing as ListPage, Object as StoredObject, ObjectError, WatchPage,
    calls::{Freshness, object_to_path, path_to_object},
};

use crate::{
    connection::{ConnectionPool, Reply},
    counts::{CallCounts, CallKind, Counters},
    outcome::{CallError, Listing, Object, ObjectVersion, WriteOutcome},
    settings::Settings,
    watch::{ObjectChange, Watch},
};

/// Longest wait of one watch request. A connection can die without an error; the watch detects this
/// after at most this time plus the call timeout.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// Client of the platform's object store. Clones share connections and counters.
#[derive(Clone)]
pub struct StoreClient(Arc<Inner>);

struct Inner {
    settings: Settings,
    connections: ConnectionPool,
    counters: Counters,
}

/// Changes under a prefix, and the last revision that they cover.
pub(crate) struct Changes {
    pub(crate) revision: u64,
    pub(crate) changes: Vec<ObjectChange>,
}

impl StoreClient {
    /// Creates a client. It connects at the first call.
    #[must_use]
    pub fn new(settings: Settings) -> StoreClient {
        let connections = ConnectionPool::new(settings.clone());
        StoreClient(Arc::new(Inner { settings, connections, counters: Counters::default() }))
    }

    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached, refuses the call, fails or sends a malformed reply.
    pub async fn get(&self, path: &str) -> Result<Option<Object>, CallError> {
        let (kind, name) = path_to_object(path);
        let reply = self.send(CallKind::Get, Call::get(&kind, name), Duration::ZERO).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let object = decode(StoredObject::decode(&expect_ok(reply)?.body))?;
        Ok(Some(from_stored(&kind, object)))
    }

    /// Lists the objects under a prefix. The returned revision is that of the first page, so a watch
    /// from it sees all changes made between the pages.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached, refuses the call, fails or sends a malformed reply.
    pub async fn list(&self, prefix: &str) -> Result<Listing, CallError> {
        let (kind, name_prefix) = path_to_object(prefix);
        let mut listing = Listing { revision: 0, objects: Vec::new() };
        let mut after: Option<CompactString> = None;
        loop {
            let call = Call::list(&kind, after.as_deref(), Freshness::Latest);
            let reply = self.send(CallKind::List, call, Duration::ZERO).await?;
            let page = decode(ListPage::decode(&expect_ok(reply)?.body))?;
            if after.is_none() {
                listing.revision = page.revision;
            }
            after = page.last_name().cloned();
            let matching = page.items.into_iter().filter(|it| name(it).starts_with(name_prefix));
            for it in matching {
                listing.objects.push(from_stored(&kind, decode(it)?));
            }
            // Objects are sorted by name, so no match follows a greater name without the prefix.
            let is_past_prefix = after
                .as_ref()
                .is_none_or(|it| it.as_str() > name_prefix && !it.starts_with(name_prefix));
            if !page.has_more || is_past_prefix {
                return Ok(listing);
            }
        }
    }

    /// Creates an object unless one exists at the path.
    pub async fn create(&self, path: &str, value: impl Into<Bytes>) -> WriteOutcome {
        let (kind, name) = path_to_object(path);
        let call = Call::create_json(&kind, name, &value.into());
        write_outcome(self.send(CallKind::Create, call, Duration::ZERO).await)
    }

    /// Replaces the value of an object if its version is still `version`.
    pub async fn update(
        &self,
        path: &str,
        version: ObjectVersion,
        value: impl Into<Bytes>,
    ) -> WriteOutcome {
        let (kind, name) = path_to_object(path);
        let call = Call::replace_if_unchanged(&kind, name, version, &value.into());
        write_outcome(self.send(CallKind::Update, call, Duration::ZERO).await)
    }

    /// Deletes an object if its version is still `version`.
    pub async fn delete(&self, path: &str, version: ObjectVersion) -> WriteOutcome {
        let (kind, name) = path_to_object(path);
        let call = Call::remove_if_unchanged(&kind, name, version);
        write_outcome(self.send(CallKind::Delete, call, Duration::ZERO).await)
    }

    /// Watches the objects under a prefix. The first event lists them.
    #[must_use]
    pub fn watch(&self, prefix: &str) -> Watch {
        Watch::new(self.clone(), prefix)
    }

    /// Number of calls since the client was created.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.0.counters.snapshot()
    }

    /// Bytes of requests and replies since the client was created: request targets, header fields
    /// and bodies. Requests that could not be sent are included.
    #[must_use]
    pub fn transferred_bytes(&self) -> u64 {
        self.0.counters.bytes()
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Waits for changes after a revision. Fails with [`CallError::Compacted`] when the platform no
    /// longer keeps them.
    pub(crate) async fn changes(&self, prefix: &str, after: u64) -> Result<Changes, CallError> {
        let (kind, name_prefix) = path_to_object(prefix);
        let wait = self.0.settings.watch_wait.min(MAX_WATCH_WAIT);
        let reply = self.send(CallKind::Watch, Call::watch(&kind, after, wait), wait).await?;
        if reply.status == StatusCode::GONE {
            return Err(CallError::Compacted);
        }
        let page = decode(WatchPage::decode(&expect_ok(reply)?.body))?;
        let matching =
            page.events.into_iter().filter(|it| name(&it.object).starts_with(name_prefix));
        let changes = matching.map(|it| {
            let Object { path, version, value } = from_stored(&kind, decode(it.object)?);
            Ok(ObjectChange { path, version, value: (!it.is_deleted).then_some(value) })
        });
        Ok(Changes { revision: page.revision, changes: changes.collect::<Result<_, CallError>>()? })
    }

    async fn send(&self, kind: CallKind, call: Call, wait: Duration) -> Result<Reply, CallError> {
        let Inner { connections, counters, settings } = &*self.0;
        counters.add(kind);
        let content_bytes = call.target.len() + call.body.len();
        let req = build_request(call, settings);
        counters.add_bytes(content_bytes, req.headers());
        let reply = connections.call(req, wait).await?;
        counters.add_bytes(reply.body.len(), &reply.headers);
        Ok(reply)
    }
}

fn build_request(call: Call, settings: &Settings) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method(call.method)
        .uri(call.target.as_str())
        .header(header::HOST, settings.addr.to_string());
    if !call.body.is_empty() {
        req = req.header(header::CONTENT_TYPE, "application/json");
    }
    req.body(Full::new(call.body.into())).expect("a call has a valid method and an escaped target")
}

/// Converts an object of the platform to an object under its path.
fn from_stored(kind: &str, object: StoredObject) -> Object {
    Object {
        path: object_to_path(kind, &object.meta.name),
        version: object.meta.revision,
        value: object.spec.to_string().into(),
    }
}

/// Name of an object of a reply; empty if it cannot be decoded.
fn name(object: &Result<StoredObject, ObjectError>) -> &str {
    match object {
        Ok(it) => &it.meta.name,
        Err(err) => &err.name,
    }
}

fn decode<T>(result: Result<T, impl ToString>) -> Result<T, CallError> {
    result.map_err(|err| CallError::Malformed(err.to_string().into()))
}

fn expect_ok(reply: Reply) -> Result<Reply, CallError> {
    match reply.status.as_u16() {
        200..=299 => Ok(reply),
        status @ (400..=499 | 503) => Err(CallError::Refused(status)),
        status => Err(CallError::Failed(status)),
    }
}

fn write_outcome(result: Result<Reply, CallError>) -> WriteOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(err) => return outcome_of_error(err),
    };
    match reply.status {
        StatusCode::NOT_FOUND => return WriteOutcome::Conflict { current: None },
        StatusCode::CONFLICT => {
            // The status alone says that nothing was written, even if the body cannot be decoded.
            return match decode(StoredObject::decode(&reply.body)) {
                Ok(object) => WriteOutcome::Conflict { current: Some(object.meta.revision) },
                Err(err) => WriteOutcome::NotApplied(err),
            };
        }
        _ => {}
    }
    let object = expect_ok(reply).and_then(|it| decode(StoredObject::decode(&it.body)));
    match object {
        Ok(object) => WriteOutcome::Applied { version: object.meta.revision },
        Err(err) => outcome_of_error(err),
    }
}

fn outcome_of_error(err: CallError) -> WriteOutcome {
    match err {
        CallError::Connect(_) | CallError::NotSent | CallError::Refused(_) => {
            WriteOutcome::NotApplied(err)
        }
        _ => WriteOutcome::Unknown(err),
    }
}
