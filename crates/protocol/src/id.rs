//! Identifiers and the time type.

use std::time::Duration;

use compact_str::CompactString;

/// Name of a service: a searchable set of records, or a ledger that takes actions.
pub type ServiceId = CompactString;

/// Name of a group of replicas that serve the same shards.
pub type UpstreamId = CompactString;

/// Name of one upstream process; a restarted process keeps it and gets a new incarnation.
pub type ReplicaId = CompactString;

/// Name of one entry instance.
pub type InstanceId = CompactString;

/// Name of a data centre.
pub type DataCentre = CompactString;

/// Name of a caller, as the bundle lists it.
pub type CallerId = CompactString;

/// One index version of a service. A higher number is newer.
pub type SnapshotId = u64;

/// Version of the configuration bundle. A higher number is newer.
pub type Version = u64;

/// Hash of a service name and normalised request content.
pub type Fingerprint = u64;

/// Monotonic time since an arbitrary origin that the driver of a state machine chooses.
pub type Time = Duration;
