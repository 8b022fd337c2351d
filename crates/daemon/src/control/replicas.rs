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

use super::{links::Links, shared::Shared};
use crate::{message::upstreams_thread, telemetry::Gauge};

/// The platform's lagging list of replicas. Clones share it.
#[derive(Clone)]
pub(super) struct Replicas {
    shared: Rc<Shared>,
    list: Rc<RefCell<BTreeMap<CompactString, InstanceEntry>>>,
    source: Rc<RefCell<replica_list::Machine>>,
    links: Links,
}

impl Replicas {
    /// Nothing is known of the list yet.
    pub(super) fn new(shared: Rc<Shared>, links: Links) -> Replicas {
        let settings = replica_list::Settings::builder()
            .peers(shared.settings.peers.others.clone())
            .seed(fastrand::u64(..))
            .build();
        let source = Rc::new(RefCell::new(replica_list::Machine::new(settings)));
        Replicas { shared, list: Rc::default(), source, links }
    }

    /// Follows the list for ever.
    pub(super) async fn follow(self) {
        let mut watch = self.shared.platform.watch(INSTANCES_PREFIX);
        loop {
            match watch.next().await {
                WatchEvent::Listed(listing) => {
                    self.source_event(SourceEvent::StoreList);
                    self.list.borrow_mut().clear();
                    for object in listing.objects {
                        self.apply(&object.path, Some(&object.value));
                    }
                }
                WatchEvent::Changed(changes) => {
                    for ObjectChange { path, value, .. } in changes {
                        self.apply(&path, value.as_deref());
                    }
                }
                WatchEvent::Interrupted(err) => {
                    warn!(self.shared.log, "the list of replicas is not followed";
                        "error" => %err);
                    self.source_event(SourceEvent::StoreUnreachable);
                    continue;
                }
            }
            self.publish();
        }
    }

    /// Takes the list that a peer holds.
    pub(super) fn offer(&self, list: Vec<InstanceEntry>) {
        self.source_event(SourceEvent::PeerList(list));
    }

    /// Asks peers for their lists while the store's list was never read.
    pub(super) fn tick(&self) {
        self.source_event(SourceEvent::Tick);
    }

    /// Time at which [`Replicas::tick`] is needed next.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        self.source.borrow().next_wakeup()
    }

    fn source_event(&self, event: SourceEvent) {
        let mut out = Vec::new();
        self.source.borrow_mut().handle(self.shared.clock.now(), event, &mut out);
        for action in out {
            match action {
                Action::AskPeers(to) => to.into_iter().for_each(|it| self.links.fetch_replicas(it)),
                Action::Use(list) => self.use_peers_list(list),
            }
        }
    }

    fn use_peers_list(&self, list: Vec<InstanceEntry>) {
        info!(self.shared.log, "the list of replicas comes from a peer"; "replicas" => list.len());
        let by_path = |it: InstanceEntry| (format_compact!("{INSTANCES_PREFIX}{}", it.replica), it);
        *self.list.borrow_mut() = list.into_iter().map(by_path).collect();
        self.publish();
    }

    fn publish(&self) {
        let list = self.entries();
        self.shared.gauge(Gauge::Replicas, list.len() as u64);
        self.shared.engine_event(Event::ReplicaList(list));
        self.connect();
    }

    /// Tells the upstreams threads which connections to keep and how many it may hold.
    pub(super) fn connect(&self) {
        let shared = &self.shared;
        let target = |it: &InstanceEntry| Target {
            replica: it.replica.clone(),
            addr: it.addr,
            share: shared.share_of(shared.cap_of(&it.upstream)),
        };
        let threads = shared.upstreams.len();
        let mut targets = vec![Vec::new(); threads];
        for entry in self.list.borrow().values() {
            targets[upstreams_thread(&entry.replica, threads)].push(target(entry));
        }
        for (ring, targets) in shared.upstreams.iter().zip(targets) {
            ring.send(targets);
        }
    }

    /// The list as it was last read; empty before the first.
    pub(super) fn entries(&self) -> Vec<InstanceEntry> {
        self.list.borrow().values().cloned().collect()
    }

    /// Number of replicas in the list.
    pub(super) fn len(&self) -> usize {
        self.list.borrow().len()
    }

    fn apply(&self, path: &str, value: Option<&[u8]>) {
        let mut list = self.list.borrow_mut();
        let Some(value) = value else {
            list.remove(path);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(entry) => {
                list.insert(path.into(), entry);
            }
            Err(err) => {
                warn!(self.shared.log, "an entry of the replica list is not readable";
                    "path" => path, "error" => %err);
            }
        }
    }
}
