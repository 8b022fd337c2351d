//! Configuration roll-outs and store outages with real processes.

use std::process::Stdio;

use rosemarybank_protocol::platform::InstanceEntry;
use rosemarybank_standins::{
    fleet::{Signal, Site, site::bundle_yaml, wait_until},
    platform::PlatformFaults,
};

/// Exit code of the command line when the configuration has another version than expected.
const CONFLICT: i32 = 3;

/// Waits until all instances have a version, and fails if one has a later version.
async fn wait_for_version(site: &Site, version: u64) {
    for instance in &site.instances {
        wait_until(&format!("{} has version {version}", instance.name), async || {
            let now = instance.config_version().await?;
            assert!(now <= version, "version {now} was never rolled out");
            (now == version).then_some(())
        })
        .await;
    }
}

/// Guards against a roll-out that does not reach an instance, or is lost when instances are killed
/// or restarted.
#[tokio::test]
async fn a_roll_out_reaches_all_instances_and_survives_restarts() {
    let mut site = Site::with_instances(3).await;
    wait_for_version(&site, 1).await;
    assert!(site.roll_out(&bundle_yaml(1_500)).status.success());
    wait_for_version(&site, 2).await;
    for (number, signal) in [Signal::Kill, Signal::Term, Signal::Kill].into_iter().enumerate() {
        site.instances[number].process.signal(signal);
        site.instances[number].restart().await;
        site.instances[number].wait_until_ready().await;
        let version = wait_until("a version is shown", async || {
            site.instances[number].config_version().await
        });
        assert_eq!(version.await, 2);
    }
    wait_for_version(&site, 2).await;
}

/// Guards against two concurrent roll-outs that both succeed although they expect the same version.
#[tokio::test]
async fn one_of_two_concurrent_roll_outs_succeeds() {
    let site = Site::with_instances(2).await;
    for version in 1..=3 {
        let commands = [2_000, 3_000].map(|timeout| {
            let mut command = site.roll_out_command(&bundle_yaml(timeout + version));
            command.args(["--expect", &version.to_string()]);
            command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the command starts")
        });
        let codes =
            commands.map(|mut it| it.wait().expect("the child process can be waited for").code());
        assert!(codes.contains(&Some(0)) && codes.contains(&Some(CONFLICT)), "{codes:?}");
        wait_for_version(&site, u64::from(version) + 1).await;
    }
}

/// Guards against an instance that serves without a confirmed configuration, or does not become
/// ready when the store recovers.
#[tokio::test]
async fn instances_become_ready_after_a_store_outage_at_startup() {
    let mut site = Site::start().await;
    site.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
    site.start_instances(2);
    for instance in &site.instances {
        wait_until("the instance has called the store", async || {
            (instance.platform_calls().await? >= 3).then_some(())
        })
        .await;
        assert!(!instance.is_ready().await);
        assert_eq!(instance.config_version().await, None);
    }
    site.platform.set_faults(PlatformFaults::default()).await;
    for instance in &site.instances {
        instance.wait_until_ready().await;
        instance.wait_for_complete_search().await;
    }
}

/// Guards against searches that depend on the store, and against a configuration that changes
/// during an outage of the store or is not updated after it.
#[tokio::test]
async fn searches_and_configuration_survive_a_store_outage() {
    let site = Site::with_instances(3).await;
    wait_for_version(&site, 1).await;
    for faults in [
        PlatformFaults { down: true, ..PlatformFaults::default() },
        PlatformFaults { silent: true, ..PlatformFaults::default() },
    ] {
        site.platform.set_faults(faults).await;
        for round in 0..30 {
            let instance = &site.instances[round % 3];
            let (status, answer) = instance.search(r#"{"query":"cherry"}"#).await.unwrap();
            assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
            assert_eq!(instance.config_version().await, Some(1));
        }
        assert!(!site.roll_out(&bundle_yaml(1_500)).status.success());
        site.platform.set_faults(PlatformFaults::default()).await;
    }
    assert!(site.roll_out(&bundle_yaml(1_500)).status.success());
    wait_for_version(&site, 2).await;
}

/// Guards against a restarted instance that needs the store although a majority of its peers has
/// the current version, and against one that is ready without a list of replicas.
#[tokio::test]
async fn a_restarted_instance_learns_version_and_replicas_from_its_peers() {
    let mut site = Site::with_instances(3).await;
    wait_for_version(&site, 1).await;
    for faults in [
        PlatformFaults { down: true, ..PlatformFaults::default() },
        PlatformFaults { silent: true, ..PlatformFaults::default() },
    ] {
        site.platform.set_faults(faults).await;
        // The last one restarts when its peers have got their state from peers as well.
        for number in 0..3 {
            site.instances[number].process.signal(Signal::Kill);
            site.instances[number].restart().await;
            site.instances[number].wait_until_ready().await;
            assert_eq!(site.instances[number].config_version().await, Some(1));
            let search = r#"{"query":"cherry","coverage":"complete"}"#;
            let (status, answer) = site.instances[number].search(search).await.unwrap();
            assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
        }
        // The store's list replaces that of the peers, so a replica that it gained appears.
        let list = site.platform.list_values("instances/").await;
        let mut added: InstanceEntry = serde_json::from_value(list[0].clone()).expect("an entry");
        added.replica = format!("added-{}", list.len()).into();
        site.platform.set_instances(&[added]).await;
        site.platform.set_faults(PlatformFaults::default()).await;
        for instance in &site.instances {
            wait_until("the instance follows the store's list", async || {
                (instance.replica_count().await? == list.len() as u64 + 1).then_some(())
            })
            .await;
        }
    }
}
