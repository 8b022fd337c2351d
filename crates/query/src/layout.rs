//! Layout of a snapshot: its key ranges and the replicas that serve each of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rosemarybank_protocol::{prelude::*, upstream::RangeCount};

use crate::{replica_choice::Pool, replicas::ReplicaKey};

/// Layout of one snapshot at one point in time. The segments are disjoint and span the key space.
#[derive(Clone, Debug, Default)]
pub(crate) struct Layout {
    pub(crate) snapshot: SnapshotId,
    pub(crate) segments: Vec<LayoutSegment>,
    /// Whether every segment has a usable replica.
    pub(crate) is_complete: bool,
}

/// A key range and the replicas that serve all of it.
#[derive(Clone, Debug)]
pub(crate) struct LayoutSegment {
    pub(crate) range: KeyRange,
    /// Number of records in the range; `None` if it does not follow from the reports.
    pub(crate) records: Option<u64>,
    /// Usable replicas, those of the local data centre first.
    pub(crate) replicas: Vec<ReplicaKey>,
    /// Number of local replicas.
    pub(crate) local: usize,
}

/// A usable replica and the ranges of the snapshot that it holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Holder<'a> {
    pub(crate) replica: ReplicaKey,
    pub(crate) is_local: bool,
    pub(crate) ranges: &'a [RangeCount],
}

impl LayoutSegment {
    pub(crate) fn pool(&self) -> Pool<'_> {
        Pool { replicas: &self.replicas, local: self.local }
    }
}

impl Layout {
    /// The layout of a service without a known snapshot: one segment without replicas.
    pub(crate) fn unserved() -> Layout {
        Layout::build(0, std::iter::empty(), &BTreeMap::new())
    }

    /// Builds the layout from the ranges that usable replicas hold. `reported_counts` has every
    /// record count reported for the snapshot, including those of removed replicas, so that the
    /// records of missing ranges can be counted.
    pub(crate) fn build<'a>(
        snapshot: SnapshotId,
        holders: impl Iterator<Item = Holder<'a>> + Clone,
        reported_counts: &BTreeMap<KeyRange, u64>,
    ) -> Layout {
        let served = || holders.clone().flat_map(|it| it.ranges.iter().map(|it| it.range));
        let mut cut_points: BTreeSet<u64> = served().flat_map(boundaries).collect();
        cut_unserved_ranges(&mut cut_points, served(), reported_counts);
        cut_points.insert(0);
        let counts = RecordCounts::new(reported_counts);
        let starts: Vec<u64> = cut_points.into_iter().collect();
        let ends = starts.iter().skip(1).map(|it| it - 1).chain([u64::MAX]);
        let mut segments: Vec<_> = starts
            .iter()
            .zip(ends)
            .filter_map(|(first, last)| KeyRange::new(*first, last))
            .map(|range| LayoutSegment {
                range,
                records: counts.count(range),
                replicas: Vec::new(),
                local: 0,
            })
            .collect();
        for (is_local, holder) in holders.map(|it| (it.is_local, it)) {
            for it in holder.ranges {
                assign_replica(&mut segments, &starts, it.range, holder.replica, is_local);
            }
        }
        let is_complete = segments.iter().all(|it| !it.replicas.is_empty());
        Layout { snapshot, segments, is_complete }
    }

    pub(crate) fn bytes(&self) -> usize {
        let keys = self.segments.iter().map(|it| it.replicas.capacity() * size_of::<ReplicaKey>());
        self.segments.capacity() * size_of::<LayoutSegment>() + keys.sum::<usize>()
    }

    /// Number of served records, as far as known, and width of the served key ranges.
    pub(crate) fn served_extent(&self) -> (u64, u128) {
        let served = self.segments.iter().filter(|it| !it.replicas.is_empty());
        served.fold((0, 0), |(records, keys), it| {
            let width = u128::from(it.range.last() - it.range.first()) + 1;
            (records + it.records.unwrap_or(0), keys + width)
        })
    }
}

/// The first key of a range and of the range that follows it.
fn boundaries(range: KeyRange) -> impl Iterator<Item = u64> {
    [Some(range.first()), range.last().checked_add(1)].into_iter().flatten()
}

/// Adds the boundaries of reported ranges that lie in ranges without a replica, so that the records
/// of these ranges can be counted.
fn cut_unserved_ranges(
    cut_points: &mut BTreeSet<u64>,
    served: impl Iterator<Item = KeyRange>,
    reported_counts: &BTreeMap<KeyRange, u64>,
) {
    let gaps = KeyRange::ALL.subtract(served);
    if gaps.is_empty() {
        return;
    }
    for boundary in reported_counts.keys().flat_map(|it| boundaries(*it)) {
        let at = gaps.partition_point(|it| it.last() < boundary);
        if gaps.get(at).is_some_and(|it| it.contains(boundary)) {
            cut_points.insert(boundary);
        }
    }
}

/// Adds a replica to every segment within `range`.
fn assign_replica(
    segments: &mut [LayoutSegment],
    starts: &[u64],
    range: KeyRange,
    replica: ReplicaKey,
    is_local: bool,
) {
    let from = starts.partition_point(|it| *it < range.first());
    for segment in &mut segments[from..] {
        if segment.range.last() > range.last() {
            return;
        }
        if segment.replicas.contains(&replica) {
            continue;
        }
        segment.replicas.push(replica);
        if is_local {
            let last = segment.replicas.len() - 1;
            segment.replicas.swap(segment.local, last);
            segment.local += 1;
        }
    }
}

/// Derives record counts of arbitrary ranges from the reported counts.
///
/// A snapshot is immutable, so each reported range fixes the number of records between its two
/// boundaries. The boundaries are the nodes of a graph, and the reported ranges its edges. The
/// count of a range is known if a path connects its boundaries.
struct RecordCounts {
    /// For each boundary its connected component and its record position relative to the start of
    /// the component.
    positions: HashMap<u128, (usize, i128)>,
}

impl RecordCounts {
    fn new(reported_counts: &BTreeMap<KeyRange, u64>) -> RecordCounts {
        let mut edges: BTreeMap<u128, Vec<(u128, i128)>> = BTreeMap::new();
        for (range, records) in reported_counts {
            let (from, to) = (u128::from(range.first()), u128::from(range.last()) + 1);
            edges.entry(from).or_default().push((to, i128::from(*records)));
            edges.entry(to).or_default().push((from, -i128::from(*records)));
        }
        let mut positions = HashMap::with_capacity(edges.len());
        for (component, start) in edges.keys().enumerate() {
            let mut pending = vec![(*start, 0)];
            while let Some((boundary, position)) = pending.pop() {
                if positions.contains_key(&boundary) {
                    continue;
                }
                positions.insert(boundary, (component, position));
                pending
                    .extend(edges[&boundary].iter().map(|(to, records)| (*to, position + records)));
            }
        }
        RecordCounts { positions }
    }

    fn count(&self, range: KeyRange) -> Option<u64> {
        let from = self.positions.get(&u128::from(range.first()))?;
        let to = self.positions.get(&(u128::from(range.last()) + 1))?;
        if from.0 != to.0 {
            return None;
        }
        u64::try_from(to.1 - from.1).ok()
    }
}
