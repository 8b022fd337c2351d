use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream};
use http::{HeaderValue, Method, Request, StatusCode, header};
use rosemarybank_protocol::upstream::{DEADLINE_HEADER, UpstreamError, UpstreamErrorKind};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{self, Instant};

use super::{connection::Connection, replica::Replica};
use crate::traffic::{ByteCounter, header_bytes};

/// What accompanies a request.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Time after which the reply is useless; the stream is then reset.
    pub deadline: Instant,
    /// Value of the `traceparent` header.
    pub traceparent: Option<HeaderValue>,
}

/// How a request to a replica ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome<T> {
    /// The replica replied.
    Reply(T),
    /// The replica refused or failed.
    Refused(UpstreamError),
    /// The replica has not processed the request and never will: no byte of it was sent, or the
    /// replica refused its stream unprocessed.
    NotSent,
    /// The connection broke after the request was sent.
    Disconnected,
    /// The deadline passed after the request was sent, and its stream was reset.
    TimedOut,
}

/// Sends a JSON body and reads a JSON reply.
pub(super) async fn post<T: DeserializeOwned>(
    replica: &Replica,
    path: &str,
    body: &impl Serialize,
    call: &CallOptions,
    reply_bytes: usize,
) -> CallOutcome<T> {
    match serde_json::to_vec(body) {
        Ok(body) => {
            let content = (Method::POST, path, body.into());
            exchange(replica, content, call, reply_bytes, None).await
        }
        Err(_) => CallOutcome::NotSent,
    }
}

/// Reads a JSON document and counts its bytes.
pub(super) async fn get<T: DeserializeOwned>(
    replica: &Replica,
    path: &str,
    call: &CallOptions,
    reply_bytes: usize,
    counter: &ByteCounter,
) -> CallOutcome<T> {
    let content = (Method::GET, path, Bytes::new());
    exchange(replica, content, call, reply_bytes, Some(counter)).await
}

async fn exchange<T: DeserializeOwned>(
    replica: &Replica,
    (method, path, body): (Method, &str, Bytes),
    call: &CallOptions,
    reply_bytes: usize,
    counter: Option<&ByteCounter>,
) -> CallOutcome<T> {
    let count = |bytes: usize| counter.iter().for_each(|it| it.add(bytes));
    let Some(mut conn) = replica.connection(call.deadline).await else {
        return CallOutcome::NotSent;
    };
    // A process that was paused must not send a request whose time is over.
    let Some(req) = request(replica, method, path, call) else { return CallOutcome::NotSent };
    let sent = path.len() + header_bytes(req.headers()) + body.len();
    let read_before = conn.log.bytes_read();
    let Ok((response, mut stream)) = conn.requests.send_request(req, body.is_empty()) else {
        return CallOutcome::NotSent;
    };
    count(sent);
    let id = stream.stream_id().as_u32();
    if !body.is_empty() {
        // A failure to send is a failure of the stream, which the response reports.
        let _ = stream.send_data(body, true);
    }
    let reading = async {
        let (head, body) = response.await?.into_parts();
        let body = read_body(body, reply_bytes).await?;
        count(header_bytes(&head.headers) + body.as_ref().map_or(0, Bytes::len));
        Ok((head.status, body))
    };
    match time::timeout_at(call.deadline, reading).await {
        Ok(Ok((status, body))) => decode(status, body.as_deref()),
        Ok(Err(err)) => classify(&err, id, &conn),
        Err(_) => {
            stream.send_reset(Reason::CANCEL);
            if conn.log.bytes_read() == read_before {
                replica.report_stall(&conn);
            }
            CallOutcome::TimedOut
        }
    }
}

fn request(
    replica: &Replica,
    method: Method,
    path: &str,
    call: &CallOptions,
) -> Option<Request<()>> {
    let left = call.deadline.checked_duration_since(Instant::now()).filter(|it| !it.is_zero())?;
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", replica.addr()))
        .header(DEADLINE_HEADER, left_ms)
        .header(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(traceparent) = &call.traceparent {
        req = req.header("traceparent", traceparent);
    }
    req.body(()).ok()
}

/// Reads a body; `None` when it is longer than the limit.
async fn read_body(mut stream: RecvStream, limit: usize) -> Result<Option<Bytes>, h2::Error> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > limit {
            return Ok(None);
        }
        stream.flow_control().release_capacity(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok(Some(body.freeze()))
}

fn decode<T: DeserializeOwned>(status: StatusCode, body: Option<&[u8]>) -> CallOutcome<T> {
    let unreadable = || failed();
    let Some(body) = body else { return unreadable() };
    if status == StatusCode::OK {
        return serde_json::from_slice(body).map_or_else(|_| unreadable(), CallOutcome::Reply);
    }
    match serde_json::from_slice::<UpstreamError>(body) {
        Ok(err) if err.error.status() == status.as_u16() => CallOutcome::Refused(err),
        // A refusal promises that nothing ran, so it must be exactly of the documented form.
        _ => unreadable(),
    }
}

fn classify<T>(err: &h2::Error, stream: u32, conn: &Connection) -> CallOutcome<T> {
    let refused = err.is_reset() && err.reason() == Some(Reason::REFUSED_STREAM);
    if (refused && err.is_remote()) || conn.log.is_unprocessed(stream) {
        return CallOutcome::NotSent;
    }
    if err.is_reset() { failed() } else { CallOutcome::Disconnected }
}

fn failed<T>() -> CallOutcome<T> {
    let error = UpstreamErrorKind::Failed;
    CallOutcome::Refused(UpstreamError { error, snapshots: Vec::new() })
}
