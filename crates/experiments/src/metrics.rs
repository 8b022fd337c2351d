//! Reads metrics from the `/metrics` endpoints of instances.

use std::net::SocketAddr;

use eyre::{Result, ensure};
use http::Method;
use rosemarybank_standins::client::HttpClient;

/// Returns the sum of a metric over all label values, or `None` if the text does not contain it.
///
/// # Examples
///
/// ```
/// use rosemarybank_experiments::metrics::metric_sum;
///
/// let text = "calls_total{kind=\"a\"} 3\ncalls_total{kind=\"b\"} 4\n";
/// assert_eq!(metric_sum(text, "calls_total"), Some(7.0));
/// ```
#[must_use]
pub fn metric_sum(text: &str, name: &str) -> Option<f64> {
    let line_value = |line: &str| {
        let rest = line.strip_prefix(name)?;
        let rest = if rest.starts_with('{') { rest.rsplit_once('}')?.1 } else { rest };
        // The name may be a prefix of another metric's name.
        rest.strip_prefix(' ')?.trim().parse::<f64>().ok()
    };
    text.lines().filter_map(line_value).reduce(|a, b| a + b)
}

/// Metrics of several instances, read one after the other.
#[derive(Clone, Debug)]
pub struct Scrape(Vec<String>);

impl Scrape {
    /// Wraps the bodies of `/metrics`, one for each instance.
    #[must_use]
    pub fn new(texts: Vec<String>) -> Scrape {
        Scrape(texts)
    }

    /// Reads the metrics of the instances with these admin addresses.
    ///
    /// # Errors
    ///
    /// Fails if an instance does not answer with a success status.
    pub async fn read(client: &HttpClient, admin_addrs: &[SocketAddr]) -> Result<Scrape> {
        let mut texts = Vec::with_capacity(admin_addrs.len());
        for &admin in admin_addrs {
            let reply = client.send(Method::GET, admin, "/metrics", &[], "").await?;
            ensure!(reply.status().is_success(), "{admin}/metrics: {}", reply.status());
            texts.push(String::from_utf8_lossy(reply.body()).into_owned());
        }
        Ok(Scrape(texts))
    }

    /// Returns the sum over the instances, or `None` if no instance has the metric.
    #[must_use]
    pub fn sum(&self, name: &str) -> Option<f64> {
        self.0.iter().filter_map(|it| metric_sum(it, name)).reduce(|a, b| a + b)
    }

    /// Returns the increase of a counter since an earlier scrape, or `None` if it is absent now.
    #[must_use]
    pub fn increase(&self, before: &Scrape, name: &str) -> Option<f64> {
        // A counter is absent until its first increment.
        Some(self.sum(name)? - before.sum(name).unwrap_or_default())
    }
}
