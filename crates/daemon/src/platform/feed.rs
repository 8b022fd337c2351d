//! The feed, by which instances pass the configuration, replicas and quarantine on to one another.
//!
//! A follower sends a long poll that states what it has, and [`is_answer_due`] decides when it gets a
//! response. It has one request in flight at a time, so a slow link gets the latest state rather than
//! a backlog.

use std::time::Duration;

use rosemarybank_adapter::config;
use rosemarybank_coordination::{
    feed::{FeedPosition, LONG_POLL_WAIT, SourceState, is_answer_due},
    source::{Member, Source},
};
use rosemarybank_http1::RequestHead;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    CrashSign, Event,
    directory::{ListUpdate, UpdateOutcome},
};

use crate::platform::{
    client::ClientState,
    config_text::{self, ConfigText},
    event_loop::{Conn, EventLoop},
    feed_codec::{self, FeedRequest, FeedResponse, MAX_LEN, Quarantined},
    journal::LineKind,
    store::CallPurpose,
};

/// Timeout of a request, in addition to [`LONG_POLL_WAIT`].
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay after a response that is older than what this instance has read from the store itself. The
/// source reads the store again within 700 ms.
const OLDER_DATA_DELAY: Duration = Duration::from_millis(300);

/// Path of feed requests. It names the format of the messages: an instance of another version answers
/// 404 and is passed over.
const FEED_PATH: &str = "/feed/4";

/// The follower side of the feed.
#[derive(Debug, Default)]
pub(super) struct FeedClient {
    /// Connection and source of the request in flight, and when it was sent.
    in_flight: Option<(usize, Member, Time)>,
    next_request_at: Time,
    /// The last source and what was received from it.
    received: (Option<InstanceId>, FeedPosition),
}

impl EventLoop {
    /// Sends the next request if it is due, or fails one that timed out.
    pub(super) fn poll_feed(&mut self) {
        if let Some((index, member, _)) = self.feed_client.in_flight.clone() {
            let has_timed_out = match self.conns.get(index) {
                Some(Conn::Call(call)) => call.deadline.is_some_and(|it| it <= self.now),
                _ => true,
            };
            if has_timed_out {
                self.close_conn(index);
                self.feed_failed(&member, "the response timed out");
            }
        } else if self.now >= self.feed_client.next_request_at {
            self.start_feed_request();
        }
    }

    /// Handles a request that failed without a response.
    pub(super) fn feed_call_failed(&mut self, reason: &str) {
        if let Some((_, member, _)) = self.feed_client.in_flight.clone() {
            self.feed_failed(&member, reason);
        }
    }

    /// Handles a response.
    pub(super) fn feed_replied(&mut self, index: usize, status: u16, body: &[u8], closes: bool) {
        let Some((_, member, sent_at)) = self.feed_client.in_flight.take() else { return };
        // This process may have been paused since the response arrived.
        let lateness = self.now.saturating_sub(sent_at + LONG_POLL_WAIT);
        match feed_codec::decode::<FeedResponse>(body) {
            Ok(mut feed) if status == 200 => {
                // Without a configuration, this instance would take any version, also one that has long
                // been replaced.
                let is_current =
                    feed.age.is_some_and(|it| it <= self.source_selector.max_source_age());
                if !is_current && self.forwarder.table().is_none() {
                    feed.config = None;
                }
                feed.age = feed.age.map(|it| it.saturating_add(lateness));
                feed.members_age = feed.members_age.map(|it| it.saturating_add(lateness));
                let keeps_source = !closes
                    && self.source_selector.source(self.now) == Source::Peer(member.clone());
                match self.apply_feed(&member, feed) {
                    UpdateOutcome::TooOld => {
                        self.drop_feed_source(index, &member, "its data is too old");
                        self.source_selector.record_stale(self.now, &member.id);
                    }
                    UpdateOutcome::Superseded => {
                        self.close_conn(index);
                        self.feed_client.next_request_at = self.now + OLDER_DATA_DELAY;
                    }
                    UpdateOutcome::Applied if keeps_source => self.send_feed_request(index, member),
                    UpdateOutcome::Applied => self.close_conn(index),
                }
            }
            Ok(_) => self.drop_feed_source(index, &member, &format!("status {status}")),
            Err(err) => self.drop_feed_source(index, &member, &err.to_string()),
        }
    }

    /// Holds the request of a follower until there are changes.
    pub(super) fn hold_feed_request(&mut self, index: usize, head: &RequestHead, body: &[u8]) {
        if head.path != FEED_PATH {
            return self.write_answer(index, 404, b"", b"");
        }
        let request: FeedRequest = match feed_codec::decode(body) {
            Ok(request) => request,
            Err(err) => {
                self.log_feed("unusable_question", &err.to_string());
                return self.write_answer(index, 400, b"", b"");
            }
        };
        self.apply_quarantine(&request.quarantined, &request.crash_signs);
        if let Some(Conn::Client(client)) = self.conns.get_mut(index) {
            client.state = ClientState::AwaitingFeed(request);
            client.state_since = self.now;
            self.held_feed_requests.push(index);
        }
    }

    /// Answers the held requests for which there are changes or whose wait is over.
    pub(super) fn answer_feed_requests(&mut self) {
        let state = self.feed_state();
        for index in std::mem::take(&mut self.held_feed_requests) {
            let Some(Conn::Client(client)) = self.conns.get(index) else { continue };
            let ClientState::AwaitingFeed(request) = &client.state else { continue };
            if !is_answer_due(self.now, client.state_since, &request.position, state) {
                self.held_feed_requests.push(index);
                continue;
            }
            let feed = self.build_feed_response(&request.clone());
            match feed_codec::encode(&feed) {
                Ok(body) => self.write_answer(index, 200, b"", &body),
                Err(err) => {
                    self.log_feed("feed_not_encoded", &err.to_string());
                    self.write_answer(index, 500, b"", b"");
                }
            }
        }
    }

    /// State of this instance as a source.
    fn feed_state(&self) -> SourceState {
        match self.has_replica_list && self.forwarder.table().is_some() {
            true => self.source_selector.source_state(self.now, self.feed_position()),
            false => SourceState::Waiting,
        }
    }

    fn feed_position(&self) -> FeedPosition {
        FeedPosition {
            epoch: self.epoch,
            change_seq: self.directory.seq(),
            config_version: self.forwarder.table().map_or(0, |it| it.version),
            quarantine_seq: self.forwarder.quarantine_seq(),
            read_seq: self.source_selector.read_seq(),
            list_seq: self.source_selector.list_seq(),
            members_seq: self.source_selector.members_seq(),
        }
    }

    fn build_feed_response(&mut self, request: &FeedRequest) -> FeedResponse {
        let (position, known) = (self.feed_position(), request.position);
        let changes =
            (known.epoch == self.epoch).then(|| self.directory.changes_since(known.change_seq));
        let replicas = match changes.flatten() {
            Some(changes) => ListUpdate::Changes(changes),
            None => ListUpdate::All(self.directory.stored_replicas()),
        };
        let config = match known.config_version < position.config_version {
            true => self.compressed_config(),
            false => None,
        };
        FeedResponse {
            position,
            age: self.source_selector.age(self.now).filter(|_| self.has_replica_list),
            replicas,
            config,
            quarantined: self.forwarder.quarantined(self.now).collect(),
            crash_signs: self.forwarder.crash_signs(self.now).collect(),
            members_age: self.source_selector.members_age(self.now),
            members: known
                .lacks_members(&position)
                .then(|| self.source_selector.members().to_vec()),
        }
    }

    /// Returns the compressed text of the active configuration.
    fn compressed_config(&mut self) -> Option<Vec<u8>> {
        match self.config_text.compressed() {
            Ok(text) => Some(text.to_vec()),
            Err(err) => {
                self.log_feed("config_not_compressed", &err.to_string());
                None
            }
        }
    }

    fn start_feed_request(&mut self) {
        let Some(member) = self.source_selector.instance_to_follow(self.now).cloned() else {
            return;
        };
        match self.open_call_conn(member.addr, CallPurpose::Feed) {
            Ok(index) => self.send_feed_request(index, member),
            Err(err) => self.feed_failed(&member, &err.to_string()),
        }
    }

    fn send_feed_request(&mut self, index: usize, member: Member) {
        let version = self.forwarder.table().map_or(0, |it| it.version);
        if self.feed_client.received.0.as_ref() != Some(&member.id) {
            self.feed_client.received = (Some(member.id.clone()), FeedPosition::default());
        }
        let position = FeedPosition { config_version: version, ..self.feed_client.received.1 };
        let quarantined = self.forwarder.quarantined(self.now).collect();
        let crash_signs = self.forwarder.crash_signs(self.now).collect();
        let request = FeedRequest { position, quarantined, crash_signs };
        let body = match feed_codec::encode(&request) {
            Ok(body) => body,
            Err(err) => return self.drop_feed_source(index, &member, &err.to_string()),
        };
        let head = format!(
            "POST {FEED_PATH} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            member.addr,
            body.len()
        );
        let message = [head.as_bytes(), &body].concat();
        self.feed_client.in_flight = Some((index, member, self.now));
        self.send_call(index, &message, LONG_POLL_WAIT + RESPONSE_TIMEOUT);
    }

    /// Applies a response of another instance.
    fn apply_feed(&mut self, member: &Member, mut feed: FeedResponse) -> UpdateOutcome {
        let now = self.now;
        if let Some(text) = feed.config.take() {
            self.apply_compressed_config(text, &member.id);
        }
        self.apply_quarantine(&feed.quarantined, &feed.crash_signs);
        self.apply_received_members(&mut feed);
        let received = &mut self.feed_client.received.1;
        received.quarantine_seq = feed.position.quarantine_seq;
        received.read_seq = feed.position.read_seq;
        let is_applicable =
            matches!(feed.replicas, ListUpdate::All(_)) || received.epoch == feed.position.epoch;
        if !is_applicable {
            return UpdateOutcome::TooOld;
        }
        let outcome = self.directory.apply_update(now, feed.age, feed.replicas);
        if outcome != UpdateOutcome::Applied {
            return outcome;
        }
        received.epoch = feed.position.epoch;
        received.change_seq = feed.position.change_seq;
        self.has_replica_list = true;
        if let Some(age) = feed.age {
            self.source_selector.record_read(now.saturating_sub(age));
        }
        self.publish_replicas();
        UpdateOutcome::Applied
    }

    /// Applies the list of the instances of a response.
    fn apply_received_members(&mut self, feed: &mut FeedResponse) {
        let Some(age) = feed.members_age else { return };
        let (requested_at, members) = (self.now.saturating_sub(age), feed.members.take());
        let received = &mut self.feed_client.received.1;
        if !self.source_selector.receive_members(received, &feed.position, requested_at, members) {
            return;
        }
        self.publish_members(requested_at);
        let members = self.source_selector.members();
        for it in &mut self.pollers {
            it.poller.instances_received(self.now, requested_at, members);
        }
    }

    /// Records that the list of the instances is not the one received from the source.
    pub(super) fn forget_received_members(&mut self) {
        self.feed_client.received.1.members_seq = 0;
    }

    /// Applies what another instance knows of requests that crash replicas.
    fn apply_quarantine(&mut self, quarantined: &[Quarantined], crash_signs: &[CrashSign]) {
        for it in crash_signs {
            self.forwarder.handle(self.now, Event::PeerCrash(*it), &mut self.actions);
        }
        for (fingerprint, remaining) in quarantined {
            let event = Event::PeerQuarantined(*fingerprint, *remaining);
            self.forwarder.handle(self.now, event, &mut self.actions);
        }
    }

    fn apply_compressed_config(&mut self, text: Vec<u8>, from: &str) {
        let json = config_text::decompress(&text, MAX_LEN).map_err(|it| it.to_string());
        let decoded = json.and_then(|it| serde_json::from_slice(&it).map_err(|it| it.to_string()));
        match decoded.and_then(|it| config::decode(&it).map_err(|it| it.to_string())) {
            Ok(table) => {
                self.apply_config(Box::new(table), ConfigText::from_compressed(text), from)
            }
            Err(err) => self.log_feed("unusable_config", &err),
        }
    }

    /// Activates a configuration if it is newer than the active one.
    pub(super) fn apply_config(
        &mut self,
        table: Box<rosemarybank_query::forward::RouteTable>,
        text: ConfigText,
        from: &str,
    ) {
        let before = self.forwarder.table().map_or(0, |it| it.version);
        let (version, routes) = (table.version, table.routes().count());
        if version <= before {
            return;
        }
        self.config_text = text;
        self.journal.log(
            self.now,
            LineKind::Discovery,
            "config",
            format_args!(
                r#""before":{before},"version":{version},"routes":{routes},"from":{from:?}"#
            ),
        );
        self.forwarder.handle(self.now, Event::Configure(table), &mut self.actions);
        self.set_memory_limits();
    }

    fn drop_feed_source(&mut self, index: usize, member: &Member, reason: &str) {
        self.close_conn(index);
        self.feed_failed(member, reason);
    }

    fn feed_failed(&mut self, member: &Member, reason: &str) {
        self.feed_client.in_flight = None;
        self.feed_client.next_request_at = self.now + RETRY_DELAY;
        self.source_selector.record_failure(self.now, &member.id);
        let reason = format!("{}: {reason}", member.id);
        self.log_feed("source_lost", &reason);
    }

    fn log_feed(&mut self, event: &str, reason: &str) {
        self.journal.log(
            self.now,
            LineKind::Lifecycle,
            event,
            format_args!(r#""reason":{reason:?}"#),
        );
    }
}
