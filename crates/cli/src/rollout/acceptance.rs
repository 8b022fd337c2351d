use std::time::{Duration, Instant};

use rosemarybank_protocol::{
    id::Version,
    platform::{DataCentreStatus, InstanceStatus, STATUS_PREFIX},
};
use serde::Serialize;

use crate::{
    error::CliError,
    store::{ObjectStore, list_json},
};

/// Delay between two reads of the status objects.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Acceptance of a version by the instances.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Acceptance {
    /// The version that was checked.
    pub(crate) version: Version,
    /// Number of instances with this version or a later one.
    pub(crate) holding: usize,
    /// Number of configured instances, or of instances that have reported if that is not given.
    pub(crate) instances: usize,
    /// Whether a majority of the instances has the version.
    pub(crate) accepted: bool,
    /// Names of the instances that reported an older version or none.
    pub(crate) behind: Vec<String>,
}

/// Reads the last reported status of each instance, sorted by name.
pub(crate) async fn read_instance_statuses(
    store: &impl ObjectStore,
) -> Result<Vec<InstanceStatus>, CliError> {
    let objects = list_json::<DataCentreStatus>(store, STATUS_PREFIX).await?;
    let mut statuses: Vec<_> = objects.into_iter().flat_map(|(_, it)| it.instances).collect();
    // An instance that moved between data centres may be listed in two objects. The higher version
    // is the later report, because versions never decrease.
    statuses.sort_by(|a, b| a.instance.cmp(&b.instance).then(b.version.cmp(&a.version)));
    statuses.dedup_by(|a, b| a.instance == b.instance);
    Ok(statuses)
}

/// Checks whether a majority of the instances has a version. `configured` is the number of
/// configured instances; if absent, the number of instances that have reported.
pub(crate) fn check_acceptance(
    statuses: &[InstanceStatus],
    version: Version,
    configured: Option<usize>,
) -> Acceptance {
    let holds = |it: &&InstanceStatus| it.version >= Some(version);
    let holding = statuses.iter().filter(holds).count();
    let instances = configured.unwrap_or(statuses.len());
    let behind =
        statuses.iter().filter(|it| !holds(it)).map(|it| it.instance.to_string()).collect();
    Acceptance { version, holding, instances, accepted: holding > instances / 2, behind }
}

/// Polls until a version is accepted or the timeout expires, and returns the last result.
pub(crate) async fn wait_until_accepted(
    store: &impl ObjectStore,
    version: Version,
    configured: Option<usize>,
    timeout: Duration,
) -> Result<Acceptance, CliError> {
    let end = Instant::now() + timeout;
    loop {
        let acceptance = match read_instance_statuses(store).await {
            Ok(statuses) => check_acceptance(&statuses, version, configured),
            // The version is already rolled out, so an error of the platform is returned only after
            // the timeout. Returned earlier, it would be reported as a failed roll-out.
            Err(CliError::Platform(_)) if Instant::now() < end => {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            Err(e) => return Err(e),
        };
        if acceptance.accepted || Instant::now() >= end {
            return Ok(acceptance);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
