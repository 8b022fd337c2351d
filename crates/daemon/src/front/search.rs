use std::{sync::Arc, time::Duration};

use gotham::state::State;
use rosemarybank_protocol::{prelude::*, search::MAX_HIT_LIMIT};
use rosemarybank_query::interface::{QueryId, Submission};
use rosemarybank_transport::upstream::QueryText;
use tokio::time::{Instant, timeout_at};

use super::{
    auth, fingerprint, request_error::RequestError, router::RequestParts, shared::SharedState,
};
use crate::{
    front::body,
    message::{FrontToEngine, SearchPayload},
};

/// Time after a request's deadline at which the front stops waiting for another thread and responds
/// with an error. The other threads reply by the deadline, so this passes only if one of them is
/// stuck.
const REPLY_GRACE: Duration = Duration::from_secs(1);

/// Handles `POST /v1/services/{service}/search`.
pub(super) async fn handle(state: &mut State) -> Result<SearchResponse, RequestError> {
    let RequestParts { shared, headers, path, trace, arrived_at, body } = RequestParts::take(state);
    let config = shared.config()?;
    let caller = auth::authenticate(&headers, &config)?;
    let service = auth::authorize(&path.service, ServiceKind::Search, caller, &config)?;
    let body_deadline = shared.clock.instant_at(arrived_at + shared.settings.body_timeout);
    let buffer = shared.body_memory.start();
    let body_limit = config.limits.body_bytes;
    let bytes = body::read(&headers, body, body_limit, body_deadline.into(), &buffer).await?;
    let request: SearchRequest = body::parse(&bytes)?;
    drop(bytes);
    check_limit(request.limit)?;
    let deadline = request_deadline(&shared, arrived_at, request.timeout_ms, service)?;

    let (query, reply) = shared.searches.register(Some(buffer));
    let guard = CancelOnDrop { shared: &shared, query };
    let submission = Submission {
        query,
        service: service.name.clone(),
        fingerprint: fingerprint::for_search(&service.name, &request.query),
        priority: caller.priority,
        coverage: request.coverage.unwrap_or(service.coverage),
        limit: request.limit,
        deadline,
    };
    let (query_text, limit) = (QueryText::new(&request.query), request.limit);
    // The query may be long, and its encoded form is kept until the answer.
    drop(request);
    let service_name = service.name.clone();
    let payload =
        Arc::new(SearchPayload { service: service_name, query: query_text, limit, trace });
    if shared.engine.try_send(FrontToEngine::Submit { submission, payload }).is_err() {
        shared.searches.remove(query);
        return Err(shared.ring_full_error());
    }
    let reply = timeout_at(reply_deadline(&shared, deadline), reply).await;
    drop(guard);
    let result = reply
        .map_err(|_| RequestError::new(ErrorKind::Internal, "the engine did not answer in time"))?
        .map_err(|_| RequestError::new(ErrorKind::Internal, "the engine has stopped"))?
        .map_err(RequestError::from_refusal)?;
    Ok(SearchResponse {
        snapshot: result.snapshot,
        complete: result.coverage.is_complete(),
        coverage: result.coverage,
        hits: result.hits,
        trace_id: trace.trace_id_hex(),
    })
}

/// Returns the time until which the front waits for another thread to reply.
pub(super) fn reply_deadline(shared: &SharedState, deadline: Time) -> Instant {
    shared.clock.instant_at(deadline + REPLY_GRACE).into()
}

/// Computes the deadline of a request, counted from the arrival of its head.
pub(super) fn request_deadline(
    shared: &SharedState,
    arrived_at: Time,
    timeout_ms: Option<u64>,
    service: &ServiceConfig,
) -> Result<Time, RequestError> {
    let timeout = Duration::from_millis(timeout_ms.unwrap_or(service.timeout_ms));
    let max_timeout = shared.settings.longest_timeout;
    if timeout > max_timeout && timeout_ms.is_some() {
        let message = format!("timeout_ms is above {}", max_timeout.as_millis());
        return Err(RequestError::new(ErrorKind::InvalidArgument, message));
    }
    let deadline = arrived_at + timeout.min(max_timeout);
    if deadline <= shared.clock.now() {
        let message = "the deadline passed before the request was run";
        return Err(RequestError::new(ErrorKind::DeadlineUnreachable, message));
    }
    Ok(deadline)
}

fn check_limit(limit: u32) -> Result<(), RequestError> {
    if (1..=MAX_HIT_LIMIT).contains(&limit) {
        return Ok(());
    }
    let message = format!("limit must be from 1 to {MAX_HIT_LIMIT}");
    Err(RequestError::new(ErrorKind::InvalidArgument, message))
}

/// Cancels a search that is still pending when the guard is dropped: the caller disconnected, or the
/// engine did not reply in time.
struct CancelOnDrop<'a> {
    shared: &'a SharedState,
    query: QueryId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.shared.searches.remove(self.query) {
            self.shared.engine.send(FrontToEngine::CallerGone { query: self.query });
        }
    }
}
