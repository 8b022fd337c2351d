//! Merges the hits of shard replies.

use rosemarybank_protocol::prelude::*;

/// Collects hits and keeps the best ones.
#[derive(Clone, Debug)]
pub(crate) struct HitMerger {
    hits: Vec<Hit>,
    limit: usize,
}

impl HitMerger {
    pub(crate) fn new(limit: u32) -> HitMerger {
        HitMerger { hits: Vec::new(), limit: limit as usize }
    }

    pub(crate) fn add(&mut self, hits: Vec<Hit>) {
        self.hits.extend(hits);
        // Pruning only at four times the limit keeps the cost per hit constant and the memory
        // bounded.
        if self.hits.len() > (4 * self.limit).max(64) {
            self.prune();
        }
    }

    /// Returns the best hits, ordered by descending score, then by key.
    pub(crate) fn take_best_hits(&mut self) -> Vec<Hit> {
        self.prune();
        self.hits.sort_unstable_by_key(answer_order);
        std::mem::take(&mut self.hits)
    }

    pub(crate) fn clear(&mut self) {
        self.hits.clear();
    }

    pub(crate) fn bytes(&self) -> usize {
        self.hits.capacity() * size_of::<Hit>()
    }

    fn prune(&mut self) {
        if self.hits.len() > self.limit {
            if self.limit > 0 {
                self.hits.select_nth_unstable_by_key(self.limit - 1, answer_order);
            }
            self.hits.truncate(self.limit);
        }
    }
}

fn answer_order(hit: &Hit) -> (std::cmp::Reverse<u32>, u64) {
    (std::cmp::Reverse(hit.score), hit.key)
}
