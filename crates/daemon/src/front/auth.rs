use http::{HeaderMap, header};
use rosemarybank_protocol::prelude::*;
use sha2::{Digest, Sha256};

use super::request_error::RequestError;
use crate::message::FrontConfig;

/// Returns the caller to which the bearer token of a request belongs.
pub(super) fn authenticate<'a>(
    headers: &HeaderMap,
    config: &'a FrontConfig,
) -> Result<&'a CallerConfig, RequestError> {
    let unauthenticated = |message| RequestError::new(ErrorKind::Unauthenticated, message);
    let value = headers
        .get(header::AUTHORIZATION)
        .ok_or_else(|| unauthenticated("the authorization header is missing"))?;
    let token = bearer_token(value.as_bytes())
        .ok_or_else(|| unauthenticated("the authorization header holds no bearer token"))?;
    // Tokens are looked up by their hash, so that the time of a look-up reveals nothing about a
    // valid token.
    let hash: [u8; 32] = Sha256::digest(token).into();
    config.callers.get(&hash).ok_or_else(|| unauthenticated("the bearer token names no caller"))
}

/// Returns the service `name`, or an error if no service of this kind has the name or the caller
/// may not use it.
pub(super) fn authorize<'a>(
    name: &str,
    kind: ServiceKind,
    caller: &CallerConfig,
    config: &'a FrontConfig,
) -> Result<&'a ServiceConfig, RequestError> {
    let unknown = || {
        let what = match kind {
            ServiceKind::Search => "search service",
            ServiceKind::Ledger => "ledger",
        };
        RequestError::new(ErrorKind::UnknownService, format!("there is no {what} of this name"))
    };
    let service = config.services.get(name).filter(|it| it.kind == kind).ok_or_else(unknown)?;
    if !caller.services.contains(&service.name) {
        let message = format!("caller {} may not use {}", caller.name, service.name);
        return Err(RequestError::new(ErrorKind::Forbidden, message));
    }
    Ok(service)
}

fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked("Bearer ".len())?;
    let token = token.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"Bearer ") && !token.is_empty()).then_some(token)
}
