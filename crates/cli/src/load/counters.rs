use crate::{admin::AdminClient, error::CliError};

/// Counter of the requests that an instance sends to upstreams.
const ATTEMPTS_METRIC: &str = "rosemarybank_attempts_total";

/// Upstream requests that these instances have sent since they started.
pub(crate) async fn total_attempts(instances: &[AdminClient]) -> Result<u64, CliError> {
    let mut sum = 0;
    for admin in instances {
        sum += sum_counter(&admin.get_text("/metrics").await?, ATTEMPTS_METRIC);
    }
    Ok(sum)
}

/// The sum of a counter over its labels; 0 when it has not been counted yet.
pub(crate) fn sum_counter(metrics: &str, name: &str) -> u64 {
    let value = |line: &str| {
        let rest = line.strip_prefix(name)?;
        let rest = if rest.starts_with('{') { rest.split_once('}')?.1 } else { rest };
        // Another counter may begin with the same name.
        rest.strip_prefix(' ')?.trim().parse::<u64>().ok()
    };
    metrics.lines().filter_map(value).sum()
}
