//! Connections to replicas: pooling, connecting and sending requests.

use std::{cmp::Reverse, time::Duration};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use rosemarybank_adapter::HEADERS;
use rosemarybank_http1::{BodyReader, ResponseHead};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::{
    buffer_budget::BufferKey,
    forward::{Action, AttemptKey, AttemptKind, Event, Failure, ReplicaKey, Resend},
};

use crate::platform::{
    client::ClientState,
    connect,
    event_loop::{Conn, EventLoop},
    journal::{LineKind, excerpt},
    socket::{ReadOutcome, Socket, WriteOutcome},
};

/// Timeout of opening a connection. A lost SYN is retransmitted only after a second, and by then
/// another replica has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum idle time of a connection that is reused for a request which must not run twice. If the
/// replica closed the idle connection at that moment, it would be unknown whether the request ran.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(800);

/// Idle timeout of connections beyond [`MIN_IDLE_CONNS`]. A pause of a replica causes further
/// connections for a moment. If they stayed open, they would use up the connection limit of the
/// replica, which all instances share.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a connection that replaces a broken one is opened again if the replica closed it at
/// once: a process that has crashed has ended by then.
const REOPEN_DELAY: Duration = Duration::from_millis(100);

/// Number of idle connections per replica that stay open until the replica closes them.
const MIN_IDLE_CONNS: usize = 1;

/// Fraction of the idle timeout announced by a replica after which its connection is not reused.
const IDLE_TIMEOUT_FRACTION: f32 = 0.7;

/// Maximum number of bytes read from a connection in one iteration of the event loop.
const READ_LEN: usize = 64 << 10;

/// Connection pool of a replica.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Idle connections; the most recently used one is last.
    pub(super) idle: Vec<usize>,
    /// Number of open connections, busy ones included.
    pub(super) open: usize,
    /// Whether this process of the replica has ended, so that no connection is reused.
    pub(super) is_retired: bool,
    /// Whether a replacement connection is being opened.
    is_reopening: bool,
}

/// A connection to a replica.
#[derive(Debug)]
pub(super) struct UpstreamConn {
    pub(super) socket: Socket,
    pub(super) replica: ReplicaKey,
    pub(super) state: UpstreamState,
    /// Time at which the connection entered its state.
    pub(super) state_since: Time,
    /// Idle timeout announced by the replica.
    pub(super) idle_timeout: Option<Duration>,
    /// Whether a reply to another request arrived, so that the connection is not reused.
    pub(super) is_tainted: bool,
    /// How long the opening of the connection took.
    pub(super) connect_time: Duration,
    /// Number of requests sent on the connection.
    pub(super) requests: u32,
    pub(super) buf: BytesMut,
    /// Memory of its reply in the budget.
    pub(super) buffer: BufferKey,
}

/// The request and reply of an attempt.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) attempt: AttemptKey,
    pub(super) request_id: CompactString,
    /// Whether the method is `HEAD`, whose reply has no body.
    pub(super) is_head_request: bool,
    pub(super) head: Option<ResponseHead>,
    pub(super) body: Option<BodyReader>,
    /// Whether the request may be sent again.
    pub(super) resend: Resend,
    /// Delay of the request if it is the first one on its connection; set when that is open.
    pub(super) first_request_delay: Duration,
    /// Whether the reply being read belongs to another request and is discarded.
    pub(super) is_foreign_reply: bool,
    /// Number of interim responses and replies to other requests that were discarded.
    pub(super) discarded_replies: u32,
    /// Time at which an abandoned attempt's connection is closed if the reply has not arrived.
    pub(super) close_at: Option<Time>,
}

/// A request as it is sent to a replica. All attempts share the body.
#[derive(Debug, Default)]
struct Message {
    head: Vec<u8>,
    body: Bytes,
}

/// State of a connection to a replica.
#[derive(Debug)]
pub(super) enum UpstreamState {
    /// Connecting without an attempt, to replace a broken connection.
    Reopening,
    /// Connecting for an attempt.
    Connecting(Exchange),
    /// Open, with the request held back for its `first_request_delay`.
    Connected(Exchange),
    /// Sending a request or waiting for its reply.
    Busy(Exchange),
    /// Open without an attempt.
    Idle,
}

impl UpstreamConn {
    /// Attempt whose request has not been sent, because the connection is still opening or has just
    /// opened.
    fn unsent_attempt(&self) -> Option<AttemptKey> {
        match &self.state {
            UpstreamState::Connecting(it) | UpstreamState::Connected(it) => Some(it.attempt),
            UpstreamState::Busy(_) | UpstreamState::Reopening | UpstreamState::Idle => None,
        }
    }
}

impl EventLoop {
    /// Performs [`Action::Send`]: sends a request to a replica.
    pub(super) fn send(&mut self, action: Action) {
        let Action::Send { attempt, request, replica, id, addr, deadline, resend, service, kind } =
            action
        else {
            return;
        };
        let now = self.now;
        let client = self.request_conns.get(&request).and_then(|it| self.conns.get_mut(*it));
        let Some(Conn::Client(client)) = client else {
            return self.fail_attempt(attempt, Failure::NotSent, "the client has left");
        };
        let ClientState::AwaitingAnswer(_, pending) = &mut client.state else {
            return self.fail_attempt(attempt, Failure::NotSent, "the client has left");
        };
        pending.sends += 1;
        let left = deadline.saturating_sub(now);
        let mut message = Message { head: Vec::new(), body: pending.body.clone() };
        pending.head.render(&mut message.head, &HEADERS, &id, left, message.body.len());
        let exchange = Exchange {
            attempt,
            request_id: pending.head.request_id.clone(),
            is_head_request: pending.head.is_head_request,
            head: None,
            body: None,
            resend,
            first_request_delay: Duration::ZERO,
            is_foreign_reply: false,
            discarded_replies: 0,
            close_at: None,
        };
        self.metrics.sends[kind as usize] += 1;
        if kind != AttemptKind::First {
            let name = if kind == AttemptKind::Retry { "retry" } else { "hedge" };
            self.journal.log(
                now,
                LineKind::Attempt,
                name,
                format_args!(
                    r#""request":{:?},"service":{:?},"replica":{:?},"left_ms":{}"#,
                    excerpt(&exchange.request_id),
                    service.as_str(),
                    id.as_str(),
                    left.as_millis()
                ),
            );
        }
        if self.pools.get(replica).is_none() {
            self.pools.insert(replica, Pool::default());
        }
        match self.take_idle(replica, resend) {
            Some(index) => self.send_on_idle(index, exchange, &message),
            None => self.open_conn(replica, addr, exchange, &message),
        }
    }

    /// Performs [`Action::Abandon`]: gives up an attempt. A connection on which the request was sent
    /// stays open until `close_at`, because it can be reused if the reply arrives by then.
    pub(super) fn abandon(&mut self, attempt: AttemptKey, close_at: Time) {
        let Some(index) = self.attempt_conns.get(&attempt).copied() else { return };
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        match &mut conn.state {
            UpstreamState::Busy(exchange) => exchange.close_at = Some(close_at),
            UpstreamState::Connecting(_) | UpstreamState::Connected(_) => {
                self.close_conn(index);
                self.fail_attempt(attempt, Failure::Abandoned, "it is no longer needed");
            }
            UpstreamState::Reopening | UpstreamState::Idle => {}
        }
    }

    /// Performs [`Action::RemoveReplica`]: closes the idle connections to a replica process that has
    /// ended or leaves, and the busy ones after their replies. Requests that have not been sent go to
    /// other replicas.
    pub(super) fn retire_pool(&mut self, replica: ReplicaKey) {
        let Some(pool) = self.pools.get_mut(replica) else { return };
        pool.is_retired = true;
        for index in std::mem::take(&mut pool.idle) {
            self.close_conn(index);
        }
        let unsent: Vec<(usize, AttemptKey)> = self
            .conns
            .iter()
            .filter_map(|(index, conn)| match conn {
                Conn::Upstream(it) if it.replica == replica => Some((index, it.unsent_attempt()?)),
                _ => None,
            })
            .collect();
        for (index, attempt) in unsent {
            self.close_conn(index);
            self.fail_attempt(attempt, Failure::NotSent, "the replica has left");
        }
    }

    /// Handles readiness of the socket.
    pub(super) fn upstream_event(&mut self, index: usize, is_writable: bool) {
        if is_writable && !self.continue_write(index) {
            return;
        }
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        if matches!(conn.state, UpstreamState::Connecting(_) | UpstreamState::Reopening) {
            return;
        }
        if matches!(conn.state, UpstreamState::Connected(_)) {
            self.check_is_open(index);
            return;
        }
        self.read_replies(index);
    }

    /// Reads and parses what has arrived, at most [`READ_LEN`] bytes: a faulty replica may send bytes
    /// without end, and faster than they are parsed.
    fn read_replies(&mut self, index: usize) {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        let limit = conn.buf.len() + READ_LEN;
        let end = conn.socket.read(&mut conn.buf, &mut self.read_buf, limit);
        if end == ReadOutcome::LimitReached {
            self.unread_conns.push(index);
        }
        match conn.state {
            UpstreamState::Idle if end != ReadOutcome::Drained || !conn.buf.is_empty() => {
                self.idle_closed(index);
            }
            UpstreamState::Idle => {}
            _ => {
                self.parse_replies(index, end);
                self.record_reply(index);
            }
        }
    }

    /// Fails the attempt of a connection without a request if the replica has closed it or has sent
    /// something. Returns whether the connection is still open.
    fn check_is_open(&mut self, index: usize) -> bool {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return false };
        let UpstreamState::Connected(exchange) = &conn.state else { return false };
        let attempt = exchange.attempt;
        let end = conn.socket.read(&mut conn.buf, &mut self.read_buf, READ_LEN);
        let is_open = end == ReadOutcome::Drained && conn.buf.is_empty();
        if !is_open {
            self.metrics.connects_refused += 1;
            self.close_conn(index);
            let reason = "the replica closed the new connection";
            self.fail_attempt(attempt, Failure::NotAccepted, reason);
        }
        is_open
    }

    /// Sends the requests whose `first_request_delay` is over.
    pub(super) fn send_delayed_requests(&mut self) {
        while let Some(Reverse((due, index))) = self.delayed_sends.peek().copied()
            && due <= self.now
        {
            self.delayed_sends.pop();
            let Some(Conn::Upstream(conn)) = self.conns.get(index) else { continue };
            // The slab index may have been reused for another connection.
            let UpstreamState::Connected(exchange) = &conn.state else { continue };
            if conn.state_since + exchange.first_request_delay > self.now {
                continue;
            }
            // The reset may have arrived since the last poll.
            if !self.check_is_open(index) {
                continue;
            }
            let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { continue };
            if let UpstreamState::Connected(exchange) =
                std::mem::replace(&mut conn.state, UpstreamState::Idle)
            {
                conn.state = UpstreamState::Busy(exchange);
                conn.state_since = self.now;
                self.start_write(index);
            }
        }
    }

    /// Closes a connection whose timeout has passed.
    pub(super) fn close_timed_out_upstream(&mut self, index: usize) {
        let now = self.now;
        let Some(Conn::Upstream(conn)) = self.conns.get(index) else { return };
        match &conn.state {
            UpstreamState::Reopening if now >= conn.state_since + CONNECT_TIMEOUT => {
                let replica = conn.replica;
                self.reopen_failed(index, replica);
            }
            UpstreamState::Connecting(exchange) if now >= conn.state_since + CONNECT_TIMEOUT => {
                let attempt = exchange.attempt;
                self.metrics.connect_timeouts += 1;
                self.close_conn(index);
                self.fail_attempt(attempt, Failure::Unreachable, "the connect timed out");
            }
            UpstreamState::Busy(exchange) if exchange.close_at.is_some_and(|it| it <= now) => {
                let (attempt, replica, since) = (exchange.attempt, conn.replica, conn.state_since);
                self.close_conn(index);
                self.close_idle_since(replica, since);
                self.fail_attempt(attempt, Failure::Abandoned, "it is no longer needed");
            }
            UpstreamState::Idle
                if now >= conn.state_since + SURPLUS_IDLE_TIMEOUT
                    && self.has_surplus_idle(conn.replica) =>
            {
                self.close_idle(index);
            }
            _ => {}
        }
    }

    /// Performs [`Action::Reconnect`]: opens a connection in place of a broken one, unless the pool
    /// has an idle one.
    pub(super) fn reopen(&mut self, replica: ReplicaKey, addr: std::net::SocketAddr) {
        let Some(pool) = self.pools.get_mut(replica) else { return };
        if pool.is_retired || pool.is_reopening || !pool.idle.is_empty() {
            return;
        }
        if !self.has_room_to_connect(replica) {
            return;
        }
        let Some(pool) = self.pools.get_mut(replica) else { return };
        pool.is_reopening = true;
        if self.start_connect(replica, addr, UpstreamState::Reopening, &Message::default()).is_err()
        {
            self.report_reopen_failure(replica);
        }
    }

    /// Whether a connection to a replica is within the limits on sockets. Idle connections to replicas are closed
    /// to make room, those that are unused for longest first.
    fn has_room_to_connect(&mut self, replica: ReplicaKey) -> bool {
        loop {
            let open_to_replica = self.pools.get(replica).map_or(0, |it| it.open);
            let max = self.settings.max_sockets;
            if connect::admits_connection(max, self.upstream_conns, open_to_replica) {
                return true;
            }
            let idle = self.pools.values().filter_map(|it| it.idle.first().copied());
            let idle_since = idle.filter_map(|it| match self.conns.get(it) {
                Some(Conn::Upstream(conn)) => Some((conn.state_since, it)),
                _ => None,
            });
            let Some((_, index)) = idle_since.min() else { break };
            self.close_idle(index);
        }
        self.metrics.connects_without_room += 1;
        false
    }

    fn reopen_failed(&mut self, index: usize, replica: ReplicaKey) {
        self.close_conn(index);
        self.report_reopen_failure(replica);
    }

    /// Reports to the forwarder that a connection to the replica could not be reopened.
    fn report_reopen_failure(&mut self, replica: ReplicaKey) {
        if let Some(pool) = self.pools.get_mut(replica) {
            pool.is_reopening = false;
        }
        self.forwarder.handle(self.now, Event::Unreachable(replica), &mut self.actions);
    }

    /// Closes the connections that were already idle when an attempt without a reply was sent: they
    /// may have failed silently at the same time.
    fn close_idle_since(&mut self, replica: ReplicaKey, since: Time) {
        let Some(pool) = self.pools.get(replica) else { return };
        let old: Vec<usize> = pool.idle.iter().copied().filter(|it| {
            matches!(self.conns.get(*it), Some(Conn::Upstream(conn)) if conn.state_since <= since)
        }).collect();
        for index in old {
            self.close_idle(index);
        }
    }

    fn has_surplus_idle(&self, replica: ReplicaKey) -> bool {
        self.pools.get(replica).is_none_or(|it| it.idle.len() > MIN_IDLE_CONNS)
    }

    fn take_idle(&mut self, replica: ReplicaKey, resend: Resend) -> Option<usize> {
        loop {
            let index = *self.pools.get(replica)?.idle.last()?;
            let Some(Conn::Upstream(conn)) = self.conns.get(index) else {
                self.pools.get_mut(replica)?.idle.pop();
                continue;
            };
            let age = self.now.saturating_sub(conn.state_since);
            let is_stale =
                conn.idle_timeout.is_some_and(|it| age >= it.mul_f32(IDLE_TIMEOUT_FRACTION));
            let is_too_old = resend == Resend::NotIdempotent && age >= MAX_NON_IDEMPOTENT_IDLE;
            if is_stale || is_too_old {
                self.close_idle(index);
                continue;
            }
            self.pools.get_mut(replica)?.idle.pop();
            return Some(index);
        }
    }

    fn send_on_idle(&mut self, index: usize, exchange: Exchange, message: &Message) {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        self.attempt_conns.insert(exchange.attempt, index);
        conn.socket.push_message(&message.head, &message.body);
        conn.state = UpstreamState::Busy(exchange);
        conn.state_since = self.now;
        self.start_write(index);
    }

    fn open_conn(
        &mut self,
        replica: ReplicaKey,
        addr: std::net::SocketAddr,
        exchange: Exchange,
        message: &Message,
    ) {
        let attempt = exchange.attempt;
        if !self.has_room_to_connect(replica) {
            let reason = "this instance has too many connections to replicas";
            return self.fail_attempt(attempt, Failure::NotAccepted, reason);
        }
        match self.start_connect(replica, addr, UpstreamState::Connecting(exchange), message) {
            Ok(index) => {
                self.attempt_conns.insert(attempt, index);
            }
            Err(err) => {
                self.fail_attempt(attempt, Failure::Unreachable, &err.to_string());
            }
        }
    }

    /// Starts a connect and buffers `message` for it.
    fn start_connect(
        &mut self,
        replica: ReplicaKey,
        addr: std::net::SocketAddr,
        state: UpstreamState,
        message: &Message,
    ) -> std::io::Result<usize> {
        self.metrics.connects += 1;
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        let mut socket = Socket::connect(addr, self.poll.registry(), index)?;
        socket.push_message(&message.head, &message.body);
        self.upstream_conns += 1;
        if let Some(pool) = self.pools.get_mut(replica) {
            pool.open += 1;
        }
        let buffer = self.replies.insert(self.now);
        self.reply_conns.insert(buffer, index);
        entry.insert(Conn::Upstream(UpstreamConn {
            socket,
            replica,
            state,
            state_since: self.now,
            idle_timeout: None,
            is_tainted: false,
            connect_time: Duration::ZERO,
            requests: 0,
            buf: BytesMut::new(),
            buffer,
        }));
        Ok(index)
    }

    /// Starts writing a request and reports to the forwarder that it is being sent.
    fn start_write(&mut self, index: usize) {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        let UpstreamState::Busy(exchange) = &conn.state else { return };
        let attempt = exchange.attempt;
        conn.requests += 1;
        match conn.socket.flush() {
            WriteOutcome::Broken(true) => {
                self.close_conn(index);
                self.fail_attempt(attempt, Failure::NotSent, "the idle connection was closed");
            }
            WriteOutcome::Broken(false) => {
                self.forwarder.handle(self.now, Event::Sent(attempt), &mut self.actions);
                let reason = "the connection closed while the request was sent";
                self.fail_exchange(index, Failure::Broken, reason);
            }
            WriteOutcome::Done | WriteOutcome::Blocked => {
                self.forwarder.handle(self.now, Event::Sent(attempt), &mut self.actions);
            }
        }
    }

    /// Handles writability: completes a connect or continues writing. Returns whether the connection
    /// still exists.
    fn continue_write(&mut self, index: usize) -> bool {
        let now = self.now;
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return false };
        match &conn.state {
            UpstreamState::Reopening => {
                let replica = conn.replica;
                match conn.socket.is_connected() {
                    Ok(false) => {}
                    Ok(true) => {
                        conn.connect_time = now.saturating_sub(conn.state_since);
                        conn.state = UpstreamState::Idle;
                        conn.state_since = now;
                        if let Some(pool) = self.pools.get_mut(replica) {
                            pool.is_reopening = false;
                            pool.idle.push(index);
                        }
                    }
                    // A reset shows that the replica runs, or that its process is ending.
                    Err(err) if connect::classify_error(&err) == Failure::NotAccepted => {
                        self.close_conn(index);
                        if let Some(pool) = self.pools.get_mut(replica) {
                            pool.is_reopening = false;
                        }
                        self.delayed_reopens.push((now + REOPEN_DELAY, replica));
                    }
                    Err(_) => self.reopen_failed(index, replica),
                }
            }
            UpstreamState::Connecting(exchange) => {
                let attempt = exchange.attempt;
                match conn.socket.is_connected() {
                    Ok(false) => return true,
                    Ok(true) => {}
                    Err(err) => {
                        let failure = connect::classify_error(&err);
                        self.metrics.connects_refused += u64::from(failure == Failure::NotAccepted);
                        self.close_conn(index);
                        self.fail_attempt(attempt, failure, &err.to_string());
                        return false;
                    }
                }
                let state = std::mem::replace(&mut conn.state, UpstreamState::Idle);
                let UpstreamState::Connecting(mut exchange) = state else { return false };
                conn.connect_time = now.saturating_sub(conn.state_since);
                exchange.first_request_delay =
                    connect::first_request_delay(exchange.resend, conn.connect_time);
                let due = now + exchange.first_request_delay;
                conn.state = UpstreamState::Connected(exchange);
                conn.state_since = now;
                self.delayed_sends.push(Reverse((due, index)));
            }
            UpstreamState::Busy(_) if !conn.socket.is_flushed() => {
                if matches!(conn.socket.flush(), WriteOutcome::Broken(_)) {
                    // The replica may have replied before it closed the connection.
                    return true;
                }
            }
            UpstreamState::Connected(_) | UpstreamState::Busy(_) | UpstreamState::Idle => {}
        }
        self.conns.contains(index)
    }

    /// Handles the end of an idle connection by the replica. One that was opened to replace a broken one
    /// and closes at once was beyond the limit of the replica, or its process is ending.
    fn idle_closed(&mut self, index: usize) {
        let Some(Conn::Upstream(conn)) = self.conns.get(index) else { return };
        let open_for = self.now.saturating_sub(conn.state_since);
        let was_accepted =
            open_for >= connect::first_request_delay(Resend::NotIdempotent, conn.connect_time);
        let (replica, is_unused) = (conn.replica, conn.requests == 0);
        self.close_idle(index);
        match (is_unused, was_accepted) {
            (true, true) => {
                self.forwarder.handle(self.now, Event::ClosedUnused(replica), &mut self.actions);
            }
            (true, false) => self.delayed_reopens.push((self.now + REOPEN_DELAY, replica)),
            (false, _) => {}
        }
    }

    /// Reports the connections that closed at once, some time after they did.
    pub(super) fn report_delayed_reopens(&mut self) {
        let now = self.now;
        for (_, replica) in self.delayed_reopens.extract_if(.., |it| it.0 <= now) {
            self.forwarder.handle(now, Event::ClosedUnused(replica), &mut self.actions);
        }
    }

    fn close_idle(&mut self, index: usize) {
        if let Some(Conn::Upstream(conn)) = self.conns.get(index)
            && let Some(pool) = self.pools.get_mut(conn.replica)
        {
            pool.idle.retain(|it| *it != index);
        }
        self.close_conn(index);
    }
}
