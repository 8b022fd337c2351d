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

use super::{action, answer, fail::Fail, search, shared::Shared};
use crate::trace::TraceContext;

/// The callers' paths.
pub(super) fn router() -> Router {
    build_simple_router(|route| {
        route
            .post("/v1/services/:service/search")
            .with_path_extractor::<ServicePath>()
            .to_async(search_handler);
        route
            .post("/v1/services/:service/actions")
            .with_path_extractor::<ServicePath>()
            .to_async(act_handler);
        route
            .get("/v1/services/:service/actions/:key")
            .with_path_extractor::<ServicePath>()
            .to_async(look_up_handler);
    })
}

/// Variable segments of a path.
#[derive(Debug, Deserialize)]
pub(super) struct ServicePath {
    /// Service.
    pub(super) service: CompactString,
    /// Idempotency key, where the path has one.
    pub(super) key: Option<CompactString>,
}

impl StateData for ServicePath {}

impl StaticResponseExtender for ServicePath {
    type ResBody = Body;

    fn extend(_: &mut State, _: &mut Response<Body>) {}
}

/// What the front knows of a request besides its HTTP form.
#[derive(Clone)]
pub(super) struct RequestContext {
    /// What all requests share.
    pub(super) shared: Shared,
    /// Span of the request.
    pub(super) trace: TraceContext,
    /// When its head arrived.
    pub(super) arrived: Time,
}

impl StateData for RequestContext {}

/// A request as a handler takes it apart.
pub(super) struct RequestParts {
    /// What all requests share.
    pub(super) shared: Shared,
    /// Headers.
    pub(super) headers: HeaderMap,
    /// Variable segments of the path.
    pub(super) path: ServicePath,
    /// Span of the request.
    pub(super) trace: TraceContext,
    /// When its head arrived.
    pub(super) arrived: Time,
    /// Body, not yet read.
    pub(super) body: Body,
}

impl RequestParts {
    /// Takes the parts out of a state that the service and the router have filled.
    pub(super) fn take(state: &mut State) -> RequestParts {
        let RequestContext { shared, trace, arrived } = state.borrow::<RequestContext>().clone();
        RequestParts {
            shared,
            headers: HeaderMap::take_from(state),
            path: ServicePath::take_from(state),
            trace,
            arrived,
            body: Body::take_from(state),
        }
    }
}

async fn search_handler(mut state: State) -> HandlerResult {
    let result = search::handle(&mut state).await;
    finish(state, result)
}

async fn act_handler(mut state: State) -> HandlerResult {
    let result = action::act(&mut state).await;
    finish(state, result)
}

async fn look_up_handler(mut state: State) -> HandlerResult {
    let result = action::look_up(&mut state).await;
    finish(state, result)
}

fn finish(state: State, result: Result<impl Serialize, Fail>) -> HandlerResult {
    let trace = state.borrow::<RequestContext>().trace;
    let response = match result {
        Ok(body) => answer::success(&body, trace),
        Err(fail) => answer::error(fail, trace),
    };
    Ok((state, response))
}
