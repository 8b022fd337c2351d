//! Calls to the platform's store, and the connections for calls.

use std::time::Duration;

use rosemarybank_adapter::{Call, HEADERS, calls};
use rosemarybank_coordination::source::Source;
use rosemarybank_http1::{BodyReader, Progress, ResponseHead};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::Event;

use crate::platform::{
    journal::Kind,
    lanes::{Lane, News, Subject},
    node::{Conn, Node},
    socket::{ReadEnd, Socket, WriteEnd},
};

/// Longest reply of the store in bytes: a page is about a megabyte.
const MAX_BODY_LEN: usize = 8 << 20;

/// A lane with its connection.
#[derive(Debug)]
pub(super) struct StoreLane {
    pub(super) lane: Lane,
    conn: Option<usize>,
    /// Start of the last call.
    called_at: Time,
}

impl StoreLane {
    pub(super) fn new(lane: Lane) -> StoreLane {
        StoreLane { lane, conn: None, called_at: Time::ZERO }
    }
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The store, for a lane.
    Lane(usize),
    /// Another instance.
    Feed,
}

/// A connection to the store or to another instance.
#[derive(Debug)]
pub(super) struct StoreCall {
    pub(super) socket: Socket,
    pub(super) purpose: Purpose,
    /// Time after which the call counts as lost; `None` between calls.
    pub(super) until: Option<Time>,
    buf: Vec<u8>,
    head: Option<ResponseHead>,
    body: Option<BodyReader>,
}

impl Node {
    /// Makes the calls that are due and ends those that took too long.
    pub(super) fn sweep_store(&mut self) {
        let reads = self.chooser.should_read_store(self.now);
        for lane in 0..self.lanes.len() {
            let it = &mut self.lanes[lane].lane;
            match (it.subject(), reads) {
                (Subject::Instances, _) => {}
                (_, true) => it.resume(self.now),
                (_, false) => it.suspend(),
            }
            let index = self.lanes[lane].conn;
            let until = index.and_then(|it| match self.conns.get(it) {
                Some(Conn::Store(call)) => call.until,
                _ => None,
            });
            match (index, until) {
                (Some(index), Some(until)) if self.now >= until => {
                    self.store_failed(index, "the reply did not come in time");
                }
                (_, Some(_)) => {}
                (_, None) => self.next_store_call(lane),
            }
        }
    }

    /// Reads and writes what is possible.
    pub(super) fn store_event(&mut self, index: usize) {
        let Some(Conn::Store(call)) = self.conns.get_mut(index) else { return };
        if !call.socket.is_flushed() {
            match call.socket.is_connected() {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return self.store_failed(index, "the connection could not be opened"),
            }
            if matches!(call.socket.flush(), WriteEnd::Broken(_)) {
                return self.store_failed(index, "the connection broke");
            }
        }
        let end = call.socket.read(&mut call.buf, &mut self.scratch, MAX_BODY_LEN);
        match parse(call, end) {
            Parsed::Wait => {}
            Parsed::Broken(reason) => self.store_failed(index, reason),
            Parsed::Reply(status, body) => {
                let Some(Conn::Store(call)) = self.conns.get_mut(index) else { return };
                call.until = None;
                let purpose = call.purpose;
                let closes =
                    call.head.take().is_none_or(|it| it.closes_connection) || !call.buf.is_empty();
                let closes = closes || end != ReadEnd::Drained;
                let Purpose::Lane(lane) = purpose else {
                    return self.pull_replied(index, status, &body, closes);
                };
                if closes {
                    self.lanes[lane].conn = None;
                    self.drop_conn(index);
                }
                self.store_replied(lane, status, &body);
            }
        }
    }

    /// Removes the entry of this instance, so that the others take over its part of the budgets.
    pub(super) fn deregister_instance(&mut self) {
        let call = Call::remove(calls::INSTANCES, &self.settings.instance);
        let lane = self.lanes.len() - 1;
        if let Some(index) = self.lanes[lane].conn.take() {
            self.drop_conn(index);
        }
        self.call_store(lane, &call, Duration::from_secs(1));
    }

    fn next_store_call(&mut self, lane: usize) {
        let it = &mut self.lanes[lane].lane;
        // A process that stops is no longer registered, but serves until its end.
        if self.stop.is_asked() && it.subject() == Subject::Instances {
            return;
        }
        if let Some(timed) = it.next_call(self.now) {
            self.lanes[lane].called_at = self.now;
            self.call_store(lane, &timed.call, timed.timeout);
        }
    }

    fn call_store(&mut self, lane: usize, call: &Call, timeout: Duration) {
        self.metrics.store_calls += 1;
        let addr = self.settings.store_addr;
        let message = call.render(&addr.to_string());
        if let Some(index) = self.lanes[lane].conn {
            return self.begin_call(index, &message, timeout);
        }
        match self.open_call(addr, Purpose::Lane(lane)) {
            Ok(index) => {
                self.lanes[lane].conn = Some(index);
                self.begin_call(index, &message, timeout);
            }
            Err(err) => self.lane_failed(lane, &err.to_string()),
        }
    }

    /// Opens a connection for calls.
    pub(super) fn open_call(
        &mut self,
        addr: std::net::SocketAddr,
        purpose: Purpose,
    ) -> std::io::Result<usize> {
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        let socket = Socket::connect(addr, self.poll.registry(), index)?;
        entry.insert(Conn::Store(StoreCall {
            socket,
            purpose,
            until: None,
            buf: Vec::new(),
            head: None,
            body: None,
        }));
        Ok(index)
    }

    /// Begins a call on a connection that is open or about to be.
    pub(super) fn begin_call(&mut self, index: usize, message: &[u8], timeout: Duration) {
        let Some(Conn::Store(call)) = self.conns.get_mut(index) else { return };
        call.socket.out().extend_from_slice(message);
        call.until = Some(self.now + timeout);
        self.store_event(index);
    }

    fn store_failed(&mut self, index: usize, reason: &str) {
        let Some(Conn::Store(call)) = self.conns.get(index) else { return };
        let (purpose, was_calling) = (call.purpose, call.until.is_some());
        self.drop_conn(index);
        let Purpose::Lane(lane) = purpose else { return self.pull_failed(reason) };
        self.lanes[lane].conn = None;
        // The store may close a connection between calls; the next call opens another.
        if was_calling {
            self.lane_failed(lane, reason);
        }
    }

    fn lane_failed(&mut self, lane: usize, reason: &str) {
        self.metrics.store_failures += 1;
        let lane = &mut self.lanes[lane].lane;
        let was_reachable = lane.is_reachable();
        lane.failed(self.now);
        let subject = lane.subject();
        if subject == Subject::Replicas {
            self.directory.set_store_unreachable();
        }
        if was_reachable {
            self.journal.line(
                self.now,
                Kind::Life,
                "store_lost",
                format_args!(r#""lane":"{subject:?}","reason":{reason:?}"#),
            );
        }
    }

    fn store_replied(&mut self, lane: usize, status: u16, body: &[u8]) {
        let now = self.now;
        let called_at = self.lanes[lane].called_at;
        let lane = &mut self.lanes[lane].lane;
        let was_reachable = lane.is_reachable();
        let news = lane.replied(now, status, body);
        let (subject, is_reachable) = (lane.subject(), lane.is_reachable());
        if subject == Subject::Replicas {
            match is_reachable {
                true => {
                    self.directory.set_store_reachable(now, called_at);
                    self.chooser.record_read(called_at);
                }
                false => self.directory.set_store_unreachable(),
            }
        }
        if was_reachable != is_reachable {
            let event = if is_reachable { "store_regained" } else { "store_lost" };
            self.journal.line(
                now,
                Kind::Life,
                event,
                format_args!(r#""lane":"{subject:?}","status":{status}"#),
            );
        }
        for it in news {
            self.take_news(it, called_at);
        }
    }

    fn take_news(&mut self, news: News, asked_at: Time) {
        let now = self.now;
        match news {
            News::Config(table, text) => self.take_config(table, text, "store"),
            News::ReplicaList(list) => {
                self.directory.replace(now, list);
                self.has_list = true;
                self.publish_replicas();
            }
            News::ReplicaChanges(changes) => {
                self.directory.apply_all(now, changes);
                self.publish_replicas();
            }
            News::Instances(members) => {
                let is_listed = members.iter().any(|it| it.id == self.settings.instance);
                self.chooser.set_members(members);
                let count = u32::try_from(self.chooser.member_count()).unwrap_or(u32::MAX);
                self.metrics.instances = count;
                let source = match self.chooser.source(now) {
                    Source::Store => "store".into(),
                    Source::Peer(it) => it.id,
                };
                self.journal.line(
                    now,
                    Kind::Belief,
                    "instances",
                    format_args!(r#""count":{count},"source":{:?}"#, source.as_str()),
                );
                let event = Event::Instances { requested_at: asked_at, count, is_listed };
                self.forwarder.handle(now, event, &mut self.actions);
            }
            News::Unusable(what, reason) => self.journal.line(
                now,
                Kind::Belief,
                "unusable_entry",
                format_args!(r#""entry":{:?},"reason":{:?}"#, what.as_str(), reason.as_str()),
            ),
        }
    }

    /// Tells the forwarder which replicas there are, if that changed.
    pub(super) fn publish_replicas(&mut self) {
        self.directory.tick(self.now);
        let Some(list) = self.directory.take_changed_replicas() else { return };
        self.forwarder.handle(self.now, Event::Replicas(list), &mut self.actions);
        let (usable, all) = self.forwarder.replica_counts();
        self.journal.line(
            self.now,
            Kind::Belief,
            "replicas",
            format_args!(r#""usable":{usable},"known":{all}"#),
        );
    }
}

enum Parsed {
    Wait,
    Broken(&'static str),
    Reply(u16, Vec<u8>),
}

fn parse(call: &mut StoreCall, end: ReadEnd) -> Parsed {
    let ended = match end {
        ReadEnd::Drained => None,
        ReadEnd::Closed | ReadEnd::Broken => Some(()),
    };
    if call.head.is_none() {
        match ResponseHead::parse(&call.buf, &HEADERS) {
            Ok(None) if ended.is_none() => return Parsed::Wait,
            Ok(None) => return Parsed::Broken("the connection ended before the reply"),
            Err(_) => return Parsed::Broken("the reply is not HTTP/1.1"),
            Ok(Some((head, len))) => {
                call.buf.drain(..len);
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
            call.buf.drain(..len);
            true
        }
        Ok(Progress::NeedsMore) => {
            call.buf.clear();
            let ends = call.body.as_ref().is_some_and(BodyReader::ends_with_connection);
            end == ReadEnd::Closed && ends
        }
        Err(_) => return Parsed::Broken("the body of the reply can't be read"),
    };
    match (is_complete, ended) {
        (true, _) => {
            let body = call.body.take().map(BodyReader::into_bytes).unwrap_or_default();
            Parsed::Reply(status, body)
        }
        (false, None) => Parsed::Wait,
        (false, Some(_)) => Parsed::Broken("the connection ended within the reply"),
    }
}
