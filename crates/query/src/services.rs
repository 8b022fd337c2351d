//! Services, their snapshots and the layouts built from the reports of replicas.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use rosemarybank_protocol::{prelude::*, upstream::RangeCount};
use slotmap::SlotMap;

use crate::{
    layout::{Holder, Layout},
    replicas::{LOCAL_DATA_CENTRE, Replica, ReplicaKey},
};

/// Index of a service in the table.
pub(crate) type ServiceIndex = u32;

/// Record counts kept per snapshot. The limit keeps a replica that reports new ranges all the time
/// from filling the memory.
const MAX_REPORTED_RANGES: usize = 16_384;

/// One snapshot of one service.
#[derive(Debug, Default)]
struct Snapshot {
    holders: Vec<ReplicaKey>,
    /// All reported record counts, including those of removed replicas.
    reported_counts: BTreeMap<KeyRange, u64>,
    /// Cached layout; `None` after a change of the holders.
    layout: Option<Arc<Layout>>,
}

#[derive(Debug)]
struct Service {
    name: ServiceId,
    snapshots: BTreeMap<SnapshotId, Snapshot>,
    /// Cached layout for new queries; `None` after a change of any snapshot.
    chosen_layout: Option<Arc<Layout>>,
}

/// All services, by index and name.
#[derive(Debug, Default)]
pub(crate) struct Services {
    list: Vec<Service>,
    by_name: HashMap<ServiceId, ServiceIndex>,
}

impl Services {
    /// Index of a service, which is added if it is new.
    pub(crate) fn index_or_insert(&mut self, name: &ServiceId) -> ServiceIndex {
        if let Some(index) = self.find(name) {
            return index;
        }
        let index = self.list.len() as ServiceIndex;
        let snapshots = BTreeMap::new();
        self.list.push(Service { name: name.clone(), snapshots, chosen_layout: None });
        self.by_name.insert(name.clone(), index);
        index
    }

    pub(crate) fn find(&self, name: &str) -> Option<ServiceIndex> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn name(&self, service: ServiceIndex) -> &ServiceId {
        &self.list[service as usize].name
    }

    /// Pairs of a snapshot of the service and a replica that holds it.
    pub(crate) fn holders(
        &self,
        service: ServiceIndex,
    ) -> impl Iterator<Item = (SnapshotId, ReplicaKey)> {
        let snapshots = self.list[service as usize].snapshots.iter();
        snapshots.flat_map(|(id, it)| it.holders.iter().map(|key| (*id, *key)))
    }

    /// Layout of the newest snapshot with a complete layout, or else of the snapshot with the most
    /// served records.
    pub(crate) fn choose_layout(
        &mut self,
        service: ServiceIndex,
        replicas: &SlotMap<ReplicaKey, Replica>,
    ) -> Option<Arc<Layout>> {
        let service_state = &mut self.list[service as usize];
        if service_state.chosen_layout.is_some() {
            return service_state.chosen_layout.clone();
        }
        let mut best: Option<Arc<Layout>> = None;
        for (id, snapshot) in service_state.snapshots.iter_mut().rev() {
            let layout = snapshot.layout(service, *id, replicas);
            if layout.is_complete {
                best = Some(layout);
                break;
            }
            if best.as_ref().is_none_or(|it| it.served_extent() < layout.served_extent()) {
                best = Some(layout);
            }
        }
        service_state.chosen_layout.clone_from(&best);
        best
    }

    pub(crate) fn add_holder(
        &mut self,
        service: ServiceIndex,
        snapshot: SnapshotId,
        key: ReplicaKey,
        ranges: &[RangeCount],
    ) {
        let service = &mut self.list[service as usize];
        let snapshot = service.snapshots.entry(snapshot).or_default();
        if !snapshot.holders.contains(&key) {
            snapshot.holders.push(key);
        }
        for it in ranges {
            if snapshot.reported_counts.len() < MAX_REPORTED_RANGES {
                snapshot.reported_counts.insert(it.range, it.records);
            }
        }
        snapshot.layout = None;
        service.chosen_layout = None;
    }

    pub(crate) fn remove_holder(&mut self, service: ServiceIndex, id: SnapshotId, key: ReplicaKey) {
        self.invalidate(service, id);
        let snapshots = &mut self.list[service as usize].snapshots;
        let Some(snapshot) = snapshots.get_mut(&id) else { return };
        snapshot.holders.retain(|it| *it != key);
        if snapshot.holders.is_empty() {
            snapshots.remove(&id);
        }
    }

    /// Discards the cached layout of a snapshot.
    pub(crate) fn invalidate(&mut self, service: ServiceIndex, id: SnapshotId) {
        let service = &mut self.list[service as usize];
        service.chosen_layout = None;
        if let Some(snapshot) = service.snapshots.get_mut(&id) {
            snapshot.layout = None;
        }
    }

    /// Estimated memory of the snapshots and layouts.
    pub(crate) fn bytes(&self) -> usize {
        let snapshots = self.list.iter().flat_map(|it| it.snapshots.values());
        let bytes = snapshots.map(|it| {
            it.holders.capacity() * size_of::<ReplicaKey>()
                + it.reported_counts.len() * size_of::<(KeyRange, u64)>()
                + it.layout.as_ref().map_or(0, |it| it.bytes())
        });
        bytes.sum()
    }
}

impl Snapshot {
    fn layout(
        &mut self,
        service: ServiceIndex,
        id: SnapshotId,
        replicas: &SlotMap<ReplicaKey, Replica>,
    ) -> Arc<Layout> {
        if let Some(layout) = &self.layout {
            return layout.clone();
        }
        let holders = self.holders.iter().filter_map(|key| {
            let replica = replicas.get(*key).filter(|it| it.takes_work())?;
            let ranges = replica.holding(service, id)?;
            Some(Holder {
                replica: *key,
                is_local: replica.data_centre == LOCAL_DATA_CENTRE,
                ranges,
            })
        });
        let layout = Arc::new(Layout::build(id, holders, &self.reported_counts));
        self.layout = Some(layout.clone());
        layout
    }
}
