//! The calls.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use rosemarybank_adapter::{
    Call, DecodeError, Listing as Page, Object as StoredObject, WatchPage,
    calls::{Freshness, object_to_path, path_to_object},
};

use crate::{
    connection::{Connections, Reply},
    counts::{CallCounts, CallKind, Counters},
    outcome::{CallError, Listing, Object, ObjectVersion, WriteOutcome},
    settings::Settings,
    watch::{ObjectChange, Watch},
};

/// Longest time that a watch waits in one call. A connection may go silent without a sign, and
/// this and the call timeout bound the time until that shows.
const LONGEST_WAIT: Duration = Duration::from_millis(2_500);

/// Client of the platform's store for objects of the tier's own. Clones share connections and one
/// count of calls.
#[derive(Clone)]
pub struct StoreClient(Arc<Inner>);

struct Inner {
    settings: Settings,
    connections: Connections,
    counters: Counters,
}

/// Changes below a prefix and the revision up to which they reach.
pub(crate) struct Changes {
    pub(crate) revision: u64,
    pub(crate) changes: Vec<ObjectChange>,
}

impl StoreClient {
    /// Builds a client. It connects at the first call.
    #[must_use]
    pub fn new(settings: Settings) -> StoreClient {
        let connections = Connections::new(settings.clone());
        StoreClient(Arc::new(Inner { settings, connections, counters: Counters::default() }))
    }

    /// Reads an object; `None` when there is no such object.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached, refuses or fails.
    pub async fn get(&self, path: &str) -> Result<Option<Object>, CallError> {
        let (kind, name) = path_to_object(path);
        let reply = self.exchange(CallKind::Get, Call::get(&kind, name), Duration::ZERO).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let object = decode(StoredObject::decode(&expect_ok(reply)?.body))?;
        Ok(Some(own(&kind, object)))
    }

    /// Lists the objects below a prefix. The revision is that of the first page, so that a watch
    /// from it misses no change made between the pages.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached, refuses or fails.
    pub async fn list(&self, prefix: &str) -> Result<Listing, CallError> {
        let (kind, start) = path_to_object(prefix);
        let mut listing = Listing { revision: 0, objects: Vec::new() };
        let mut after: Option<CompactString> = None;
        loop {
            let call = Call::list(&kind, after.as_deref(), Freshness::Latest);
            let reply = self.exchange(CallKind::List, call, Duration::ZERO).await?;
            let page = decode(Page::decode(&expect_ok(reply)?.body))?;
            if after.is_none() {
                listing.revision = page.revision;
            }
            after = page.items.last().map(|it| it.meta.name.clone());
            let below = page.items.into_iter().filter(|it| it.meta.name.starts_with(start));
            listing.objects.extend(below.map(|it| own(&kind, it)));
            // Names come in order, so nothing below the prefix follows a name beyond it.
            let is_beyond =
                after.as_ref().is_none_or(|it| it.as_str() > start && !it.starts_with(start));
            if !page.has_more || is_beyond {
                return Ok(listing);
            }
        }
    }

    /// Creates an object if there is none at the path.
    pub async fn create(&self, path: &str, value: impl Into<Bytes>) -> WriteOutcome {
        let (kind, name) = path_to_object(path);
        let call = Call::create_json(&kind, name, &value.into());
        change(self.exchange(CallKind::Create, call, Duration::ZERO).await)
    }

    /// Replaces the value of an object if it still has this version.
    pub async fn update(
        &self,
        path: &str,
        version: ObjectVersion,
        value: impl Into<Bytes>,
    ) -> WriteOutcome {
        let (kind, name) = path_to_object(path);
        let call = Call::replace_if_unchanged(&kind, name, version, &value.into());
        change(self.exchange(CallKind::Update, call, Duration::ZERO).await)
    }

    /// Deletes an object if it still has this version.
    pub async fn delete(&self, path: &str, version: ObjectVersion) -> WriteOutcome {
        let (kind, name) = path_to_object(path);
        let call = Call::remove_if_unchanged(&kind, name, version);
        change(self.exchange(CallKind::Delete, call, Duration::ZERO).await)
    }

    /// Watches the objects below a prefix, beginning with a list.
    #[must_use]
    pub fn watch(&self, prefix: &str) -> Watch {
        Watch::new(self.clone(), prefix)
    }

    /// Number of calls since the client was built.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.0.counters.snapshot()
    }

    /// Bytes of calls and replies since the client was built: targets, bodies and header fields.
    /// A call that could not be sent counts as well.
    #[must_use]
    pub fn transferred_bytes(&self) -> u64 {
        self.0.counters.bytes()
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Waits for changes after a revision; `Compacted` when the platform no longer keeps it.
    pub(crate) async fn changes(&self, prefix: &str, after: u64) -> Result<Changes, CallError> {
        let (kind, start) = path_to_object(prefix);
        let wait = self.0.settings.watch_wait.min(LONGEST_WAIT);
        let reply = self.exchange(CallKind::Watch, Call::watch(&kind, after, wait), wait).await?;
        if reply.status == StatusCode::GONE {
            return Err(CallError::Compacted);
        }
        let page = decode(WatchPage::decode(&expect_ok(reply)?.body))?;
        let below = page.events.into_iter().filter(|it| it.object.meta.name.starts_with(start));
        let changes = below.map(|it| {
            let Object { path, version, value } = own(&kind, it.object);
            ObjectChange { path, version, value: (!it.is_deleted).then_some(value) }
        });
        Ok(Changes { revision: page.revision, changes: changes.collect() })
    }

    async fn exchange(
        &self,
        kind: CallKind,
        call: Call,
        wait: Duration,
    ) -> Result<Reply, CallError> {
        let Inner { connections, counters, settings } = &*self.0;
        counters.add(kind);
        let content = call.target.len() + call.body.len();
        let req = request(call, settings);
        counters.add_bytes(content, req.headers());
        let reply = connections.call(req, wait).await?;
        counters.add_bytes(reply.body.len(), &reply.headers);
        Ok(reply)
    }
}

fn request(call: Call, settings: &Settings) -> Request<Full<Bytes>> {
    let mut req = Request::builder()
        .method(call.method)
        .uri(call.target.as_str())
        .header(header::HOST, settings.addr.to_string());
    if !call.body.is_empty() {
        req = req.header(header::CONTENT_TYPE, "application/json");
    }
    req.body(Full::new(call.body.into())).expect("an escaped name makes a valid request")
}

/// An object under its path.
fn own(kind: &str, object: StoredObject) -> Object {
    Object {
        path: object_to_path(kind, &object.meta.name),
        version: object.meta.revision,
        value: object.spec.to_string().into(),
    }
}

fn decode<T>(result: Result<T, DecodeError>) -> Result<T, CallError> {
    result.map_err(|err| CallError::Malformed(err.to_string().into()))
}

fn expect_ok(reply: Reply) -> Result<Reply, CallError> {
    match reply.status.as_u16() {
        200..=299 => Ok(reply),
        status @ (400..=499 | 503) => Err(CallError::Refused(status)),
        status => Err(CallError::Failed(status)),
    }
}

fn change(result: Result<Reply, CallError>) -> WriteOutcome {
    let reply = match result {
        Ok(reply) => reply,
        Err(err) => return unanswered(err),
    };
    match reply.status {
        StatusCode::NOT_FOUND => return WriteOutcome::Conflict { current: None },
        StatusCode::CONFLICT => {
            // Whatever the body holds, the status says that nothing was changed.
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
        Err(err) => unanswered(err),
    }
}

fn unanswered(err: CallError) -> WriteOutcome {
    match err {
        CallError::Connect(_) | CallError::NotSent | CallError::Refused(_) => {
            WriteOutcome::NotApplied(err)
        }
        _ => WriteOutcome::Unknown(err),
    }
}
