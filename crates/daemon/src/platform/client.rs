//! Connections of clients.

use std::{io, time::Duration};

use mio::{Registry, net::TcpStream};
use rosemarybank_adapter::{HEADERS, headers::READY_PATH};
use rosemarybank_coordination::hash;
use rosemarybank_http1::{BodyReader, Framing, MessageError, Progress, RequestHead, response};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{ClientLimits, Event, RequestKey, Submission};

use crate::platform::{
    answers::error_body,
    frames::Pull,
    node::{Conn, Node, Port},
    socket::{ReadEnd, Socket, WriteEnd},
};

/// Time for which bytes are read after a final answer, so that closing does not reset the
/// connection before the client has read the answer.
pub(super) const LINGER: Duration = Duration::from_millis(800);

/// Time for which a request waits for the first configuration and list of replicas. A start takes
/// about 100 ms while the store answers.
const START_WAIT: Duration = Duration::from_millis(200);

/// Bytes of further requests that are buffered while one is in progress.
const PIPELINE_LEN: usize = 64 << 10;

/// A connection of a client.
#[derive(Debug)]
pub(super) struct Client {
    pub(super) socket: Socket,
    pub(super) port: Port,
    pub(super) state: State,
    /// Start of the state.
    pub(super) since: Time,
    buf: Vec<u8>,
    /// Whether the answer is the last one.
    pub(super) closes: bool,
}

/// A request that waits for its answer.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) head: RequestHead,
    pub(super) body: Vec<u8>,
    pub(super) arrived: Time,
    pub(super) sends: u32,
}

#[derive(Debug)]
pub(super) enum State {
    /// Waits for a request.
    Head,
    /// Reads the body of a request.
    Body(Box<RequestHead>, BodyReader),
    /// Waits for the first configuration and list of replicas.
    Parked(Box<Pending>),
    /// Asked for news that are not there yet.
    Pulling(Pull),
    /// Waits for the answer.
    Waiting(RequestKey, Box<Pending>),
    /// Has sent its last answer, and drops what still arrives.
    Lingering,
}

impl Client {
    pub(super) fn new(
        stream: TcpStream,
        port: Port,
        now: Time,
        registry: &Registry,
        index: usize,
    ) -> io::Result<Client> {
        Ok(Client {
            socket: Socket::new(stream, registry, index)?,
            port,
            state: State::Head,
            since: now,
            buf: Vec::new(),
            closes: false,
        })
    }

    /// Whether no request has begun.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, State::Head) && self.buf.is_empty()
    }
}

impl Node {
    /// Reads and writes what is possible.
    pub(super) fn client_event(&mut self, index: usize) {
        let limits = self.limits();
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        if !client.socket.is_flushed() && client.socket.flush() != WriteEnd::Blocked {
            self.after_flush(index);
        }
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        let limit = match client.state {
            State::Waiting(..) | State::Parked(_) | State::Pulling(_) => PIPELINE_LEN,
            _ => limits.head_bytes + limits.body_bytes + PIPELINE_LEN,
        };
        let end = client.socket.read(&mut client.buf, &mut self.scratch, limit);
        if matches!(client.state, State::Lingering) {
            client.buf.clear();
        }
        if end != ReadEnd::Drained {
            self.client_gone(index);
            return;
        }
        self.process_client(index);
    }

    /// Handles the requests in the buffer of a client.
    pub(super) fn process_client(&mut self, index: usize) {
        let limits = self.limits();
        loop {
            let now = self.now;
            let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
            match &mut client.state {
                State::Head if client.buf.is_empty() => return,
                State::Head => match RequestHead::parse(&client.buf, limits.head_bytes, &HEADERS) {
                    Ok(None) => return,
                    Ok(Some((head, len))) => {
                        client.buf.drain(..len);
                        if !self.begin_body(index, head, &limits) {
                            return;
                        }
                    }
                    Err(err) => return self.reject(index, err),
                },
                State::Body(_, reader) => match reader.read(&client.buf) {
                    Ok(Progress::NeedsMore) => return client.buf.clear(),
                    Ok(Progress::Complete(len)) => {
                        client.buf.drain(..len);
                        let state = std::mem::replace(&mut client.state, State::Head);
                        client.since = now;
                        if let State::Body(head, reader) = state {
                            self.begin_request(index, *head, reader.into_bytes());
                        }
                    }
                    Err(err) => return self.reject(index, err),
                },
                State::Parked(_) | State::Pulling(_) | State::Waiting(..) | State::Lingering => {
                    return;
                }
            }
        }
    }

    /// Submits the requests that came before the instance could serve them, once it can or when
    /// that takes too long.
    pub(super) fn release_parked(&mut self) {
        let is_over = !self.is_starting();
        for index in std::mem::take(&mut self.parked) {
            let Some(Conn::Client(client)) = self.conns.get_mut(index) else { continue };
            if !matches!(client.state, State::Parked(_)) {
                continue;
            }
            if !is_over && self.now < client.since + START_WAIT {
                self.parked.push(index);
                continue;
            }
            if let State::Parked(pending) = std::mem::replace(&mut client.state, State::Head) {
                self.submit(index, *pending);
            }
        }
    }

    /// Writes an answer and prepares for the next request.
    pub(super) fn write_answer(&mut self, index: usize, status: u16, fields: &[u8], body: &[u8]) {
        let is_stopping = self.stop.is_asked();
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        client.closes |= is_stopping && client.port == Port::Front;
        response::render(client.socket.out(), status, fields, body, client.closes);
        client.state = State::Head;
        client.since = self.now;
        if client.socket.flush() != WriteEnd::Blocked {
            self.after_flush(index);
        }
        self.resumed.push(index);
    }

    /// Limits for clients; those of a default until a configuration is known.
    pub(super) fn limits(&self) -> ClientLimits {
        self.forwarder.table().map_or_else(ClientLimits::default, |it| it.limits)
    }

    /// Drops a connection that the client closed or broke.
    pub(super) fn client_gone(&mut self, index: usize) {
        if let Some(Conn::Client(client)) = self.conns.get(index)
            && let State::Waiting(key, _) = &client.state
        {
            let key = *key;
            self.requests.remove(key);
            self.metrics.clients_gone += 1;
            self.forwarder.handle(self.now, Event::ClientDisconnected(key), &mut self.actions);
        }
        self.drop_conn(index);
    }

    /// Closes the connection after its last answer.
    fn after_flush(&mut self, index: usize) {
        let now = self.now;
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        if client.closes && matches!(client.state, State::Head) {
            client.socket.finish();
            client.state = State::Lingering;
            client.since = now;
            client.buf.clear();
        }
    }

    /// Begins to read the body of a request. Returns whether to go on with the buffer.
    fn begin_body(&mut self, index: usize, head: RequestHead, limits: &ClientLimits) -> bool {
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return false };
        client.closes |= !head.keep_alive;
        if let Framing::Length(len) = head.framing
            && len > limits.body_bytes as u64
        {
            self.reject(index, MessageError::BodyTooLarge);
            return false;
        }
        if head.expects_continue && client.buf.is_empty() && head.framing != Framing::Length(0) {
            client.socket.out().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            client.socket.flush();
        }
        let reader = BodyReader::new(head.framing, limits.body_bytes);
        client.state = State::Body(Box::new(head), reader);
        // A request without a body is complete, though no byte follows.
        if let State::Body(head, _) = &client.state
            && head.framing == Framing::Length(0)
        {
            let State::Body(head, _) = std::mem::replace(&mut client.state, State::Head) else {
                return false;
            };
            self.begin_request(index, *head, Vec::new());
        }
        true
    }

    fn begin_request(&mut self, index: usize, head: RequestHead, body: Vec<u8>) {
        let Some(Conn::Client(client)) = self.conns.get(index) else { return };
        match client.port {
            Port::Front => {
                self.metrics.requests += 1;
                let pending = Pending { head, body, arrived: self.now, sends: 0 };
                match self.is_starting() {
                    true => self.park(index, pending),
                    false => self.submit(index, pending),
                }
            }
            Port::Ready => {
                let is_asked = head.path == READY_PATH;
                let status = match (is_asked, self.is_ready()) {
                    (false, _) => 404,
                    (true, true) => 200,
                    (true, false) => 503,
                };
                self.write_answer(index, status, b"", b"");
            }
            Port::Peer => self.park_pull(index, &head, &body),
            Port::Metrics => {
                let text = self.render_metrics();
                let fields = b"content-type: text/plain; version=0.0.4\r\n";
                self.write_answer(index, 200, fields, text.as_bytes());
            }
        }
    }

    fn park(&mut self, index: usize, pending: Pending) {
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        client.state = State::Parked(Box::new(pending));
        client.since = self.now;
        self.parked.push(index);
    }

    fn submit(&mut self, index: usize, pending: Pending) {
        let now = self.now;
        let submission = Submission {
            host: pending.head.host.clone(),
            path: pending.head.path.clone(),
            client_timeout: pending.head.deadline,
            fingerprint: hash::bytes(pending.head.content_hash(hash::bytes), &pending.body),
        };
        match self.forwarder.submit(now, &submission, &mut self.actions) {
            Ok(key) => {
                self.requests.insert(key, index);
                if let Some(Conn::Client(client)) = self.conns.get_mut(index) {
                    client.state = State::Waiting(key, Box::new(pending));
                    client.since = now;
                }
            }
            Err(answer) => self.deliver(index, &pending, answer),
        }
    }

    /// Answers a message that can't be read, and closes the connection.
    fn reject(&mut self, index: usize, err: MessageError) {
        self.metrics.rejected += 1;
        let (status, kind) = match err {
            MessageError::HeadTooLarge => (431, ErrorKind::InvalidArgument),
            MessageError::BodyTooLarge => (413, ErrorKind::BodyTooLarge),
            MessageError::MalformedHead
            | MessageError::AmbiguousLength
            | MessageError::MalformedHost
            | MessageError::MalformedChunk => (400, ErrorKind::InvalidArgument),
        };
        if let Some(Conn::Client(client)) = self.conns.get_mut(index) {
            client.closes = true;
        }
        self.journal.line(
            self.now,
            crate::platform::journal::Kind::Failure,
            "rejected",
            format_args!(r#""status":{status},"reason":"{err}""#),
        );
        let body = error_body(kind, &err.to_string());
        self.write_answer(index, status, b"content-type: application/json\r\n", &body);
    }
}
