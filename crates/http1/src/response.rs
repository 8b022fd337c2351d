//! Response heads: parsing those of upstreams and rendering responses to clients.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    error::MessageError,
    head::{ConnectionFields, Framing, HeaderNames, MAX_FIELDS, field_text, push_field},
};

/// Maximum number of bytes received before a response head is complete.
const MAX_HEAD_LEN: usize = 32 << 10;

/// Numbers that are a status, from interim responses to server errors.
const VALID_STATUS: std::ops::Range<u16> = 100..600;

/// Longest `Retry-After` that is taken as stated; a longer one counts as this long.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);

/// A parsed response head.
#[derive(Clone, Debug, Default)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// How the end of the body is determined; `None` for a status without a body.
    pub framing: Option<Framing>,
    /// Whether the sender closes the connection after this response.
    pub closes_connection: bool,
    /// Time for which the sender keeps an idle connection open, if stated.
    pub idle_timeout: Option<Duration>,
    /// Id of the request that this response answers, if stated.
    pub request_id: Option<CompactString>,
    /// Stamp of the replica; it identifies the replica and the request.
    pub stamp: Option<CompactString>,
    /// Whether the replica states that it did not execute the request.
    pub is_not_executed: bool,
    /// Whether the replica states that it leaves.
    pub is_leaving: bool,
    /// Time in which the sender wants no further requests, if it states one.
    pub retry_after: Option<Duration>,
    /// Whether the body has a content coding other than `identity`.
    pub is_encoded: bool,
    /// Field lines to forward.
    pub forwarded_fields: Vec<u8>,
}

impl ResponseHead {
    /// Parses a head and returns it with its length in bytes, or `None` when it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the head is invalid or too long, or its framing is ambiguous.
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
        // The grammar permits any three digits.
        if !VALID_STATUS.contains(&status) {
            return Err(MessageError::MalformedHead);
        }
        Ok(Some((read_head(status, version, reply.headers, names)?, len)))
    }

    /// Whether the status is 2xx.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Content of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content<'a> {
    /// It is sent.
    Sent(&'a [u8]),
    /// It is left out, because the request is a `HEAD` request. Its length is stated if it is known.
    Omitted(Option<usize>),
}

/// Renders a response. `fields` holds complete header lines. A status that never has content is sent
/// without any.
///
/// # Examples
///
/// ```
/// use rosemarybank_http1::response::{Content, render};
///
/// let mut out = Vec::new();
/// render(&mut out, 503, b"", Content::Omitted(Some(9)), false);
/// assert_eq!(out, b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 9\r\n\r\n");
/// ```
pub fn render(out: &mut Vec<u8>, status: u16, fields: &[u8], content: Content<'_>, closes: bool) {
    let reason = reason_phrase(status);
    let has_content = may_have_content(status);
    let (body, len) = match content {
        _ if !has_content => (&[][..], None),
        Content::Sent(body) => (body, Some(body.len())),
        Content::Omitted(len) => (&[][..], len),
    };
    out.reserve(fields.len() + body.len() + 96);
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.to_string().as_bytes());
    out.push(b' ');
    out.extend_from_slice(reason.as_bytes());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(fields);
    if let Some(len) = len {
        push_field(out, "content-length", len.to_string().as_bytes());
    }
    if closes {
        push_field(out, "connection", b"close");
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

fn read_head(
    status: u16,
    version: u8,
    fields: &[httparse::Header<'_>],
    names: &HeaderNames,
) -> Result<ResponseHead, MessageError> {
    let mut head = ResponseHead { status, ..ResponseHead::default() };
    let mut connection = ConnectionFields::default();
    let hop_by_hop: Vec<bool> =
        fields.iter().map(|it| connection.record(it.name, it.value)).collect();
    for (field, is_hop_by_hop) in fields.iter().zip(hop_by_hop) {
        let (name, value) = (field.name, field.value);
        if name.eq_ignore_ascii_case(names.request_id) {
            head.request_id = Some(field_text(value));
        } else if name.eq_ignore_ascii_case(names.stamp) {
            head.stamp = Some(field_text(value));
        } else if name.eq_ignore_ascii_case(names.not_executed) {
            head.is_not_executed = true;
        } else if name.eq_ignore_ascii_case(names.leaving) {
            head.is_leaving |= value.trim_ascii() == b"1";
        } else if name.eq_ignore_ascii_case("retry-after") {
            head.retry_after = head.retry_after.max(parse_retry_after(value));
        } else if name.eq_ignore_ascii_case("content-encoding") {
            head.is_encoded |= !value.eq_ignore_ascii_case(b"identity");
        } else if name.eq_ignore_ascii_case("keep-alive") {
            head.idle_timeout = parse_keep_alive_timeout(value);
        }
        let end_to_end = [names.request_id, names.stamp];
        let is_end_to_end = end_to_end.iter().any(|it| name.eq_ignore_ascii_case(it));
        if !is_hop_by_hop && (is_end_to_end || !connection.is_listed(name)) {
            push_field(&mut head.forwarded_fields, name, value);
        }
    }
    let framing = connection.framing()?.unwrap_or(Framing::UntilClose);
    head.framing = may_have_content(status).then_some(framing);
    let is_until_close = head.framing == Some(Framing::UntilClose);
    head.closes_connection =
        connection.close || is_until_close || (version == 0 && !connection.keep_alive);
    Ok(head)
}

fn may_have_content(status: u16) -> bool {
    status >= 200 && status != 204 && status != 304
}

fn parse_keep_alive_timeout(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Parses a number of seconds, which may have a fraction. A date, zero and anything else state no time.
fn parse_retry_after(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = text.bytes().all(|it| it.is_ascii_digit() || it == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    let time = Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()));
    (!time.is_zero()).then_some(time)
}

fn reason_phrase(status: u16) -> &'static str {
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
