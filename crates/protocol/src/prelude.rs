//! Re-exports of the most commonly used types.

pub use crate::{
    action::{ActionOutcome, ActionRequest, ActionResponse},
    bundle::{
        Bundle, CallerConfig, Limits, ServiceConfig, ServiceKind, ShardConfig, UpstreamConfig,
    },
    coverage::{Coverage, MissingRange, MissingReason, RecordTotal},
    error::{ErrorBody, ErrorKind, Execution},
    id::{
        CallerId, DataCentre, Fingerprint, InstanceId, ReplicaId, ServiceId, SnapshotId, Time,
        UpstreamId, Version,
    },
    key_range::KeyRange,
    search::{CoverageMode, Hit, Priority, SearchRequest, SearchResponse},
};
