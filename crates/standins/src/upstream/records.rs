//! Generated records. The contents of a record depend only on its service, snapshot and key, so
//! that a test can compute the expected response.

use compact_str::{CompactString, format_compact};
use rosemarybank_protocol::{id::SnapshotId, key_range::KeyRange, search::Hit};

/// Words of the records' texts. Each text has one word of each list.
const WORDS: [[&str; 8]; 3] = [
    ["cherry", "birch", "olive", "walnut", "maple", "pear", "teak", "plum"],
    ["ladle", "spoon", "scoop", "spatula", "fork", "bowl", "tray", "cup"],
    ["small", "large", "blank", "carved", "oiled", "raw", "curved", "flat"],
];

/// Records of one snapshot of one service, with `count` keys spread evenly over the key space.
#[derive(Clone, Copy, Debug)]
pub struct Records<'a> {
    /// Service that the records belong to.
    pub service: &'a str,
    /// Snapshot that the records belong to.
    pub snapshot: SnapshotId,
    /// Number of records in the whole key space.
    pub count: u64,
}

impl Records<'_> {
    /// Returns the number of records with a key in `range`.
    #[must_use]
    pub fn count_in(&self, range: KeyRange) -> u64 {
        self.end_index(range) - self.lower_bound(range.first())
    }

    /// Returns the best `limit` hits in `range`, by descending score and then by ascending key.
    ///
    /// A record matches when each word of `query` is one of the three words of its text. The
    /// snapshot at the end of the text is not searched.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_protocol::key_range::KeyRange;
    /// use rosemarybank_standins::upstream::records::Records;
    ///
    /// let records = Records { service: "order-desk", snapshot: 1, count: 1_000 };
    /// let hits = records.search(KeyRange::ALL, "cherry ladle", 3);
    /// assert!(hits.iter().all(|hit| hit.record.contains("cherry ladle")));
    /// ```
    #[must_use]
    pub fn search(&self, range: KeyRange, query: &str, limit: u32) -> Vec<Hit> {
        let query_words: Vec<&str> = query.split_whitespace().collect();
        let keys = (self.lower_bound(range.first())..self.end_index(range)).map(|it| self.key(it));
        let mut hits: Vec<Hit> = keys
            .filter_map(|key| {
                let hash = self.hash(key);
                let words = words(hash);
                let matches = query_words.iter().all(|it| words.contains(it));
                matches.then(|| self.hit(key, hash, words))
            })
            .collect();
        hits.sort_unstable_by_key(|hit| (u32::MAX - hit.score, hit.key));
        hits.truncate(limit as usize);
        hits
    }

    fn hit(&self, key: u64, hash: u64, [wood, tool, finish]: [&'static str; 3]) -> Hit {
        let snapshot = self.snapshot;
        let record: CompactString = format_compact!("{wood} {tool} {finish} s{snapshot}");
        Hit { key, score: (hash >> 48) as u32, record }
    }

    fn key(&self, index: u64) -> u64 {
        ((u128::from(index) << 64) / u128::from(self.count)) as u64
    }

    /// Index of the first record with a key of at least `key`.
    fn lower_bound(&self, key: u64) -> u64 {
        let scaled = u128::from(key) * u128::from(self.count);
        scaled.div_ceil(1 << 64) as u64
    }

    /// Index after the last record with a key in `range`.
    fn end_index(&self, range: KeyRange) -> u64 {
        range.last().checked_add(1).map_or(self.count, |next| self.lower_bound(next))
    }

    /// FNV-1a hash of service, snapshot and key with a final mixing step.
    fn hash(&self, key: u64) -> u64 {
        let bytes = self.service.bytes().chain(self.snapshot.to_le_bytes());
        let fnv = bytes.chain(key.to_le_bytes()).fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        let mixed = (fnv ^ (fnv >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^ (mixed >> 29)
    }
}

fn words(hash: u64) -> [&'static str; 3] {
    [0, 1, 2].map(|list| WORDS[list][(hash >> (3 * list)) as usize % 8])
}
