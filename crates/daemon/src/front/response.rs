use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rosemarybank_protocol::error::ErrorKind;
use serde::Serialize;

use super::fail::Fail;
use crate::trace::{TRACEPARENT, TraceContext};

/// A successful answer with a JSON body.
pub(super) fn success(body: &impl Serialize, trace: TraceContext) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => respond(StatusCode::OK, body.into(), trace),
        Err(err) => error(Fail::new(ErrorKind::Internal, err.to_string()), trace),
    }
}

/// The answer for an error.
pub(super) fn error(fail: Fail, trace: TraceContext) -> Response<Body> {
    let body = fail.into_body(trace.trace_id_hex());
    let status = StatusCode::from_u16(body.error.answer().status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    // A body of strings and numbers always has a JSON form.
    let json = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = respond(status, json.into(), trace);
    if let Some(after_ms) = body.retry_after_ms {
        let seconds = HeaderValue::from(after_ms.div_ceil(1_000).max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Gives the answers of the router itself, which have no body, their body from the table.
pub(super) fn complete(response: Response<Body>, trace: TraceContext) -> Response<Body> {
    if response.headers().contains_key(TRACEPARENT) {
        return response;
    }
    let fail = match response.status() {
        StatusCode::NOT_FOUND => Fail::new(ErrorKind::NotFound, "there is no such path"),
        StatusCode::METHOD_NOT_ALLOWED => {
            Fail::new(ErrorKind::MethodNotAllowed, "the path does not take this method")
        }
        status => Fail::new(ErrorKind::Internal, format!("the handler ended with {status}")),
    };
    let mut answer = error(fail, trace);
    if let Some(allow) = response.headers().get(header::ALLOW) {
        answer.headers_mut().insert(header::ALLOW, allow.clone());
    }
    answer
}

fn respond(status: StatusCode, body: Bytes, trace: TraceContext) -> Response<Body> {
    let mut response =
        Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.headers_mut().insert(TRACEPARENT, trace.header_value());
    response
}
