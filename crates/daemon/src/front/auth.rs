use http::{HeaderMap, header};
use rosemarybank_protocol::prelude::*;
use sha2::{Digest, Sha256};

use super::fail::Fail;
use crate::message::FrontConfig;

/// Finds the caller whose bearer token the request carries.
pub(super) fn caller<'a>(
    headers: &HeaderMap,
    config: &'a FrontConfig,
) -> Result<&'a CallerConfig, Fail> {
    let unauthenticated = |message| Fail::new(ErrorKind::Unauthenticated, message);
    let value = headers
        .get(header::AUTHORIZATION)
        .ok_or_else(|| unauthenticated("the authorization header is missing"))?;
    let token = bearer_token(value.as_bytes())
        .ok_or_else(|| unauthenticated("the authorization header holds no bearer token"))?;
    // Looking the hash up, not the token, leaves no timing that depends on the token's characters.
    let hash: [u8; 32] = Sha256::digest(token).into();
    config.callers.get(&hash).ok_or_else(|| unauthenticated("the bearer token names no caller"))
}

/// Finds a service that the caller may use, of the kind that the path is for.
pub(super) fn service<'a>(
    name: &str,
    kind: ServiceKind,
    caller: &CallerConfig,
    config: &'a FrontConfig,
) -> Result<&'a ServiceConfig, Fail> {
    let unknown = || {
        let what = match kind {
            ServiceKind::Search => "search service",
            ServiceKind::Ledger => "ledger",
        };
        Fail::new(ErrorKind::UnknownService, format!("there is no {what} of this name"))
    };
    let service = config.services.get(name).filter(|it| it.kind == kind).ok_or_else(unknown)?;
    if !caller.services.contains(&service.name) {
        let message = format!("caller {} may not use {}", caller.name, service.name);
        return Err(Fail::new(ErrorKind::Forbidden, message));
    }
    Ok(service)
}

fn bearer_token(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked("Bearer ".len())?;
    let token = token.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"Bearer ") && !token.is_empty()).then_some(token)
}
