//! Generates the configuration bundles of experiments.

use std::fmt::Write as _;

use rosemarybank_standins::upstream::topology::equal_part;
use sha2::{Digest, Sha256};

use crate::site_profile::SiteProfile;

/// Bearer token of the caller with priority `critical`.
pub const CRITICAL_TOKEN: &str = "experiment-critical";

/// Bearer token of the caller with priority `low`.
pub const LOW_TOKEN: &str = "experiment-low";

/// Bundle settings that vary between experiments.
#[derive(Clone, Copy, Debug)]
pub struct BundleOptions {
    /// Search timeout in milliseconds. Changing it yields a bundle that differs from the last one.
    pub timeout_ms: u64,
    /// Maximum number of queries that each instance executes concurrently.
    pub concurrent_queries: u32,
}

impl Default for BundleOptions {
    fn default() -> BundleOptions {
        BundleOptions { timeout_ms: 800, concurrent_queries: 64 }
    }
}

/// Returns the bundle of a site as YAML, with one `critical` and one `low` priority caller.
#[must_use]
pub fn bundle_text(profile: &SiteProfile, options: BundleOptions) -> String {
    let BundleOptions { timeout_ms, concurrent_queries } = options;
    let (mut services, mut upstreams) = (String::new(), String::new());
    for &(service, shards) in &profile.services {
        let _ = write!(
            services,
            "  - name: {service}\n    kind: search\n    timeout_ms: {timeout_ms}\n    \
             coverage: partial\n    shards:\n"
        );
        for shard in 0..shards {
            let range = equal_part(shard, shards);
            let (first, last, name) = (range.first(), range.last(), upstream(service, shard));
            let range = format!("{{ first: {first:016x}, last: {last:016x} }}");
            let _ = writeln!(services, "      - {{ range: {range}, upstream: {name} }}");
            let _ = writeln!(upstreams, "  - {{ name: {name}, slots: 2, connections: 25 }}");
        }
    }
    let names: Vec<_> = profile.services.iter().map(|(name, _)| *name).collect();
    let names = names.join(", ");
    let caller = |name: &str, token: &str, priority: &str| {
        let hash = hex(&Sha256::digest(token));
        format!(
            "  - {{ name: {name}, token_sha256: {hash}, priority: {priority}, \
             services: [{names}] }}\n"
        )
    };
    let callers = caller("desk", CRITICAL_TOKEN, "critical") + &caller("report", LOW_TOKEN, "low");
    format!(
        "format: 1\nservices:\n{services}upstreams:\n{upstreams}callers:\n{callers}limits:\n  \
         concurrent_queries: {concurrent_queries}\n  hedge_percent: 5\n  retry_percent: 10\n"
    )
}

fn upstream(service: &str, shard: u16) -> String {
    format!("{service}-{shard:02}")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
