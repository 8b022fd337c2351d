//! News of the platform that instances pass on to one another.
//!
//! A follower asks with what it has, and is answered when there is more or after a while. One
//! question is open at a time, so a slow link gets the newest state and no backlog.

use std::time::Duration;

use rosemarybank_adapter::config;
use rosemarybank_coordination::source::{Member, Source};
use rosemarybank_http1::RequestHead;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Event,
    directory::{ListUpdate, UpdateOutcome},
};

use crate::platform::{
    client::State,
    frames::{self, Feed, Pull, Quarantined},
    journal::Kind,
    node::{Conn, Node},
    store::Purpose,
};

/// Longest time for which a question stays open. The answer then carries only the age of the news.
const PULL_WAIT: Duration = Duration::from_millis(400);

/// Longest time for an answer beyond that.
const PULL_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause after a member did not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// Pause after news that are older than what this instance has read itself. The other one reads the
/// store again within 700 ms.
const NEWER_AFTER: Duration = Duration::from_millis(300);

/// Path of the question.
const PATH: &str = "/feed";

/// What an instance follows.
#[derive(Debug, Default)]
pub(super) struct Following {
    /// The open question, with whom it was put to.
    asked: Option<(usize, Member)>,
    next_at: Time,
    /// What came from whom.
    has: (Option<InstanceId>, Pull),
}

impl Node {
    /// Puts the next question, or ends one that takes too long.
    pub(super) fn sweep_feed(&mut self) {
        if let Some((index, member)) = self.following.asked.clone() {
            let is_late = match self.conns.get(index) {
                Some(Conn::Store(call)) => call.until.is_some_and(|it| it <= self.now),
                _ => true,
            };
            if is_late {
                self.drop_conn(index);
                self.feed_failed(&member, "the answer did not come in time");
            }
        } else if self.now >= self.following.next_at {
            self.pull();
        }
    }

    /// Handles the end of a question without an answer.
    pub(super) fn pull_failed(&mut self, reason: &str) {
        if let Some((_, member)) = self.following.asked.clone() {
            self.feed_failed(&member, reason);
        }
    }

    /// Takes the answer to a question.
    pub(super) fn pull_replied(&mut self, index: usize, status: u16, body: &[u8], closes: bool) {
        let Some((_, member)) = self.following.asked.take() else { return };
        match frames::decode(body) {
            Ok(feed) if status == 200 => {
                let stays =
                    !closes && self.chooser.source(self.now) == Source::Peer(member.clone());
                match self.take_feed(&member, feed) {
                    UpdateOutcome::TooOld => {
                        self.feed_refused(index, &member, "its news are too old");
                    }
                    UpdateOutcome::Superseded => {
                        self.drop_conn(index);
                        self.following.next_at = self.now + NEWER_AFTER;
                    }
                    UpdateOutcome::Applied if stays => self.ask(index, member),
                    UpdateOutcome::Applied => self.drop_conn(index),
                }
            }
            Ok(_) => self.feed_refused(index, &member, &format!("status {status}")),
            Err(err) => self.feed_refused(index, &member, &err.to_string()),
        }
    }

    /// Keeps the question of a follower until there is an answer.
    pub(super) fn park_pull(&mut self, index: usize, head: &RequestHead, body: &[u8]) {
        if head.path != PATH {
            return self.write_answer(index, 404, b"", b"");
        }
        let pull: Pull = match frames::decode(body) {
            Ok(pull) => pull,
            Err(err) => {
                self.log_feed("unusable_question", &err.to_string());
                return self.write_answer(index, 400, b"", b"");
            }
        };
        self.take_quarantine(&pull.quarantined);
        if let Some(Conn::Client(client)) = self.conns.get_mut(index) {
            client.state = State::Pulling(pull);
            client.since = self.now;
            self.pulls.push(index);
        }
    }

    /// Answers the questions for which there are news, and those that have waited long enough.
    pub(super) fn release_pulls(&mut self) {
        let (seq, epoch) = (self.directory.seq(), self.epoch);
        let version = self.forwarder.table().map_or(0, |it| it.version);
        for index in std::mem::take(&mut self.pulls) {
            let Some(Conn::Client(client)) = self.conns.get(index) else { continue };
            let State::Pulling(pull) = &client.state else { continue };
            let has_all = pull.epoch == epoch
                && pull.seq == seq
                && pull.config_version >= version
                && pull.quarantine_seq == self.forwarder.quarantine_seq();
            if has_all && self.now < client.since + PULL_WAIT {
                self.pulls.push(index);
                continue;
            }
            let feed = self.feed_for(&pull.clone());
            match frames::encode(&feed) {
                Ok(body) => self.write_answer(index, 200, b"", &body),
                Err(err) => {
                    self.log_feed("feed_not_encoded", &err.to_string());
                    self.write_answer(index, 500, b"", b"");
                }
            }
        }
    }

    fn feed_for(&self, pull: &Pull) -> Feed {
        let known = (pull.epoch == self.epoch).then(|| self.directory.changes_since(pull.seq));
        let replicas = match known.flatten() {
            Some(changes) => ListUpdate::Changes(changes),
            None => ListUpdate::All(self.directory.stored_replicas()),
        };
        let version = self.forwarder.table().map_or(0, |it| it.version);
        let is_newer = pull.config_version < version;
        Feed {
            epoch: self.epoch,
            seq: self.directory.seq(),
            age: self.chooser.age(self.now).filter(|_| self.has_list),
            replicas,
            config: is_newer.then(|| self.config_text.clone()),
            quarantine_seq: self.forwarder.quarantine_seq(),
            quarantined: self.forwarder.quarantined(self.now).collect(),
        }
    }

    fn pull(&mut self) {
        let Source::Peer(member) = self.chooser.source(self.now) else { return };
        match self.open_call(member.addr, Purpose::Feed) {
            Ok(index) => self.ask(index, member),
            Err(err) => self.feed_failed(&member, &err.to_string()),
        }
    }

    fn ask(&mut self, index: usize, member: Member) {
        let version = self.forwarder.table().map_or(0, |it| it.version);
        if self.following.has.0.as_ref() != Some(&member.id) {
            self.following.has = (Some(member.id.clone()), Pull::default());
        }
        self.following.has.1.config_version = version;
        let mut pull = self.following.has.1.clone();
        pull.quarantined = self.forwarder.quarantined(self.now).collect();
        let body = match frames::encode(&pull) {
            Ok(body) => body,
            Err(err) => return self.feed_refused(index, &member, &err.to_string()),
        };
        let head = format!(
            "POST {PATH} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            member.addr,
            body.len()
        );
        let message = [head.as_bytes(), &body].concat();
        self.following.asked = Some((index, member));
        self.begin_call(index, &message, PULL_WAIT + PULL_TIMEOUT);
    }

    /// Takes news of another instance.
    fn take_feed(&mut self, member: &Member, feed: Feed) -> UpdateOutcome {
        let now = self.now;
        if let Some(text) = feed.config {
            self.take_config_text(text, &member.id);
        }
        self.take_quarantine(&feed.quarantined);
        let has = &mut self.following.has.1;
        has.quarantine_seq = feed.quarantine_seq;
        let fits = matches!(feed.replicas, ListUpdate::All(_)) || has.epoch == feed.epoch;
        if !fits {
            return UpdateOutcome::TooOld;
        }
        let mirrored = self.directory.apply_update(now, feed.age, feed.replicas);
        if mirrored != UpdateOutcome::Applied {
            return mirrored;
        }
        has.epoch = feed.epoch;
        has.seq = feed.seq;
        self.has_list = true;
        if let Some(age) = feed.age {
            self.chooser.record_read(now.saturating_sub(age));
        }
        self.publish_replicas();
        UpdateOutcome::Applied
    }

    fn take_quarantine(&mut self, quarantined: &[Quarantined]) {
        for (fingerprint, left) in quarantined {
            let event = Event::PeerQuarantined(*fingerprint, *left);
            self.forwarder.handle(self.now, event, &mut self.actions);
        }
    }

    fn take_config_text(&mut self, text: Vec<u8>, from: &str) {
        let decoded = serde_json::from_slice(&text).map_err(|it| it.to_string());
        match decoded.and_then(|it| config::decode(&it).map_err(|it| it.to_string())) {
            Ok(table) => self.take_config(Box::new(table), text, from),
            Err(err) => self.log_feed("unusable_config", &err),
        }
    }

    /// Puts a configuration into force unless it is older than the one that is.
    pub(super) fn take_config(
        &mut self,
        table: Box<rosemarybank_query::forward::RouteTable>,
        text: Vec<u8>,
        from: &str,
    ) {
        let before = self.forwarder.table().map_or(0, |it| it.version);
        let (version, routes) = (table.version, table.routes().count());
        if version <= before {
            return;
        }
        self.config_text = text;
        self.journal.line(
            self.now,
            Kind::Belief,
            "config",
            format_args!(
                r#""before":{before},"version":{version},"routes":{routes},"from":{from:?}"#
            ),
        );
        self.forwarder.handle(self.now, Event::Configure(table), &mut self.actions);
    }

    fn feed_refused(&mut self, index: usize, member: &Member, reason: &str) {
        self.drop_conn(index);
        self.feed_failed(member, reason);
    }

    fn feed_failed(&mut self, member: &Member, reason: &str) {
        self.following.asked = None;
        self.following.next_at = self.now + PAUSE;
        self.chooser.record_failure(self.now, &member.id);
        let reason = format!("{}: {reason}", member.id);
        self.log_feed("source_lost", &reason);
    }

    fn log_feed(&mut self, event: &str, reason: &str) {
        self.journal.line(self.now, Kind::Life, event, format_args!(r#""reason":{reason:?}"#));
    }
}
