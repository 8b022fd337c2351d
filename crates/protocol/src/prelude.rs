//! The common types in one import.

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
