//! Helpers for HTTP requests and replies, shared by the stand-ins.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde::Serialize;

/// Reply of a stand-in.
pub type Reply = Response<ReplyBody>;

/// Body of a reply.
#[derive(Clone, Debug, Default)]
pub struct ReplyBody {
    bytes: Full<Bytes>,
    /// Whether the end of the body is never sent.
    is_unfinished: bool,
}

impl From<Vec<u8>> for ReplyBody {
    fn from(bytes: Vec<u8>) -> ReplyBody {
        ReplyBody { bytes: Full::from(bytes), is_unfinished: false }
    }
}

impl From<String> for ReplyBody {
    fn from(text: String) -> ReplyBody {
        ReplyBody::from(text.into_bytes())
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match Pin::new(&mut self.bytes).poll_frame(cx) {
            Poll::Ready(None) if self.is_unfinished => Poll::Pending,
            frame => frame,
        }
    }

    fn is_end_stream(&self) -> bool {
        !self.is_unfinished && self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_unfinished { SizeHint::default() } else { self.bytes.size_hint() }
    }
}

/// Result of a request that gets no reply: its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoReply;

impl std::fmt::Display for NoReply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without a reply")
    }
}

impl std::error::Error for NoReply {}

/// Builds a JSON reply.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("replies have no map with non-string keys");
    let mut reply = Response::new(body.into());
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    reply
}

/// Builds a reply without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(ReplyBody::default());
    *reply.status_mut() = status;
    reply
}

/// Builds a reply whose body goes no further after this many bytes, and does not end.
#[must_use]
pub fn unfinished(len: usize) -> Reply {
    Response::new(ReplyBody { bytes: Full::from(vec![b' '; len]), is_unfinished: true })
}

/// Reads a request body of at most `limit` bytes.
///
/// # Errors
///
/// Fails when the body is larger or the connection fails.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
    match Limited::new(body, limit).collect().await {
        Ok(it) => Ok(it.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Broken),
    }
}

/// Why a request body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection or the stream failed.
    Broken,
}

/// Returns the percent-decoded value of a parameter of a query string.
///
/// # Examples
///
/// ```
/// use rosemarybank_standins::http::query_value;
///
/// assert_eq!(query_value("prefix=a%2Fb&after=3", "prefix").as_deref(), Some("a/b"));
/// assert_eq!(query_value("prefix=a", "after"), None);
/// ```
#[must_use]
pub fn query_value(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| percent_decode(value)).next()
}

/// Decodes percent-encoded bytes; malformed escapes are kept.
#[must_use]
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escape = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escape.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
