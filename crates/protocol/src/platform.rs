//! Objects that the system keeps in the platform's object API, as JSON.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    action::ActionOutcome,
    id::{DataCentre, Fingerprint, InstanceId, ReplicaId, ServiceId, UpstreamId, Version},
};

/// Path of the configuration object.
pub const CONFIG_PATH: &str = "config/current";

/// Prefix of the history of bundles: `config/log/<version as 20 digits>`.
pub const HISTORY_PREFIX: &str = "config/log/";

/// Prefix of the platform's list of upstream instances.
pub const INSTANCES_PREFIX: &str = "instances/";

/// Prefix of action claims: `claims/<caller>/<key>`.
pub const CLAIMS_PREFIX: &str = "claims/";

/// Prefix of quarantine entries: `quarantine/<service>/<fingerprint as 16 hexadecimal digits>`.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// Prefix of status objects: `status/<data centre>`.
pub const STATUS_PREFIX: &str = "status/";

/// Object `instances/<replica>`: one entry of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Upstream it belongs to.
    pub upstream: UpstreamId,
    /// Address of its h2 endpoint.
    pub addr: SocketAddr,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Whether the platform keeps it.
    pub state: InstanceState,
}

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The platform keeps it.
    Live,
    /// The platform is about to stop it.
    Leaving,
}

/// Object `config/current`: the signed bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SignedBundle {
    /// Version; each roll-out adds one.
    pub version: Version,
    /// Name of the signing key.
    pub signer: CompactString,
    /// Canonical YAML text of the bundle.
    pub bundle: String,
    /// Base64 of the Ed25519 signature over `"<version>\n" + bundle`.
    pub signature: CompactString,
}

/// Object `claims/<caller>/<key>`: the state of a one-time action.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the service and the body; another body under the same key is a conflict.
    pub fingerprint: Fingerprint,
    /// Where the action stands.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The owner may send, or has sent, the action.
    Sending {
        /// Instance that owns the claim.
        owner: InstanceId,
        /// Distinguishes this ownership from every other of the same instance.
        nonce: u64,
    },
    /// The end, or `NotRun`, from which a caller's retry may go back to `Sending`.
    Ended {
        /// What became of the action.
        outcome: ActionOutcome,
    },
}

/// Object under `quarantine/`: a request that crashes upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Service that was asked.
    pub service: ServiceId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Replicas that the request crashed.
    pub crashes: u32,
    /// End of the quarantine, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
    /// Whether an operator has released it. A release wins over the entry it names.
    pub released: bool,
}

/// Object `status/<data centre>`: versions in force at the instances of a data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// One entry for each known instance.
    pub instances: Vec<InstanceStatus>,
}

/// Status of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Version in force; `None` before the first is confirmed.
    pub version: Option<Version>,
    /// Whether it takes callers' requests.
    pub ready: bool,
}
