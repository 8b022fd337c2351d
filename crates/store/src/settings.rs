//! Settings of the store client.

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
    /// Address of the platform's object API.
    pub addr: SocketAddr,
    /// Local address to connect from; chosen by the operating system when absent.
    pub source: Option<IpAddr>,
    /// Seed of the backoff jitter.
    pub seed: u64,
    /// Timeout of opening a connection, and again of each reply.
    #[builder(default = Duration::from_secs(2))]
    pub call_timeout: Duration,
    /// Longest time that the platform holds a watch request open while nothing changes. The client
    /// caps it at 2.5 s.
    #[builder(default = Duration::from_secs(30))]
    pub watch_wait: Duration,
    /// Upper bound of the first retry delay of a watch; it doubles with each retry.
    #[builder(default = Duration::from_millis(50))]
    pub backoff_base: Duration,
    /// Largest upper bound of the retry delays of a watch.
    #[builder(default = Duration::from_secs(2))]
    pub backoff_cap: Duration,
}
