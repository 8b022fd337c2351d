use std::{
    convert::Infallible,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
        response::StaticResponseExtender,
    },
    service::call_handler,
    state::{FromState, State, StateData},
};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rosemarybank_protocol::{id::Fingerprint, platform::QuarantineEntry, prelude::ServiceId};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{sync::oneshot, time::timeout};

use super::{document::StatusDocument, sink::MemorySink, spans::Spans};
use crate::{
    http_server::Handler,
    lifecycle::{PhaseWatch, Readiness},
    shared_sender::SharedSender,
};

/// Time allowed for control to answer; it answers from memory.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// From the admin port to control.
#[derive(Debug)]
pub enum AdminToControl {
    /// List the quarantine.
    ListQuarantine {
        /// Where the entries go.
        reply: oneshot::Sender<Vec<QuarantineEntry>>,
    },
    /// Release a fingerprint.
    ReleaseQuarantineEntry {
        /// Service that was asked.
        service: ServiceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Told when the release is in force here; `false` when there is no such entry.
        reply: oneshot::Sender<bool>,
    },
}

/// What the admin port shows. Clones share it.
#[derive(Clone)]
pub(super) struct Shown {
    /// Metrics.
    pub(super) sink: MemorySink,
    /// Kept spans.
    pub(super) spans: Arc<Mutex<Spans>>,
    /// Answer of `/status`.
    pub(super) status: Arc<Mutex<StatusDocument>>,
    /// Whether the instance has what it needs to take requests.
    pub(super) readiness: Readiness,
    /// Phases of the process.
    pub(super) phase: PhaseWatch,
    /// Ring to control.
    pub(super) control: SharedSender<AdminToControl>,
}

impl StateData for Shown {}

/// Answers the admin port.
#[derive(Clone)]
pub(super) struct AdminService {
    shown: Shown,
    router: Router,
}

impl AdminService {
    /// Shows what the telemetry thread keeps.
    pub(super) fn new(shown: Shown) -> AdminService {
        AdminService { shown, router: router() }
    }
}

impl Handler for AdminService {
    async fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Infallible> {
        let mut state = State::from_request(req, peer);
        state.put(self.shown.clone());
        let handled = call_handler(self.router.clone(), AssertUnwindSafe(state)).await;
        Ok(handled.unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR)))
    }
}

fn router() -> Router {
    build_simple_router(|route| {
        route.get("/health").to_async(health);
        route.get("/ready").to_async(ready);
        route.get("/status").to_async(status);
        route.get("/metrics").to_async(metrics);
        route.get("/traces/:id").with_path_extractor::<TracePath>().to_async(trace);
        route.get("/quarantine").to_async(quarantine);
        route
            .delete("/quarantine/:service/:fingerprint")
            .with_path_extractor::<EntryPath>()
            .to_async(release);
    })
}

#[derive(Deserialize)]
struct TracePath {
    id: CompactString,
}

impl StateData for TracePath {}

impl StaticResponseExtender for TracePath {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

#[derive(Deserialize)]
struct EntryPath {
    service: CompactString,
    fingerprint: CompactString,
}

impl StateData for EntryPath {}

impl StaticResponseExtender for EntryPath {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

async fn health(state: State) -> HandlerResult {
    let response = json_reply(StatusCode::OK, &json!({ "status": "ok" }));
    Ok((state, response))
}

async fn ready(state: State) -> HandlerResult {
    let shown = state.borrow::<Shown>();
    let is_ready = shown.readiness.is_ready(shown.phase.current());
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let response = json_reply(status, &json!({ "ready": is_ready }));
    Ok((state, response))
}

async fn status(state: State) -> HandlerResult {
    let response = json_reply(StatusCode::OK, &*lock(&state.borrow::<Shown>().status));
    Ok((state, response))
}

async fn metrics(state: State) -> HandlerResult {
    let text = state.borrow::<Shown>().sink.render();
    let response = reply(StatusCode::OK, "text/plain; version=0.0.4", text.into());
    Ok((state, response))
}

async fn trace(mut state: State) -> HandlerResult {
    let TracePath { id } = TracePath::take_from(&mut state);
    let found = u128::from_str_radix(&id, 16)
        .ok()
        .and_then(|id| lock(&state.borrow::<Shown>().spans).trace(id));
    let response = match found {
        Some(trace) => json_reply(StatusCode::OK, &trace),
        None => json_reply(StatusCode::NOT_FOUND, &json!({ "message": "no span is kept" })),
    };
    Ok((state, response))
}

async fn quarantine(state: State) -> HandlerResult {
    let (tx, rx) = oneshot::channel();
    let asked =
        state.borrow::<Shown>().control.try_send(AdminToControl::ListQuarantine { reply: tx });
    let response = match answer(asked.is_ok(), rx).await {
        Some(entries) => json_reply(StatusCode::OK, &json!({ "entries": entries })),
        None => unavailable(),
    };
    Ok((state, response))
}

async fn release(mut state: State) -> HandlerResult {
    let EntryPath { service, fingerprint } = EntryPath::take_from(&mut state);
    let Ok(fingerprint) = u64::from_str_radix(&fingerprint, 16) else {
        let message = "the fingerprint is not hexadecimal";
        let response = json_reply(StatusCode::BAD_REQUEST, &json!({ "message": message }));
        return Ok((state, response));
    };
    let (tx, rx) = oneshot::channel();
    let message = AdminToControl::ReleaseQuarantineEntry { service, fingerprint, reply: tx };
    let asked = state.borrow::<Shown>().control.try_send(message);
    let response = match answer(asked.is_ok(), rx).await {
        Some(true) => json_reply(StatusCode::OK, &json!({ "released": true })),
        Some(false) => json_reply(StatusCode::NOT_FOUND, &json!({ "message": "no such entry" })),
        None => unavailable(),
    };
    Ok((state, response))
}

async fn answer<T>(was_asked: bool, reply: oneshot::Receiver<T>) -> Option<T> {
    if !was_asked {
        return None;
    }
    timeout(CONTROL_TIMEOUT, reply).await.ok()?.ok()
}

fn unavailable() -> Response<Body> {
    let body = json!({ "message": "the control thread does not answer" });
    json_reply(StatusCode::SERVICE_UNAVAILABLE, &body)
}

fn json_reply(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => reply(status, "application/json", body.into()),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn reply(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Body> {
    let mut response =
        Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn empty(status: StatusCode) -> Response<Body> {
    reply(status, "text/plain", Bytes::new())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
