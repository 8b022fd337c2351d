//! Configuration while either the peers or the store are unreachable.

use rosemarybank_standins::{
    fleet::{PeerLinks, Signal, Site, site::bundle_yaml, wait_until},
    platform::PlatformFaults,
};

/// Waits until all instances have a version, and fails if one returns to an earlier version.
async fn wait_for_version(site: &Site, version: u64) {
    let mut highest = vec![0; site.instances.len()];
    wait_until(&format!("all instances have version {version}"), async || {
        for (instance, highest) in site.instances.iter().zip(&mut highest) {
            let now = instance.config_version().await.unwrap_or(0);
            assert!(now >= *highest, "{} went from {highest} to {now}", instance.name);
            assert!(now <= version, "version {now} was never rolled out");
            *highest = now;
        }
        highest.iter().all(|it| *it == version).then_some(())
    })
    .await;
}

/// Guards against instances that get new versions only from their peers.
#[tokio::test]
async fn instances_without_peers_get_every_version_from_the_store() {
    let mut site = Site::start().await;
    site.start_instances_with(3, PeerLinks::Disconnected);
    for instance in &site.instances {
        instance.wait_until_ready().await;
    }
    wait_for_version(&site, 1).await;
    for version in 2..=3 {
        assert!(site.roll_out(&bundle_yaml(1_000 + version)).status.success());
        wait_for_version(&site, version.into()).await;
    }
    // A restarted instance has no peers either.
    site.instances[1].process.signal(Signal::Kill);
    site.instances[1].restart().await;
    site.instances[1].wait_until_ready().await;
    wait_for_version(&site, 3).await;
}

/// Guards against a version that does not spread from the instances that read it before a store
/// outage, and against an earlier version after a restart during the outage.
#[tokio::test]
async fn instances_without_the_store_get_the_version_from_peers() {
    let mut site = Site::with_instances(3).await;
    wait_for_version(&site, 1).await;
    // Only the running instances can read the roll-out; the paused one must get it from its peers.
    site.instances[2].process.signal(Signal::Stop);
    assert!(site.roll_out(&bundle_yaml(1_500)).status.success());
    wait_until("a majority has version 2", async || {
        let versions =
            [site.instances[0].config_version().await, site.instances[1].config_version().await];
        (versions == [Some(2); 2]).then_some(())
    })
    .await;
    site.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() }).await;
    site.instances[2].process.signal(Signal::Cont);
    wait_until("the third instance has version 2", async || {
        (site.instances[2].config_version().await == Some(2)).then_some(())
    })
    .await;
    for number in 0..2 {
        site.instances[number].process.signal(Signal::Kill);
        site.instances[number].restart().await;
        site.instances[number].wait_until_ready().await;
        wait_for_version(&site, 2).await;
    }
}
