//! HTTP client that calls an instance.

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::platform_mode::message::{Message, Reader};

/// Response of an instance.
pub type Response = Message;

/// Client connection to an instance.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    reader: Reader,
}

impl Caller {
    /// Connects to an instance.
    ///
    /// # Errors
    ///
    /// Fails when the connection is not established within a second.
    pub fn connect(addr: SocketAddr) -> io::Result<Caller> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Caller { reader: Reader::new(stream.try_clone()?), stream })
    }

    /// Sends a request without waiting for the response. `deadline_ms` is the remaining time of the
    /// request; a `POST` request has the body `order`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken.
    pub fn send(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64) -> io::Result<()> {
        let body = if method == "POST" { "order" } else { "" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: h.example\r\nx-rosemarybank-request-id: {id}\r\n\
             x-rosemarybank-deadline-ms: {deadline_ms}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(head.as_bytes())
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Fails when the connection is broken.
    pub fn send_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the next response.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the response is complete, or nothing arrives for 10 s.
    pub fn receive(&mut self) -> io::Result<Response> {
        let ended =
            || io::Error::new(io::ErrorKind::UnexpectedEof, "connection closed before a response");
        self.reader.read()?.ok_or_else(ended)
    }

    /// Sends a request and reads the response.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the response is complete, or nothing arrives for 10 s.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> io::Result<Response> {
        self.send(method, path, id, deadline_ms)?;
        self.receive()
    }

    /// Bytes received after the end of the last response.
    #[must_use]
    pub fn trailing_bytes(&self) -> &[u8] {
        self.reader.buffered()
    }
}
