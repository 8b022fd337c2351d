//! Fleets of instances: configuration, membership and quarantine.

mod common;

use std::time::Instant;

use common::{Instance, TestEnv, bundle, eventually, free_addrs};
use http::Method;
use rosemarybank_daemon::stop::StopOutcome;
use rosemarybank_standins::{
    platform::faults::PlatformFaults,
    upstream::faults::{CrashRule, ReplicaFaults},
};
use serde_json::Value;

fn start_fleet(env: &TestEnv, n: usize) -> Vec<Instance> {
    let addrs = free_addrs(n);
    let start = |i: usize| {
        let others: Vec<_> = addrs.iter().copied().filter(|it| *it != addrs[i]).collect();
        let name = format!("entry-{}", i + 1);
        env.start_unready_instance(&name, &addrs[i].to_string(), &others)
    };
    (0..n).map(start).collect()
}

fn instance_status(env: &TestEnv, instance: &Instance) -> Value {
    let reply = env.send(Method::GET, instance.daemon.admin_addr, "/status", &[], "");
    serde_json::from_slice(reply.body()).unwrap()
}

fn wait_for_members(env: &TestEnv, fleet: &[Instance]) {
    eventually("every instance has heard every other", || {
        fleet.iter().all(|it| {
            let status = instance_status(env, it);
            let peers = status["peers"].as_array().cloned().unwrap_or_default();
            peers.len() == fleet.len() - 1 && peers.iter().all(|it| it["phase"] == "live")
        })
    });
}

fn search(env: &TestEnv, instance: &Instance, query: &str) -> (u16, Value) {
    let body = format!(r#"{{"query":"{query}","timeout_ms":1500}}"#);
    env.send_as_desk(
        Method::POST,
        instance.daemon.callers_addr,
        "/v1/services/stock/search",
        &[],
        &body,
    )
}

/// Guards against a roll-out that reaches only the instances that watch the store, and against a
/// status object that is missing or written by several instances.
#[test]
fn a_roll_out_reaches_every_instance() {
    let env = TestEnv::start();
    let fleet = start_fleet(&env, 4);
    fleet.iter().for_each(|it| env.wait_until_ready(it));
    wait_for_members(&env, &fleet);
    eventually("two instances watch", || {
        fleet.iter().filter(|it| instance_status(&env, it)["is_watcher"] == true).count() == 2
    });
    let started = Instant::now();
    env.roll_out(2, &bundle().replace("timeout_ms: 2000", "timeout_ms: 1900"));
    eventually("version 2 is active on all instances", || {
        fleet.iter().all(|it| instance_status(&env, it)["version"] == 2)
    });
    println!("active on all instances after {:?}", started.elapsed());
    eventually("the status object is complete", || {
        let reply = env.send(Method::GET, env.platform, "/objects/status/maun", &[], "");
        let status: Value = serde_json::from_slice(reply.body()).unwrap_or_default();
        let Some(instances) = status["instances"].as_array() else { return false };
        instances.len() == 4 && instances.iter().all(|it| it["version"] == 2 && it["ready"] == true)
    });
}

/// Guards against activating a bundle with an invalid signature or an older version.
#[test]
fn only_newer_signed_bundles_are_activated() {
    let env = TestEnv::start();
    let instance = env.start_instance();
    env.roll_out(3, &bundle());
    eventually("version 3 is active", || instance_status(&env, &instance)["version"] == 3);
    env.roll_out(2, &bundle());
    let signed = rosemarybank_bundle::sign(&env.key, 4, &bundle()).unwrap();
    let changed = signed.bundle.replace("timeout_ms: 2000", "timeout_ms: 1");
    let forged = rosemarybank_protocol::platform::SignedBundle { bundle: changed, ..signed };
    env.put("config/current", serde_json::to_string(&forged).unwrap());
    eventually("the forged bundle is counted", || {
        let reply = env.send(Method::GET, instance.daemon.admin_addr, "/metrics", &[], "");
        String::from_utf8_lossy(reply.body()).contains("rosemarybank_bundles_refused_total 1\n")
    });
    assert_eq!(instance_status(&env, &instance)["version"], 3);
    env.roll_out(5, &bundle());
    eventually("version 5 is active", || instance_status(&env, &instance)["version"] == 5);
}

/// Guards against an instance that waits for an unavailable store although a majority of the fleet
/// has the configuration, and against one that starts from fewer peers.
#[test]
fn without_the_store_a_majority_of_peers_is_enough_to_start() {
    let env = TestEnv::start();
    let addrs = free_addrs(4);
    let others =
        |i: usize| -> Vec<_> { addrs.iter().copied().filter(|it| *it != addrs[i]).collect() };
    let start = |i: usize| {
        let name = format!("entry-{}", i + 1);
        env.start_unready_instance(&name, &addrs[i].to_string(), &others(i))
    };
    let first: Vec<_> = (0..2).map(start).collect();
    first.iter().for_each(|it| env.wait_until_ready(it));
    env.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let third = start(2);
    std::thread::sleep(std::time::Duration::from_secs(4));
    assert_eq!(
        instance_status(&env, &third)["version"],
        Value::Null,
        "two of four are no majority"
    );
    env.set_platform_faults(PlatformFaults::default());
    eventually("the third instance starts from the store", || {
        instance_status(&env, &third)["version"] == 1
    });

    env.set_platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let fourth = start(3);
    eventually("the fourth instance starts from three of four", || {
        instance_status(&env, &fourth)["version"] == 1
    });
    // The store is down, so the list of replicas comes from a peer.
    env.wait_until_ready(&fourth);
    assert_eq!(instance_status(&env, &fourth)["replicas"], 6);
    let (status, response) = search(&env, &fourth, "cherry");
    assert_eq!((status, &response["complete"]), (200, &true.into()), "{response}");
}

/// Guards against a request that crashes upstreams again through each instance because its
/// quarantine is not shared, and against a release that takes effect on one instance only.
#[test]
fn a_quarantine_entry_is_shared_and_released_on_all_instances() {
    let env = TestEnv::start();
    let fleet = start_fleet(&env, 3);
    fleet.iter().for_each(|it| env.wait_until_ready(it));
    wait_for_members(&env, &fleet);
    let crash = Some(CrashRule { text: "teak".into(), at: Default::default() });
    let faults = ReplicaFaults { crash, ..ReplicaFaults::default() };
    env.set_upstream_faults(
        &["stock-low-1", "stock-low-2", "stock-high-1", "stock-high-2"],
        faults,
    );
    eventually("the request is quarantined", || search(&env, &fleet[0], "teak").0 == 422);
    let started = Instant::now();
    for instance in &fleet[1..] {
        eventually("its peers refuse the request", || {
            instance_status(&env, instance)["quarantined"] == 1
                && search(&env, instance, "teak").0 == 422
        });
    }
    println!("refused on all instances after {:?}", started.elapsed());
    env.set_upstream_faults(&[], ReplicaFaults::default());
    let admin = fleet[1].daemon.admin_addr;
    let list = env.send(Method::GET, admin, "/quarantine", &[], "");
    let list: Value = serde_json::from_slice(list.body()).unwrap();
    let fingerprint = list["entries"][0]["fingerprint"].as_u64().unwrap();
    let path = format!("/quarantine/stock/{fingerprint:016x}");
    assert_eq!(env.send(Method::DELETE, admin, "/quarantine/stock/1", &[], "").status(), 404);
    assert_eq!(env.send(Method::DELETE, admin, &path, &[], "").status(), 200);
    for instance in &fleet {
        eventually("the request is released", || search(&env, instance, "teak").0 == 200);
    }
}

/// Guards against an instance that stops without notifying its peers.
#[test]
fn a_stopping_instance_announces_that_it_leaves() {
    let env = TestEnv::start();
    let mut fleet = start_fleet(&env, 3);
    fleet.iter().for_each(|it| env.wait_until_ready(it));
    wait_for_members(&env, &fleet);
    assert_eq!(fleet.remove(0).stop(), StopOutcome::Graceful);
    eventually("its peers know that it left", || {
        fleet.iter().all(|it| {
            let status = instance_status(&env, it);
            let peers = status["peers"].as_array().unwrap();
            peers.iter().any(|it| it["instance"] == "entry-1" && it["phase"] == "leaving")
        })
    });
}

/// Guards against an instance that fails when a broken peer or another program sends invalid data
/// to its peer port.
#[test]
fn invalid_data_at_the_peer_port_does_not_stop_an_instance() {
    use std::io::{Read, Write};
    let env = TestEnv::start();
    let instance = env.start_instance();
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let frame_of_16_mb =
        [&preface[..], &[0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1], &[7; 4_096]].concat();
    let inputs: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 4_096], &frame_of_16_mb];
    for bytes in inputs {
        let mut peer = std::net::TcpStream::connect(instance.daemon.peers_addr).unwrap();
        peer.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        // The port may close before everything is sent.
        let _ = peer.write_all(bytes);
        let mut buf = [0; 1_024];
        while matches!(peer.read(&mut buf), Ok(n) if n > 0) {}
    }
    assert_eq!(search(&env, &instance, "cherry").0, 200);
    assert_eq!(instance.stop(), StopOutcome::Graceful);
}
