use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body_util::BodyExt;
use rosemarybank_protocol::prelude::*;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use super::fail::Fail;

/// Bytes of a body above the limit that are read and discarded before the refusal is sent. A
/// connection that is closed with unread bytes is reset, and the caller may then lose the answer.
const DISCARDED_BYTES: usize = 1 << 20;

/// Reads a body of at most `limit` bytes until `deadline`.
pub(super) async fn read(
    headers: &HeaderMap,
    mut body: Body,
    limit: u32,
    deadline: Instant,
) -> Result<Bytes, Fail> {
    let limit = limit as usize;
    let too_large =
        || Fail::new(ErrorKind::BodyTooLarge, format!("the body is larger than {limit} bytes"));
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let announced = announced.and_then(|it| it.parse::<usize>().ok()).unwrap_or_default();
    if announced > limit + DISCARDED_BYTES {
        return Err(too_large());
    }
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
            }
            if discarded > DISCARDED_BYTES {
                break;
            }
        }
        Ok((bytes.freeze(), discarded > 0))
    };
    match timeout_at(deadline, reading).await {
        Ok(Ok((bytes, false))) => Ok(bytes),
        Ok(Ok((_, true))) => Err(too_large()),
        Ok(Err(message)) => Err(Fail::new(ErrorKind::MalformedBody, message)),
        Err(_) => Err(Fail::new(ErrorKind::DeadlineUnreachable, "the body did not arrive in time")),
    }
}

/// Reads a JSON document.
pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fail> {
    serde_json::from_slice(body).map_err(|err| Fail::new(ErrorKind::MalformedBody, err.to_string()))
}
