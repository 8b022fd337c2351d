use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use compact_str::{CompactString, format_compact};
use rosemarybank_coordination::replica_list::{self, Action, Event as SourceEvent};
use rosemarybank_protocol::{
    id::Time,
    platform::{INSTANCES_PREFIX, InstanceEntry},
};
use rosemarybank_query::interface::Event;
use rosemarybank_store::{ObjectChange, WatchEvent};
use rosemarybank_transport::upstream::Target;
use slog::{info, warn};

use super::{peer_links::PeerLinks, shared::Shared};
use crate::{message::upstreams_thread_index, telemetry::Gauge};

/// The platform's list of replicas, which lags behind the actual replicas. Clones share the list.
#[derive(Clone)]
pub(super) struct ReplicaList {
    shared: Rc<Shared>,
    /// Entries by their path in the store.
    entries: Rc<RefCell<BTreeMap<CompactString, InstanceEntry>>>,
    /// Decides whether the list comes from the store or from peers.
    source: Rc<RefCell<replica_list::Machine>>,
    links: PeerLinks,
}

impl ReplicaList {
    /// Creates an empty list.
    pub(super) fn new(shared: Rc<Shared>, links: PeerLinks) -> ReplicaList {
        let settings = replica_list::Settings::builder()
            .peers(shared.settings.peers.others.clone())
            .seed(fastrand::u64(..))
            .build();
        let source = Rc::new(RefCell::new(replica_list::Machine::new(settings)));
        ReplicaList { shared, entries: Rc::default(), source, links }
    }

    /// Watches the list in the store and publishes its changes. Never returns.
    pub(super) async fn follow(self) {
        let mut watch = self.shared.platform.watch(INSTANCES_PREFIX);
        loop {
            match watch.next().await {
                WatchEvent::Listed(listing) => {
                    self.handle_source_event(SourceEvent::StoreList);
                    self.entries.borrow_mut().clear();
                    for object in listing.objects {
                        self.apply_change(&object.path, Some(&object.value));
                    }
                }
                WatchEvent::Changed(changes) => {
                    for ObjectChange { path, value, .. } in changes {
                        self.apply_change(&path, value.as_deref());
                    }
                }
                WatchEvent::Interrupted(err) => {
                    warn!(self.shared.log, "the list of replicas is not followed";
                        "error" => %err);
                    self.handle_source_event(SourceEvent::StoreUnreachable);
                    continue;
                }
            }
            self.publish();
        }
    }

    /// Handles the list of a peer.
    pub(super) fn handle_peer_list(&self, list: Vec<InstanceEntry>) {
        self.handle_source_event(SourceEvent::PeerList(list));
    }

    /// Asks peers for their lists if that is due, which it is only until the store's list is read.
    pub(super) fn tick(&self) {
        self.handle_source_event(SourceEvent::Tick);
    }

    /// Returns the time at which [`ReplicaList::tick`] is due.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        self.source.borrow().next_wakeup()
    }

    fn handle_source_event(&self, event: SourceEvent) {
        let mut out = Vec::new();
        self.source.borrow_mut().handle(self.shared.clock.now(), event, &mut out);
        for action in out {
            match action {
                Action::AskPeers(peers) => {
                    peers.into_iter().for_each(|it| self.links.fetch_replica_list(it));
                }
                Action::Use(list) => self.use_peer_list(list),
            }
        }
    }

    fn use_peer_list(&self, list: Vec<InstanceEntry>) {
        info!(self.shared.log, "using the replica list of a peer"; "replicas" => list.len());
        let by_path = |it: InstanceEntry| (format_compact!("{INSTANCES_PREFIX}{}", it.replica), it);
        *self.entries.borrow_mut() = list.into_iter().map(by_path).collect();
        self.publish();
    }

    /// Sends the list to the engine and its targets to the upstreams threads.
    fn publish(&self) {
        let list = self.entries();
        self.shared.record_gauge(Gauge::Replicas, list.len() as u64);
        self.shared.send_engine_event(Event::ReplicaList(list));
        self.publish_targets();
    }

    /// Tells each upstreams thread which replicas to connect to, and the connection limit of each.
    pub(super) fn publish_targets(&self) {
        let shared = &self.shared;
        let target = |it: &InstanceEntry| Target {
            replica: it.replica.clone(),
            addr: it.addr,
            max_connections: shared.connection_share(shared.connection_limit(&it.upstream)),
        };
        let threads = shared.upstreams.len();
        let mut targets = vec![Vec::new(); threads];
        for entry in self.entries.borrow().values() {
            targets[upstreams_thread_index(&entry.replica, threads)].push(target(entry));
        }
        for (ring, targets) in shared.upstreams.iter().zip(targets) {
            ring.send(targets);
        }
    }

    /// Returns the entries as last read; empty before the first read.
    pub(super) fn entries(&self) -> Vec<InstanceEntry> {
        self.entries.borrow().values().cloned().collect()
    }

    /// Returns the number of replicas in the list.
    pub(super) fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Stores the entry at `path`, or removes it when `value` is `None`.
    fn apply_change(&self, path: &str, value: Option<&[u8]>) {
        let mut entries = self.entries.borrow_mut();
        let Some(value) = value else {
            entries.remove(path);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(entry) => {
                entries.insert(path.into(), entry);
            }
            Err(err) => {
                warn!(self.shared.log, "cannot parse an entry of the replica list";
                    "path" => path, "error" => %err);
            }
        }
    }
}
