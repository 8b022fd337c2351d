//! Reading the replies of replicas.
//!
//! A successful reply belongs to the exchange in progress only if it carries the id of its request;
//! an error reply may lack the id. On a reused connection, an error reply without the id may be a late
//! copy of an earlier one, so it proves nothing about this request. Replies to other requests are
//! discarded, and an invalid reply ends the connection. A connection that carried a reply to another
//! request or bytes after the reply is not reused.

use bytes::{Buf as _, BytesMut};
use rosemarybank_adapter::HEADERS;
use rosemarybank_http1::{BodyReader, Framing, MessageError, Progress, ResponseHead};
use rosemarybank_query::forward::{AttemptKey, Event, Failure, Reply};

use crate::platform::{
    event_loop::{Conn, EventLoop},
    reply_memory::max_reply_body,
    socket::ReadOutcome,
    upstream::{Exchange, UpstreamState},
};

/// Maximum number of interim responses and replies to other requests that are discarded before the
/// reply to a request.
const MAX_DISCARDED_REPLIES: u32 = 16;

/// Reason for giving up a reply whose body exceeds its limit.
const BODY_TOO_LONG: &str = "the body of the reply is too long";

impl EventLoop {
    /// Parses the received bytes of a connection.
    pub(super) fn parse_replies(&mut self, index: usize, end: ReadOutcome) {
        loop {
            match self.parse_step(index, end) {
                ParseStep::Continue => {}
                ParseStep::Wait => return,
                ParseStep::Failed(failure, reason) => {
                    return self.fail_exchange(index, failure, reason);
                }
            }
        }
    }

    fn parse_step(&mut self, index: usize, end: ReadOutcome) -> ParseStep {
        let max_body_len = max_reply_body(self.settings.memory_mb);
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return ParseStep::Wait };
        let UpstreamState::Busy(exchange) = &mut conn.state else { return ParseStep::Wait };
        if exchange.head.is_none() {
            return match ResponseHead::parse(&conn.buf, &HEADERS) {
                Ok(None) if !end.is_end() => ParseStep::Wait,
                Ok(None) => ParseStep::broken("the connection closed before a whole reply head"),
                Err(MessageError::HeadTooLarge) => {
                    ParseStep::Failed(Failure::Overlong, "the head of the reply is too long")
                }
                Err(_) => ParseStep::broken("the head of the reply is invalid"),
                Ok(Some((head, len))) => {
                    conn.buf.advance(len);
                    if head.status < 200 {
                        return exchange.count_discarded_reply();
                    }
                    exchange.is_foreign_reply = is_foreign(&head, &exchange.request_id);
                    conn.is_tainted |= exchange.is_foreign_reply;
                    let framing = head.framing.filter(|_| !exchange.is_head_request);
                    if let Some(Framing::Length(len)) = framing {
                        let len = usize::try_from(len).unwrap_or(usize::MAX);
                        if len > max_body_len {
                            return ParseStep::Failed(Failure::Overlong, BODY_TOO_LONG);
                        }
                        if !self.replies.admits(len) {
                            let reason = "the memory for replies has no room for its length";
                            return ParseStep::Failed(Failure::NoMemory, reason);
                        }
                    }
                    exchange.body = framing.map(|it| BodyReader::new(it, max_body_len));
                    exchange.head = Some(head);
                    ParseStep::Continue
                }
            };
        }
        let progress = match &mut exchange.body {
            None => Ok(Progress::Complete(0)),
            Some(body) => body.read(&conn.buf),
        };
        match progress {
            Ok(Progress::Complete(len)) => {
                conn.buf.advance(len);
                self.finish_reply(index, end)
            }
            Ok(Progress::NeedsMore) => {
                // A cleared buffer would keep its memory.
                conn.buf = BytesMut::new();
                let ends = exchange.body.as_ref().is_some_and(BodyReader::ends_with_connection);
                match end {
                    ReadOutcome::Drained | ReadOutcome::LimitReached => ParseStep::Wait,
                    ReadOutcome::Closed if ends => self.finish_reply(index, end),
                    ReadOutcome::Closed | ReadOutcome::Broken => {
                        ParseStep::broken("the connection closed within the reply")
                    }
                }
            }
            Err(MessageError::BodyTooLarge) => ParseStep::Failed(Failure::Overlong, BODY_TOO_LONG),
            Err(_) => ParseStep::broken("the body of the reply is invalid"),
        }
    }

    fn finish_reply(&mut self, index: usize, end: ReadOutcome) -> ParseStep {
        let Some(Conn::Upstream(conn)) = self.conns.get_mut(index) else { return ParseStep::Wait };
        let UpstreamState::Busy(exchange) = &mut conn.state else { return ParseStep::Wait };
        let body = exchange.body.take().map(BodyReader::into_bytes).unwrap_or_default();
        let Some(head) = exchange.head.take() else {
            return ParseStep::broken("the reply has no head");
        };
        let attempt = exchange.attempt;
        if exchange.is_foreign_reply {
            let next = exchange.count_discarded_reply();
            self.metrics.foreign_replies += 1;
            self.log_attempt(attempt, "reply_discarded", "it belongs to another request");
            return match head.closes_connection {
                true => {
                    ParseStep::broken("the connection closed after the reply to another request")
                }
                false => next,
            };
        }
        let is_identified = head.request_id.is_some() || exchange.request_id.is_empty();
        let is_reused = conn.requests > 1;
        if is_reused && !is_identified {
            self.metrics.foreign_replies += 1;
            return ParseStep::broken("an error reply without an id on a reused connection");
        }
        conn.idle_timeout = head.idle_timeout.or(conn.idle_timeout);
        let is_reusable = !head.closes_connection
            && !conn.is_tainted
            && conn.buf.is_empty()
            && end == ReadOutcome::Drained
            && conn.socket.is_flushed()
            && self.pools.get(conn.replica).is_some_and(|it| !it.is_retired);
        if is_reusable {
            conn.buf = BytesMut::new();
            conn.state = UpstreamState::Idle;
            conn.state_since = self.now;
            if let Some(pool) = self.pools.get_mut(conn.replica) {
                pool.idle.push(index);
            }
        } else {
            self.close_conn(index);
        }
        self.report_reply(attempt, head, body);
        ParseStep::Wait
    }

    /// Reports a complete reply to the forwarder.
    fn report_reply(&mut self, attempt: AttemptKey, head: ResponseHead, body: Vec<u8>) {
        if head.status == 421 {
            let reason = "the address belongs to another replica";
            return self.fail_attempt(attempt, Failure::WrongReplica, reason);
        }
        if head.is_encoded {
            return self.fail_attempt(attempt, Failure::Broken, "the reply is encoded");
        }
        self.attempt_conns.remove(&attempt);
        let reply = Reply {
            status: head.status,
            stamp: head.stamp,
            is_not_run: head.is_not_executed,
            is_leaving: head.is_leaving,
            retry_after: head.retry_after,
            fields: head.forwarded_fields,
            body,
        };
        if !(200..300).contains(&reply.status) {
            self.metrics.failed_replies += 1;
        }
        self.forwarder.handle(self.now, Event::Replied(attempt, reply), &mut self.actions);
    }

    /// Closes a connection and fails its exchange.
    pub(super) fn fail_exchange(&mut self, index: usize, failure: Failure, reason: &str) {
        let Some(Conn::Upstream(conn)) = self.conns.get(index) else { return };
        let UpstreamState::Busy(exchange) = &conn.state else { return };
        let attempt = exchange.attempt;
        self.close_conn(index);
        self.fail_attempt(attempt, failure, reason);
    }
}

impl Exchange {
    /// Counts a reply that was discarded. Returns whether to go on with the next one.
    fn count_discarded_reply(&mut self) -> ParseStep {
        self.discarded_replies += 1;
        match self.discarded_replies <= MAX_DISCARDED_REPLIES {
            true => ParseStep::Continue,
            false => {
                let reason = "too many interim responses or replies to other requests";
                ParseStep::Failed(Failure::Overlong, reason)
            }
        }
    }
}

/// Result of one parsing step.
enum ParseStep {
    Continue,
    Wait,
    /// The exchange fails for the given reason.
    Failed(Failure, &'static str),
}

impl ParseStep {
    /// The connection broke, or the reply is invalid.
    fn broken(reason: &'static str) -> ParseStep {
        ParseStep::Failed(Failure::Broken, reason)
    }
}

/// Whether a reply belongs to another request. A replica repeats the request id in its reply, so a
/// successful reply without an id is foreign as well. An error reply may lack the id because the
/// replica sent it before it read the request.
fn is_foreign(head: &ResponseHead, request_id: &str) -> bool {
    match &head.request_id {
        Some(id) => id != request_id,
        None => head.is_success() && !request_id.is_empty(),
    }
}
