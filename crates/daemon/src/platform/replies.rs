//! Reading the replies of replicas.
//!
//! A reply belongs to the open exchange only if it names its request. Anything else on the
//! connection is skipped or ends it, and a connection that carried something doubtful is not used
//! again.

use rosemarybank_adapter::HEADERS;
use rosemarybank_http1::{BodyReader, Progress, ResponseHead};
use rosemarybank_query::forward::{AttemptKey, Event, Failure, Reply};

use crate::platform::{
    node::{Conn, Node},
    socket::ReadEnd,
    upstream::State,
};

/// Longest body of a reply in bytes.
const MAX_BODY_LEN: usize = 8 << 20;

impl Node {
    /// Takes the replies that have arrived on a connection.
    pub(super) fn parse_replies(&mut self, index: usize, end: ReadEnd) {
        loop {
            match self.parse_step(index, end) {
                Step::Again => {}
                Step::Wait => return,
                Step::Broken => return self.break_exchange(index, Failure::Broken),
            }
        }
    }

    fn parse_step(&mut self, index: usize, end: ReadEnd) -> Step {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return Step::Wait };
        let State::Busy(exchange) = &mut conn.state else { return Step::Wait };
        if exchange.head.is_none() {
            return match ResponseHead::parse(&conn.buf, &HEADERS) {
                Ok(None) if end == ReadEnd::Drained => Step::Wait,
                Ok(None) | Err(_) => Step::Broken,
                Ok(Some((head, len))) => {
                    conn.buf.drain(..len);
                    if head.status < 200 {
                        return Step::Again;
                    }
                    exchange.skips = is_foreign(&head, &exchange.request_id);
                    conn.is_doubtful |= exchange.skips;
                    let framing = head.framing.filter(|_| !exchange.has_no_body);
                    exchange.body = framing.map(|it| BodyReader::new(it, MAX_BODY_LEN));
                    exchange.head = Some(head);
                    Step::Again
                }
            };
        }
        let progress = match &mut exchange.body {
            None => Ok(Progress::Complete(0)),
            Some(body) => body.read(&conn.buf),
        };
        match progress {
            Ok(Progress::Complete(len)) => {
                conn.buf.drain(..len);
                self.finish_reply(index)
            }
            Ok(Progress::NeedsMore) => {
                conn.buf.clear();
                let ends = exchange.body.as_ref().is_some_and(BodyReader::ends_with_connection);
                match end {
                    ReadEnd::Drained => Step::Wait,
                    ReadEnd::Closed if ends => self.finish_reply(index),
                    ReadEnd::Closed | ReadEnd::Broken => Step::Broken,
                }
            }
            Err(_) => Step::Broken,
        }
    }

    fn finish_reply(&mut self, index: usize) -> Step {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return Step::Wait };
        let State::Busy(exchange) = &mut conn.state else { return Step::Wait };
        let body = exchange.body.take().map(BodyReader::into_bytes).unwrap_or_default();
        let Some(head) = exchange.head.take() else { return Step::Broken };
        if exchange.skips {
            self.metrics.foreign_replies += 1;
            return if head.closes_connection { Step::Broken } else { Step::Again };
        }
        let attempt = exchange.attempt;
        conn.idle_timeout = head.idle_timeout.or(conn.idle_timeout);
        let is_reusable = !head.closes_connection
            && !conn.is_doubtful
            && conn.buf.is_empty()
            && conn.socket.is_flushed()
            && self.pools.get(conn.replica).is_some_and(|it| !it.is_forgotten);
        if is_reusable {
            conn.state = State::Idle;
            conn.since = self.now;
            if let Some(pool) = self.pools.get_mut(conn.replica) {
                pool.idle.push(index);
            }
        } else {
            self.drop_conn(index);
        }
        self.report(attempt, head, body);
        Step::Wait
    }

    /// Tells the forwarder how an attempt ended.
    fn report(&mut self, attempt: AttemptKey, head: ResponseHead, body: Vec<u8>) {
        if head.status == 421 {
            return self.attempt_failed(attempt, Failure::WrongReplica);
        }
        if head.is_encoded {
            return self.attempt_failed(attempt, Failure::Broken);
        }
        self.attempts.remove(attempt);
        let reply = Reply {
            status: head.status,
            stamp: head.stamp,
            is_not_run: head.is_not_executed,
            fields: head.forwarded_fields,
            body,
        };
        if !(200..300).contains(&reply.status) {
            self.metrics.failed_replies += 1;
        }
        self.forwarder.handle(self.now, Event::Replied(attempt, reply), &mut self.actions);
    }

    /// Ends the exchange of a connection that can't be trusted any more.
    pub(super) fn break_exchange(&mut self, index: usize, failure: Failure) {
        let Some(Conn::Upstream(conn)) = self.conns.get(index) else { return };
        let State::Busy(exchange) = &conn.state else { return };
        let attempt = exchange.attempt;
        self.drop_conn(index);
        self.attempt_failed(attempt, failure);
    }
}

enum Step {
    Again,
    Wait,
    Broken,
}

/// Whether a reply belongs to another request. A replica names the request in each reply to it, so
/// a success without a name is no reply to this one either; a refusal may come before the replica
/// has read the request.
fn is_foreign(head: &ResponseHead, request_id: &str) -> bool {
    match &head.request_id {
        Some(id) => id != request_id,
        None => head.is_success() && !request_id.is_empty(),
    }
}
