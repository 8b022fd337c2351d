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

/// Pause between two reads of the status objects.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Which instances hold a version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Acceptance {
    /// The version asked about.
    pub(crate) version: Version,
    /// Instances that hold this version or a later one.
    pub(crate) holding: usize,
    /// Configured instances.
    pub(crate) instances: usize,
    /// Whether a majority holds it.
    pub(crate) accepted: bool,
    /// Names of the instances that do not hold it.
    pub(crate) behind: Vec<String>,
}

/// Reads what the instances last reported of themselves, in the order of their names.
pub(crate) async fn read_instance_statuses(
    store: &impl ObjectStore,
) -> Result<Vec<InstanceStatus>, CliError> {
    let objects = list_json::<DataCentreStatus>(store, STATUS_PREFIX).await?;
    let mut statuses: Vec<_> = objects.into_iter().flat_map(|(_, it)| it.instances).collect();
    // An instance that moved between data centres may stand in two objects; the newer version is
    // the later report, because versions never decrease.
    statuses.sort_by(|a, b| a.instance.cmp(&b.instance).then(b.version.cmp(&a.version)));
    statuses.dedup_by(|a, b| a.instance == b.instance);
    Ok(statuses)
}

/// Judges whether a version is accepted. `configured` is the number of configured instances; if
/// absent, the instances that have reported are all there are.
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

/// Waits until a version is accepted or the time is over, and returns the last judgement.
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
            // The version is rolled out; that the platform fails now must not be reported as a
            // failed roll-out.
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
