//! Incremental reading of a message body.

use crate::{error::MessageError, head::Framing};

/// Longest chunk-size line or trailer line in bytes.
const MAX_LINE_LEN: usize = 256;

/// Maximum number of bytes of all chunk extensions and trailer lines of a body.
const MAX_EXTRA_LEN: usize = 16 << 10;

/// Result of passing bytes to a [`BodyReader`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// All bytes were consumed and the body is not complete yet.
    NeedsMore,
    /// The body is complete; this many bytes of the buffer belong to it.
    Complete(usize),
}

#[derive(Clone, Debug)]
enum State {
    FixedLength { remaining: u64 },
    ChunkSize { line: Vec<u8> },
    ChunkData { remaining: u64 },
    ChunkEnd { bytes_seen: u8 },
    Trailer { line: Vec<u8> },
    UntilClose,
    Done,
}

/// Decodes a body that arrives in arbitrary pieces.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    max_len: usize,
    /// Number of bytes of chunk extensions and trailer lines so far.
    extra_len: usize,
    bytes: Vec<u8>,
}

impl BodyReader {
    /// Creates a reader for a body of at most `max_len` decoded bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_http1::{BodyReader, Framing, Progress};
    ///
    /// let mut body = BodyReader::new(Framing::Chunked, 100);
    /// assert_eq!(body.read(b"3\r\nab"), Ok(Progress::NeedsMore));
    /// assert_eq!(body.read(b"c\r\n0\r\n\r\nrest"), Ok(Progress::Complete(8)));
    /// assert_eq!(body.into_bytes(), b"abc");
    /// ```
    #[must_use]
    pub fn new(framing: Framing, max_len: usize) -> BodyReader {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(len) => State::FixedLength { remaining: len },
            Framing::Chunked => State::ChunkSize { line: Vec::new() },
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state, max_len, extra_len: 0, bytes: Vec::new() }
    }

    /// Consumes the next bytes received on the connection.
    ///
    /// # Errors
    ///
    /// Fails when the body exceeds its limit or the chunked coding is invalid.
    pub fn read(&mut self, buf: &[u8]) -> Result<Progress, MessageError> {
        let mut consumed = 0;
        loop {
            if matches!(self.state, State::Done) {
                return Ok(Progress::Complete(consumed));
            }
            if consumed == buf.len() {
                return Ok(Progress::NeedsMore);
            }
            consumed += self.step(&buf[consumed..])?;
        }
    }

    /// Whether the body ends when the sender closes the connection.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// Number of bytes of memory that the decoded bytes occupy.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the bytes decoded so far.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Consumes part of a non-empty buffer and returns the number of bytes consumed.
    fn step(&mut self, buf: &[u8]) -> Result<usize, MessageError> {
        match &mut self.state {
            State::FixedLength { remaining } | State::ChunkData { remaining } => {
                let len = usize::try_from(*remaining).unwrap_or(usize::MAX).min(buf.len());
                *remaining -= len as u64;
                let is_end = *remaining == 0;
                let is_chunk = matches!(self.state, State::ChunkData { .. });
                self.append(&buf[..len])?;
                if is_end {
                    self.state =
                        if is_chunk { State::ChunkEnd { bytes_seen: 0 } } else { State::Done };
                }
                Ok(len)
            }
            State::UntilClose => self.append(buf).map(|()| buf.len()),
            State::ChunkSize { line } => {
                let Some(text) = push_line_byte(line, buf[0])? else { return Ok(1) };
                let (size, extension_len) = parse_chunk_size(&text)?;
                self.state = match size {
                    0 => State::Trailer { line: Vec::new() },
                    remaining => State::ChunkData { remaining },
                };
                self.count_extra(extension_len)?;
                Ok(1)
            }
            State::ChunkEnd { bytes_seen } => {
                let expected = if *bytes_seen == 0 { b'\r' } else { b'\n' };
                if buf[0] != expected {
                    return Err(MessageError::MalformedChunk);
                }
                *bytes_seen += 1;
                if *bytes_seen == 2 {
                    self.state = State::ChunkSize { line: Vec::new() };
                }
                Ok(1)
            }
            State::Trailer { line } => {
                if let Some(text) = push_line_byte(line, buf[0])? {
                    match text.is_empty() {
                        true => self.state = State::Done,
                        false => line.clear(),
                    }
                    self.count_extra(text.len())?;
                }
                Ok(1)
            }
            State::Done => Ok(0),
        }
    }

    fn count_extra(&mut self, len: usize) -> Result<(), MessageError> {
        self.extra_len += len;
        match self.extra_len <= MAX_EXTRA_LEN {
            true => Ok(()),
            false => Err(MessageError::MalformedChunk),
        }
    }

    /// Reserves memory for `len` bytes, to which at most `expected` more will be added. The memory doubles,
    /// as that of a vector does, but not beyond the whole body.
    fn reserve(&mut self, len: usize, expected: usize) {
        let needed = self.bytes.len() + len;
        if needed > self.bytes.capacity() {
            let whole = needed.saturating_add(expected).min(self.max_len);
            let capacity = (self.bytes.capacity() * 2).min(whole).max(needed);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
    }

    fn append(&mut self, buf: &[u8]) -> Result<(), MessageError> {
        if self.bytes.len() + buf.len() > self.max_len {
            return Err(MessageError::BodyTooLarge);
        }
        let expected = match self.state {
            State::FixedLength { remaining } => usize::try_from(remaining).unwrap_or(usize::MAX),
            _ => usize::MAX,
        };
        self.reserve(buf.len(), expected);
        self.bytes.extend_from_slice(buf);
        Ok(())
    }
}

/// Appends a byte to a line. Returns the line without its CRLF once it is complete.
fn push_line_byte(line: &mut Vec<u8>, byte: u8) -> Result<Option<Vec<u8>>, MessageError> {
    if line.len() >= MAX_LINE_LEN {
        return Err(MessageError::MalformedChunk);
    }
    line.push(byte);
    if byte != b'\n' {
        return Ok(None);
    }
    match line.strip_suffix(b"\r\n") {
        Some(text) => Ok(Some(text.to_vec())),
        None => Err(MessageError::MalformedChunk),
    }
}

/// Parses the line before a chunk into the size of the chunk and the length of its extensions, which are
/// ignored.
fn parse_chunk_size(line: &[u8]) -> Result<(u64, usize), MessageError> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let is_hex = !text.is_empty() && text.len() <= 15;
    let is_hex = is_hex && text.bytes().all(|it| it.is_ascii_hexdigit());
    let size = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    Ok((size.ok_or(MessageError::MalformedChunk)?, line.len() - digits.len()))
}
