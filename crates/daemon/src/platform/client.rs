//! Accepted connections: reading requests and writing answers.

use std::{io, time::Duration};

use bytes::{Buf as _, Bytes, BytesMut};
use mio::{Registry, net::TcpStream};
use rosemarybank_adapter::{HEADERS, headers::READINESS_PATH};
use rosemarybank_coordination::hash;
use rosemarybank_http1::{
    BodyReader, Framing, MessageError, Progress, RequestHead,
    response::{self, Content},
};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::{
    buffer_budget::{BufferKey, BufferUse},
    forward::{ClientLimits, Event, RequestKey, Submission},
};

use crate::platform::{
    answers::{error_body, error_fields},
    event_loop::{Conn, EventLoop, ListenerKind},
    feed_codec::FeedRequest,
    journal::{LineKind, excerpt},
    socket::{ReadOutcome, Socket, WriteOutcome},
};

/// Time for which input is discarded after the last answer before the connection is closed. Closing
/// with unread input would reset the connection, and the client could lose the answer.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum time for which a request waits for the first configuration and replica list. Loading them
/// takes about 100 ms when the store is available.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(200);

/// Maximum number of bytes read from a connection in one iteration of the event loop.
const READ_LEN: usize = 32 << 10;

/// Number of bytes of clients after which an iteration reads no further client connections. Parsing small
/// chunks takes long, and probes, timers and replies wait for the end of the iteration.
const MAX_TURN_INPUT: usize = 256 << 10;

/// Maximum number of bytes of pipelined requests buffered while a request is in progress.
const MAX_PIPELINED_LEN: usize = 64 << 10;

/// An accepted connection.
#[derive(Debug)]
pub(super) struct ClientConn {
    pub(super) socket: Socket,
    pub(super) listener: ListenerKind,
    pub(super) state: ClientState,
    /// Time at which the connection entered its state, or at which the first byte of the request arrived
    /// that is being read.
    pub(super) state_since: Time,
    buf: BytesMut,
    /// Number of bytes of the allocation of `buf` that were consumed and are still allocated.
    consumed: usize,
    /// Memory of this connection in the budget.
    pub(super) buffer: BufferKey,
    /// Whether more input than the limit may have arrived while a request was in progress.
    has_unread_input: bool,
    /// Whether it is read in the next iteration.
    pub(super) is_deferred: bool,
    /// Whether the request in progress is a `HEAD` request, whose answer has no content.
    is_head_request: bool,
    /// Whether the connection is closed after the next answer.
    pub(super) close_after_answer: bool,
}

/// A request that has not been answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    /// Time at which the request was complete.
    pub(super) arrived_at: Time,
    /// How long the client took to send it.
    pub(super) upload_time: Duration,
    /// Number of attempts sent to replicas.
    pub(super) sends: u32,
}

impl PendingRequest {
    /// Number of bytes of memory that the request occupies.
    fn len(&self) -> usize {
        self.head.capacity() + self.body.len()
    }
}

/// State of an accepted connection.
#[derive(Debug)]
pub(super) enum ClientState {
    /// Idle, or reading the head of a request.
    ReadingHead,
    /// Reading the body of a request.
    ReadingBody(Box<RequestHead>, BodyReader),
    /// The request waits for the first configuration and replica list.
    AwaitingStart(Box<PendingRequest>),
    /// The feed request of another instance waits for changes.
    AwaitingFeed(FeedRequest),
    /// The request was submitted to the forwarder.
    AwaitingAnswer(RequestKey, Box<PendingRequest>),
    /// The last answer was sent; further input is discarded.
    Lingering,
}

impl ClientConn {
    pub(super) fn new(
        stream: TcpStream,
        listener: ListenerKind,
        now: Time,
        registry: &Registry,
        index: usize,
        buffer: BufferKey,
    ) -> io::Result<ClientConn> {
        Ok(ClientConn {
            socket: Socket::new(stream, registry, index)?,
            listener,
            state: ClientState::ReadingHead,
            state_since: now,
            buf: BytesMut::new(),
            consumed: 0,
            buffer,
            has_unread_input: false,
            is_deferred: false,
            is_head_request: false,
            close_after_answer: false,
        })
    }

    /// Id of the request that is read or in progress; empty if there is none.
    pub(super) fn request_id(&self) -> &str {
        match &self.state {
            ClientState::AwaitingAnswer(_, pending) => &pending.head.request_id,
            ClientState::ReadingBody(head, _) => &head.request_id,
            _ => "",
        }
    }

    /// Whether a request is in progress.
    fn is_awaiting(&self) -> bool {
        matches!(
            self.state,
            ClientState::AwaitingAnswer(..)
                | ClientState::AwaitingStart(_)
                | ClientState::AwaitingFeed(_)
        )
    }

    /// Whether no byte of a request has arrived.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, ClientState::ReadingHead) && self.buf.is_empty()
    }

    /// Whether part of a request has arrived.
    pub(super) fn is_receiving(&self) -> bool {
        match self.state {
            ClientState::ReadingBody(..) => true,
            ClientState::ReadingHead => !self.buf.is_empty(),
            _ => false,
        }
    }

    /// Whether a request, or part of one, may have arrived behind the one in progress.
    fn has_further_input(&self) -> bool {
        !self.buf.is_empty() || self.has_unread_input
    }

    /// Consumes bytes of the input.
    fn consume(&mut self, len: usize) {
        self.buf.advance(len);
        self.consumed += len;
    }

    /// Frees the memory of consumed input.
    fn trim_input(&mut self) {
        if self.consumed > 0 {
            self.buf = BytesMut::from(&self.buf[..]);
            self.consumed = 0;
        }
    }

    /// Use of the memory of this connection, and its length.
    pub(super) fn buffer_use(&self) -> (BufferUse, usize) {
        let (usage, len) = match &self.state {
            ClientState::ReadingBody(_, reader) => (BufferUse::Releasable, reader.capacity()),
            ClientState::AwaitingStart(it) | ClientState::AwaitingAnswer(_, it) => {
                (BufferUse::Held, it.len())
            }
            ClientState::AwaitingFeed(_) => (BufferUse::Held, 0),
            ClientState::ReadingHead | ClientState::Lingering => (BufferUse::Releasable, 0),
        };
        (usage, len + self.buf.capacity() + self.consumed + self.socket.write_capacity())
    }

    /// Whether the next request may be read. It waits until the client has taken the last answer, so that
    /// a client that sends requests and reads no answers occupies one write buffer at most.
    fn accepts_request(&self) -> bool {
        !self.is_awaiting() && self.socket.is_flushed()
    }
}

impl EventLoop {
    /// Handles readiness of the socket.
    pub(super) fn client_event(&mut self, index: usize) {
        self.continue_answer(index);
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        let limit = match client.accepts_request() {
            true => client.buf.len() + READ_LEN,
            false => MAX_PIPELINED_LEN,
        };
        if client.listener == ListenerKind::Client && self.client_input >= MAX_TURN_INPUT {
            return self.read_later(index);
        }
        let was_idle = client.is_idle();
        let len = client.buf.len();
        let end = client.socket.read(&mut client.buf, &mut self.read_buf, limit);
        self.client_input += client.buf.len() - len;
        self.metrics.client_input_turn_max =
            self.metrics.client_input_turn_max.max(self.client_input);
        if was_idle && !client.is_idle() {
            client.state_since = self.now;
        }
        if matches!(client.state, ClientState::Lingering) {
            client.consume(client.buf.len());
        }
        if end.is_end() {
            self.close_client(index);
            return;
        }
        if end == ReadOutcome::LimitReached {
            client.has_unread_input = true;
        }
        self.process_client(index);
        self.resume_reading(index);
        self.release_buffers();
    }

    /// Continues writing an answer that the client has not taken yet.
    fn continue_answer(&mut self, index: usize) {
        let now = self.now;
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        let unsent = client.socket.unsent_len();
        if unsent == 0 {
            return;
        }
        let outcome = client.socket.flush();
        if client.socket.unsent_len() < unsent {
            client.state_since = now;
        }
        self.finish_write(index, outcome);
    }

    /// Handles the result of writing to a client.
    fn finish_write(&mut self, index: usize, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Done => self.linger_after_last_answer(index),
            WriteOutcome::Blocked => {}
            WriteOutcome::Broken(_) => self.close_client(index),
        }
    }

    /// Reads further input in the next iteration if there may be some and the next request may be read.
    pub(super) fn resume_reading(&mut self, index: usize) {
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        if client.has_unread_input && client.accepts_request() {
            client.has_unread_input = false;
            self.read_later(index);
        }
    }

    /// Reads from a connection in the next iteration.
    fn read_later(&mut self, index: usize) {
        if let Some(Conn::Client(client)) = self.conns.get_mut(index)
            && !std::mem::replace(&mut client.is_deferred, true)
        {
            self.unread_conns.push(index);
        }
    }

    /// Parses and starts the buffered requests, until more input or an answer is needed.
    pub(super) fn process_client(&mut self, index: usize) {
        self.parse_requests(index);
        if let Some(Conn::Client(client)) = self.conns.get_mut(index) {
            client.trim_input();
        }
        self.record_buffer(index);
    }

    fn parse_requests(&mut self, index: usize) {
        let limits = self.limits();
        loop {
            let now = self.now;
            let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
            if !client.accepts_request() {
                return;
            }
            match &mut client.state {
                ClientState::ReadingHead if client.buf.is_empty() => return,
                ClientState::ReadingHead => {
                    match RequestHead::parse(&client.buf, limits.head_bytes, &HEADERS) {
                        Ok(None) => return,
                        Ok(Some((head, len))) => {
                            client.consume(len);
                            if !self.begin_body(index, head, &limits) {
                                return;
                            }
                        }
                        Err(err) => return self.reject(index, err),
                    }
                }
                ClientState::ReadingBody(_, reader) => match reader.read(&client.buf) {
                    Ok(Progress::NeedsMore) => return client.consume(client.buf.len()),
                    Ok(Progress::Complete(len)) => {
                        client.consume(len);
                        let state = std::mem::replace(&mut client.state, ClientState::ReadingHead);
                        let upload_time = now.saturating_sub(client.state_since);
                        client.state_since = now;
                        if let ClientState::ReadingBody(head, reader) = state {
                            self.begin_request(
                                index,
                                *head,
                                reader.into_bytes().into(),
                                upload_time,
                            );
                        }
                    }
                    Err(err) => return self.reject(index, err),
                },
                ClientState::AwaitingStart(_)
                | ClientState::AwaitingFeed(_)
                | ClientState::AwaitingAnswer(..)
                | ClientState::Lingering => {
                    return;
                }
            }
        }
    }

    /// Submits the requests that arrived during the start, once the instance can serve them or
    /// after [`MAX_STARTUP_WAIT`].
    pub(super) fn submit_startup_queue(&mut self) {
        let is_started = !self.is_starting();
        for index in std::mem::take(&mut self.startup_queue) {
            let Some(Conn::Client(client)) = self.conns.get_mut(index) else { continue };
            if !matches!(client.state, ClientState::AwaitingStart(_)) {
                continue;
            }
            if !is_started && self.now < client.state_since + MAX_STARTUP_WAIT {
                self.startup_queue.push(index);
                continue;
            }
            if let ClientState::AwaitingStart(pending) =
                std::mem::replace(&mut client.state, ClientState::ReadingHead)
            {
                self.submit(index, *pending);
            }
        }
    }

    /// Writes an answer and prepares the connection for the next request.
    pub(super) fn write_answer(&mut self, index: usize, status: u16, fields: &[u8], body: &[u8]) {
        let is_stopping = self.shutdown.has_begun();
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        client.close_after_answer |=
            is_stopping && client.listener == ListenerKind::Client && !client.has_further_input();
        let content = match std::mem::take(&mut client.is_head_request) {
            // A reply to a `HEAD` request has no content whose length could be stated.
            true => Content::Omitted((!body.is_empty()).then_some(body.len())),
            false => Content::Sent(body),
        };
        let closes = client.close_after_answer;
        response::render(client.socket.write_buf(), status, fields, content, closes);
        client.state = ClientState::ReadingHead;
        client.state_since = self.now;
        let outcome = client.socket.flush();
        self.finish_write(index, outcome);
        self.record_buffer(index);
        self.unprocessed_clients.push(index);
    }

    /// Limits for clients; the defaults until a configuration is loaded.
    pub(super) fn limits(&self) -> ClientLimits {
        self.forwarder.table().map_or_else(ClientLimits::default, |it| it.limits)
    }

    /// Closes an accepted connection and cancels its request.
    pub(super) fn close_client(&mut self, index: usize) {
        if let Some(Conn::Client(client)) = self.conns.get(index)
            && let ClientState::AwaitingAnswer(key, _) = &client.state
        {
            let key = *key;
            self.request_conns.remove(&key);
            self.metrics.clients_gone += 1;
            self.forwarder.handle(self.now, Event::ClientDisconnected(key), &mut self.actions);
        }
        self.close_conn(index);
    }

    /// Shuts down the sending side after the last answer and starts to discard input.
    fn linger_after_last_answer(&mut self, index: usize) {
        let now = self.now;
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        if client.close_after_answer && matches!(client.state, ClientState::ReadingHead) {
            client.socket.shutdown_write();
            client.state = ClientState::Lingering;
            client.state_since = now;
            client.consume(client.buf.len());
            client.trim_input();
        }
    }

    /// Starts reading the body of a request. Returns whether to continue with the buffer.
    fn begin_body(&mut self, index: usize, head: RequestHead, limits: &ClientLimits) -> bool {
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return false };
        client.close_after_answer |= !head.keep_alive;
        client.is_head_request = head.is_head_request;
        if let Framing::Length(len) = head.framing
            && len > limits.body_bytes as u64
        {
            self.reject(index, MessageError::BodyTooLarge);
            return false;
        }
        let framing = head.framing;
        let expects_continue = head.expects_continue && client.buf.is_empty();
        let head_len = head.capacity();
        let reader = BodyReader::new(framing, limits.body_bytes);
        client.state = ClientState::ReadingBody(Box::new(head), reader);
        if let Framing::Length(len @ 1..) = framing
            && !self.buffers.admits(head_len + usize::try_from(len).unwrap_or(usize::MAX))
        {
            self.refuse_upload(index);
            return false;
        }
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return false };
        if expects_continue && framing != Framing::Length(0) {
            client.socket.write_buf().extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            client.socket.flush();
        }
        // A request without a body is complete without further input.
        if let ClientState::ReadingBody(head, _) = &client.state
            && head.framing == Framing::Length(0)
        {
            let ClientState::ReadingBody(head, _) =
                std::mem::replace(&mut client.state, ClientState::ReadingHead)
            else {
                return false;
            };
            self.begin_request(index, *head, Bytes::new(), Duration::ZERO);
        }
        true
    }

    fn begin_request(
        &mut self,
        index: usize,
        head: RequestHead,
        body: Bytes,
        upload_time: Duration,
    ) {
        let Some(Conn::Client(client)) = self.conns.get(index) else { return };
        match client.listener {
            ListenerKind::Client => {
                self.metrics.requests += 1;
                let arrived_at = self.now;
                let pending = PendingRequest { head, body, arrived_at, upload_time, sends: 0 };
                if !self.buffers.admits(pending.len()) {
                    let answer = self.memory_refusal();
                    self.send_answer(index, &pending, answer);
                } else if self.is_starting() {
                    self.queue_until_started(index, pending);
                } else {
                    self.submit(index, pending);
                }
            }
            ListenerKind::Readiness => {
                let is_probe = head.path == READINESS_PATH;
                let status = match (is_probe, self.is_ready()) {
                    (false, _) => 404,
                    (true, true) => 200,
                    (true, false) => 503,
                };
                self.write_answer(index, status, b"", b"");
            }
            ListenerKind::Peer => self.hold_feed_request(index, &head, &body),
            ListenerKind::Metrics => {
                let text = self.render_metrics();
                let fields = b"content-type: text/plain; version=0.0.4\r\n";
                self.write_answer(index, 200, fields, text.as_bytes());
            }
        }
    }

    fn queue_until_started(&mut self, index: usize, pending: PendingRequest) {
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        client.state = ClientState::AwaitingStart(Box::new(pending));
        client.state_since = self.now;
        self.startup_queue.push(index);
    }

    fn submit(&mut self, index: usize, pending: PendingRequest) {
        let now = self.now;
        let submission = Submission {
            host: pending.head.host.clone(),
            path: pending.head.path.clone(),
            client_timeout: pending.head.deadline.map(|it| it.saturating_sub(pending.upload_time)),
            fingerprint: hash::bytes(pending.head.content_hash(hash::bytes), &pending.body),
        };
        match self.forwarder.submit(now, &submission, &mut self.actions) {
            Ok(key) => {
                self.request_conns.insert(key, index);
                if let Some(Conn::Client(client)) = self.conns.get_mut(index) {
                    client.state = ClientState::AwaitingAnswer(key, Box::new(pending));
                    client.state_since = now;
                }
            }
            Err(answer) => self.send_answer(index, &pending, answer),
        }
    }

    /// Rejects an invalid message and closes the connection after the answer.
    fn reject(&mut self, index: usize, err: MessageError) {
        let (status, kind) = match err {
            MessageError::HeadTooLarge => (431, ErrorKind::InvalidArgument),
            MessageError::BodyTooLarge => (413, ErrorKind::BodyTooLarge),
            MessageError::MalformedHead
            | MessageError::AmbiguousLength
            | MessageError::MalformedHost
            | MessageError::MalformedChunk => (400, ErrorKind::InvalidArgument),
        };
        self.reject_with(index, status, kind, &err.to_string(), None);
    }

    /// Answers a request that was not read whole, and closes the connection after the answer.
    pub(super) fn reject_with(
        &mut self,
        index: usize,
        status: u16,
        kind: ErrorKind,
        reason: &str,
        retry_after: Option<Duration>,
    ) {
        let Some(Conn::Client(client)) = self.conns.get_mut(index) else { return };
        self.metrics.rejected += 1;
        client.close_after_answer = true;
        client.is_head_request |= client.buf.starts_with(b"HEAD ");
        let request = excerpt(client.request_id());
        self.journal.log(
            self.now,
            LineKind::Failure,
            "rejected",
            format_args!(r#""request":{request:?},"status":{status},"reason":"{reason}""#),
        );
        let fields = error_fields(retry_after);
        self.write_answer(index, status, fields.as_bytes(), &error_body(kind, reason));
    }
}
