//! Requests that arrive and how they are forwarded.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    error::MessageError,
    head::{Frame, Framing, HeaderNames, MAX_FIELDS, push_field, text},
};

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Host without its port, in lower case.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// Id that the client gave, empty if none.
    pub request_id: CompactString,
    /// Time that the client waits, if it said so.
    pub deadline: Option<Duration>,
    /// How the end of the body is found.
    pub framing: Framing,
    /// Whether the client keeps the connection open.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the answer has no body.
    pub is_head: bool,
    /// Request line and the fields that are forwarded, without the empty line.
    forward: Vec<u8>,
}

impl RequestHead {
    /// Reads a head and returns it with its length; `None` when more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails when the head is not valid, longer than `max_len`, or ambiguous.
    pub fn parse(
        buf: &[u8],
        max_len: usize,
        names: &HeaderNames,
    ) -> Result<Option<(RequestHead, usize)>, MessageError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut req = httparse::Request::new(&mut fields);
        let len = match req.parse(buf) {
            Ok(httparse::Status::Complete(len)) if len <= max_len => len,
            Ok(httparse::Status::Partial) if buf.len() <= max_len => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(MessageError::HeadTooLarge),
            Err(_) => return Err(MessageError::MalformedHead),
        };
        let (Some(method), Some(target), Some(version)) = (req.method, req.path, req.version)
        else {
            return Err(MessageError::MalformedHead);
        };
        let head = read(method, target, version, req.headers, len, names)?;
        Ok(Some((head, len)))
    }

    /// Hash of what the request asks for, which is the same when it is sent again: method, target
    /// and host. `hash` continues from a seed.
    pub fn content_hash(&self, hash: impl Fn(u64, &[u8]) -> u64) -> u64 {
        let line = self.forward.split(|it| *it == b'\r').next().unwrap_or_default();
        hash(hash(0, self.host.as_bytes()), line)
    }

    /// Renders the request for one replica.
    pub fn render(
        &self,
        out: &mut Vec<u8>,
        names: &HeaderNames,
        replica: &str,
        time_left: Duration,
        body: &[u8],
    ) {
        out.reserve(self.forward.len() + body.len() + 160);
        out.extend_from_slice(&self.forward);
        let ms = time_left.as_millis().max(1).to_string();
        push_field(out, names.deadline_ms, ms.as_bytes());
        push_field(out, names.expect_replica, replica.as_bytes());
        if self.framing != Framing::Length(0) || !body.is_empty() {
            push_field(out, "content-length", body.len().to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(body);
    }
}

fn read(
    method: &str,
    target: &str,
    version: u8,
    fields: &[httparse::Header<'_>],
    len: usize,
    names: &HeaderNames,
) -> Result<RequestHead, MessageError> {
    let path = target.split('?').next().unwrap_or_default();
    let mut head = RequestHead {
        host: CompactString::default(),
        path: path.into(),
        request_id: CompactString::default(),
        deadline: None,
        framing: Framing::Length(0),
        keep_alive: version == 1,
        expects_continue: false,
        is_head: method == "HEAD",
        forward: Vec::with_capacity(len),
    };
    let mut frame = Frame::default();
    let is_of_connection: Vec<bool> =
        fields.iter().map(|it| frame.read(it.name, it.value)).collect();
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        head.forward.extend_from_slice(part.as_bytes());
    }
    let mut hosts = 0;
    for (field, skip) in fields.iter().zip(is_of_connection) {
        let (name, value) = (field.name, field.value);
        if name.eq_ignore_ascii_case("host") {
            hosts += 1;
            head.host = host(value);
        } else if name.eq_ignore_ascii_case(names.request_id) {
            head.request_id = text(value);
        } else if name.eq_ignore_ascii_case(names.deadline_ms) {
            head.deadline = text(value).parse().ok().map(Duration::from_millis);
            continue;
        } else if name.eq_ignore_ascii_case("expect") {
            head.expects_continue = value.eq_ignore_ascii_case(b"100-continue");
            continue;
        }
        if skip || frame.names(name) || name.eq_ignore_ascii_case(names.expect_replica) {
            continue;
        }
        push_field(&mut head.forward, name, value);
    }
    if hosts != 1 || head.host.is_empty() {
        return Err(MessageError::MalformedHost);
    }
    head.framing = frame.framing()?.unwrap_or(Framing::Length(0));
    head.keep_alive = !frame.closes && (head.keep_alive || frame.keeps);
    Ok(head)
}

fn host(value: &[u8]) -> CompactString {
    let text = text(value);
    let name = match text.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => text.as_str(),
    };
    name.to_ascii_lowercase().into()
}
