//! Merges the records of the shards of a gather request.

/// Length of a record in bytes.
const RECORD_LEN: usize = 16;

type Record = [u8; RECORD_LEN];

/// The greatest records of all replies so far, in byte order.
#[derive(Clone, Debug)]
pub struct TopRecords {
    limit: usize,
    /// In descending order.
    records: Vec<Record>,
}

impl TopRecords {
    /// Creates an empty list that keeps the `limit` greatest records.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_query::forward::TopRecords;
    ///
    /// let mut top = TopRecords::new(1);
    /// top.add(b"aaaaaaaaaaaaaaaabbbbbbbbbbbbbbbbtoo short");
    /// assert_eq!(top.into_bytes(), b"bbbbbbbbbbbbbbbb");
    /// ```
    #[must_use]
    pub fn new(limit: usize) -> TopRecords {
        TopRecords { limit, records: Vec::with_capacity(limit.min(64)) }
    }

    /// Adds the records of a reply. Ignores a trailing incomplete record.
    pub fn add(&mut self, part: &[u8]) {
        let (records, _) = part.as_chunks::<RECORD_LEN>();
        for record in records {
            if self.records.len() == self.limit {
                match self.records.last() {
                    Some(least) if least < record => self.records.pop(),
                    _ => continue,
                };
            }
            let at = self.records.partition_point(|it| it >= record);
            self.records.insert(at, *record);
        }
    }

    /// Returns the records in descending order.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.records.concat()
    }
}
