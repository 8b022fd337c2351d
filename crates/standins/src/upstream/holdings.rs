//! Snapshots and key ranges that a replica holds.

use rosemarybank_protocol::{
    id::SnapshotId,
    key_range::KeyRange,
    upstream::{Holding, RangeCount},
};

use super::{records::Records, spec::HoldingSpec};

/// Snapshots of one replica with the key ranges that it holds of each.
#[derive(Clone, Debug, Default)]
pub struct Holdings(Vec<HoldingSpec>);

impl Holdings {
    /// Builds the collection from its initial holdings.
    #[must_use]
    pub fn new(holdings: Vec<HoldingSpec>) -> Holdings {
        Holdings(holdings)
    }

    /// Returns the holding of a snapshot.
    #[must_use]
    pub fn get(&self, service: &str, snapshot: SnapshotId) -> Option<&HoldingSpec> {
        self.0.iter().find(|it| it.service == service && it.snapshot == snapshot)
    }

    /// Returns the snapshots of a service.
    #[must_use]
    pub fn snapshots(&self, service: &str) -> Vec<SnapshotId> {
        self.0.iter().filter(|it| it.service == service).map(|it| it.snapshot).collect()
    }

    /// Adds a snapshot, or replaces it.
    pub fn insert(&mut self, holding: HoldingSpec) {
        self.remove(&holding.service, holding.snapshot);
        self.0.push(holding);
    }

    /// Removes a snapshot.
    pub fn remove(&mut self, service: &str, snapshot: SnapshotId) {
        self.0.retain(|it| it.service != service || it.snapshot != snapshot);
    }

    /// Adds a key range to a snapshot, and the snapshot itself if it is missing.
    ///
    /// Service, snapshot and number of records are taken from `source`, its ranges are not.
    pub fn add_range(&mut self, source: &HoldingSpec, range: KeyRange) {
        let held = self.get(&source.service, source.snapshot);
        let mut ranges = held.map(|it| it.ranges.clone()).unwrap_or_default();
        ranges.extend(range.subtract(ranges.iter().copied()));
        ranges.sort_unstable();
        self.insert(HoldingSpec { ranges, ..source.clone() });
    }

    /// Removes a key range of a snapshot.
    pub fn remove_range(&mut self, service: &str, snapshot: SnapshotId, range: KeyRange) {
        let holding = self.0.iter_mut().find(|it| it.service == service && it.snapshot == snapshot);
        if let Some(holding) = holding {
            holding.ranges = holding.ranges.iter().flat_map(|it| it.subtract([range])).collect();
        }
    }

    /// Returns the holdings with their record counts, in the form that a status has.
    #[must_use]
    pub fn with_counts(&self) -> Vec<Holding> {
        self.0.iter().map(with_counts).collect()
    }
}

fn with_counts(spec: &HoldingSpec) -> Holding {
    let records = Records { service: &spec.service, snapshot: spec.snapshot, count: spec.records };
    let count_records = |range| RangeCount { range, records: records.count_in(range) };
    Holding {
        service: spec.service.clone(),
        snapshot: spec.snapshot,
        ranges: spec.ranges.iter().copied().map(count_records).collect(),
    }
}
