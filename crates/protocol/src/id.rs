//! Type aliases for identifiers and for monotonic time.

use std::time::Duration;

use compact_str::CompactString;

/// Name of a service: a searchable set of records or a ledger that accepts actions.
pub type ServiceId = CompactString;

/// Name of a group of replicas that serve the same shards.
pub type UpstreamId = CompactString;

/// Name of an upstream process. It survives restarts; the incarnation number does not.
pub type ReplicaId = CompactString;

/// Name of an entry instance.
pub type InstanceId = CompactString;

/// Name of a data centre.
pub type DataCentre = CompactString;

/// Name of a caller, as listed in the bundle.
pub type CallerId = CompactString;

/// Version of the index of a service. Higher numbers are newer.
pub type SnapshotId = u64;

/// Version of the configuration bundle. Higher numbers are newer.
pub type Version = u64;

/// Hash of a service name and the normalized content of a request.
pub type Fingerprint = u64;

/// Monotonic time since an arbitrary origin, which the driver of a state machine chooses.
pub type Time = Duration;
