//! Merges the hits of shard replies.

use rosemarybank_protocol::prelude::*;

/// The best hits so far.
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
        // Pruning at four times the limit keeps the cost per hit constant and memory bounded.
        if self.hits.len() > (4 * self.limit).max(64) {
            self.prune();
        }
    }

    /// Takes the hits in answer answer_order: by score, highest first, then by key.
    pub(crate) fn finish(&mut self) -> Vec<Hit> {
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
