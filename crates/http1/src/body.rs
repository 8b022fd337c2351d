//! Reads a body by its framing.

use crate::{error::MessageError, head::Framing};

/// Longest line with the size of a chunk, or in the trailer, in bytes.
const MAX_LINE_LEN: usize = 256;

/// What a body reader did with some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The body needs more bytes than there were; all of them were consumed.
    NeedsMore,
    /// The body is complete; so many bytes belong to it.
    Complete(usize),
}

#[derive(Clone, Debug)]
enum State {
    Plain { left: u64 },
    Size { line: Vec<u8> },
    Data { left: u64 },
    DataEnd { seen: u8 },
    Trailer { line: Vec<u8> },
    UntilClose,
    Done,
}

/// Collects a body whose bytes arrive in pieces.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    max_len: usize,
    bytes: Vec<u8>,
}

impl BodyReader {
    /// Builds a reader of a body that may have `max_len` bytes.
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
            Framing::Length(left) => State::Plain { left },
            Framing::Chunked => State::Size { line: Vec::new() },
            Framing::UntilClose => State::UntilClose,
        };
        BodyReader { state, max_len, bytes: Vec::new() }
    }

    /// Takes the next bytes of the connection.
    ///
    /// # Errors
    ///
    /// Fails when the body is too long or a chunk is not valid.
    pub fn read(&mut self, buf: &[u8]) -> Result<Progress, MessageError> {
        let mut at = 0;
        loop {
            if matches!(self.state, State::Done) {
                return Ok(Progress::Complete(at));
            }
            if at == buf.len() {
                return Ok(Progress::NeedsMore);
            }
            at += self.step(&buf[at..])?;
        }
    }

    /// Whether the end of the connection completes the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.state, State::UntilClose)
    }

    /// The body read so far.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    fn step(&mut self, buf: &[u8]) -> Result<usize, MessageError> {
        match &mut self.state {
            State::Plain { left } | State::Data { left } => {
                let len = usize::try_from(*left).unwrap_or(usize::MAX).min(buf.len());
                *left -= len as u64;
                let is_end = *left == 0;
                let is_chunk = matches!(self.state, State::Data { .. });
                self.push(&buf[..len])?;
                if is_end {
                    self.state = if is_chunk { State::DataEnd { seen: 0 } } else { State::Done };
                }
                Ok(len)
            }
            State::UntilClose => self.push(buf).map(|()| buf.len()),
            State::Size { line } => {
                let Some(text) = take_line(line, buf[0])? else { return Ok(1) };
                let size = chunk_size(&text)?;
                self.state = match size {
                    0 => State::Trailer { line: Vec::new() },
                    left => State::Data { left },
                };
                Ok(1)
            }
            State::DataEnd { seen } => {
                let expected = if *seen == 0 { b'\r' } else { b'\n' };
                if buf[0] != expected {
                    return Err(MessageError::MalformedChunk);
                }
                *seen += 1;
                if *seen == 2 {
                    self.state = State::Size { line: Vec::new() };
                }
                Ok(1)
            }
            State::Trailer { line } => {
                if let Some(text) = take_line(line, buf[0])? {
                    match text.is_empty() {
                        true => self.state = State::Done,
                        false => line.clear(),
                    }
                }
                Ok(1)
            }
            State::Done => Ok(0),
        }
    }

    fn push(&mut self, buf: &[u8]) -> Result<(), MessageError> {
        if self.bytes.len() + buf.len() > self.max_len {
            return Err(MessageError::BodyTooLarge);
        }
        self.bytes.extend_from_slice(buf);
        Ok(())
    }
}

/// Adds a byte to a line and returns the line without its end once it is complete.
fn take_line(line: &mut Vec<u8>, byte: u8) -> Result<Option<Vec<u8>>, MessageError> {
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

fn chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default().trim_end();
    let is_hex = !text.is_empty() && text.len() <= 15;
    let is_hex = is_hex && text.bytes().all(|it| it.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten().ok_or(MessageError::MalformedChunk)
}
