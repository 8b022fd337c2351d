use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use compact_str::{CompactString, format_compact};
use rosemarybank_platform::{ObjectChange, WatchEvent};
use rosemarybank_protocol::platform::{INSTANCES_PREFIX, InstanceEntry};
use rosemarybank_query::interface::Event;
use rosemarybank_transport::upstream::Target;
use slog::{info, warn};

use super::shared::Shared;
use crate::{message::upstreams_thread, telemetry::Gauge};

/// The platform's lagging list of replicas. Clones share it.
#[derive(Clone)]
pub(super) struct Replicas {
    shared: Rc<Shared>,
    list: Rc<RefCell<BTreeMap<CompactString, InstanceEntry>>>,
    knowledge: Rc<Cell<Knowledge>>,
}

/// Where the list comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Knowledge {
    /// The store has not answered yet.
    #[default]
    Awaited,
    /// The store can't be reached, and no list is known.
    Missing,
    /// A list of the store or of a peer is known.
    Known,
}

impl Replicas {
    /// Nothing is known of the list yet.
    pub(super) fn new(shared: Rc<Shared>) -> Replicas {
        Replicas { shared, list: Rc::default(), knowledge: Rc::default() }
    }

    /// Follows the list for ever.
    pub(super) async fn follow(self) {
        let mut watch = self.shared.platform.watch(INSTANCES_PREFIX);
        loop {
            match watch.next().await {
                WatchEvent::Listed(listing) => {
                    self.knowledge.set(Knowledge::Known);
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
                    info!(self.shared.log, "the list of replicas is not followed";
                        "error" => %err);
                    if self.knowledge.get() == Knowledge::Awaited {
                        self.knowledge.set(Knowledge::Missing);
                    }
                    continue;
                }
            }
            self.publish();
        }
    }

    /// Whether a list is known, so that requests can be sent to replicas.
    pub(super) fn is_known(&self) -> bool {
        self.knowledge.get() == Knowledge::Known
    }

    /// Whether a peer must be asked for the list.
    pub(super) fn is_missing(&self) -> bool {
        self.knowledge.get() == Knowledge::Missing
    }

    /// Takes the list of a peer while the store can't be reached. The store's own list, whenever it
    /// arrives, replaces it.
    pub(super) fn adopt(&self, entries: Vec<InstanceEntry>) {
        // A peer without a list answers with an empty one.
        if !self.is_missing() || entries.is_empty() {
            return;
        }
        info!(self.shared.log, "the list of replicas is that of a peer";
            "replicas" => entries.len());
        self.knowledge.set(Knowledge::Known);
        let path = |it: &InstanceEntry| format_compact!("{INSTANCES_PREFIX}{}", it.replica);
        *self.list.borrow_mut() = entries.into_iter().map(|it| (path(&it), it)).collect();
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
