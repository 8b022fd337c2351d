use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use rosemarybank_bundle::{PublicKey, TrustedKeys};
use rosemarybank_protocol::id::{DataCentre, InstanceId};
use serde::Deserialize;

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Local address to connect from; the system chooses when absent.
    pub source: Option<IpAddr>,
    /// The callers' port.
    pub callers: CallersSettings,
    /// The port for peers, and the peers.
    pub peers: PeersSettings,
    /// The admin port.
    pub admin: AdminSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Connections to upstreams.
    pub upstreams: UpstreamsSettings,
    /// Keys whose bundles are accepted, as written.
    pub trusted_keys: Vec<PublicKey>,
    /// Keys whose bundles are accepted, ready for use.
    pub trusted: TrustedKeys,
    /// Graceful stop.
    pub stop: StopSettings,
    /// Logs.
    pub log: LogSettings,
    /// Metrics and traces.
    pub metrics: MetricsSettings,
}

/// The callers' port.
#[derive(Clone, Debug)]
pub struct CallersSettings {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Connections served at once.
    pub connections: u32,
    /// Requests that one h2 connection may have in flight.
    pub streams_per_connection: u32,
    /// Largest head of a request in bytes.
    pub head_bytes: u32,
    /// Time allowed for a connection's preface and for each request head.
    pub head_timeout: Duration,
    /// Time allowed for a request body.
    pub body_timeout: Duration,
    /// Longest time that a caller may allow for an answer.
    pub longest_timeout: Duration,
    /// Actions in progress at once.
    pub actions: u32,
}

/// The peer port and the configured peers.
#[derive(Clone, Debug)]
pub struct PeersSettings {
    /// Address of this instance's peer port.
    pub addr: SocketAddr,
    /// Peer ports of the other configured instances.
    pub others: Vec<SocketAddr>,
}

/// The admin port.
#[derive(Clone, Debug)]
pub struct AdminSettings {
    /// Address to listen on.
    pub addr: SocketAddr,
}

/// The platform's object API.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// Time allowed for a call.
    pub timeout: Duration,
    /// Longest wait of a watch.
    pub watch_wait: Duration,
}

/// Connections to upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamsSettings {
    /// Threads that share the connections.
    pub threads: u32,
    /// Time allowed for opening a connection.
    pub connect_timeout: Duration,
    /// Routing policy.
    pub policy: QueryPolicy,
}

/// Routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryPolicy {
    /// Load-aware choice, hedges, budgets and ejection.
    Adaptive,
    /// Uniform random replica, fixed timeout, up to three retries; for comparison.
    Baseline,
}

/// Graceful stop.
#[derive(Clone, Debug)]
pub struct StopSettings {
    /// Time allowed for requests in flight.
    pub grace: Duration,
    /// Time between becoming unready and refusing connections.
    pub unready: Duration,
}

/// Logs.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// For people.
    Terminal,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need attention.
    Error,
    /// And what may become one.
    Warning,
    /// And changes of state.
    Info,
    /// And details.
    Debug,
}

/// Metrics and traces.
#[derive(Clone, Debug)]
pub struct MetricsSettings {
    /// Where metrics are also sent as UDP statsd datagrams.
    pub statsd: Option<SocketAddr>,
    /// Spans kept in memory.
    pub spans: u32,
}
