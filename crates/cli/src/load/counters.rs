use crate::{admin::AdminClient, error::CliError};

/// Metric that counts the requests from an instance to upstreams.
const ATTEMPTS_METRIC: &str = "rosemarybank_attempts_total";

/// Returns the number of upstream requests that the instances have sent since they started.
pub(crate) async fn total_attempts(instances: &[AdminClient]) -> Result<u64, CliError> {
    let mut sum = 0;
    for admin in instances {
        sum += sum_counter(&admin.get_text("/metrics").await?, ATTEMPTS_METRIC);
    }
    Ok(sum)
}

/// Sums a counter over all label values; 0 if the metric is absent.
pub(crate) fn sum_counter(metrics: &str, name: &str) -> u64 {
    let value = |line: &str| {
        let rest = line.strip_prefix(name)?;
        let rest = if rest.starts_with('{') { rest.split_once('}')?.1 } else { rest };
        // The name may be a prefix of the name of another counter.
        rest.strip_prefix(' ')?.trim().parse::<u64>().ok()
    };
    metrics.lines().filter_map(value).sum()
}
