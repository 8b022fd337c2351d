//! JSON objects stored in the platform's object API.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    action::ActionOutcome,
    id::{DataCentre, Fingerprint, InstanceId, ReplicaId, ServiceId, UpstreamId, Version},
};

/// Path of the object that holds the active configuration.
pub const CONFIG_PATH: &str = "config/current";

/// Prefix of the bundle history: `config/log/<version as 20 digits>`.
pub const HISTORY_PREFIX: &str = "config/log/";

/// Prefix of the platform's list of upstream instances.
pub const INSTANCES_PREFIX: &str = "instances/";

/// Prefix of action claims: `claims/<caller>/<key>`.
pub const CLAIMS_PREFIX: &str = "claims/";

/// Prefix of quarantine entries: `quarantine/<service>/<fingerprint as 16 hexadecimal digits>`.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// Prefix of status objects: `status/<data centre>`.
pub const STATUS_PREFIX: &str = "status/";

/// Object `instances/<replica>`: an entry in the platform's list of upstream instances.
///
/// The list can lag behind the actual state of the replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Upstream that the replica belongs to.
    pub upstream: UpstreamId,
    /// Address of its HTTP/2 endpoint.
    pub addr: SocketAddr,
    /// Data centre that the replica runs in.
    pub data_centre: DataCentre,
    /// Whether the platform is about to stop the replica.
    pub state: InstanceState,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The platform keeps the instance running.
    Live,
    /// The platform is about to stop the instance.
    Leaving,
}

/// Object `config/current`: the active signed bundle.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Version; each roll-out increments it by one.
    pub version: Version,
    /// Name of the signing key.
    pub signer: CompactString,
    /// Canonical YAML text of the bundle.
    pub bundle: String,
    /// Base64-encoded Ed25519 signature of `"<version>\n" + bundle`.
    pub signature: CompactString,
}

/// Object `claims/<caller>/<key>`: the state of a one-time action.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the service and the body. A request with the same key but another fingerprint is
    /// refused as a conflict.
    pub fingerprint: Fingerprint,
    /// State of the action.
    pub state: ClaimState,
}

/// State of an action claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The owner may have sent the action or may still send it.
    Sending {
        /// Entry instance that owns the claim.
        owner: InstanceId,
        /// Distinguishes this ownership from all others of the same instance.
        nonce: u64,
    },
    /// The action ended. After `NotRun`, a retry by the caller may return the claim to `Sending`.
    Ended {
        /// Outcome of the action.
        outcome: ActionOutcome,
    },
}

/// Object `quarantine/<service>/<fingerprint>`: a request that crashes upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Service that the request was sent to.
    pub service: ServiceId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of replicas that the request crashed.
    pub crashes: u32,
    /// End of the quarantine, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
    /// Whether an operator released the request. Of two entries for a request, the one that expires
    /// later applies; if they expire at the same time, a release applies.
    pub released: bool,
}

/// Object `status/<data centre>`: active configuration versions of the instances in a data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// One item per known instance.
    pub instances: Vec<InstanceStatus>,
}

/// Status of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre that the instance runs in.
    pub data_centre: DataCentre,
    /// Active configuration version; `None` until one is confirmed.
    pub version: Option<Version>,
    /// Whether the instance accepts requests from callers.
    pub ready: bool,
}
