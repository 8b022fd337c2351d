use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use rosemarybank_protocol::prelude::*;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use super::fail::Fail;

/// Reads a body of at most `limit` bytes until `deadline`.
pub(super) async fn read(
    headers: &HeaderMap,
    body: Body,
    limit: u32,
    deadline: Instant,
) -> Result<Bytes, Fail> {
    let too_large =
        || Fail::new(ErrorKind::BodyTooLarge, format!("the body is larger than {limit} bytes"));
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    if announced.and_then(|it| it.parse::<u64>().ok()).is_some_and(|it| it > limit.into()) {
        return Err(too_large());
    }
    let reading = Limited::new(body, limit as usize).collect();
    match timeout_at(deadline, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(Fail::new(ErrorKind::MalformedBody, "the body ended early")),
        Err(_) => Err(Fail::new(ErrorKind::DeadlineUnreachable, "the body did not arrive in time")),
    }
}

/// Reads a JSON document.
pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fail> {
    serde_json::from_slice(body).map_err(|err| Fail::new(ErrorKind::MalformedBody, err.to_string()))
}
