//! What calls return.

use bytes::Bytes;
use compact_str::CompactString;

/// Version of an object: the platform's revision at its last change.
pub type ObjectVersion = u64;

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Path of the object.
    pub path: CompactString,
    /// Version to name in a conditional change.
    pub version: ObjectVersion,
    /// JSON text.
    pub value: Bytes,
}

/// All objects below a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the platform's state that the list shows.
    pub revision: u64,
    /// The objects in path order.
    pub objects: Vec<Object>,
}

/// Outcome of a conditional change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The change was applied.
    Applied {
        /// Version of the object now; the revision of the removal after a deletion.
        version: ObjectVersion,
    },
    /// The condition did not hold, and nothing was changed.
    Conflict {
        /// Version of the object; `None` when there is no such object.
        current: Option<ObjectVersion>,
    },
    /// Nothing was changed, and this call can no longer change anything.
    NotApplied(CallError),
    /// The request may have been sent and its reply was lost. The change may have been applied, or
    /// may yet be.
    Unknown(CallError),
}

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("cannot connect to the platform: {0}")]
    Connect(CompactString),
    /// The connection broke before the request was sent.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// No reply came within the call timeout.
    #[error("no reply from the platform in time")]
    Timeout,
    /// The connection or the stream broke before the end of the reply.
    #[error("the platform's reply was lost: {0}")]
    Lost(CompactString),
    /// The platform refused the call.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The platform failed.
    #[error("the platform failed with status {0}")]
    Failed(u16),
    /// The reply does not have the documented form.
    #[error("the platform's reply is malformed: {0}")]
    Malformed(CompactString),
    /// The watched position is no longer kept by the platform.
    #[error("the watched revision was compacted")]
    Compacted,
}
