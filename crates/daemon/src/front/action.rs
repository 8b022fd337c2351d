use std::time::Duration;

use gotham::state::State;
use http::HeaderMap;
use rosemarybank_coordination::{
    claim::{Answer, NotRunCause},
    key::{self, KeyError},
};
use rosemarybank_protocol::{prelude::*, upstream::UpstreamAction};
use tokio::time::timeout_at;

use super::{auth, body, fingerprint, request_error::RequestError, router::RequestParts, search};
use crate::{
    clock::unix_ms,
    message::{ActionSubmission, CompactText, FrontToControl, LookupRequest, StoreUnreachable},
};

const KEY_HEADER: &str = "idempotency-key";
/// Value of `retry-after` when too many actions are in progress.
const ACTION_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles `POST /v1/services/{service}/actions`.
pub(super) async fn submit(state: &mut State) -> Result<ActionResponse, RequestError> {
    let RequestParts { shared, headers, path, trace, arrived_at, body } = RequestParts::take(state);
    let config = shared.config()?;
    let caller = auth::authenticate(&headers, &config)?;
    let service = auth::authorize(&path.service, ServiceKind::Ledger, caller, &config)?;
    let key = idempotency_key(&headers)?;
    let body_deadline = shared.clock.instant_at(arrived_at + shared.settings.body_timeout);
    let buffer = shared.body_memory.start();
    let body_limit = config.limits.body_bytes;
    let bytes = body::read(&headers, body, body_limit, body_deadline.into(), &buffer).await?;
    let request: ActionRequest = body::parse(&bytes)?;
    drop(bytes);
    let deadline = search::request_deadline(&shared, arrived_at, request.timeout_ms, service)?;

    if shared.actions.len() >= shared.settings.actions as usize {
        let message = "the instance has too many actions in progress";
        return Err(
            RequestError::new(ErrorKind::Overloaded, message).retry_after(ACTION_LIMIT_RETRY_AFTER)
        );
    }
    let (id, reply) = shared.actions.register(Some(buffer));
    let fingerprint = fingerprint::for_action(&service.name, &request.body);
    let action =
        UpstreamAction { service: service.name.clone(), key: key.clone(), body: request.body };
    let caller = caller.name.clone();
    let request = ActionSubmission { id, caller, action, fingerprint, deadline, trace };
    if shared.control.try_send(FrontToControl::SubmitAction(request)).is_err() {
        shared.actions.remove(id);
        return Err(shared.ring_full_error());
    }
    // A caller that disconnects does not cancel its action, because the claim determines the
    // outcome. The action counts towards the limit until the control thread reports how it ended.
    let answer = timeout_at(search::reply_deadline(&shared, deadline), reply).await;
    let answer = answer.ok().and_then(Result::ok).ok_or_else(|| {
        shared.actions.remove(id);
        RequestError::new(
            ErrorKind::OutcomeUnknown,
            "the instance did not learn how the action ended",
        )
    })?;
    let outcome = outcome_from_answer(answer)?;
    Ok(ActionResponse { key, outcome, trace_id: trace.trace_id_hex() })
}

/// Handles `GET /v1/services/{service}/actions/{key}`.
pub(super) async fn look_up(state: &mut State) -> Result<ActionResponse, RequestError> {
    let RequestParts { shared, headers, path, trace, arrived_at, .. } = RequestParts::take(state);
    let config = shared.config()?;
    let caller = auth::authenticate(&headers, &config)?;
    let service = auth::authorize(&path.service, ServiceKind::Ledger, caller, &config)?;
    let key = path.key.unwrap_or_default();
    // A claim is kept for longer than its key may be used for new actions, so only the format of
    // the key is checked here, not its age.
    if let Err(err @ (KeyError::Malformed | KeyError::NotVersion7)) = key::check(&key, unix_ms()) {
        return Err(RequestError::new(ErrorKind::InvalidIdempotencyKey, err.to_string()));
    }
    let deadline = search::request_deadline(&shared, arrived_at, None, service)?;

    let (id, reply) = shared.lookups.register(None);
    let caller = caller.name.clone();
    let request = LookupRequest { id, caller, key: key.clone(), deadline };
    if shared.control.try_send(FrontToControl::Lookup(request)).is_err() {
        shared.lookups.remove(id);
        return Err(shared.ring_full_error());
    }
    let result = timeout_at(search::reply_deadline(&shared, deadline), reply).await;
    let result = result.ok().and_then(Result::ok).unwrap_or(Err(StoreUnreachable));
    match result {
        Ok(Some(outcome)) => Ok(ActionResponse { key, outcome, trace_id: trace.trace_id_hex() }),
        Ok(None) => Err(RequestError::new(ErrorKind::NotFound, "no action has this key")),
        Err(StoreUnreachable) => {
            Err(RequestError::new(ErrorKind::StoreUnavailable, "the action can't be looked up now"))
        }
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<CompactText, RequestError> {
    let value = headers.get(KEY_HEADER).ok_or_else(|| {
        RequestError::new(ErrorKind::MissingIdempotencyKey, "the idempotency-key header is missing")
    })?;
    let invalid = |message: String| RequestError::new(ErrorKind::InvalidIdempotencyKey, message);
    let key = value.to_str().map_err(|_| invalid("the idempotency key is not text".to_owned()))?;
    key::check(key, unix_ms()).map_err(|err| invalid(err.to_string()))?;
    Ok(key.into())
}

fn outcome_from_answer(answer: Answer) -> Result<ActionOutcome, RequestError> {
    let kind = answer.error_kind();
    let message = match answer {
        Answer::Done { result } => return Ok(ActionOutcome::Done { result }),
        Answer::NotRun { cause: NotRunCause::StoreUnavailable } => {
            "the store did not confirm the claim".into()
        }
        Answer::NotRun { cause: NotRunCause::Deadline } => {
            "the deadline passed before the action was sent".into()
        }
        Answer::NotRun { cause: NotRunCause::Refused(reason) } | Answer::Unknown { reason } => {
            reason
        }
        Answer::KeyConflict => "the idempotency key was used with another body".into(),
    };
    Err(RequestError::new(kind.unwrap_or(ErrorKind::Internal), message))
}
