//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::{
    collections::HashMap,
    io::{self, ErrorKind, Read, Write},
    net::TcpStream,
};

/// An HTTP/1.1 request or response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Header fields by lower-case name. Of a repeated field, only the last value is kept.
    pub fields: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field, by its lower-case name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Status of a response; 0 for a request.
    #[must_use]
    pub fn status(&self) -> u16 {
        let mut words = self.start_line.split(' ');
        let is_response = words.next().is_some_and(|it| it.starts_with("HTTP/"));
        words.next().filter(|_| is_response).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    #[must_use]
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.start_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

/// Reads the messages of a connection.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    /// Creates a reader of a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buf: Vec::new() }
    }

    /// Reads the next message; `None` when the connection closes between two messages.
    ///
    /// # Errors
    ///
    /// Fails on an I/O error, when the connection closes within a message, or when the content
    /// length is not a number.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(truncated()) };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_len]).into_owned();
        self.buf.drain(..head_len);
        let mut lines = head.split("\r\n").filter(|it| !it.is_empty());
        let start_line = lines.next().unwrap_or_default().to_owned();
        let field = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let fields: HashMap<String, String> = lines.filter_map(field).collect();
        let body = self.read_body(&start_line, &fields)?;
        Ok(Some(Message { start_line, fields, body }))
    }

    /// Bytes received after the end of the last message.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.buf
    }

    /// The connection.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads a body. Without a content length, the body of a response extends to the end of the
    /// connection; requests and responses with status 100 or 204 have none.
    fn read_body(
        &mut self,
        start_line: &str,
        fields: &HashMap<String, String>,
    ) -> io::Result<Vec<u8>> {
        let is_response = start_line.starts_with("HTTP/");
        if let Some(len) = fields.get("content-length") {
            let len: usize = len.parse().map_err(|_| truncated())?;
            while self.buf.len() < len {
                if self.fill()? == 0 {
                    return Err(truncated());
                }
            }
            return Ok(self.buf.drain(..len).collect());
        }
        if is_response && !start_line.contains(" 204 ") && !start_line.contains(" 100 ") {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buf));
        }
        Ok(Vec::new())
    }

    /// Reads once into the buffer. Returns 0 at the end of the connection.
    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(len) => {
                    self.buf.extend_from_slice(&chunk[..len]);
                    return Ok(len);
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
        }
    }
}

/// Writes a response with a content length.
///
/// # Errors
///
/// Fails when the connection is broken.
pub fn write_reply(
    stream: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status:03} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn truncated() -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, "connection closed within a message")
}
