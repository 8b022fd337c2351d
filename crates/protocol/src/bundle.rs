//! The configuration bundle as data. The `rosemarybank-bundle` package parses and checks it.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    id::{CallerId, ServiceId, UpstreamId},
    key_range::KeyRange,
    search::{CoverageMode, Priority},
};

/// A whole bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Format of the bundle; 1.
    pub format: u32,
    /// Services.
    pub services: Vec<ServiceConfig>,
    /// Groups of replicas.
    pub upstreams: Vec<UpstreamConfig>,
    /// Callers and their precedence.
    pub callers: Vec<CallerConfig>,
    /// Limits of each instance.
    #[serde(default)]
    pub limits: Limits,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name in callers' paths.
    pub name: ServiceId,
    /// What callers may ask of it.
    pub kind: ServiceKind,
    /// Shards of a search service, which tile the key space; one shard for a ledger.
    pub shards: Vec<ShardConfig>,
    /// Time allowed when the caller gives none, in milliseconds.
    pub timeout_ms: u64,
    /// Coverage wish when the caller gives none.
    #[serde(default)]
    pub coverage: CoverageMode,
    /// Whether a request that no replica has run yet goes to one shard first.
    #[serde(default)]
    pub canary: Canary,
}

/// What callers may ask of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Searches over all shards.
    Search,
    /// One-time actions, each run by one replica.
    Ledger,
}

/// Whether an unproven request goes to one shard first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Canary {
    /// Only requests under suspicion go to one shard first.
    #[default]
    Suspects,
    /// Every request that has not yet succeeded goes to one shard first.
    Unseen,
}

/// A shard of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardConfig {
    /// Keys that the shard is expected to hold; a replica's own report goes before it.
    pub range: KeyRange,
    /// Upstream that serves it.
    pub upstream: UpstreamId,
}

/// A group of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamConfig {
    /// Name, as in the platform's list.
    pub name: UpstreamId,
    /// Requests that a replica executes at once.
    pub slots: u32,
    /// Connections that a replica accepts from all instances together.
    pub connections: u32,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerConfig {
    /// Name.
    pub name: CallerId,
    /// SHA-256 of the bearer token, 64 hexadecimal digits.
    pub token_sha256: CompactString,
    /// Precedence class.
    pub priority: Priority,
    /// Services that the caller may use.
    pub services: Vec<ServiceId>,
}

/// Limits of each instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Queries in execution at once.
    pub concurrent_queries: u32,
    /// Queries that wait for execution.
    pub queued_queries: u32,
    /// Hedges as a share of upstream requests, in percent.
    pub hedge_percent: u32,
    /// Retries as a share of upstream requests, in percent.
    pub retry_percent: u32,
    /// Largest request body in bytes.
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
