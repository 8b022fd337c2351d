//! Settings of the client.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Settings of a [`StoreClient`](crate::StoreClient).
///
/// # Examples
///
/// ```
/// use rosemarybank_store::Settings;
///
/// let settings = Settings::builder().addr("127.0.0.1:7000".parse().unwrap()).seed(7).build();
/// assert_eq!(settings.call_timeout.as_millis(), 2_000);
/// ```
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Address of the object API.
    pub addr: SocketAddr,
    /// Local address to connect from; the system chooses when absent.
    pub source: Option<IpAddr>,
    /// Seed of the jitter.
    pub seed: u64,
    /// Time allowed for a connection, and after that for a reply.
    #[builder(default = Duration::from_secs(2))]
    pub call_timeout: Duration,
    /// Longest time that the platform holds a watch back while nothing changes.
    #[builder(default = Duration::from_secs(30))]
    pub watch_wait: Duration,
    /// Upper bound of the first delay before a watch is repeated; later bounds double.
    #[builder(default = Duration::from_millis(50))]
    pub backoff_base: Duration,
    /// Upper bound of all delays before a watch is repeated.
    #[builder(default = Duration::from_secs(2))]
    pub backoff_cap: Duration,
}
