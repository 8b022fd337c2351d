//! Calls to the platform's store, and the connections for calls to the store and other instances.

use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use rosemarybank_adapter::{Call, HEADERS, calls};
use rosemarybank_coordination::source::{Member, Source};
use rosemarybank_http1::{BodyReader, Progress, ResponseHead};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::Event;

use crate::platform::{
    config_text::ConfigText,
    event_loop::{Conn, EventLoop},
    journal::LineKind,
    poller::{Poller, Resource, Update},
    socket::{ReadOutcome, Socket, WriteOutcome},
};

/// Maximum size of a reply body in bytes; a page of the store takes about a megabyte.
pub(super) const MAX_BODY_LEN: usize = 8 << 20;

/// Maximum number of calls to the store in progress: one for each [`Resource`].
pub(super) const MAX_CALLS: usize = 3;

/// A poller and its connection to the store.
#[derive(Debug)]
pub(super) struct StorePoller {
    pub(super) poller: Poller,
    conn: Option<usize>,
}

impl StorePoller {
    pub(super) fn new(poller: Poller) -> StorePoller {
        StorePoller { poller, conn: None }
    }
}

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallPurpose {
    /// A call to the store, for the poller with this index.
    Poll(usize),
    /// A feed request to another instance.
    Feed,
}

/// A connection to the store or to another instance.
#[derive(Debug)]
pub(super) struct CallConn {
    pub(super) socket: Socket,
    pub(super) purpose: CallPurpose,
    /// Time at which the call times out; `None` while no call is in flight.
    pub(super) deadline: Option<Time>,
    buf: BytesMut,
    head: Option<ResponseHead>,
    body: Option<BodyReader>,
}

impl EventLoop {
    /// Makes the calls that are due and fails those that timed out.
    pub(super) fn poll_store(&mut self) {
        let reads_store = self.source_selector.should_read_store(self.now);
        let urgency = self.source_selector.urgency();
        for poller_index in 0..self.pollers.len() {
            let poller = &mut self.pollers[poller_index].poller;
            poller.set_urgency(urgency);
            match (poller.resource(), reads_store) {
                (Resource::Instances, _) => poller.set_reads_store(reads_store),
                (_, true) => poller.resume(self.now),
                (_, false) => poller.suspend(),
            }
            let conn_index = self.pollers[poller_index].conn;
            let deadline = conn_index.and_then(|it| match self.conns.get(it) {
                Some(Conn::Call(call)) => call.deadline,
                _ => None,
            });
            match (conn_index, deadline) {
                (Some(index), Some(deadline)) if self.now >= deadline => {
                    self.call_failed(index, "the reply timed out");
                }
                (_, Some(_)) => {}
                (_, None) => self.start_due_call(poller_index),
            }
        }
    }

    /// Handles readiness of the socket.
    pub(super) fn call_event(&mut self, index: usize) {
        let Some(Conn::Call(call)) = self.conns.get_mut(index) else { return };
        if !call.socket.is_flushed() {
            match call.socket.is_connected() {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return self.call_failed(index, "connect failed"),
            }
            if matches!(call.socket.flush(), WriteOutcome::Broken(_)) {
                return self.call_failed(index, "write failed");
            }
        }
        let end = call.socket.read(&mut call.buf, &mut self.read_buf, MAX_BODY_LEN);
        if end == ReadOutcome::LimitReached {
            self.unread_conns.push(index);
        }
        match parse_reply(call, end) {
            ParsedReply::Incomplete => {}
            ParsedReply::Failed(reason) => self.call_failed(index, reason),
            ParsedReply::Complete(status, body) => {
                let Some(Conn::Call(call)) = self.conns.get_mut(index) else { return };
                call.deadline = None;
                let purpose = call.purpose;
                let closes =
                    call.head.take().is_none_or(|it| it.closes_connection) || !call.buf.is_empty();
                let closes = closes || end != ReadOutcome::Drained;
                let CallPurpose::Poll(poller_index) = purpose else {
                    return self.feed_replied(index, status, &body, closes);
                };
                if closes {
                    self.pollers[poller_index].conn = None;
                    self.close_conn(index);
                }
                self.poll_replied(poller_index, status, &body);
            }
        }
    }

    /// Deletes the registration of this instance, so that the others use its share of the budgets.
    pub(super) fn deregister_instance(&mut self) {
        let call = Call::remove(calls::INSTANCES, &self.settings.instance);
        // The poller of the instances is the last one.
        let poller_index = self.pollers.len() - 1;
        if let Some(index) = self.pollers[poller_index].conn.take() {
            self.close_conn(index);
        }
        self.call_store(poller_index, &call, Duration::from_secs(1));
    }

    fn start_due_call(&mut self, poller_index: usize) {
        let poller = &mut self.pollers[poller_index].poller;
        // A stopping instance has deleted its registration and must not create it again.
        if self.shutdown.has_begun() && poller.resource() == Resource::Instances {
            return;
        }
        if let Some(timed) = poller.next_call(self.now) {
            self.call_store(poller_index, &timed.call, timed.timeout);
        }
    }

    fn call_store(&mut self, poller_index: usize, call: &Call, timeout: Duration) {
        self.metrics.store_calls += 1;
        let addr = self.settings.store_addr;
        let message = call.render(&addr.to_string());
        if let Some(index) = self.pollers[poller_index].conn {
            return self.send_call(index, &message, timeout);
        }
        match self.open_call_conn(addr, CallPurpose::Poll(poller_index)) {
            Ok(index) => {
                self.pollers[poller_index].conn = Some(index);
                self.send_call(index, &message, timeout);
            }
            Err(err) => self.poll_failed(poller_index, &err.to_string()),
        }
    }

    /// Opens a connection for calls.
    pub(super) fn open_call_conn(
        &mut self,
        addr: std::net::SocketAddr,
        purpose: CallPurpose,
    ) -> std::io::Result<usize> {
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        let socket = Socket::connect(addr, self.poll.registry(), index)?;
        entry.insert(Conn::Call(CallConn {
            socket,
            purpose,
            deadline: None,
            buf: BytesMut::new(),
            head: None,
            body: None,
        }));
        Ok(index)
    }

    /// Sends a call on a connection, which may still be opening.
    pub(super) fn send_call(&mut self, index: usize, message: &[u8], timeout: Duration) {
        let Some(Conn::Call(call)) = self.conns.get_mut(index) else { return };
        call.socket.write_buf().extend_from_slice(message);
        call.deadline = Some(self.now + timeout);
        self.call_event(index);
    }

    fn call_failed(&mut self, index: usize, reason: &str) {
        let Some(Conn::Call(call)) = self.conns.get(index) else { return };
        let (purpose, was_in_flight) = (call.purpose, call.deadline.is_some());
        self.close_conn(index);
        let CallPurpose::Poll(poller_index) = purpose else { return self.feed_call_failed(reason) };
        self.pollers[poller_index].conn = None;
        // The store may close an idle connection; the next call opens another.
        if was_in_flight {
            self.poll_failed(poller_index, reason);
        }
    }

    fn poll_failed(&mut self, poller_index: usize, reason: &str) {
        self.metrics.store_failures += 1;
        let poller = &mut self.pollers[poller_index].poller;
        let was_reachable = poller.is_reachable();
        poller.call_failed(self.now);
        let resource = poller.resource();
        match resource {
            Resource::Replicas => self.directory.set_store_unreachable(),
            Resource::Config => self.source_selector.set_config_current(false),
            Resource::Instances => {}
        }
        if was_reachable {
            self.journal.log(
                self.now,
                LineKind::Lifecycle,
                "store_lost",
                format_args!(r#""lane":"{resource:?}","reason":{reason:?}"#),
            );
        }
    }

    fn poll_replied(&mut self, poller_index: usize, status: u16, body: &[u8]) {
        let now = self.now;
        let poller = &mut self.pollers[poller_index].poller;
        let (was_reachable, last_read_at) = (poller.is_reachable(), poller.read_at());
        let updates = poller.handle_reply(now, status, body);
        let (resource, is_reachable) = (poller.resource(), poller.is_reachable());
        let read_at = poller.read_at();
        match (resource, is_reachable, read_at) {
            (Resource::Replicas, false, _) => self.directory.set_store_unreachable(),
            (Resource::Replicas, true, Some(at)) if read_at != last_read_at => {
                self.directory.set_store_reachable(now, at);
                self.source_selector.record_own_read(at);
            }
            // More pages follow, or the list starts over.
            (Resource::Replicas, true, _) => {}
            (Resource::Config, ..) => self.source_selector.set_config_current(is_reachable),
            (Resource::Instances, ..) => {}
        }
        if was_reachable != is_reachable {
            let event = if is_reachable { "store_regained" } else { "store_lost" };
            self.journal.log(
                now,
                LineKind::Lifecycle,
                event,
                format_args!(r#""lane":"{resource:?}","status":{status}"#),
            );
        }
        for it in updates {
            self.apply_update(it, read_at.unwrap_or(now));
        }
        // A starting instance learns from the list where to get its state from.
        if resource == Resource::Instances && !self.has_replica_list {
            self.poll_store();
            self.poll_feed();
        }
    }

    fn apply_update(&mut self, update: Update, read_at: Time) {
        let now = self.now;
        match update {
            Update::Config(table, json) => {
                self.apply_config(table, ConfigText::plain(json), "store")
            }
            Update::ReplicaList(list) => {
                self.directory.replace(now, list);
                self.has_replica_list = true;
                self.publish_replicas();
            }
            Update::ReplicaChanges(changes) => {
                self.directory.apply_all(now, changes);
                self.publish_replicas();
            }
            Update::Instances(members) => {
                if self.source_selector.set_members(read_at, members) {
                    self.publish_members(read_at);
                }
                self.forget_received_members();
            }
            Update::Invalid(name, reason) => self.journal.log(
                now,
                LineKind::Discovery,
                "unusable_entry",
                format_args!(r#""entry":{:?},"reason":{:?}"#, name.as_str(), reason.as_str()),
            ),
        }
    }

    /// Passes the number of instances to the forwarder. `requested_at` is the time at which their list
    /// was requested from the store.
    pub(super) fn publish_members(&mut self, requested_at: Time) {
        let now = self.now;
        let is_own = |it: &Member| it.id == self.settings.instance;
        let is_listed = self.source_selector.members().iter().any(is_own);
        let count = u32::try_from(self.source_selector.member_count()).unwrap_or(u32::MAX);
        self.metrics.instances = count;
        let source = match self.source_selector.source(now) {
            Source::Store => "store".into(),
            Source::Peer(it) => it.id,
        };
        self.journal.log(
            now,
            LineKind::Discovery,
            "instances",
            format_args!(r#""count":{count},"source":{:?}"#, source.as_str()),
        );
        let event = Event::Instances { requested_at, count, is_listed };
        self.forwarder.handle(now, event, &mut self.actions);
    }

    /// Passes the replicas to the forwarder if they changed.
    pub(super) fn publish_replicas(&mut self) {
        self.directory.tick(self.now);
        let Some(list) = self.directory.take_changed_replicas() else { return };
        self.forwarder.handle(self.now, Event::Replicas(list), &mut self.actions);
        let (usable, known) = self.forwarder.replica_counts();
        self.journal.log(
            self.now,
            LineKind::Discovery,
            "replicas",
            format_args!(r#""usable":{usable},"known":{known}"#),
        );
    }
}

/// Result of parsing the received bytes of a reply.
enum ParsedReply {
    Incomplete,
    Failed(&'static str),
    /// Status and body.
    Complete(u16, Vec<u8>),
}

fn parse_reply(call: &mut CallConn, end: ReadOutcome) -> ParsedReply {
    if call.head.is_none() {
        match ResponseHead::parse(&call.buf, &HEADERS) {
            Ok(None) if !end.is_end() => return ParsedReply::Incomplete,
            Ok(None) => return ParsedReply::Failed("the connection closed before the reply"),
            Err(_) => return ParsedReply::Failed("the head of the reply is invalid"),
            Ok(Some((head, _))) if head.status < 200 => {
                return ParsedReply::Failed("an interim response, which no call asks for");
            }
            Ok(Some((head, len))) => {
                call.buf.advance(len);
                call.body = head.framing.map(|it| BodyReader::new(it, MAX_BODY_LEN));
                call.head = Some(head);
            }
        }
    }
    let status = call.head.as_ref().map_or(0, |it| it.status);
    let progress = match &mut call.body {
        None => Ok(Progress::Complete(0)),
        Some(body) => body.read(&call.buf),
    };
    let is_complete = match progress {
        Ok(Progress::Complete(len)) => {
            call.buf.advance(len);
            true
        }
        Ok(Progress::NeedsMore) => {
            call.buf.clear();
            let ends = call.body.as_ref().is_some_and(BodyReader::ends_with_connection);
            end == ReadOutcome::Closed && ends
        }
        Err(_) => return ParsedReply::Failed("the body of the reply is invalid"),
    };
    if is_complete {
        let body = call.body.take().map(BodyReader::into_bytes).unwrap_or_default();
        return ParsedReply::Complete(status, body);
    }
    match end.is_end() {
        false => ParsedReply::Incomplete,
        true => ParsedReply::Failed("the connection closed within the reply"),
    }
}
