//! What a replica holds, and how it changes.

use rosemarybank_protocol::{
    id::SnapshotId,
    key_range::KeyRange,
    upstream::{Holding, RangeCount},
};

use super::{records::Records, spec::HoldingSpec};

/// Snapshots and ranges of one replica.
#[derive(Clone, Debug, Default)]
pub struct Holdings(Vec<HoldingSpec>);

impl Holdings {
    /// Starts with these holdings.
    #[must_use]
    pub fn new(all: Vec<HoldingSpec>) -> Holdings {
        Holdings(all)
    }

    /// What is held of a snapshot.
    #[must_use]
    pub fn of(&self, service: &str, snapshot: SnapshotId) -> Option<&HoldingSpec> {
        self.0.iter().find(|it| it.service == service && it.snapshot == snapshot)
    }

    /// Snapshots of a service.
    #[must_use]
    pub fn snapshots(&self, service: &str) -> Vec<SnapshotId> {
        self.0.iter().filter(|it| it.service == service).map(|it| it.snapshot).collect()
    }

    /// Adds a snapshot, or replaces it.
    pub fn put(&mut self, holding: HoldingSpec) {
        self.retire(&holding.service, holding.snapshot);
        self.0.push(holding);
    }

    /// Drops a snapshot.
    pub fn retire(&mut self, service: &str, snapshot: SnapshotId) {
        self.0.retain(|it| it.service != service || it.snapshot != snapshot);
    }

    /// Adds a range to the snapshot that `like` describes.
    pub fn add_range(&mut self, like: &HoldingSpec, range: KeyRange) {
        let held = self.of(&like.service, like.snapshot);
        let mut ranges = held.map(|it| it.ranges.clone()).unwrap_or_default();
        ranges.extend(range.subtract(ranges.iter().copied()));
        ranges.sort_unstable();
        self.put(HoldingSpec { ranges, ..like.clone() });
    }

    /// Drops a range of a snapshot.
    pub fn drop_range(&mut self, service: &str, snapshot: SnapshotId, range: KeyRange) {
        let holding = self.0.iter_mut().find(|it| it.service == service && it.snapshot == snapshot);
        if let Some(holding) = holding {
            holding.ranges = holding.ranges.iter().flat_map(|it| it.subtract([range])).collect();
        }
    }

    /// The holdings as a status reports them.
    #[must_use]
    pub fn report(&self) -> Vec<Holding> {
        self.0.iter().map(report).collect()
    }
}

fn report(spec: &HoldingSpec) -> Holding {
    let records = Records { service: &spec.service, snapshot: spec.snapshot, count: spec.records };
    let count = |range| RangeCount { range, records: records.count_in(range) };
    Holding {
        service: spec.service.clone(),
        snapshot: spec.snapshot,
        ranges: spec.ranges.iter().copied().map(count).collect(),
    }
}
