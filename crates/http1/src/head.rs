//! What request and response heads have in common.

use compact_str::CompactString;

use crate::error::MessageError;

/// Most header fields that a head may have.
pub(crate) const MAX_FIELDS: usize = 100;

/// Fields that concern one connection only and are never forwarded.
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

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A number of bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// The end of the connection.
    UntilClose,
}

/// Names of the fields that the tier itself reads or sets, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request.
    pub request_id: &'static str,
    /// Milliseconds that the sender waits for the answer.
    pub deadline_ms: &'static str,
    /// Proof of the replica that answered.
    pub stamp: &'static str,
    /// Replica that may run the request.
    pub expect_replica: &'static str,
    /// Presence says that a replica did not run the request.
    pub not_run: &'static str,
    /// Proofs of the parts of a merged answer.
    pub part_stamps: &'static str,
    /// Number of parts that a merged answer lacks.
    pub missing_parts: &'static str,
}

/// Collects the fields that decide the framing and the fate of the connection.
#[derive(Debug, Default)]
pub(crate) struct Frame {
    length: Option<u64>,
    is_chunked: bool,
    is_bad: bool,
    pub(crate) closes: bool,
    pub(crate) keeps: bool,
    /// Further field names that the `Connection` field declares as hop-by-hop.
    named: Vec<CompactString>,
}

impl Frame {
    /// Reads a field. Returns whether it belongs to the connection and is not forwarded.
    pub(crate) fn read(&mut self, name: &str, value: &[u8]) -> bool {
        if name.eq_ignore_ascii_case("content-length") {
            self.read_length(value);
            return true;
        }
        if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_bad |= self.is_chunked || !value.eq_ignore_ascii_case(b"chunked");
            self.is_chunked = true;
            return true;
        }
        if name.eq_ignore_ascii_case("connection") {
            self.read_connection(value);
            return true;
        }
        HOP_BY_HOP.iter().any(|it| name.eq_ignore_ascii_case(it))
    }

    /// Whether the `Connection` field names this field.
    pub(crate) fn names(&self, name: &str) -> bool {
        self.named.iter().any(|it| name.eq_ignore_ascii_case(it))
    }

    /// The framing, or `None` when no field declares one.
    pub(crate) fn framing(&self) -> Result<Option<Framing>, MessageError> {
        match (self.is_bad, self.is_chunked, self.length) {
            (true, ..) | (_, true, Some(_)) => Err(MessageError::AmbiguousLength),
            (_, true, None) => Ok(Some(Framing::Chunked)),
            (_, false, Some(len)) => Ok(Some(Framing::Length(len))),
            (_, false, None) => Ok(None),
        }
    }

    fn read_length(&mut self, value: &[u8]) {
        let text = std::str::from_utf8(value).unwrap_or_default();
        let is_number = !text.is_empty() && text.bytes().all(|it| it.is_ascii_digit());
        match text.parse::<u64>() {
            Ok(len) if is_number && self.length.is_none_or(|it| it == len) => {
                self.length = Some(len);
            }
            _ => self.is_bad = true,
        }
    }

    fn read_connection(&mut self, value: &[u8]) {
        for token in String::from_utf8_lossy(value).split(',').map(str::trim) {
            match token.to_ascii_lowercase().as_str() {
                "close" => self.closes = true,
                "keep-alive" => self.keeps = true,
                "" => {}
                other => self.named.push(other.into()),
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

/// Field value as text; bytes that are not UTF-8 are replaced.
pub(crate) fn text(value: &[u8]) -> CompactString {
    CompactString::from(String::from_utf8_lossy(value).trim())
}
