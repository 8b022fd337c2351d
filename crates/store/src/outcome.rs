//! Results and errors of calls.

use bytes::Bytes;
use compact_str::CompactString;

/// Version of an object: the revision of the store at the object's last change.
pub type ObjectVersion = u64;

/// An object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Path of the object.
    pub path: CompactString,
    /// Version to pass to a conditional write.
    pub version: ObjectVersion,
    /// Value as JSON text.
    pub value: Bytes,
}

/// All objects under a prefix, with the revision from which a watch continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store when the first page was read.
    pub revision: u64,
    /// The objects in path order.
    pub objects: Vec<Object>,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied.
    Applied {
        /// New version of the object; for a deletion, the revision of the deletion.
        version: ObjectVersion,
    },
    /// The condition did not hold; nothing was written.
    Conflict {
        /// Current version of the object; `None` when it does not exist.
        current: Option<ObjectVersion>,
    },
    /// Nothing was written, and the request cannot take effect later.
    NotApplied(CallError),
    /// The request may have been sent, but no usable reply arrived. The write may have been applied
    /// or may still be applied.
    Unknown(CallError),
}

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    #[error("cannot connect to the platform: {0}")]
    Connect(CompactString),
    /// The connection closed before any part of the request was sent.
    #[error("the connection to the platform closed before the request was sent")]
    NotSent,
    /// No reply arrived within the call timeout plus, for a watch, the time that the platform may
    /// hold the request open.
    #[error("timed out waiting for a reply from the platform")]
    Timeout,
    /// The connection failed before the whole reply arrived, or the reply was too large.
    #[error("the platform's reply was lost: {0}")]
    Lost(CompactString),
    /// The platform refused the call with a 4xx status or 503.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// The platform replied with another unsuccessful status.
    #[error("the platform failed with status {0}")]
    Failed(u16),
    /// The body of the reply could not be decoded.
    #[error("the platform's reply is malformed: {0}")]
    Malformed(CompactString),
    /// The platform no longer keeps the changes since the watched revision.
    #[error("the watched revision was compacted")]
    Compacted,
}
