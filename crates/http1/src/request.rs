//! Request heads: parsing and rendering for an upstream.

use std::time::Duration;

use compact_str::CompactString;

use crate::{
    error::MessageError,
    head::{ConnectionFields, Framing, HeaderNames, MAX_FIELDS, field_text, push_field},
};

/// A parsed request head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Host in lower case, without the port.
    pub host: CompactString,
    /// Path without the query string.
    pub path: CompactString,
    /// Request id set by the client, or empty.
    pub request_id: CompactString,
    /// Time for which the client waits for the response, if stated.
    pub deadline: Option<Duration>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the client allows further requests on the connection.
    pub keep_alive: bool,
    /// Whether the client expects `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the method is `HEAD`, whose response has no body.
    pub is_head_request: bool,
    /// Request line and forwarded fields, without the terminating empty line.
    forwarded: Vec<u8>,
}

impl RequestHead {
    /// Parses a head and returns it with its length in bytes, or `None` when it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the head is invalid, longer than `max_len`, or its framing is ambiguous.
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
        let head = read_head(method, target, version, req.headers, len, names)?;
        Ok(Some((head, len)))
    }

    /// Number of bytes of memory that the forwarded part of the head occupies.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.forwarded.capacity()
    }

    /// Hashes the method, target and host, so that a repeated request has the same hash. `hash`
    /// takes the hash so far and the next bytes.
    pub fn content_hash(&self, hash: impl Fn(u64, &[u8]) -> u64) -> u64 {
        let line = self.forwarded.split(|it| *it == b'\r').next().unwrap_or_default();
        hash(hash(0, self.host.as_bytes()), line)
    }

    /// Renders the head of the request for one replica, with the time that remains for its response. The
    /// body of `body_len` bytes is to be sent after it.
    pub fn render(
        &self,
        out: &mut Vec<u8>,
        names: &HeaderNames,
        replica: &str,
        time_left: Duration,
        body_len: usize,
    ) {
        out.reserve(self.forwarded.len() + 160);
        out.extend_from_slice(&self.forwarded);
        let ms = time_left.as_millis().max(1).to_string();
        push_field(out, names.deadline_ms, ms.as_bytes());
        push_field(out, names.expect_replica, replica.as_bytes());
        if self.framing != Framing::Length(0) || body_len > 0 {
            push_field(out, "content-length", body_len.to_string().as_bytes());
        }
        out.extend_from_slice(b"\r\n");
    }
}

fn read_head(
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
        is_head_request: method == "HEAD",
        forwarded: Vec::with_capacity(len),
    };
    let mut connection = ConnectionFields::default();
    let hop_by_hop: Vec<bool> =
        fields.iter().map(|it| connection.record(it.name, it.value)).collect();
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        head.forwarded.extend_from_slice(part.as_bytes());
    }
    let mut hosts = 0;
    for (field, is_hop_by_hop) in fields.iter().zip(hop_by_hop) {
        let (name, value) = (field.name, field.value);
        if name.eq_ignore_ascii_case("host") {
            hosts += 1;
            head.host = parse_host(value);
        } else if name.eq_ignore_ascii_case(names.request_id) {
            head.request_id = field_text(value);
        } else if name.eq_ignore_ascii_case(names.deadline_ms) {
            head.deadline = field_text(value).parse().ok().map(Duration::from_millis);
            continue;
        } else if name.eq_ignore_ascii_case("expect") {
            head.expects_continue = value.eq_ignore_ascii_case(b"100-continue");
            continue;
        }
        let is_end_to_end =
            ["host", names.request_id].iter().any(|it| name.eq_ignore_ascii_case(it));
        if is_hop_by_hop
            || (connection.is_listed(name) && !is_end_to_end)
            || name.eq_ignore_ascii_case(names.expect_replica)
        {
            continue;
        }
        push_field(&mut head.forwarded, name, value);
    }
    if hosts != 1 || head.host.is_empty() {
        return Err(MessageError::MalformedHost);
    }
    head.framing = connection.framing()?.unwrap_or(Framing::Length(0));
    head.keep_alive = !connection.close && (head.keep_alive || connection.keep_alive);
    Ok(head)
}

fn parse_host(value: &[u8]) -> CompactString {
    let text = field_text(value);
    let name = match text.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => text.as_str(),
    };
    name.to_ascii_lowercase().into()
}
