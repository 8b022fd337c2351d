//! The calls.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper::body::Body;

use crate::{
    connection::{Connection, Reply},
    counts::{CallCounts, CallKind, Counters},
    outcome::{CallError, Change, Listing, Object, ObjectVersion},
    settings::Settings,
    watch::Watch,
    wire::{self, ChangedBody, ConflictBody, EntryBody, ListBody},
};

/// Client of the object API. Clones share one connection and one count of calls.
#[derive(Clone)]
pub struct PlatformClient(Arc<Inner>);

struct Inner {
    settings: Settings,
    connection: Connection,
    counters: Counters,
}

impl PlatformClient {
    /// Builds a client. It connects at the first call.
    #[must_use]
    pub fn new(settings: Settings) -> PlatformClient {
        let connection = Connection::new(settings.clone());
        PlatformClient(Arc::new(Inner { settings, connection, counters: Counters::default() }))
    }

    /// Reads an object; `None` when there is no such object.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached, refuses or fails.
    pub async fn get(&self, path: &str) -> Result<Option<Object>, CallError> {
        let target = wire::object_target(path);
        let reply = self.call(CallKind::Get, Method::GET, target, None, Bytes::new()).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let reply = expect_ok(reply)?;
        let etag = reply.headers.get(header::ETAG).and_then(|it| it.to_str().ok());
        let version = etag.and_then(|it| it.trim_matches('"').parse().ok());
        let version = version.ok_or_else(|| CallError::Malformed("the etag is absent".into()))?;
        Ok(Some(Object { path: path.into(), version, value: reply.body }))
    }

    /// Lists the objects below a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the platform cannot be reached, refuses or fails.
    pub async fn list(&self, prefix: &str) -> Result<Listing, CallError> {
        let target = wire::list_target(prefix);
        let reply = self.call(CallKind::List, Method::GET, target, None, Bytes::new()).await?;
        let body: ListBody = wire::parse(&expect_ok(reply)?.body)?;
        let object = |it: EntryBody| {
            let value = it.value.ok_or_else(|| CallError::Malformed("no value".into()))?;
            Ok(Object { path: it.path, version: it.version, value: EntryBody::value(value) })
        };
        let objects = body.objects.into_iter().map(object).collect::<Result<_, CallError>>()?;
        Ok(Listing { revision: body.revision, objects })
    }

    /// Creates an object if there is none at the path.
    pub async fn create(&self, path: &str, value: impl Into<Bytes>) -> Change {
        let condition = (header::IF_NONE_MATCH, HeaderValue::from_static("*"));
        let target = wire::object_target(path);
        change(self.call(CallKind::Create, Method::PUT, target, Some(condition), value).await)
    }

    /// Replaces the value of an object if it still has this version.
    pub async fn update(
        &self,
        path: &str,
        version: ObjectVersion,
        value: impl Into<Bytes>,
    ) -> Change {
        let target = wire::object_target(path);
        let condition = Some(if_match(version));
        change(self.call(CallKind::Update, Method::PUT, target, condition, value).await)
    }

    /// Deletes an object if it still has this version.
    pub async fn delete(&self, path: &str, version: ObjectVersion) -> Change {
        let target = wire::object_target(path);
        let condition = Some(if_match(version));
        let call = self.call(CallKind::Delete, Method::DELETE, target, condition, Bytes::new());
        match call.await {
            Ok(reply) if reply.status == StatusCode::NOT_FOUND => {
                Change::Conflict { current: None }
            }
            result => change(result),
        }
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

    /// Bytes of calls and replies since the client was built: targets, bodies and header fields
    /// before their compression, without frames and keep-alives. A call that could not be sent
    /// counts as well.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.counters.bytes()
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.0.settings
    }

    /// Waits for changes after a revision; `Compacted` when the platform no longer keeps it.
    pub(crate) async fn changes(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<wire::WatchBody, CallError> {
        let wait = self.0.settings.watch_wait;
        let target = wire::watch_target(prefix, after, wait.as_millis());
        let req = request(Method::GET, &target, None, Bytes::new(), &self.0.settings);
        let reply = self.exchange(CallKind::Watch, req, wait).await?;
        if reply.status == StatusCode::GONE {
            return Err(CallError::Compacted);
        }
        wire::parse(&expect_ok(reply)?.body)
    }

    async fn call(
        &self,
        kind: CallKind,
        method: Method,
        target: String,
        condition: Option<(HeaderName, HeaderValue)>,
        body: impl Into<Bytes>,
    ) -> Result<Reply, CallError> {
        let req = request(method, &target, condition, body.into(), &self.0.settings);
        self.exchange(kind, req, Duration::ZERO).await
    }

    async fn exchange(
        &self,
        kind: CallKind,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Reply, CallError> {
        let Inner { connection, counters, .. } = &*self.0;
        counters.add(kind);
        let target = req.uri().path_and_query().map_or(0, |it| it.as_str().len());
        let body = req.body().size_hint().exact().unwrap_or(0) as usize;
        counters.add_bytes(target + body, req.headers());
        let reply = connection.call(req, wait).await?;
        counters.add_bytes(reply.body.len(), &reply.headers);
        Ok(reply)
    }
}

fn request(
    method: Method,
    target: &str,
    condition: Option<(HeaderName, HeaderValue)>,
    body: Bytes,
    settings: &Settings,
) -> Request<Full<Bytes>> {
    let uri = format!("http://{}{target}", settings.addr);
    let mut req = Request::builder().method(method).uri(uri);
    if let Some((name, value)) = condition {
        req = req.header(name, value);
    }
    req.body(Full::new(body)).expect("an escaped path makes a valid request")
}

fn if_match(version: ObjectVersion) -> (HeaderName, HeaderValue) {
    let value = HeaderValue::try_from(format!("\"{version}\"")).expect("digits are header text");
    (header::IF_MATCH, value)
}

fn expect_ok(reply: Reply) -> Result<Reply, CallError> {
    match reply.status.as_u16() {
        200..=299 => Ok(reply),
        status @ (400..=499 | 503) => Err(CallError::Refused(status)),
        status => Err(CallError::Failed(status)),
    }
}

fn change(result: Result<Reply, CallError>) -> Change {
    let reply = match result {
        Ok(reply) => reply,
        Err(err) => return unanswered(err),
    };
    if reply.status == StatusCode::PRECONDITION_FAILED {
        // Whatever the body holds, the status says that nothing was changed.
        let body = wire::parse::<ConflictBody>(&reply.body);
        return match body {
            Ok(body) => Change::Conflict { current: body.current },
            Err(err) => Change::NotApplied(err),
        };
    }
    let body = expect_ok(reply).and_then(|it| wire::parse::<ChangedBody>(&it.body));
    match body {
        Ok(body) => Change::Applied { version: body.version },
        Err(err) => unanswered(err),
    }
}

fn unanswered(err: CallError) -> Change {
    match err {
        CallError::Connect(_) | CallError::NotSent | CallError::Refused(_) => {
            Change::NotApplied(err)
        }
        _ => Change::Unknown(err),
    }
}
