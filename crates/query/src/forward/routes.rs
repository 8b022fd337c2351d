//! Routes, services and replicas, as described by the configuration and the replica list.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use compact_str::CompactString;
use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Version of a configuration.
pub type ConfigVersion = u64;

/// The routing configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version, which increases with every change.
    pub version: ConfigVersion,
    /// Routes by host, sorted by descending prefix length.
    by_host: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, ServiceInfo>,
    /// Limits on clients.
    pub limits: ClientLimits,
}

/// A rule that maps a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, by which the latencies and the traffic split of the route are tracked.
    pub name: CompactString,
    /// Host name in lower case.
    pub host: CompactString,
    /// Path prefix; starts and ends with a slash.
    pub prefix: CompactString,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Maximum time until a client gets an answer.
    pub timeout: Duration,
    /// Target for the time to answer. Later answers are worth less to the client.
    pub latency_objective: Duration,
    /// Maximum number of replicas of one service that may execute a request.
    pub max_attempts: u32,
    /// Priority rank; 0 is the most urgent.
    pub rank: u32,
    /// Services that handle the requests.
    pub target: Target,
}

/// The services that handle the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One replica of one of these services, chosen in proportion to their weights.
    Split(Vec<(ServiceId, f32)>),
    /// One replica of each of these services, with the replies merged.
    Gather {
        /// Shard services.
        shards: Vec<ServiceId>,
        /// Number of records in the merged answer.
        top_k: usize,
        /// Minimum fraction of shards for a successful answer.
        min_share: f32,
    },
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceInfo {
    /// Connections that a replica accepts from all callers together.
    pub max_connections: u32,
}

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a client to send a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be open without a request.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits that apply before a configuration is loaded.
    fn default() -> ClientLimits {
        ClientLimits {
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Completes its requests in flight and then stops.
    Draining,
}

/// A replica, as described by the replica list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Replica id.
    pub id: ReplicaId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Socket address.
    pub addr: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// Remaining warm-up time after a start, during which it is slower.
    pub cold: Duration,
    /// Start time in milliseconds of the replica's clock. A different value means that the replica
    /// was restarted.
    pub born_ms: u64,
}

impl RouteTable {
    /// Creates a routing table.
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

    /// Returns the route of the host with the longest matching prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.iter().find(|it| path.starts_with(it.prefix.as_str()))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}

impl Route {
    /// Returns the services of the route.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let (split, shards) = match &self.target {
            Target::Split(parts) => (parts.as_slice(), [].as_slice()),
            Target::Gather { shards, .. } => ([].as_slice(), shards.as_slice()),
        };
        split.iter().map(|it| &it.0).chain(shards)
    }

    /// Returns the minimum number of parts for a successful answer.
    #[must_use]
    pub fn min_parts(&self) -> usize {
        match &self.target {
            Target::Split(_) => 1,
            // The product may be slightly above a whole number because decimal fractions are not
            // exact.
            Target::Gather { shards, min_share, .. } => {
                ((shards.len() as f32 * min_share - 1e-4).ceil() as usize).max(1)
            }
        }
    }
}
