use std::time::Duration;

use gotham::state::State;
use http::HeaderMap;
use rosemarybank_coordination::{
    claim::{Answer, NotRunCause},
    key::{self, KeyError},
};
use rosemarybank_protocol::{prelude::*, upstream::UpstreamAction};
use tokio::time::timeout_at;

use super::{auth, body, fail::Fail, fingerprint, router::RequestParts, search};
use crate::{
    clock::unix_ms,
    message::{ActionSubmission, CompactText, FrontToControl, LookupRequest, StoreUnreachable},
};

const KEY_HEADER: &str = "idempotency-key";
/// Time after which a caller that found too many actions in progress may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `POST /v1/services/{service}/actions`
pub(super) async fn act(state: &mut State) -> Result<ActionAnswer, Fail> {
    let RequestParts { shared, headers, path, trace, arrived, body } = RequestParts::take(state);
    let config = shared.config()?;
    let caller = auth::caller(&headers, &config)?;
    let service = auth::service(&path.service, ServiceKind::Ledger, caller, &config)?;
    let key = key_of(&headers)?;
    let body_deadline = shared.clock.instant_at(arrived + shared.settings.body_timeout);
    let bytes = body::read(&headers, body, config.limits.body_bytes, body_deadline.into()).await?;
    let request: ActionRequest = body::parse(&bytes)?;
    let deadline = search::deadline(&shared, arrived, request.timeout_ms, service)?;

    if shared.actions.len() >= shared.settings.actions as usize {
        let message = "the instance has too many actions in progress";
        return Err(Fail::new(ErrorKind::Overloaded, message).retry_after(RETRY_AFTER));
    }
    let (id, answer) = shared.actions.register();
    let fingerprint = fingerprint::of_action(&service.name, &request.body);
    let action =
        UpstreamAction { service: service.name.clone(), key: key.clone(), body: request.body };
    let caller = caller.name.clone();
    let request = ActionSubmission { id, caller, action, fingerprint, deadline, trace };
    if shared.control.try_send(FrontToControl::SubmitAction(request)).is_err() {
        shared.actions.forget(id);
        return Err(shared.ring_full());
    }
    // A caller that hangs up does not stop its action: the claim decides what becomes of it. The
    // action then still counts towards the limit until control answers.
    let answer = timeout_at(search::answer_by(&shared, deadline), answer).await;
    let answer = answer.ok().and_then(Result::ok).ok_or_else(|| {
        shared.actions.forget(id);
        Fail::new(ErrorKind::OutcomeUnknown, "the instance did not learn how the action ended")
    })?;
    let outcome = outcome_of(answer)?;
    Ok(ActionAnswer { key, outcome, trace_id: trace.trace_id_hex() })
}

/// `GET /v1/services/{service}/actions/{key}`
pub(super) async fn look_up(state: &mut State) -> Result<ActionAnswer, Fail> {
    let RequestParts { shared, headers, path, trace, arrived, .. } = RequestParts::take(state);
    let config = shared.config()?;
    let caller = auth::caller(&headers, &config)?;
    let service = auth::service(&path.service, ServiceKind::Ledger, caller, &config)?;
    let key = path.key.unwrap_or_default();
    // A claim outlives the window in which its key may be used, so only the form is checked.
    if let Err(err @ (KeyError::Malformed | KeyError::NotVersion7)) = key::check(&key, unix_ms()) {
        return Err(Fail::new(ErrorKind::InvalidIdempotencyKey, err.to_string()));
    }
    let deadline = search::deadline(&shared, arrived, None, service)?;

    let (id, found) = shared.lookups.register();
    let caller = caller.name.clone();
    let request = LookupRequest { id, caller, key: key.clone(), deadline };
    if shared.control.try_send(FrontToControl::Lookup(request)).is_err() {
        shared.lookups.forget(id);
        return Err(shared.ring_full());
    }
    let found = timeout_at(search::answer_by(&shared, deadline), found).await;
    let found = found.ok().and_then(Result::ok).unwrap_or(Err(StoreUnreachable));
    match found {
        Ok(Some(outcome)) => Ok(ActionAnswer { key, outcome, trace_id: trace.trace_id_hex() }),
        Ok(None) => Err(Fail::new(ErrorKind::NotFound, "no action has this key")),
        Err(StoreUnreachable) => {
            Err(Fail::new(ErrorKind::StoreUnavailable, "the action can't be looked up now"))
        }
    }
}

fn key_of(headers: &HeaderMap) -> Result<CompactText, Fail> {
    let value = headers.get(KEY_HEADER).ok_or_else(|| {
        Fail::new(ErrorKind::MissingIdempotencyKey, "the idempotency-key header is missing")
    })?;
    let invalid = |message: String| Fail::new(ErrorKind::InvalidIdempotencyKey, message);
    let key = value.to_str().map_err(|_| invalid("the idempotency key is not text".to_owned()))?;
    key::check(key, unix_ms()).map_err(|err| invalid(err.to_string()))?;
    Ok(key.into())
}

fn outcome_of(answer: Answer) -> Result<ActionOutcome, Fail> {
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
    Err(Fail::new(kind.unwrap_or(ErrorKind::Internal), message))
}
