//! HTTP/1.1 messages with a stated length, over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Header fields in their order.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    /// Status code of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Whether a body follows the head of a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// As the header fields say.
    Stated,
    /// None, because the response answers a `HEAD` request.
    None,
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        // A connection that is already gone shows itself at the next read.
        let _ = stream.set_nodelay(true);
        Reader { stream, buf: Vec::new() }
    }

    /// Reads the next message; `None` if the peer closed the connection before its first byte.
    pub fn read(&mut self, body: Body) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let fields = lines
            .filter_map(|it| it.split_once(':'))
            .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
            .collect();
        self.buf.drain(..end);
        let mut message = Message { start, fields, body: Vec::new() };
        if body == Body::Stated {
            let len = message.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            while self.buf.len() < len {
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body = self.buf.drain(..len).collect();
        }
        Ok(Some(message))
    }

    /// Returns all bytes that are here or arrive within `time`, without taking them.
    pub fn peek_for(&mut self, time: Duration) -> io::Result<Vec<u8>> {
        self.stream.set_read_timeout(Some(time))?;
        match self.fill() {
            Ok(_) => {}
            Err(err)
                if matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(err) => return Err(err),
        }
        Ok(self.buf.clone())
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let len = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..len]);
        Ok(len)
    }
}

/// Writes a response with a stated length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    has_body: Body,
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    if has_body == Body::Stated {
        out.extend_from_slice(body);
    }
    stream.write_all(&out)
}

/// A client's connection.
pub struct Client {
    reader: Reader,
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        Ok(Client { reader: Reader::new(stream) })
    }

    /// Sends a request and waits for its response until the deadline of the request.
    pub fn send(&mut self, request: &Request) -> io::Result<Message> {
        let Request { method, host, target, id, deadline_ms, body } = request;
        let mut out = format!(
            "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Rosemarybank-Request-Id: {id}\r\n\
             X-Rosemarybank-Deadline-Ms: {deadline_ms}\r\n"
        );
        if !body.is_empty() {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let bytes = [out.as_bytes(), body].concat();
        self.reader.stream.write_all(&bytes)?;
        self.reader.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
        let has_body = if *method == "HEAD" { Body::None } else { Body::Stated };
        self.reader.read(has_body)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Returns the bytes that arrive within `time` although no request is waiting.
    pub fn unasked_bytes(&mut self, time: Duration) -> io::Result<Vec<u8>> {
        self.reader.peek_for(time)
    }
}

/// Sends a request on a new connection.
pub fn send_once(addr: SocketAddr, request: &Request) -> io::Result<Message> {
    Client::connect(addr)?.send(request)
}
