//! Routes, services and replicas as the configuration and the replica list describe them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Version of a configuration.
pub type ConfigVersion = u64;

/// A version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version; it only grows.
    pub version: ConfigVersion,
    /// Routes by host, those with the longest prefix first.
    by_host: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceInfo>,
    /// Limits for clients.
    pub limits: ClientLimits,
}

/// What is forwarded where.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Host in lower case.
    pub host: CompactString,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time that a client is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_objective: Duration,
    /// Most replicas of one service that may run one request.
    pub max_attempts: u32,
    /// Rank; 0 is the highest.
    pub rank: u32,
    /// Where requests go.
    pub target: Target,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One replica of one of these services, chosen by weight.
    Split(Vec<(ServiceId, f32)>),
    /// One replica of each of these services; the parts are merged.
    Gather {
        /// The shards.
        shards: Vec<ServiceId>,
        /// Records of the merged answer.
        top_k: usize,
        /// Smallest share of the shards that makes a success.
        min_shard_fraction: f32,
    },
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceInfo {
    /// Connections that a replica accepts from all callers together.
    pub max_connections: u32,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head in bytes.
    pub head_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest time without a request.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Limits before a configuration is known.
    fn default() -> ClientLimits {
        ClientLimits {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A replica as the list describes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Id.
    pub id: ReplicaId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ReplicaState,
    /// How much longer it is slow after its start.
    pub cold: Duration,
    /// Start of this lifetime in milliseconds of its own clock; another value is another lifetime.
    pub born_ms: u64,
}

impl RouteTable {
    /// Builds a table.
    #[must_use]
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: HashMap<ServiceId, ServiceInfo>,
        limits: ClientLimits,
    ) -> RouteTable {
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        RouteTable { version, by_host, services, limits }
    }

    /// Route of a request: the one of its host with the longest prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.iter().find(|it| path.starts_with(it.prefix.as_str()))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}

impl Route {
    /// Services that the route names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let (split, shards) = match &self.target {
            Target::Split(parts) => (parts.as_slice(), [].as_slice()),
            Target::Gather { shards, .. } => ([].as_slice(), shards.as_slice()),
        };
        split.iter().map(|it| &it.0).chain(shards)
    }

    /// Parts without which an answer is not a success.
    #[must_use]
    pub fn min_parts(&self) -> usize {
        match &self.target {
            Target::Split(_) => 1,
            // The product of two decimal fractions may lie just above the whole number it means.
            Target::Gather { shards, min_shard_fraction, .. } => {
                ((shards.len() as f32 * min_shard_fraction - 1e-4).ceil() as usize).max(1)
            }
        }
    }
}
