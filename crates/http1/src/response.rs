//! Replies of replicas and the store, and how a reply is passed on.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    error::MessageError,
    head::{Frame, Framing, HeaderNames, MAX_FIELDS, push_field, text},
};

/// Longest head of a reply in bytes.
const MAX_HEAD_LEN: usize = 32 << 10;

/// Head of a reply.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// How the end of the body is found; `None` for a reply that never has a body.
    pub framing: Option<Framing>,
    /// Whether the sender closes the connection after this reply.
    pub closes: bool,
    /// Time for which the sender keeps the connection idle, if it says so.
    pub idle_timeout: Option<Duration>,
    /// Id of the request that this reply answers.
    pub request_id: Option<CompactString>,
    /// Proof of the replica.
    pub stamp: Option<CompactString>,
    /// Whether the replica states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the body is encoded, so that it is not what the replica produced.
    pub is_encoded: bool,
    /// Field lines that are passed on.
    pub forward: Vec<u8>,
}

impl ResponseHead {
    /// Reads a head and returns it with its length; `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails when the head is not valid, too long, or its framing is ambiguous.
    pub fn parse(
        buf: &[u8],
        names: &HeaderNames,
    ) -> Result<Option<(ResponseHead, usize)>, MessageError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut reply = httparse::Response::new(&mut fields);
        let len = match reply.parse(buf) {
            Ok(httparse::Status::Complete(len)) => len,
            Ok(httparse::Status::Partial) if buf.len() <= MAX_HEAD_LEN => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(MessageError::HeadTooLarge),
            Err(_) => return Err(MessageError::MalformedHead),
        };
        let (Some(status), Some(version)) = (reply.code, reply.version) else {
            return Err(MessageError::MalformedHead);
        };
        Ok(Some((read(status, version, reply.headers, names)?, len)))
    }

    /// Whether the status is of the class 2xx.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Renders an answer to a client.
pub fn render(out: &mut Vec<u8>, status: u16, fields: &[u8], body: &[u8], closes: bool) {
    let reason = reason(status);
    out.reserve(fields.len() + body.len() + 96);
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.to_string().as_bytes());
    out.push(b' ');
    out.extend_from_slice(reason.as_bytes());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(fields);
    if status != 204 && status != 304 {
        push_field(out, "content-length", body.len().to_string().as_bytes());
    }
    if closes {
        push_field(out, "connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

fn read(
    status: u16,
    version: u8,
    fields: &[httparse::Header<'_>],
    names: &HeaderNames,
) -> Result<ResponseHead, MessageError> {
    let mut head = ResponseHead { status, ..ResponseHead::default() };
    let mut frame = Frame::default();
    let is_of_connection: Vec<bool> =
        fields.iter().map(|it| frame.read(it.name, it.value)).collect();
    for (field, skip) in fields.iter().zip(is_of_connection) {
        let (name, value) = (field.name, field.value);
        if name.eq_ignore_ascii_case(names.request_id) {
            head.request_id = Some(text(value));
        } else if name.eq_ignore_ascii_case(names.stamp) {
            head.stamp = Some(text(value));
        } else if name.eq_ignore_ascii_case(names.not_run) {
            head.is_not_run = true;
        } else if name.eq_ignore_ascii_case("content-encoding") {
            head.is_encoded |= !value.eq_ignore_ascii_case(b"identity");
        } else if name.eq_ignore_ascii_case("keep-alive") {
            head.idle_timeout = idle_timeout(value);
        }
        if !skip && !frame.names(name) {
            push_field(&mut head.forward, name, value);
        }
    }
    let framing = frame.framing()?.unwrap_or(Framing::UntilClose);
    let has_body = status >= 200 && status != 204 && status != 304;
    head.framing = has_body.then_some(framing);
    let is_unframed = head.framing == Some(Framing::UntilClose);
    head.closes = frame.closes || is_unframed || (version == 0 && !frame.keeps);
    Ok(head)
}

fn idle_timeout(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
