use std::{sync::Arc, time::Duration};

use gotham::state::State;
use rosemarybank_protocol::{prelude::*, search::MAX_LIMIT};
use rosemarybank_query::interface::{QueryId, Submission};
use tokio::time::{Instant, timeout_at};

use super::{auth, fail::Fail, fingerprint, router::RequestParts, shared::Shared};
use crate::{
    front::body,
    message::{FrontToEngine, SearchPayload},
};

/// Time beyond the deadline after which the front answers for a thread that does not. The other
/// threads answer at the deadline, so this passes only when one of them is stuck.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// `POST /v1/services/{service}/search`
pub(super) async fn handle(state: &mut State) -> Result<SearchAnswer, Fail> {
    let RequestParts { shared, headers, path, trace, arrived, body } = RequestParts::take(state);
    let config = shared.config()?;
    let caller = auth::caller(&headers, &config)?;
    let service = auth::service(&path.service, ServiceKind::Search, caller, &config)?;
    let body_deadline = shared.clock.instant_at(arrived + shared.settings.body_timeout);
    let bytes = body::read(&headers, body, config.limits.body_bytes, body_deadline.into()).await?;
    let request: SearchRequest = body::parse(&bytes)?;
    check_limit(request.limit)?;
    let deadline = deadline(&shared, arrived, request.timeout_ms, service)?;

    let (query, answer) = shared.searches.register();
    let guard = HangUp { shared: &shared, query };
    let submission = Submission {
        query,
        service: service.name.clone(),
        fingerprint: fingerprint::of_search(&service.name, &request.query),
        priority: caller.priority,
        coverage: request.coverage.unwrap_or(service.coverage),
        limit: request.limit,
        deadline,
    };
    let payload = Arc::new(SearchPayload {
        service: service.name.clone(),
        query: request.query.into(),
        limit: request.limit,
        trace,
    });
    if shared.engine.try_send(FrontToEngine::Submit { submission, payload }).is_err() {
        shared.searches.forget(query);
        return Err(shared.ring_full());
    }
    let answer = timeout_at(answer_by(&shared, deadline), answer).await;
    drop(guard);
    let result = answer
        .map_err(|_| Fail::new(ErrorKind::Internal, "the engine did not answer in time"))?
        .map_err(|_| Fail::new(ErrorKind::Internal, "the engine has stopped"))?
        .map_err(Fail::from_refusal)?;
    Ok(SearchAnswer {
        snapshot: result.snapshot,
        complete: result.coverage.is_complete(),
        coverage: result.coverage,
        hits: result.hits,
        trace_id: trace.trace_id_hex(),
    })
}

/// Time after which an answer of another thread is no longer awaited.
pub(super) fn answer_by(shared: &Shared, deadline: Time) -> Instant {
    shared.clock.instant_at(deadline + ANSWER_GRACE).into()
}

/// Time by which the caller needs its answer, counted from the head of its request.
pub(super) fn deadline(
    shared: &Shared,
    arrived: Time,
    timeout_ms: Option<u64>,
    service: &ServiceConfig,
) -> Result<Time, Fail> {
    let timeout = Duration::from_millis(timeout_ms.unwrap_or(service.timeout_ms));
    let longest = shared.settings.longest_timeout;
    if timeout > longest && timeout_ms.is_some() {
        let message = format!("timeout_ms is above {}", longest.as_millis());
        return Err(Fail::new(ErrorKind::InvalidArgument, message));
    }
    let deadline = arrived + timeout.min(longest);
    if deadline <= shared.clock.now() {
        let message = "the deadline passed before the request was run";
        return Err(Fail::new(ErrorKind::DeadlineUnreachable, message));
    }
    Ok(deadline)
}

fn check_limit(limit: u32) -> Result<(), Fail> {
    if (1..=MAX_LIMIT).contains(&limit) {
        return Ok(());
    }
    let message = format!("limit must be from 1 to {MAX_LIMIT}");
    Err(Fail::new(ErrorKind::InvalidArgument, message))
}

/// Cancels a search when its handler is dropped because the caller hung up.
struct HangUp<'a> {
    shared: &'a Shared,
    query: QueryId,
}

impl Drop for HangUp<'_> {
    fn drop(&mut self) {
        if self.shared.searches.forget(self.query) {
            self.shared.engine.send(FrontToEngine::CallerGone { query: self.query });
        }
    }
}
