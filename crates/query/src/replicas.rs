//! Table of replicas with their snapshots, states and health.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use rosemarybank_protocol::{
    platform::{InstanceEntry, InstanceState},
    prelude::*,
    upstream::{Holding, RangeCount, ReplicaState, ReplicaStatus},
};
use slotmap::SlotMap;

use crate::{
    health::Health,
    layout::Layout,
    replica_choice::Pool,
    services::{ServiceIndex, Services},
};

slotmap::new_key_type! {
    /// Key of a replica in the table.
    pub(crate) struct ReplicaKey;
}

/// Index of an upstream in the table.
pub(crate) type UpstreamIndex = u32;

/// Index of a data centre in the table.
pub(crate) type DataCentreIndex = u32;

/// Index of the data centre of this instance.
pub(crate) const LOCAL_DATA_CENTRE: DataCentreIndex = 0;

/// Time for which a replica is kept after it disappeared from the list. The list lags and may
/// contain the same incarnation again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// A replica of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) upstream: UpstreamIndex,
    pub(crate) addr: SocketAddr,
    pub(crate) data_centre: DataCentreIndex,
    pub(crate) incarnation: Option<u64>,
    /// Last reported state; `None` before the first status.
    pub(crate) state: Option<ReplicaState>,
    /// Since when the list does not contain the replica.
    pub(crate) unlisted_since: Option<Time>,
    /// Whether it gets no new work until it reports a new incarnation.
    pub(crate) draining: bool,
    /// Whether only the list has marked it as draining, before its first status. Its incarnation
    /// was not known then, so a restart cannot be detected, and a later list entry with the state
    /// live ends the drain.
    drained_by_list: bool,
    pub(crate) health: Health,
    /// Services and snapshots that it holds, with their ranges.
    holdings: Vec<(ServiceIndex, SnapshotId, Vec<RangeCount>)>,
}

impl Replica {
    /// Whether it may get new work.
    pub(crate) fn takes_work(&self) -> bool {
        self.unlisted_since.is_none() && !self.draining && self.state != Some(ReplicaState::Cold)
    }

    /// Whether it has reported that it holds the snapshot.
    pub(crate) fn holds(&self, service: ServiceIndex, snapshot: SnapshotId) -> bool {
        self.holding(service, snapshot).is_some()
    }

    pub(crate) fn holding(
        &self,
        service: ServiceIndex,
        snapshot: SnapshotId,
    ) -> Option<&[RangeCount]> {
        let found = self.holdings.iter().find(|it| it.0 == service && it.1 == snapshot);
        found.map(|it| it.2.as_slice())
    }
}

/// Replicas of an upstream, those of the local data centre first.
#[derive(Debug, Default)]
struct UpstreamMembers {
    replicas: Vec<ReplicaKey>,
    /// Number of local replicas.
    local: usize,
}

/// All replicas, indexed by key, by id, by service and snapshot, and by upstream.
#[derive(Debug)]
pub(crate) struct Replicas {
    data_centres: Vec<DataCentre>,
    map: SlotMap<ReplicaKey, Replica>,
    by_id: HashMap<ReplicaId, ReplicaKey>,
    pub(crate) services: Services,
    upstreams: Vec<UpstreamMembers>,
    upstream_by_name: HashMap<UpstreamId, UpstreamIndex>,
}

impl UpstreamMembers {
    fn insert(&mut self, key: ReplicaKey, data_centre: DataCentreIndex) {
        if data_centre == LOCAL_DATA_CENTRE {
            self.replicas.insert(self.local, key);
            self.local += 1;
        } else {
            self.replicas.push(key);
        }
    }

    fn remove(&mut self, key: ReplicaKey) {
        let Some(at) = self.replicas.iter().position(|it| *it == key) else { return };
        self.replicas.remove(at);
        self.local -= usize::from(at < self.local);
    }
}

impl Replicas {
    pub(crate) fn new(data_centre: DataCentre) -> Replicas {
        Replicas {
            data_centres: vec![data_centre],
            map: SlotMap::with_key(),
            by_id: HashMap::new(),
            services: Services::default(),
            upstreams: Vec::new(),
            upstream_by_name: HashMap::new(),
        }
    }

    pub(crate) fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.map.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: ReplicaKey) -> Option<&mut Replica> {
        self.map.get_mut(key)
    }

    pub(crate) fn find(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    /// Index of an upstream, which is added if it is new.
    pub(crate) fn upstream_index(&mut self, name: &UpstreamId) -> UpstreamIndex {
        if let Some(index) = self.upstream_by_name.get(name) {
            return *index;
        }
        let index = self.upstreams.len() as UpstreamIndex;
        self.upstreams.push(UpstreamMembers::default());
        self.upstream_by_name.insert(name.clone(), index);
        index
    }

    pub(crate) fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    pub(crate) fn data_centre_count(&self) -> usize {
        self.data_centres.len()
    }

    pub(crate) fn data_centre_name(&self, index: DataCentreIndex) -> &DataCentre {
        &self.data_centres[index as usize]
    }

    /// Replicas of an upstream.
    pub(crate) fn members(&self, upstream: UpstreamIndex) -> Pool<'_> {
        let members = &self.upstreams[upstream as usize];
        Pool { replicas: &members.replicas, local: members.local }
    }

    /// Applies the platform's replica list. Returns the replicas that are new.
    pub(crate) fn apply_list(&mut self, now: Time, list: &[InstanceEntry]) -> Vec<ReplicaKey> {
        // An empty list is ignored: it is more likely a fault of the platform than a stop of all
        // upstreams.
        if list.is_empty() {
            return Vec::new();
        }
        let mut added = Vec::new();
        let mut listed = HashMap::with_capacity(list.len());
        for entry in list {
            let key = match self.find(&entry.replica) {
                Some(key) => key,
                None => {
                    let key = self.insert(entry);
                    added.push(key);
                    key
                }
            };
            listed.insert(key, ());
            self.update_entry(key, entry);
        }
        let gone: Vec<_> = self.map.keys().filter(|key| !listed.contains_key(key)).collect();
        for key in gone {
            self.mark_unlisted(now, key);
        }
        added
    }

    /// Applies a polled status.
    pub(crate) fn apply_status(&mut self, now: Time, status: &ReplicaStatus) {
        let Some(key) = self.find(&status.replica) else { return };
        let replica = &mut self.map[key];
        let took_work = replica.takes_work();
        if replica.incarnation.is_some_and(|it| it != status.incarnation) {
            replica.draining = false;
            replica.drained_by_list = false;
            replica.health.reset();
        }
        replica.incarnation = Some(status.incarnation);
        replica.state = Some(status.state);
        replica.draining |= status.state == ReplicaState::Draining;
        replica.drained_by_list &= status.state != ReplicaState::Draining;
        replica.health.record_load(now, status.load);
        replica.health.record_poll();
        let takes_work = replica.takes_work();
        self.apply_holdings(key, &status.holdings);
        if took_work != takes_work {
            self.invalidate(key);
        }
    }

    /// Stops new work for a replica until it reports a new incarnation.
    pub(crate) fn drain(&mut self, key: ReplicaKey) {
        let Some(replica) = self.map.get_mut(key) else { return };
        replica.drained_by_list = false;
        if !replica.draining {
            replica.draining = true;
            self.invalidate(key);
        }
    }

    /// Removes a snapshot from the holdings of a replica.
    pub(crate) fn drop_snapshot(
        &mut self,
        key: ReplicaKey,
        service: ServiceIndex,
        snapshot: SnapshotId,
    ) {
        let Some(replica) = self.map.get_mut(key) else { return };
        let before = replica.holdings.len();
        replica.holdings.retain(|it| (it.0, it.1) != (service, snapshot));
        if replica.holdings.len() < before {
            self.services.remove_holder(service, snapshot, key);
        }
    }

    /// Layout of the newest snapshot with a complete layout, or else of the snapshot with the most
    /// served records.
    pub(crate) fn choose_layout(&mut self, service: ServiceIndex) -> Option<Arc<Layout>> {
        self.services.choose_layout(service, &self.map)
    }

    /// Estimated memory of the replicas and layouts.
    pub(crate) fn bytes(&self) -> usize {
        let ranges = self.map.values().flat_map(|it| &it.holdings);
        let ranges = ranges.map(|it| it.2.capacity() * size_of::<RangeCount>());
        self.map.capacity() * size_of::<Replica>()
            + self.by_id.capacity() * size_of::<(ReplicaId, ReplicaKey)>()
            + ranges.sum::<usize>()
            + self.services.bytes()
    }

    fn insert(&mut self, entry: &InstanceEntry) -> ReplicaKey {
        let upstream = self.upstream_index(&entry.upstream);
        let data_centre = self.data_centre_index(&entry.data_centre);
        let key = self.map.insert(Replica {
            id: entry.replica.clone(),
            upstream,
            addr: entry.addr,
            data_centre,
            incarnation: None,
            state: None,
            unlisted_since: None,
            draining: false,
            drained_by_list: false,
            health: Health::default(),
            holdings: Vec::new(),
        });
        self.by_id.insert(entry.replica.clone(), key);
        self.upstreams[upstream as usize].insert(key, data_centre);
        key
    }

    /// Index of a data centre, which is added if it is new.
    fn data_centre_index(&mut self, name: &DataCentre) -> DataCentreIndex {
        let found = self.data_centres.iter().position(|it| it == name);
        let index = found.unwrap_or_else(|| {
            self.data_centres.push(name.clone());
            self.data_centres.len() - 1
        });
        index as DataCentreIndex
    }

    fn update_entry(&mut self, key: ReplicaKey, entry: &InstanceEntry) {
        let upstream = self.upstream_index(&entry.upstream);
        let data_centre = self.data_centre_index(&entry.data_centre);
        let replica = &mut self.map[key];
        let took_work = replica.takes_work();
        let old = (replica.upstream, replica.data_centre);
        (replica.upstream, replica.data_centre) = (upstream, data_centre);
        replica.addr = entry.addr;
        replica.unlisted_since = None;
        if entry.state == InstanceState::Leaving {
            replica.drained_by_list |= !replica.draining && replica.incarnation.is_none();
            replica.draining = true;
        } else if replica.drained_by_list {
            replica.draining = false;
            replica.drained_by_list = false;
        }
        let takes_work = replica.takes_work();
        if old != (upstream, data_centre) {
            self.upstreams[old.0 as usize].remove(key);
            self.upstreams[upstream as usize].insert(key, data_centre);
        }
        if old != (upstream, data_centre) || took_work != takes_work {
            self.invalidate(key);
        }
    }

    /// Records that the list does not contain a replica, and removes it after the retention time.
    fn mark_unlisted(&mut self, now: Time, key: ReplicaKey) {
        let replica = &mut self.map[key];
        match replica.unlisted_since {
            None => {
                replica.unlisted_since = Some(now);
                self.invalidate(key);
            }
            Some(since) if since + UNLISTED_RETENTION < now && replica.health.in_flight == 0 => {
                self.remove(key);
            }
            Some(_) => {}
        }
    }

    fn remove(&mut self, key: ReplicaKey) {
        let Some(replica) = self.map.remove(key) else { return };
        self.by_id.remove(&replica.id);
        self.upstreams[replica.upstream as usize].remove(key);
        for (service, snapshot, _) in &replica.holdings {
            self.services.remove_holder(*service, *snapshot, key);
        }
    }

    fn apply_holdings(&mut self, key: ReplicaKey, reported: &[Holding]) {
        if self.has_same_holdings(key, reported) {
            return;
        }
        let old = std::mem::take(&mut self.map[key].holdings);
        let mut new = Vec::with_capacity(reported.len());
        for it in reported {
            let ranges = || it.ranges.iter().map(|it| it.range);
            // A holding with overlapping ranges is ignored, because its records would be counted
            // twice.
            if !it.ranges.is_empty() && KeyRange::are_disjoint(ranges()) {
                new.push((
                    self.services.index_or_insert(&it.service),
                    it.snapshot,
                    it.ranges.clone(),
                ));
            }
        }
        for (service, snapshot, _) in &old {
            if !new.iter().any(|it| (it.0, it.1) == (*service, *snapshot)) {
                self.services.remove_holder(*service, *snapshot, key);
            }
        }
        for (service, snapshot, ranges) in &new {
            self.services.add_holder(*service, *snapshot, key, ranges);
        }
        self.map[key].holdings = new;
    }

    /// Whether a status reports the same holdings as the last one. This is the common case.
    fn has_same_holdings(&self, key: ReplicaKey, reported: &[Holding]) -> bool {
        let held = &self.map[key].holdings;
        held.len() == reported.len()
            && held.iter().zip(reported).all(|(held, it)| {
                held.1 == it.snapshot
                    && held.2 == it.ranges
                    && *self.services.name(held.0) == it.service
            })
    }

    /// Discards the layouts that contain a replica, after it became usable or unusable.
    fn invalidate(&mut self, key: ReplicaKey) {
        for (service, snapshot, _) in &self.map[key].holdings {
            self.services.invalidate(*service, *snapshot);
        }
    }
}
