//! The key ranges of one snapshot and the replicas that serve each of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rosemarybank_protocol::{prelude::*, upstream::RangeCount};

use crate::{replica_choice::Pool, replicas::ReplicaKey};

/// The partition of one snapshot at one moment. The segments tile the key space.
#[derive(Clone, Debug, Default)]
pub(crate) struct Layout {
    pub(crate) snapshot: SnapshotId,
    pub(crate) segments: Vec<LayoutSegment>,
    /// Whether every key is served.
    pub(crate) is_complete: bool,
}

/// A range that every replica of it serves whole.
#[derive(Clone, Debug)]
pub(crate) struct LayoutSegment {
    pub(crate) range: KeyRange,
    /// Records in the range; `None` when the reports do not tell.
    pub(crate) records: Option<u64>,
    /// Replicas, those of the local data centre first.
    pub(crate) replicas: Vec<ReplicaKey>,
    /// Number of local replicas.
    pub(crate) local: usize,
}

/// What one usable replica holds of the snapshot.
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
    /// The layout of a service of which no snapshot is reported_counts: all keys are missing.
    pub(crate) fn unserved() -> Layout {
        Layout::build(0, std::iter::empty(), &BTreeMap::new())
    }

    /// Builds the layout from what the usable replicas hold. `reported_counts` has every count reported for
    /// the snapshot, also by replicas that are gone, so that missing ranges can be counted.
    pub(crate) fn build<'a>(
        snapshot: SnapshotId,
        holders: impl Iterator<Item = Holder<'a>> + Clone,
        reported_counts: &BTreeMap<KeyRange, u64>,
    ) -> Layout {
        let served = || holders.clone().flat_map(|it| it.ranges.iter().map(|it| it.range));
        let mut cuts: BTreeSet<u64> = served().flat_map(bounds).collect();
        cut_gaps(&mut cuts, served(), reported_counts);
        cuts.insert(0);
        let counts = RecordCounts::new(reported_counts);
        let starts: Vec<u64> = cuts.into_iter().collect();
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
                assign(&mut segments, &starts, it.range, holder.replica, is_local);
            }
        }
        let is_complete = segments.iter().all(|it| !it.replicas.is_empty());
        Layout { snapshot, segments, is_complete }
    }

    pub(crate) fn bytes(&self) -> usize {
        let keys = self.segments.iter().map(|it| it.replicas.capacity() * size_of::<ReplicaKey>());
        self.segments.capacity() * size_of::<LayoutSegment>() + keys.sum::<usize>()
    }

    /// Records that are served, as far as they are reported_counts, then keys that are served.
    pub(crate) fn served_extent(&self) -> (u64, u128) {
        let served = self.segments.iter().filter(|it| !it.replicas.is_empty());
        served.fold((0, 0), |(records, keys), it| {
            let width = u128::from(it.range.last() - it.range.first()) + 1;
            (records + it.records.unwrap_or(0), keys + width)
        })
    }
}

fn bounds(range: KeyRange) -> impl Iterator<Item = u64> {
    [Some(range.first()), range.last().checked_add(1)].into_iter().flatten()
}

/// Cuts what no replica serves at the reported_counts bounds, so that its records can be counted.
fn cut_gaps(
    cuts: &mut BTreeSet<u64>,
    served: impl Iterator<Item = KeyRange>,
    reported_counts: &BTreeMap<KeyRange, u64>,
) {
    let gaps = KeyRange::ALL.subtract(served);
    if gaps.is_empty() {
        return;
    }
    for bound in reported_counts.keys().flat_map(|it| bounds(*it)) {
        let at = gaps.partition_point(|it| it.last() < bound);
        if gaps.get(at).is_some_and(|it| it.contains(bound)) {
            cuts.insert(bound);
        }
    }
}

fn assign(
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

/// Record counts of arbitrary ranges, derived from the reported ones.
///
/// A snapshot does not change, so each reported range is a fixed distance between its bounds. The
/// count of a range is reported_counts when reported ranges connect its bounds.
struct RecordCounts {
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
            while let Some((bound, position)) = pending.pop() {
                if positions.contains_key(&bound) {
                    continue;
                }
                positions.insert(bound, (component, position));
                pending.extend(edges[&bound].iter().map(|(to, records)| (*to, position + records)));
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
