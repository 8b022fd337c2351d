//! Header fields that requests and responses have in common.

use compact_str::CompactString;

use crate::error::MessageError;

/// Maximum number of header fields in a head.
pub(crate) const MAX_FIELDS: usize = 100;

/// Hop-by-hop fields, which apply to one connection only and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a known number of bytes.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Names, in lower case, of the header fields that the query tier itself reads or sets.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of the request.
    pub request_id: &'static str,
    /// Time in milliseconds for which the sender waits for the response.
    pub deadline_ms: &'static str,
    /// Stamp of the replica that answered; it identifies the replica and the request.
    pub stamp: &'static str,
    /// Id of the only replica that may execute the request.
    pub expect_replica: &'static str,
    /// Set by a replica that did not execute the request.
    pub not_executed: &'static str,
    /// Set to `1` by a replica that leaves and wants no further requests.
    pub leaving: &'static str,
    /// Stamps of the replicas whose responses were merged.
    pub part_stamps: &'static str,
    /// Number of shards that a merged response lacks.
    pub missing_parts: &'static str,
}

/// Collects the fields that determine the framing and whether the connection persists.
#[derive(Debug, Default)]
pub(crate) struct ConnectionFields {
    length: Option<u64>,
    is_chunked: bool,
    is_ambiguous: bool,
    pub(crate) close: bool,
    pub(crate) keep_alive: bool,
    /// Field names listed in `Connection`, which makes them hop-by-hop.
    listed: Vec<CompactString>,
}

impl ConnectionFields {
    /// Records a field. Returns whether it must not be forwarded.
    pub(crate) fn record(&mut self, name: &str, value: &[u8]) -> bool {
        if name.eq_ignore_ascii_case("content-length") {
            self.record_length(value);
            return true;
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_ambiguous |= self.is_chunked || !value.eq_ignore_ascii_case(b"chunked");
            self.is_chunked = true;
            return true;
        }
        if name.eq_ignore_ascii_case("connection") {
            self.record_connection(value);
            return true;
        }
        HOP_BY_HOP.iter().any(|it| name.eq_ignore_ascii_case(it))
    }

    /// Whether the `Connection` field lists this field. A sender must not list one that all recipients need;
    /// such fields are forwarded all the same.
    pub(crate) fn is_listed(&self, name: &str) -> bool {
        self.listed.iter().any(|it| name.eq_ignore_ascii_case(it))
    }

    /// Returns the framing, or `None` when no field states one.
    pub(crate) fn framing(&self) -> Result<Option<Framing>, MessageError> {
        match (self.is_ambiguous, self.is_chunked, self.length) {
            (true, ..) | (_, true, Some(_)) => Err(MessageError::AmbiguousLength),
            (_, true, None) => Ok(Some(Framing::Chunked)),
            (_, false, Some(len)) => Ok(Some(Framing::Length(len))),
            (_, false, None) => Ok(None),
        }
    }

    fn record_length(&mut self, value: &[u8]) {
        let text = std::str::from_utf8(value).unwrap_or_default();
        let is_number = !text.is_empty() && text.bytes().all(|it| it.is_ascii_digit());
        match text.parse::<u64>() {
            Ok(len) if is_number && self.length.is_none_or(|it| it == len) => {
                self.length = Some(len);
            }
            _ => self.is_ambiguous = true,
        }
    }

    fn record_connection(&mut self, value: &[u8]) {
        for token in String::from_utf8_lossy(value).split(',').map(str::trim) {
            match token.to_ascii_lowercase().as_str() {
                "close" => self.close = true,
                "keep-alive" => self.keep_alive = true,
                "" => {}
                other => self.listed.push(other.into()),
            }
        }
    }
}

/// Appends a field line.
pub(crate) fn push_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Decodes a field value as trimmed text and replaces invalid UTF-8.
pub(crate) fn field_text(value: &[u8]) -> CompactString {
    CompactString::from(String::from_utf8_lossy(value).trim())
}
