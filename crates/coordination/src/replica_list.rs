//! Source of the replica list: the store, or peers until the first successful read of the store.

use std::{net::SocketAddr, time::Duration};

use rosemarybank_protocol::{platform::InstanceEntry, prelude::*};
use serde::{Deserialize, Serialize};

use crate::hash;

/// Settings of the replica list machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Addresses of the other configured instances.
    pub peers: Vec<SocketAddr>,
    /// Seed for the selection of the first peer to query, so that instances that start together query
    /// different peers.
    pub seed: u64,
    /// Number of peers queried per round.
    #[builder(default = 3)]
    pub peers_per_round: usize,
    /// Interval between rounds while no list is known.
    #[builder(default = Duration::from_millis(500))]
    pub retry_interval: Duration,
    /// Interval between rounds once a peer has sent a list. A list of 3,900 replicas takes about
    /// 300 KB, so three lists per minute use 15 KB/s of the 22 KB/s available to an instance.
    #[builder(default = Duration::from_secs(60))]
    pub refresh_interval: Duration,
}

/// Input to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// The list was read from the store.
    StoreList,
    /// The list could not be read from the store.
    StoreUnreachable,
    /// A peer returned the list it holds.
    PeerList(Vec<InstanceEntry>),
    /// The time returned by `next_wakeup` has been reached.
    Tick,
}

/// Command for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Request the lists of these peers.
    AskPeers(Vec<SocketAddr>),
    /// Use this list until the list is read from the store.
    Use(Vec<InstanceEntry>),
}

/// Decides when to query peers for the replica list and which list to use.
///
/// A list from the store is never replaced by one from a peer. Among lists from peers the longest is
/// used, because lists have no revision and a missing replica reduces coverage, while a stale entry
/// only causes a failed connection.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::replica_list::{Action, Event, Machine, Settings};
/// use rosemarybank_protocol::prelude::Time;
///
/// let peer = "127.0.0.1:7002".parse().unwrap();
/// let mut machine = Machine::new(Settings::builder().peers(vec![peer]).seed(1).build());
/// let mut out = Vec::new();
/// machine.handle(Time::ZERO, Event::StoreUnreachable, &mut out);
/// assert_eq!(out, [Action::AskPeers(vec![peer])]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    settings: Settings,
    source: ListSource,
    /// Index of the peer to query next.
    next_peer: usize,
    /// Time of the next round of queries, or `None` while peers are not needed.
    next_round: Option<Time>,
}

/// Origin of the list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum ListSource {
    None,
    Peer { len: usize },
    Store,
}

impl Machine {
    /// Creates the machine of a starting instance.
    #[must_use]
    pub fn new(settings: Settings) -> Machine {
        let peers = settings.peers.len().max(1) as u64;
        let next_peer = (hash::mix(settings.seed) % peers) as usize;
        Machine { settings, source: ListSource::None, next_peer, next_round: None }
    }

    /// Returns the time at which the driver must send the next [`Event::Tick`], if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        self.next_round
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::StoreList => {
                self.source = ListSource::Store;
                self.next_round = None;
            }
            Event::StoreUnreachable if self.source != ListSource::Store => {
                self.next_round.get_or_insert(now);
            }
            Event::PeerList(list) => self.on_peer_list(now, list, out),
            Event::StoreUnreachable | Event::Tick => {}
        }
        self.ask_peers_if_due(now, out);
    }

    fn on_peer_list(&mut self, now: Time, list: Vec<InstanceEntry>, out: &mut Vec<Action>) {
        let held = match self.source {
            ListSource::Store => return,
            ListSource::Peer { len } => len,
            ListSource::None => 0,
        };
        // Without a round no list was requested, and the store may still respond first.
        if self.next_round.is_none() || list.len() <= held {
            return;
        }
        self.source = ListSource::Peer { len: list.len() };
        self.next_round = Some(now + self.settings.refresh_interval);
        out.push(Action::Use(list));
    }

    fn ask_peers_if_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let peers = &self.settings.peers;
        if peers.is_empty() || self.next_round.is_none_or(|at| now < at) {
            return;
        }
        let count = self.settings.peers_per_round.clamp(1, peers.len());
        let ask = (0..count).map(|it| peers[(self.next_peer + it) % peers.len()]).collect();
        self.next_peer = (self.next_peer + count) % peers.len();
        let interval = match self.source {
            ListSource::None => self.settings.retry_interval,
            ListSource::Peer { .. } | ListSource::Store => self.settings.refresh_interval,
        };
        self.next_round = Some(now + interval);
        out.push(Action::AskPeers(ask));
    }
}
