//! Connections to replicas.

use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_adapter::HEADERS;
use rosemarybank_http1::{BodyReader, ResponseHead};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{Action, AttemptKey, AttemptKind, Event, Failure, ReplicaKey};

use crate::platform::{
    client::State as ClientState,
    connect,
    journal::Kind,
    node::{Conn, Node},
    socket::{ReadEnd, Socket, WriteEnd},
};

/// Longest time to open a connection. A lost opening packet is sent again only after a second, and
/// by then another replica has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between the opening of a connection and the first request on it. A replica resets what
/// exceeds its cap as soon as it has accepted it; a request that was sent by then may have run.
const SETTLE: Duration = Duration::from_millis(2);

/// Longest idle time of a connection that carries a request which must not run twice. A replica
/// that closes an idle connection at that moment would leave open whether it ran.
const ONCE_IDLE: Duration = Duration::from_millis(800);

/// Longest idle time of a connection beyond [`KEPT`]. A pause of a replica needs further
/// connections for a moment; kept for long, they use up what the replica accepts from all
/// instances together.
const IDLE_KEEP: Duration = Duration::from_secs(1);

/// Idle connections to a replica that are kept until the replica closes them.
const KEPT: usize = 1;

/// Share of the idle time that a replica announces for which its connection is used.
const IDLE_SHARE: f32 = 0.7;

/// Bytes that are buffered of a reply before they are parsed.
const READ_LEN: usize = 16 << 20;

/// Connections to a replica.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// The one used last is at the end.
    pub(super) idle: Vec<usize>,
    pub(super) is_forgotten: bool,
    /// Whether a connection is being opened that no attempt waits for.
    is_reopening: bool,
}

/// A connection to a replica.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) socket: Socket,
    pub(super) replica: ReplicaKey,
    pub(super) state: State,
    /// Start of the state.
    pub(super) since: Time,
    /// Longest idle time that the replica announced.
    pub(super) idle_timeout: Option<Duration>,
    /// Whether bytes that belong to no request were seen: the connection is not used again.
    pub(super) is_doubtful: bool,
    pub(super) buf: Vec<u8>,
}

/// An attempt on a connection.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) attempt: AttemptKey,
    pub(super) request_id: CompactString,
    pub(super) has_no_body: bool,
    pub(super) head: Option<ResponseHead>,
    pub(super) body: Option<BodyReader>,
    /// Whether the reply being read answers another request.
    pub(super) skips: bool,
    /// Time to close the connection if the reply has not come.
    pub(super) close_at: Option<Time>,
}

#[derive(Debug)]
pub(super) enum State {
    /// Without an attempt, to replace a connection that broke.
    Reopening,
    Connecting(Exchange),
    /// Open, and nothing sent yet: a replica that has too many connections closes it at once.
    Settling(Exchange),
    Busy(Exchange),
    Idle,
}

impl Node {
    /// Sends a request to a replica.
    pub(super) fn send(&mut self, action: Action) {
        let Action::Send {
            attempt,
            request,
            replica,
            id,
            addr,
            deadline,
            is_at_most_once,
            service,
            kind,
        } = action
        else {
            return;
        };
        let now = self.now;
        let client = self.requests.get(request).and_then(|it| self.conns.get_mut(*it));
        let Some(Conn::Client(client)) = client else {
            return self.attempt_failed(attempt, Failure::NotSent);
        };
        let ClientState::Waiting(_, pending) = &mut client.state else {
            return self.attempt_failed(attempt, Failure::NotSent);
        };
        pending.sends += 1;
        let left = deadline.saturating_sub(now);
        let mut message = Vec::new();
        pending.head.render(&mut message, &HEADERS, &id, left, &pending.body);
        let exchange = Exchange {
            attempt,
            request_id: pending.head.request_id.clone(),
            has_no_body: pending.head.is_head_request,
            head: None,
            body: None,
            skips: false,
            close_at: None,
        };
        self.metrics.sends[kind as usize] += 1;
        if kind != AttemptKind::First {
            let name = if kind == AttemptKind::Retry { "retry" } else { "hedge" };
            self.journal.line(
                now,
                Kind::Attempt,
                name,
                format_args!(
                    r#""request":{:?},"service":{:?},"replica":{:?},"left_ms":{}"#,
                    exchange.request_id.as_str(),
                    service.as_str(),
                    id.as_str(),
                    left.as_millis()
                ),
            );
        }
        if self.pools.get(replica).is_none() {
            self.pools.insert(replica, Pool::default());
        }
        match self.take_idle(replica, is_at_most_once) {
            Some(index) => self.use_conn(index, exchange, &message),
            None => self.open_conn(replica, addr, exchange, &message),
        }
    }

    /// Gives up an attempt. Its connection is kept for a while, in case the reply still comes.
    pub(super) fn abandon(&mut self, attempt: AttemptKey, close_at: Time) {
        let Some(index) = self.attempts.get(attempt).copied() else { return };
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        match &mut conn.state {
            State::Busy(exchange) => exchange.close_at = Some(close_at),
            State::Connecting(_) | State::Settling(_) => {
                self.drop_conn(index);
                self.attempt_failed(attempt, Failure::Abandoned);
            }
            State::Reopening | State::Idle => {}
        }
    }

    /// Closes the connections of a lifetime that is over, those in use after their replies.
    pub(super) fn forget(&mut self, replica: ReplicaKey) {
        let Some(pool) = self.pools.get_mut(replica) else { return };
        pool.is_forgotten = true;
        for index in std::mem::take(&mut pool.idle) {
            self.drop_conn(index);
        }
    }

    /// Handles an event of a connection.
    pub(super) fn upstream_event(&mut self, index: usize, is_writable: bool) {
        if is_writable && !self.write_upstream(index) {
            return;
        }
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        if matches!(conn.state, State::Connecting(_) | State::Reopening) {
            return;
        }
        let end = conn.socket.read(&mut conn.buf, &mut self.scratch, READ_LEN);
        if let State::Settling(exchange) = &conn.state {
            let attempt = exchange.attempt;
            if end != ReadEnd::Drained || !conn.buf.is_empty() {
                self.metrics.connects_refused += 1;
                self.drop_conn(index);
                self.attempt_failed(attempt, Failure::NotAccepted);
            }
            return;
        }
        if matches!(conn.state, State::Idle) {
            if end != ReadEnd::Drained || !conn.buf.is_empty() {
                self.close_idle(index);
            }
            return;
        }
        self.parse_replies(index, end);
    }

    /// Writes the requests of connections that have been open for long enough.
    pub(super) fn begin_settled(&mut self) {
        while let Some((due, index)) = self.settling.front().copied()
            && due <= self.now
        {
            self.settling.pop_front();
            let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { continue };
            // The place may belong to another connection by now.
            if !matches!(conn.state, State::Settling(_)) || conn.since + SETTLE > self.now {
                continue;
            }
            if let State::Settling(exchange) = std::mem::replace(&mut conn.state, State::Idle) {
                conn.state = State::Busy(exchange);
                conn.since = self.now;
                self.begin_write(index);
            }
        }
    }

    /// Closes connections whose time is over.
    pub(super) fn sweep_upstream(&mut self, index: usize) {
        let now = self.now;
        let Some(Conn::Upstream(conn)) = self.conns.get(index) else { return };
        match &conn.state {
            State::Reopening if now >= conn.since + CONNECT_TIMEOUT => {
                let replica = conn.replica;
                self.reopen_failed(index, replica);
            }
            State::Connecting(exchange) if now >= conn.since + CONNECT_TIMEOUT => {
                let attempt = exchange.attempt;
                self.metrics.connect_timeouts += 1;
                self.drop_conn(index);
                self.attempt_failed(attempt, Failure::Unreachable);
            }
            State::Busy(exchange) if exchange.close_at.is_some_and(|it| it <= now) => {
                let (attempt, replica, since) = (exchange.attempt, conn.replica, conn.since);
                self.drop_conn(index);
                self.distrust(replica, since);
                self.attempt_failed(attempt, Failure::Abandoned);
            }
            State::Idle if now >= conn.since + IDLE_KEEP && self.is_surplus(conn.replica) => {
                self.close_idle(index);
            }
            _ => {}
        }
    }

    /// Opens a connection in place of one that broke, unless there is another.
    pub(super) fn reopen(&mut self, replica: ReplicaKey, addr: std::net::SocketAddr) {
        let Some(pool) = self.pools.get_mut(replica) else { return };
        if pool.is_forgotten || pool.is_reopening || !pool.idle.is_empty() {
            return;
        }
        pool.is_reopening = true;
        if self.insert_conn(replica, addr, State::Reopening, &[]).is_err() {
            self.reopen_done(replica);
        }
    }

    fn reopen_failed(&mut self, index: usize, replica: ReplicaKey) {
        self.drop_conn(index);
        self.reopen_done(replica);
    }

    fn reopen_done(&mut self, replica: ReplicaKey) {
        if let Some(pool) = self.pools.get_mut(replica) {
            pool.is_reopening = false;
        }
        self.forwarder.handle(self.now, Event::Unreachable(replica), &mut self.actions);
    }

    /// Closes connections that were idle before an attempt that got no reply: they may have gone
    /// silent at the same moment.
    fn distrust(&mut self, replica: ReplicaKey, since: Time) {
        let Some(pool) = self.pools.get(replica) else { return };
        let old: Vec<usize> = pool.idle.iter().copied().filter(|it| {
            matches!(self.conns.get(*it), Some(Conn::Upstream(conn)) if conn.since <= since)
        }).collect();
        for index in old {
            self.close_idle(index);
        }
    }

    fn is_surplus(&self, replica: ReplicaKey) -> bool {
        self.pools.get(replica).is_none_or(|it| it.idle.len() > KEPT)
    }

    fn take_idle(&mut self, replica: ReplicaKey, is_once: bool) -> Option<usize> {
        loop {
            let index = *self.pools.get(replica)?.idle.last()?;
            let Some(Conn::Upstream(conn)) = self.conns.get(index) else {
                self.pools.get_mut(replica)?.idle.pop();
                continue;
            };
            let age = self.now.saturating_sub(conn.since);
            let is_stale = conn.idle_timeout.is_some_and(|it| age >= it.mul_f32(IDLE_SHARE));
            if is_stale || (is_once && age >= ONCE_IDLE) {
                self.close_idle(index);
                continue;
            }
            self.pools.get_mut(replica)?.idle.pop();
            return Some(index);
        }
    }

    fn use_conn(&mut self, index: usize, exchange: Exchange, message: &[u8]) {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        self.attempts.insert(exchange.attempt, index);
        conn.socket.out().extend_from_slice(message);
        conn.state = State::Busy(exchange);
        conn.since = self.now;
        self.begin_write(index);
    }

    fn open_conn(
        &mut self,
        replica: ReplicaKey,
        addr: std::net::SocketAddr,
        exchange: Exchange,
        message: &[u8],
    ) {
        let attempt = exchange.attempt;
        match self.insert_conn(replica, addr, State::Connecting(exchange), message) {
            Ok(index) => {
                self.attempts.insert(attempt, index);
            }
            Err(err) => {
                self.journal.line(
                    self.now,
                    Kind::Attempt,
                    "connect_failed",
                    format_args!(r#""addr":"{addr}","error":"{err}""#),
                );
                self.attempt_failed(attempt, Failure::Unreachable);
            }
        }
    }

    /// Begins a connection whose first bytes are `message`.
    fn insert_conn(
        &mut self,
        replica: ReplicaKey,
        addr: std::net::SocketAddr,
        state: State,
        message: &[u8],
    ) -> std::io::Result<usize> {
        self.metrics.connects += 1;
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        let mut socket = Socket::connect(addr, self.poll.registry(), index)?;
        socket.out().extend_from_slice(message);
        entry.insert(Conn::Upstream(Upstream {
            socket,
            replica,
            state,
            since: self.now,
            idle_timeout: None,
            is_doubtful: false,
            buf: Vec::new(),
        }));
        Ok(index)
    }

    /// Writes the first bytes of a request.
    fn begin_write(&mut self, index: usize) {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return };
        let State::Busy(exchange) = &conn.state else { return };
        let attempt = exchange.attempt;
        match conn.socket.flush() {
            WriteEnd::Broken(true) => {
                self.drop_conn(index);
                self.attempt_failed(attempt, Failure::NotSent);
            }
            WriteEnd::Broken(false) => {
                self.forwarder.handle(self.now, Event::Sent(attempt), &mut self.actions);
                self.break_exchange(index, Failure::Broken);
            }
            WriteEnd::Done | WriteEnd::Blocked => {
                self.forwarder.handle(self.now, Event::Sent(attempt), &mut self.actions);
            }
        }
    }

    /// Goes on writing. Returns whether the connection is still there.
    fn write_upstream(&mut self, index: usize) -> bool {
        let now = self.now;
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return false };
        match &conn.state {
            State::Reopening => {
                let replica = conn.replica;
                match conn.socket.is_connected() {
                    Ok(false) => {}
                    Ok(true) => {
                        conn.state = State::Idle;
                        conn.since = now;
                        if let Some(pool) = self.pools.get_mut(replica) {
                            pool.is_reopening = false;
                            pool.idle.push(index);
                        }
                    }
                    Err(_) => self.reopen_failed(index, replica),
                }
            }
            State::Connecting(exchange) => {
                let attempt = exchange.attempt;
                match conn.socket.is_connected() {
                    Ok(false) => return true,
                    Ok(true) => {}
                    Err(err) => {
                        let failure = connect::failure(&err);
                        self.metrics.connects_refused += u64::from(failure == Failure::NotAccepted);
                        self.drop_conn(index);
                        self.attempt_failed(attempt, failure);
                        return false;
                    }
                }
                let state = std::mem::replace(&mut conn.state, State::Idle);
                let State::Connecting(exchange) = state else { return false };
                conn.state = State::Settling(exchange);
                conn.since = now;
                self.settling.push_back((now + SETTLE, index));
            }
            State::Busy(_) if !conn.socket.is_flushed() => {
                if matches!(conn.socket.flush(), WriteEnd::Broken(_)) {
                    // The replica may have replied before it closed.
                    return true;
                }
            }
            State::Settling(_) | State::Busy(_) | State::Idle => {}
        }
        self.conns.contains(index)
    }

    fn close_idle(&mut self, index: usize) {
        if let Some(Conn::Upstream(conn)) = self.conns.get(index)
            && let Some(pool) = self.pools.get_mut(conn.replica)
        {
            pool.idle.retain(|it| *it != index);
        }
        self.drop_conn(index);
    }
}
