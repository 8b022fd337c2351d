//! The segments of a query and their progress.

use rosemarybank_protocol::{prelude::*, upstream::RangeCount};
use smallvec::SmallVec;

use crate::{
    interface::{AttemptId, SendKind},
    layout::Layout,
    replicas::ReplicaKey,
};

/// Progress of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentState {
    /// Not sent yet, or held back while the query is a suspect.
    Waiting,
    /// At least one attempt is in flight.
    Running,
    /// A merged reply covers it.
    Covered,
    /// No further attempt is made; the answer lists its keys as missing.
    GivenUp,
}

/// A key range that is requested from one replica at a time, hedges aside.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) range: KeyRange,
    /// Index of the layout segment that it is part of.
    pub(crate) layout_segment: u32,
    pub(crate) state: SegmentState,
    /// Why its keys are missing, unless they are covered.
    pub(crate) reason: MissingReason,
    /// Kind of the next attempt that is not a hedge.
    pub(crate) kind: SendKind,
    pub(crate) attempts: SmallVec<[AttemptId; 2]>,
    /// Replicas that were asked for these keys.
    pub(crate) tried: SmallVec<[ReplicaKey; 3]>,
    /// When the attempt in flight becomes late.
    pub(crate) late_at: Time,
}

/// Record counts of one layout segment. Partial replies split it into several segments of the
/// query.
#[derive(Clone, Copy, Debug)]
struct LayoutSegmentCounts {
    /// Records in the layout segment, if known.
    records: Option<u64>,
    /// Records that replies have covered.
    covered: u64,
    /// Segments of the query within this layout segment that are not covered.
    open_segments: u32,
}

/// All segments of a query. They are disjoint and span the key space.
#[derive(Clone, Debug, Default)]
pub(crate) struct Segments {
    list: Vec<Segment>,
    layout_counts: Vec<LayoutSegmentCounts>,
    covered: u32,
    given_up: u32,
}

/// Error for a reply that does not match the requested segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplyMismatch;

impl Segments {
    pub(crate) fn new(layout: &Layout) -> Segments {
        let list = layout.segments.iter().zip(0..).map(|(it, layout_segment)| Segment {
            range: it.range,
            layout_segment,
            state: SegmentState::Waiting,
            reason: MissingReason::Deadline,
            kind: SendKind::First,
            attempts: SmallVec::new(),
            tried: SmallVec::new(),
            late_at: Time::MAX,
        });
        let layout_counts = layout.segments.iter().map(|it| LayoutSegmentCounts {
            records: it.records,
            covered: 0,
            open_segments: 1,
        });
        Segments {
            list: list.collect(),
            layout_counts: layout_counts.collect(),
            covered: 0,
            given_up: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    pub(crate) fn get(&self, index: usize) -> &Segment {
        &self.list[index]
    }

    pub(crate) fn get_mut(&mut self, index: usize) -> &mut Segment {
        &mut self.list[index]
    }

    pub(crate) fn bytes(&self) -> usize {
        self.list.capacity() * size_of::<Segment>()
            + self.layout_counts.capacity() * size_of::<LayoutSegmentCounts>()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Segment> {
        self.list.iter()
    }

    /// Whether every segment is covered or given up.
    pub(crate) fn is_settled(&self) -> bool {
        (self.covered + self.given_up) as usize == self.list.len()
    }

    pub(crate) fn has_covered(&self) -> bool {
        self.covered > 0
    }

    pub(crate) fn has_given_up(&self) -> bool {
        self.given_up > 0
    }

    /// Whether every key is covered.
    pub(crate) fn is_covered(&self) -> bool {
        !self.list.is_empty() && self.covered as usize == self.list.len()
    }

    /// The earliest time at which an attempt in flight becomes late.
    pub(crate) fn next_late_at(&self) -> Time {
        let running = self.list.iter().filter(|it| it.state == SegmentState::Running);
        running.map(|it| it.late_at).min().unwrap_or(Time::MAX)
    }

    /// Removes and returns the attempts in flight.
    pub(crate) fn take_attempts(&mut self) -> Vec<AttemptId> {
        let mut taken = Vec::new();
        for segment in &mut self.list {
            taken.extend(segment.attempts.drain(..));
        }
        taken
    }

    /// Gives up every segment that is not covered.
    pub(crate) fn give_up_open(&mut self, reason: MissingReason) {
        for index in 0..self.list.len() {
            match self.list[index].state {
                SegmentState::Waiting | SegmentState::Running => self.give_up(index, reason),
                SegmentState::GivenUp => self.list[index].reason = reason,
                SegmentState::Covered => {}
            }
        }
    }

    /// Gives up the segments without a usable replica.
    pub(crate) fn give_up_unserved(&mut self, layout: &Layout) {
        for (index, segment) in layout.segments.iter().enumerate() {
            if segment.replicas.is_empty() {
                self.give_up(index, MissingReason::NoReplica);
            }
        }
    }

    pub(crate) fn give_up(&mut self, index: usize, reason: MissingReason) {
        let segment = &mut self.list[index];
        segment.state = SegmentState::GivenUp;
        segment.reason = reason;
        self.given_up += 1;
    }

    /// Marks the keys of a running segment that a reply covers. The remaining keys become new
    /// waiting segments, which are the last ones of the list. Returns the number of these waiting
    /// segments.
    ///
    /// # Errors
    ///
    /// Returns an error, without any change, if a range lies outside the segment or overlaps
    /// another, or if the reply covers nothing.
    pub(crate) fn cover(
        &mut self,
        index: usize,
        covered: &[RangeCount],
    ) -> Result<usize, ReplyMismatch> {
        let segment = &self.list[index];
        let whole = segment.range;
        let layout_segment = segment.layout_segment as usize;
        let uncovered = match covered {
            [] => return Err(ReplyMismatch),
            [one] if one.range == whole => Vec::new(),
            many => {
                let ranges = || many.iter().map(|it| it.range);
                if !ranges().all(|it| whole.contains_range(it)) || !KeyRange::are_disjoint(ranges())
                {
                    return Err(ReplyMismatch);
                }
                whole.subtract(ranges())
            }
        };
        let segment = &mut self.list[index];
        segment.state = SegmentState::Covered;
        self.covered += 1;
        let counts = &mut self.layout_counts[layout_segment];
        for it in covered {
            counts.covered = counts.covered.saturating_add(it.records);
        }
        counts.open_segments = counts.open_segments + uncovered.len() as u32 - 1;
        if !uncovered.is_empty() {
            // The segment keeps the first covered range, so that the segments still span the key
            // space.
            self.split(index, covered, &uncovered);
        }
        Ok(uncovered.len())
    }

    /// Coverage of the query. Segments that are not covered keep their last reason.
    pub(crate) fn coverage(&self) -> Coverage {
        let mut records_covered = 0_u64;
        let mut total = 0_u64;
        let mut exact = true;
        for counts in &self.layout_counts {
            records_covered = records_covered.saturating_add(counts.covered);
            let records = match counts.records {
                _ if counts.open_segments == 0 => counts.covered,
                Some(records) => records.max(counts.covered),
                None => {
                    exact = false;
                    counts.covered
                }
            };
            total = total.saturating_add(records);
        }
        Coverage {
            records_covered,
            records_total: if exact {
                RecordTotal::Exact(total)
            } else {
                RecordTotal::AtLeast(total)
            },
            missing: self.missing(),
        }
    }

    /// Ranges that are not covered; adjacent ranges with the same reason are joined.
    fn missing(&self) -> Vec<MissingRange> {
        let open = self.list.iter().filter(|it| it.state != SegmentState::Covered);
        let mut missing: Vec<_> =
            open.map(|it| MissingRange { range: it.range, reason: it.reason }).collect();
        missing.sort_unstable_by_key(|it| it.range);
        missing.dedup_by(|next, last| {
            let joined = KeyRange::new(last.range.first(), next.range.last());
            let adjacent = last.range.last().checked_add(1) == Some(next.range.first());
            match joined {
                Some(joined) if adjacent && next.reason == last.reason => {
                    last.range = joined;
                    true
                }
                _ => false,
            }
        });
        missing
    }

    fn split(&mut self, index: usize, covered: &[RangeCount], uncovered: &[KeyRange]) {
        let whole = self.list[index].clone();
        self.list[index].range = covered[0].range;
        let covered_ranges = covered[1..].iter().map(|it| (it.range, SegmentState::Covered));
        let open = uncovered.iter().map(|it| (*it, SegmentState::Waiting));
        for (range, state) in covered_ranges.chain(open) {
            self.list.push(Segment {
                range,
                layout_segment: whole.layout_segment,
                state,
                reason: MissingReason::Deadline,
                kind: SendKind::First,
                attempts: SmallVec::new(),
                tried: whole.tried.clone(),
                late_at: Time::MAX,
            });
        }
        self.covered += covered.len() as u32 - 1;
    }
}
