use std::time::Duration;

use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body_util::BodyExt;
use rosemarybank_protocol::prelude::*;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use super::{body_memory::BodyBuffer, request_error::RequestError};

/// Number of bytes above the size limit that are read and discarded before the error response is
/// sent. Closing a connection with unread data resets it, and the caller may then never receive the
/// response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Memory that a request head occupies, as a multiple of its fields. Decoded fields share buffers that are
/// larger than they are.
const HEAD_COPIES: usize = 4;

/// Time after which a caller may retry when the memory for bodies was used up.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a body of at most `limit` bytes until `deadline`, and counts its memory and that of the
/// head in `buffer`.
pub(super) async fn read(
    headers: &HeaderMap,
    mut body: Body,
    limit: u32,
    deadline: Instant,
    buffer: &BodyBuffer,
) -> Result<Bytes, RequestError> {
    let limit = limit as usize;
    let too_large = || {
        RequestError::new(ErrorKind::BodyTooLarge, format!("the body is larger than {limit} bytes"))
    };
    let content_length = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let content_length = content_length.and_then(|it| it.parse::<usize>().ok()).unwrap_or_default();
    if content_length > limit + MAX_DISCARDED_BYTES {
        return Err(too_large());
    }
    if !buffer.admits(content_length.min(limit)) {
        return Err(memory_used_up());
    }
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let head_memory = fields.sum::<usize>() * HEAD_COPIES;
    buffer.set_received(head_memory);
    let reading = async {
        let mut bytes = BytesMut::new();
        let mut discarded = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err("the body ended early") };
            let Ok(data) = frame.into_data() else { continue };
            if discarded > 0 || bytes.len() + data.len() > limit {
                discarded += data.len();
            } else {
                bytes.extend_from_slice(&data);
                buffer.set_received(head_memory + bytes.capacity());
            }
            if discarded > MAX_DISCARDED_BYTES {
                break;
            }
        }
        Ok((bytes.freeze(), discarded > 0))
    };
    let reading = async {
        tokio::select! {
            result = reading => Some(result),
            () = buffer.released() => None,
        }
    };
    match timeout_at(deadline, reading).await {
        Ok(Some(Ok((bytes, false)))) if buffer.try_begin(head_memory, bytes.len()) => Ok(bytes),
        Ok(Some(Ok((_, false))) | None) => Err(memory_used_up()),
        Ok(Some(Ok((_, true)))) => Err(too_large()),
        Ok(Some(Err(message))) => Err(RequestError::new(ErrorKind::MalformedBody, message)),
        Err(_) => Err(RequestError::new(
            ErrorKind::DeadlineUnreachable,
            "the body did not arrive in time",
        )),
    }
}

fn memory_used_up() -> RequestError {
    RequestError::new(ErrorKind::Overloaded, "the memory for requests is used up")
        .retry_after(MEMORY_RETRY_AFTER)
}

/// Deserializes a JSON body.
pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(body)
        .map_err(|err| RequestError::new(ErrorKind::MalformedBody, err.to_string()))
}
