//! Data model of the configuration bundle.
//!
//! The `rosemarybank-bundle` crate parses and validates bundles.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    id::{CallerId, ServiceId, UpstreamId},
    key_range::KeyRange,
    search::{CoverageMode, Priority},
};

/// The configuration that all instances share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Format version; always 1.
    pub format: u32,
    /// Services that callers can use.
    pub services: Vec<ServiceConfig>,
    /// Replica groups that serve the shards.
    pub upstreams: Vec<UpstreamConfig>,
    /// Callers that may send requests.
    pub callers: Vec<CallerConfig>,
    /// Limits that apply to each instance.
    #[serde(default)]
    pub limits: Limits,
}

/// A service that callers can use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name, as used in request paths.
    pub name: ServiceId,
    /// Kind of requests that the service takes.
    pub kind: ServiceKind,
    /// Shards of the service. Together they cover the key space without gaps or overlaps; a ledger
    /// has exactly one.
    pub shards: Vec<ShardConfig>,
    /// Default timeout in milliseconds.
    pub timeout_ms: u64,
    /// Default coverage mode.
    #[serde(default)]
    pub coverage: CoverageMode,
    /// Which requests are sent to one shard before the others.
    #[serde(default)]
    pub canary: Canary,
}

/// Kind of requests that a service takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Searches over all shards.
    Search,
    /// One-time actions, each executed by one replica.
    Ledger,
}

/// Which requests are sent to one shard before the others.
///
/// This canary limits the damage of a request that crashes replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Canary {
    /// Only requests that are suspected of crashing replicas.
    #[default]
    Suspects,
    /// Every request that has not succeeded before.
    Unseen,
}

/// A shard of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardConfig {
    /// Keys that the shard is expected to hold. The ranges that a replica reports take precedence.
    pub range: KeyRange,
    /// Upstream that serves the shard.
    pub upstream: UpstreamId,
}

/// An upstream: a group of replicas that serve the same shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamConfig {
    /// Name, as in the platform's list of instances.
    pub name: UpstreamId,
    /// Number of requests that a replica executes concurrently.
    pub slots: u32,
    /// Number of connections that a replica accepts from all instances together.
    pub connections: u32,
}

/// A caller and its access rights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerConfig {
    /// Unique name.
    pub name: CallerId,
    /// SHA-256 of the bearer token, 64 hexadecimal digits.
    pub token_sha256: CompactString,
    /// Priority class of its requests.
    pub priority: Priority,
    /// Services that the caller may use.
    pub services: Vec<ServiceId>,
}

/// Limits that apply to each instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest number of queries in execution.
    pub concurrent_queries: u32,
    /// Largest number of queries that wait for execution.
    pub queued_queries: u32,
    /// Hedges that the hedge budget of a service allows, in percent of first attempts.
    pub hedge_percent: u32,
    /// Retries that the retry budget of an upstream allows, in percent of first attempts.
    pub retry_percent: u32,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            concurrent_queries: 64,
            queued_queries: 256,
            hedge_percent: 5,
            retry_percent: 10,
            body_bytes: 65_536,
        }
    }
}
