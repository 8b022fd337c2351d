use compact_str::CompactString;
use gotham::{
    handler::HandlerResult,
    helpers::http::Body,
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
        response::StaticResponseExtender,
    },
    state::{FromState, State, StateData},
};
use http::{HeaderMap, Response};
use rosemarybank_protocol::id::Time;
use serde::{Deserialize, Serialize};

use super::{action, request_error::RequestError, response, search, shared::SharedState};
use crate::trace::TraceContext;

/// Builds the router of the callers' port.
pub(super) fn router() -> Router {
    build_simple_router(|route| {
        route
            .post("/v1/services/:service/search")
            .with_path_extractor::<ServicePath>()
            .to_async(search_handler);
        route
            .post("/v1/services/:service/actions")
            .with_path_extractor::<ServicePath>()
            .to_async(submit_action_handler);
        route
            .get("/v1/services/:service/actions/:key")
            .with_path_extractor::<ServicePath>()
            .to_async(look_up_action_handler);
    })
}

/// Path parameters.
#[derive(Debug, Deserialize)]
pub(super) struct ServicePath {
    /// Name of the service.
    pub(super) service: CompactString,
    /// Idempotency key, if the path contains one.
    pub(super) key: Option<CompactString>,
}

impl StateData for ServicePath {}

impl StaticResponseExtender for ServicePath {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

/// Context of a request, added to the state of its handler.
#[derive(Clone)]
pub(super) struct RequestContext {
    /// State shared by all requests.
    pub(super) shared: SharedState,
    /// Trace context of the request.
    pub(super) trace: TraceContext,
    /// Time at which its head arrived.
    pub(super) arrived_at: Time,
}

impl StateData for RequestContext {}

/// Parts of a request that handlers use.
pub(super) struct RequestParts {
    /// State shared by all requests.
    pub(super) shared: SharedState,
    /// Headers.
    pub(super) headers: HeaderMap,
    /// Path parameters.
    pub(super) path: ServicePath,
    /// Trace context of the request.
    pub(super) trace: TraceContext,
    /// Time at which its head arrived.
    pub(super) arrived_at: Time,
    /// Unread body.
    pub(super) body: Body,
}

impl RequestParts {
    /// Takes the parts out of the handler's state, which the service and the router have filled.
    pub(super) fn take(state: &mut State) -> RequestParts {
        let RequestContext { shared, trace, arrived_at } = state.borrow::<RequestContext>().clone();
        RequestParts {
            shared,
            headers: HeaderMap::take_from(state),
            path: ServicePath::take_from(state),
            trace,
            arrived_at,
            body: Body::take_from(state),
        }
    }
}

async fn search_handler(mut state: State) -> HandlerResult {
    let result = search::handle(&mut state).await;
    into_handler_result(state, result)
}

async fn submit_action_handler(mut state: State) -> HandlerResult {
    let result = action::submit(&mut state).await;
    into_handler_result(state, result)
}

async fn look_up_action_handler(mut state: State) -> HandlerResult {
    let result = action::look_up(&mut state).await;
    into_handler_result(state, result)
}

fn into_handler_result(
    state: State,
    result: Result<impl Serialize, RequestError>,
) -> HandlerResult {
    let trace = state.borrow::<RequestContext>().trace;
    let response = match result {
        Ok(body) => response::success(&body, trace),
        Err(err) => response::error(err, trace),
    };
    Ok((state, response))
}
