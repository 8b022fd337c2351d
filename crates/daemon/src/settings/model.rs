use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use rosemarybank_bundle::{PublicKey, TrustedKeys};
use rosemarybank_protocol::id::{DataCentre, InstanceId};
use serde::Deserialize;

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentre,
    /// Source address of outgoing connections; chosen by the operating system when absent.
    pub source: Option<IpAddr>,
    /// Port for callers.
    pub callers: CallersSettings,
    /// Peer port and addresses of the peers.
    pub peers: PeersSettings,
    /// Admin port.
    pub admin: AdminSettings,
    /// Object API of the platform.
    pub platform: PlatformSettings,
    /// Connections to upstreams.
    pub upstreams: UpstreamsSettings,
    /// Public keys whose bundles are accepted, as listed in the file.
    pub trusted_keys: Vec<PublicKey>,
    /// The same keys, decoded for verifying signatures.
    pub trusted: TrustedKeys,
    /// Graceful shutdown.
    pub stop: StopSettings,
    /// Logging.
    pub log: LogSettings,
    /// Metrics and traces.
    pub metrics: MetricsSettings,
}

/// Settings of the callers' port.
#[derive(Clone, Debug)]
pub struct CallersSettings {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum number of concurrent streams of an HTTP/2 connection.
    pub streams_per_connection: u32,
    /// Maximum size of a request head in bytes.
    pub head_bytes: u32,
    /// Time allowed for receiving the HTTP/2 preface of a connection and each request head;
    /// also the idle timeout of a connection without requests in flight.
    pub head_timeout: Duration,
    /// Time allowed for receiving a request body.
    pub body_timeout: Duration,
    /// Memory in bytes for the bodies of all requests.
    pub body_memory: usize,
    /// Upper limit of request timeouts. A request that asks for more is rejected; a longer default
    /// timeout of a service is reduced to this limit.
    pub longest_timeout: Duration,
    /// Maximum number of actions in progress.
    pub actions: u32,
}

/// Settings of the peer port and the peers.
#[derive(Clone, Debug)]
pub struct PeersSettings {
    /// Address to listen on for peers.
    pub addr: SocketAddr,
    /// Addresses of the other instances' peer ports.
    pub others: Vec<SocketAddr>,
}

/// Settings of the admin port.
#[derive(Clone, Debug)]
pub struct AdminSettings {
    /// Address to listen on.
    pub addr: SocketAddr,
}

/// Settings of the platform's object API.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the API.
    pub addr: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Longest time that a watch waits for a change.
    pub watch_wait: Duration,
}

/// Settings of the connections to upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamsSettings {
    /// Number of threads among which the connections are divided.
    pub threads: u32,
    /// Timeout of opening a connection.
    pub connect_timeout: Duration,
    /// Memory in bytes for the replies in progress of all threads.
    pub reply_memory: usize,
    /// Policy for routing searches to replicas.
    pub policy: QueryPolicy,
}

/// Policy for routing searches to replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueryPolicy {
    /// Selects replicas by load, with hedging, budgets for extra attempts and ejection of outliers.
    Adaptive,
    /// Selects replicas uniformly at random, with a fixed timeout and up to three retries. Meant
    /// for comparison with `Adaptive`.
    Baseline,
}

/// Settings of the graceful shutdown.
#[derive(Clone, Debug)]
pub struct StopSettings {
    /// Time allowed for the whole shutdown, including `unready`. Requests that are in flight after it
    /// are aborted.
    pub grace: Duration,
    /// Time between reporting not ready and refusing connections.
    pub unready: Duration,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

/// Severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need attention.
    Error,
    /// Also conditions that may lead to a failure.
    Warning,
    /// Also changes of state.
    Info,
    /// Also details for debugging.
    Debug,
}

/// Settings of metrics and traces.
#[derive(Clone, Debug)]
pub struct MetricsSettings {
    /// Address to which metrics are also sent as statsd datagrams over UDP.
    pub statsd: Option<SocketAddr>,
    /// Maximum number of spans in memory.
    pub spans: u32,
}
