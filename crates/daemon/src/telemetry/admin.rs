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

use super::{document::StatusDocument, sink::MemorySink, spans::SpanBuffer};
use crate::{
    http_server::Handler,
    lifecycle::{PhaseWatch, Readiness},
    shared_sender::SharedSender,
};

/// Time allowed for a reply from the control thread, which serves these messages from memory.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages from the admin port to the control thread.
#[derive(Debug)]
pub enum AdminToControl {
    /// Lists the quarantined fingerprints.
    ListQuarantine {
        /// Receives the entries.
        reply: oneshot::Sender<Vec<QuarantineEntry>>,
    },
    /// Releases a fingerprint from quarantine.
    ReleaseQuarantineEntry {
        /// Service of the quarantined request.
        service: ServiceId,
        /// Fingerprint of the quarantined request.
        fingerprint: Fingerprint,
        /// Receives `true` when this instance has released the entry, and `false` if there is no
        /// such entry.
        reply: oneshot::Sender<bool>,
    },
}

/// State served by the admin port. Clones share it.
#[derive(Clone)]
pub(super) struct AdminState {
    /// Metrics.
    pub(super) sink: MemorySink,
    /// The last spans.
    pub(super) spans: Arc<Mutex<SpanBuffer>>,
    /// Response of `/status`.
    pub(super) status: Arc<Mutex<StatusDocument>>,
    /// Whether the instance can serve requests.
    pub(super) readiness: Readiness,
    /// Lifecycle phase of the process.
    pub(super) phase: PhaseWatch,
    /// Sends messages to the control thread.
    pub(super) control: SharedSender<AdminToControl>,
}

impl StateData for AdminState {}

/// HTTP service of the admin port.
#[derive(Clone)]
pub(super) struct AdminService {
    admin_state: AdminState,
    router: Router,
}

impl AdminService {
    /// Creates the service for this state.
    pub(super) fn new(admin_state: AdminState) -> AdminService {
        AdminService { admin_state, router: router() }
    }
}

impl Handler for AdminService {
    async fn handle(
        &self,
        req: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Infallible> {
        let mut state = State::from_request(req, peer);
        state.put(self.admin_state.clone());
        let handled = call_handler(self.router.clone(), AssertUnwindSafe(state)).await;
        Ok(handled.unwrap_or_else(|_| empty_response(StatusCode::INTERNAL_SERVER_ERROR)))
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
            .with_path_extractor::<QuarantineEntryPath>()
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
struct QuarantineEntryPath {
    service: CompactString,
    fingerprint: CompactString,
}

impl StateData for QuarantineEntryPath {}

impl StaticResponseExtender for QuarantineEntryPath {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

async fn health(state: State) -> HandlerResult {
    let response = json_response(StatusCode::OK, &json!({ "status": "ok" }));
    Ok((state, response))
}

async fn ready(state: State) -> HandlerResult {
    let admin_state = state.borrow::<AdminState>();
    let is_ready = admin_state.readiness.is_ready(admin_state.phase.current());
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let response = json_response(status, &json!({ "ready": is_ready }));
    Ok((state, response))
}

async fn status(state: State) -> HandlerResult {
    let response = json_response(StatusCode::OK, &*lock(&state.borrow::<AdminState>().status));
    Ok((state, response))
}

async fn metrics(state: State) -> HandlerResult {
    let text = state.borrow::<AdminState>().sink.render();
    let response = build_response(StatusCode::OK, "text/plain; version=0.0.4", text.into());
    Ok((state, response))
}

async fn trace(mut state: State) -> HandlerResult {
    let TracePath { id } = TracePath::take_from(&mut state);
    let trace = u128::from_str_radix(&id, 16)
        .ok()
        .and_then(|id| lock(&state.borrow::<AdminState>().spans).trace(id));
    let response = match trace {
        Some(trace) => json_response(StatusCode::OK, &trace),
        None => json_response(StatusCode::NOT_FOUND, &json!({ "message": "no span is kept" })),
    };
    Ok((state, response))
}

async fn quarantine(state: State) -> HandlerResult {
    let (tx, rx) = oneshot::channel();
    let sent =
        state.borrow::<AdminState>().control.try_send(AdminToControl::ListQuarantine { reply: tx });
    let response = match receive_reply(sent.is_ok(), rx).await {
        Some(entries) => json_response(StatusCode::OK, &json!({ "entries": entries })),
        None => unavailable(),
    };
    Ok((state, response))
}

async fn release(mut state: State) -> HandlerResult {
    let QuarantineEntryPath { service, fingerprint } = QuarantineEntryPath::take_from(&mut state);
    let Ok(fingerprint) = u64::from_str_radix(&fingerprint, 16) else {
        let message = "the fingerprint is not hexadecimal";
        let response = json_response(StatusCode::BAD_REQUEST, &json!({ "message": message }));
        return Ok((state, response));
    };
    let (tx, rx) = oneshot::channel();
    let message = AdminToControl::ReleaseQuarantineEntry { service, fingerprint, reply: tx };
    let sent = state.borrow::<AdminState>().control.try_send(message);
    let response = match receive_reply(sent.is_ok(), rx).await {
        Some(true) => json_response(StatusCode::OK, &json!({ "released": true })),
        Some(false) => json_response(StatusCode::NOT_FOUND, &json!({ "message": "no such entry" })),
        None => unavailable(),
    };
    Ok((state, response))
}

async fn receive_reply<T>(was_sent: bool, reply: oneshot::Receiver<T>) -> Option<T> {
    if !was_sent {
        return None;
    }
    timeout(CONTROL_TIMEOUT, reply).await.ok()?.ok()
}

fn unavailable() -> Response<Body> {
    let body = json!({ "message": "the control thread does not answer" });
    json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => build_response(status, "application/json", body.into()),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn build_response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let mut response =
        Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn empty_response(status: StatusCode) -> Response<Body> {
    build_response(status, "text/plain", Bytes::new())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
