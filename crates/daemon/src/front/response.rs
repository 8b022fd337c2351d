use bytes::Bytes;
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rosemarybank_protocol::error::ErrorKind;
use serde::Serialize;

use super::request_error::RequestError;
use crate::trace::{TRACEPARENT, TraceContext};

/// Builds a successful response with a JSON body.
pub(super) fn success(body: &impl Serialize, trace: TraceContext) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(body) => json_response(StatusCode::OK, body.into(), trace),
        Err(err) => error(RequestError::new(ErrorKind::Internal, err.to_string()), trace),
    }
}

/// Builds the response for an error.
pub(super) fn error(err: RequestError, trace: TraceContext) -> Response<Body> {
    let body = err.into_body(trace.trace_id_hex());
    let status =
        StatusCode::from_u16(body.error.spec().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    // `ErrorBody` consists of strings and numbers, so its serialization can't fail.
    let json = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = json_response(status, json.into(), trace);
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

/// Replaces a response that the router generated itself, without a body, by the error response for
/// its status. Responses of handlers carry a `traceparent` header and are returned unchanged.
pub(super) fn add_error_body(response: Response<Body>, trace: TraceContext) -> Response<Body> {
    if response.headers().contains_key(TRACEPARENT) {
        return response;
    }
    let err = match response.status() {
        StatusCode::NOT_FOUND => RequestError::new(ErrorKind::NotFound, "there is no such path"),
        StatusCode::METHOD_NOT_ALLOWED => {
            RequestError::new(ErrorKind::MethodNotAllowed, "the path does not take this method")
        }
        status => {
            RequestError::new(ErrorKind::Internal, format!("the handler ended with {status}"))
        }
    };
    let mut replacement = error(err, trace);
    if let Some(allow) = response.headers().get(header::ALLOW) {
        replacement.headers_mut().insert(header::ALLOW, allow.clone());
    }
    replacement
}

fn json_response(status: StatusCode, body: Bytes, trace: TraceContext) -> Response<Body> {
    let mut response =
        Response::new(Full::new(body).map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.headers_mut().insert(TRACEPARENT, trace.header_value());
    response
}
