use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use rosemarybank_protocol::upstream::{DEADLINE_HEADER, UpstreamError, UpstreamErrorKind};
use serde::de::DeserializeOwned;
use tokio::time::{self, Instant};

use super::{connection::Connection, replica::Replica, reply_memory::ReplyBuffer};
use crate::traffic::{ByteCounter, header_bytes};

/// Options of a request to a replica.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Time at which the request is given up and its stream is reset.
    pub deadline: Instant,
    /// Value of the `traceparent` header.
    pub traceparent: Option<HeaderValue>,
}

/// Outcome of a request to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome<T> {
    /// The replica replied with a result.
    Reply(T),
    /// The replica refused the request or failed to execute it.
    Refused(UpstreamError),
    /// The replica has not processed the request and cannot process it later: the request was not
    /// sent, or the replica refused its stream without processing it.
    NotSent,
    /// The connection failed after the request was sent.
    Disconnected,
    /// The deadline passed after the request was sent, and its stream was reset.
    TimedOut,
}

/// Sends a body in a POST request, piece by piece, and reads a JSON reply.
pub(super) async fn post<T: DeserializeOwned>(
    replica: &Replica,
    path: &str,
    body: serde_json::Result<Vec<Bytes>>,
    options: &CallOptions,
    buffer: ReplyBuffer,
) -> CallOutcome<T> {
    match body {
        Ok(body) => {
            let request = (Method::POST, path, body);
            exchange(replica, request, options, buffer, None).await
        }
        Err(_) => CallOutcome::NotSent,
    }
}

/// Reads a JSON document with a GET request. `counter` counts the bytes of request and reply.
pub(super) async fn get<T: DeserializeOwned>(
    replica: &Replica,
    path: &str,
    options: &CallOptions,
    buffer: ReplyBuffer,
    counter: &ByteCounter,
) -> CallOutcome<T> {
    let request = (Method::GET, path, Vec::new());
    exchange(replica, request, options, buffer, Some(counter)).await
}

async fn exchange<T: DeserializeOwned>(
    replica: &Replica,
    (method, path, body): (Method, &str, Vec<Bytes>),
    options: &CallOptions,
    mut buffer: ReplyBuffer,
    counter: Option<&ByteCounter>,
) -> CallOutcome<T> {
    let count = |bytes: usize| counter.iter().for_each(|it| it.add(bytes));
    let Some(mut conn) = replica.connection(options.deadline).await else {
        return CallOutcome::NotSent;
    };
    // The deadline may have passed while the process was paused; the request must not be sent then.
    let Some(req) = build_request(replica, method, path, options) else {
        return CallOutcome::NotSent;
    };
    let body_len = body.iter().map(Bytes::len).sum::<usize>();
    let sent_bytes = path.len() + header_bytes(req.headers()) + body_len;
    let bytes_read_before = conn.frames.bytes_read();
    let Ok((response, mut stream)) = conn.sender.send_request(req, body.is_empty()) else {
        return CallOutcome::NotSent;
    };
    count(sent_bytes);
    let stream_id = stream.stream_id().as_u32();
    let last = body.len().saturating_sub(1);
    for (number, piece) in body.into_iter().enumerate() {
        // An error here is an error of the stream, which `response` reports.
        let _ = stream.send_data(piece, number == last);
    }
    let reading = async {
        let (head, body) = response.await?.into_parts();
        let body = read_body(body, stated_len(&head.headers), &mut buffer).await?;
        count(header_bytes(&head.headers) + body.as_ref().map_or(0, Bytes::len));
        Ok((head.status, body))
    };
    match time::timeout_at(options.deadline, reading).await {
        Ok(Ok((status, body))) => decode(status, body.as_deref()),
        Ok(Err(err)) => classify_error(&err, stream_id, &conn),
        Err(_) => {
            stream.send_reset(Reason::CANCEL);
            if conn.frames.bytes_read() == bytes_read_before {
                replica.report_stall(&conn);
            }
            CallOutcome::TimedOut
        }
    }
}

/// Builds a request; `None` when its deadline has passed.
fn build_request(
    replica: &Replica,
    method: Method,
    path: &str,
    options: &CallOptions,
) -> Option<Request<()>> {
    let remaining =
        options.deadline.checked_duration_since(Instant::now()).filter(|it| !it.is_zero())?;
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", replica.addr()))
        .header(DEADLINE_HEADER, remaining_ms)
        .header(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(traceparent) = &options.traceparent {
        req = req.header("traceparent", traceparent);
    }
    req.body(()).ok()
}

/// Length that a reply states for its body.
fn stated_len(headers: &HeaderMap) -> usize {
    let len = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok()?.parse().ok());
    len.unwrap_or(0)
}

/// Reads a body; `None` when it has no room in the memory for replies.
async fn read_body(
    mut stream: RecvStream,
    stated_len: usize,
    buffer: &mut ReplyBuffer,
) -> Result<Option<Bytes>, h2::Error> {
    let mut body = BytesMut::new();
    if !buffer.reserve(stated_len) {
        return Ok(None);
    }
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if !buffer.reserve(body.len() + chunk.len()) {
            return Ok(None);
        }
        stream.flow_control().release_capacity(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok(Some(body.freeze()))
}

/// Decodes a response. `body` is `None` when it had no room.
fn decode<T: DeserializeOwned>(status: StatusCode, body: Option<&[u8]>) -> CallOutcome<T> {
    let malformed = || failed();
    let Some(body) = body else { return malformed() };
    if status == StatusCode::OK {
        return serde_json::from_slice(body).map_or_else(|_| malformed(), CallOutcome::Reply);
    }
    match serde_json::from_slice::<UpstreamError>(body) {
        Ok(err) if err.error.status() == status.as_u16() => CallOutcome::Refused(err),
        // A refusal guarantees that the request was not executed, so only a well-formed one with the
        // matching status is accepted.
        _ => malformed(),
    }
}

fn classify_error<T>(err: &h2::Error, stream_id: u32, conn: &Connection) -> CallOutcome<T> {
    let refused = err.is_reset() && err.reason() == Some(Reason::REFUSED_STREAM);
    if (refused && err.is_remote()) || conn.frames.is_unprocessed(stream_id) {
        return CallOutcome::NotSent;
    }
    if err.is_reset() { failed() } else { CallOutcome::Disconnected }
}

/// Outcome of a request that may have been executed and has no usable reply.
fn failed<T>() -> CallOutcome<T> {
    let error = UpstreamErrorKind::Failed;
    CallOutcome::Refused(UpstreamError { error, snapshots: Vec::new() })
}
