//! Searches of the records that a replica holds.

use rosemarybank_protocol::{
    search::Hit,
    upstream::{RangeCount, ShardRequest, UpstreamError, UpstreamErrorKind},
};

use super::{records::Records, replica::Replica};

/// Result of a search.
pub struct SearchResult {
    /// Searched key ranges with their record counts.
    pub covered: Vec<RangeCount>,
    /// Best hits, by descending score and then by ascending key.
    pub hits: Vec<Hit>,
}

/// Searches the part of the requested key range that the replica holds.
///
/// # Errors
///
/// Fails when the replica does not hold the snapshot or any part of the range.
pub fn search(replica: &Replica, req: &ShardRequest) -> Result<SearchResult, UpstreamError> {
    let Some(holding) = replica.holding(&req.service, req.snapshot) else {
        let snapshots = replica.snapshots(&req.service);
        return Err(UpstreamError { error: UpstreamErrorKind::SnapshotRetired, snapshots });
    };
    let records = Records { service: &req.service, snapshot: req.snapshot, count: holding.records };
    let ranges = holding.ranges.iter().filter_map(|it| it.intersect(req.range));
    let covered: Vec<_> =
        ranges.map(|range| RangeCount { range, records: records.count_in(range) }).collect();
    if covered.is_empty() {
        let snapshots = replica.snapshots(&req.service);
        return Err(UpstreamError { error: UpstreamErrorKind::WrongRange, snapshots });
    }
    let per_range = covered.iter().map(|it| records.search(it.range, &req.query, req.limit));
    let mut hits: Vec<_> = per_range.flatten().collect();
    hits.sort_unstable_by_key(|hit| (u32::MAX - hit.score, hit.key));
    hits.truncate(req.limit as usize);
    Ok(SearchResult { covered, hits })
}
