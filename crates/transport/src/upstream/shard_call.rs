use bytes::{BufMut as _, Bytes, BytesMut};
use rosemarybank_protocol::{
    id::{ServiceId, SnapshotId},
    key_range::KeyRange,
};
use serde::Serialize;

/// Maximum length of a query that is copied into each request instead of sent as a frame of its own.
const MAX_COPIED_LEN: usize = 4 << 10;

/// JSON text of the query of a search. Clones share it.
///
/// # Examples
///
/// ```
/// use rosemarybank_transport::upstream::QueryText;
///
/// assert_eq!(QueryText::new("dry \"cherry\"").as_bytes(), br#""dry \"cherry\"""#);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryText(Bytes);

impl QueryText {
    /// Encodes a query.
    #[must_use]
    pub fn new(query: &str) -> QueryText {
        // Text always serializes.
        QueryText(serde_json::to_vec(query).unwrap_or_default().into())
    }

    /// JSON text of the query.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Request for the part of a search that one replica answers: a
/// [`ShardRequest`](rosemarybank_protocol::upstream::ShardRequest) whose query is shared by all parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ShardCall {
    /// Service whose records to search.
    pub service: ServiceId,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Key range to search.
    pub range: KeyRange,
    /// Maximum number of hits in the reply.
    pub limit: u32,
    /// Text to search for.
    #[serde(skip)]
    pub query: QueryText,
}

impl ShardCall {
    /// Encodes the body as JSON, in pieces to be sent one after the other. A long query is not copied.
    pub(super) fn encode(&self) -> serde_json::Result<Vec<Bytes>> {
        let fields = serde_json::to_vec(self)?;
        let mut start = BytesMut::from(fields.strip_suffix(b"}").unwrap_or(&fields));
        start.extend_from_slice(br#","query":"#);
        let query = self.query.0.clone();
        if query.len() <= MAX_COPIED_LEN {
            start.extend_from_slice(&query);
            start.put_u8(b'}');
            return Ok(vec![start.freeze()]);
        }
        Ok(vec![start.freeze(), query, Bytes::from_static(b"}")])
    }
}
