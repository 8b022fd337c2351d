//! Several instances: configuration, membership and quarantine.

mod common;

use std::time::Instant;

use common::{Bench, Instance, bundle, eventually, free_addrs};
use http::Method;
use rosemarybank_daemon::stop::StopOutcome;
use rosemarybank_standins::{
    platform::faults::PlatformFaults,
    upstream::faults::{CrashRule, StandingFaults},
};
use serde_json::Value;

fn fleet(bench: &Bench, n: usize) -> Vec<Instance> {
    let addrs = free_addrs(n);
    let start = |i: usize| {
        let others: Vec<_> = addrs.iter().copied().filter(|it| *it != addrs[i]).collect();
        let name = format!("entry-{}", i + 1);
        bench.unready_instance(&name, &addrs[i].to_string(), &others)
    };
    (0..n).map(start).collect()
}

fn status(bench: &Bench, instance: &Instance) -> Value {
    let reply = bench.send(Method::GET, instance.daemon.admin_addr, "/status", &[], "");
    serde_json::from_slice(reply.body()).unwrap()
}

fn await_members(bench: &Bench, fleet: &[Instance]) {
    eventually("every instance has heard every other", || {
        fleet.iter().all(|it| {
            let status = status(bench, it);
            let peers = status["peers"].as_array().cloned().unwrap_or_default();
            peers.len() == fleet.len() - 1 && peers.iter().all(|it| it["phase"] == "live")
        })
    });
}

fn search(bench: &Bench, instance: &Instance, query: &str) -> (u16, Value) {
    let body = format!(r#"{{"query":"{query}","timeout_ms":1500}}"#);
    bench.ask(Method::POST, instance.daemon.callers_addr, "/v1/services/stock/search", &[], &body)
}

/// Guards against a roll-out that reaches only the watchers, and a status object that is missing
/// or has several writers.
#[test]
fn a_roll_out_reaches_every_instance() {
    let bench = Bench::start();
    let fleet = fleet(&bench, 4);
    fleet.iter().for_each(|it| bench.await_ready(it));
    await_members(&bench, &fleet);
    eventually("two instances watch", || {
        fleet.iter().filter(|it| status(&bench, it)["is_watcher"] == true).count() == 2
    });
    let started = Instant::now();
    bench.roll_out(2, &bundle().replace("timeout_ms: 2000", "timeout_ms: 1900"));
    eventually("version 2 is in force everywhere", || {
        fleet.iter().all(|it| status(&bench, it)["version"] == 2)
    });
    println!("in force everywhere after {:?}", started.elapsed());
    eventually("the status object is complete", || {
        let reply = bench.send(Method::GET, bench.platform, "/objects/status/maun", &[], "");
        let status: Value = serde_json::from_slice(reply.body()).unwrap_or_default();
        let Some(instances) = status["instances"].as_array() else { return false };
        instances.len() == 4 && instances.iter().all(|it| it["version"] == 2 && it["ready"] == true)
    });
}

/// Guards against a bundle with a wrong signature, or an older one, that comes into force.
#[test]
fn only_newer_signed_bundles_come_into_force() {
    let bench = Bench::start();
    let instance = bench.instance();
    bench.roll_out(3, &bundle());
    eventually("version 3 is in force", || status(&bench, &instance)["version"] == 3);
    bench.roll_out(2, &bundle());
    let signed = rosemarybank_bundle::sign(&bench.key, 4, &bundle()).unwrap();
    let changed = signed.bundle.replace("timeout_ms: 2000", "timeout_ms: 1");
    let forged = rosemarybank_protocol::platform::SignedBundle { bundle: changed, ..signed };
    bench.put("config/current", serde_json::to_string(&forged).unwrap());
    eventually("the forged bundle is counted", || {
        let reply = bench.send(Method::GET, instance.daemon.admin_addr, "/metrics", &[], "");
        String::from_utf8_lossy(reply.body()).contains("rosemarybank_bundles_refused_total 1\n")
    });
    assert_eq!(status(&bench, &instance)["version"], 3);
    bench.roll_out(5, &bundle());
    eventually("version 5 is in force", || status(&bench, &instance)["version"] == 5);
}

/// Guards against a start that waits for a store that is down although a majority of peers knows
/// the configuration, and against a start from fewer peers.
#[test]
fn without_the_store_a_majority_of_peers_is_enough_to_start() {
    let bench = Bench::start();
    let addrs = free_addrs(4);
    let others =
        |i: usize| -> Vec<_> { addrs.iter().copied().filter(|it| *it != addrs[i]).collect() };
    let start = |i: usize| {
        let name = format!("entry-{}", i + 1);
        bench.unready_instance(&name, &addrs[i].to_string(), &others(i))
    };
    let first: Vec<_> = (0..2).map(start).collect();
    first.iter().for_each(|it| bench.await_ready(it));
    bench.platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let late = start(2);
    std::thread::sleep(std::time::Duration::from_secs(4));
    assert_eq!(status(&bench, &late)["version"], Value::Null, "two of four are no majority");
    bench.platform_faults(PlatformFaults::default());
    eventually("the store lets it start", || status(&bench, &late)["version"] == 1);

    bench.platform_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let last = start(3);
    eventually("three of four let it start", || status(&bench, &last)["version"] == 1);
    // Its list of replicas can only come from a peer.
    bench.await_ready(&last);
    assert_eq!(status(&bench, &last)["replicas"], 6);
    let (status, answer) = search(&bench, &last, "cherry");
    assert_eq!((status, &answer["complete"]), (200, &true.into()), "{answer}");
}

/// Guards against a request that crashes upstreams at each instance in turn, and against a release
/// that reaches one instance only.
#[test]
fn a_quarantine_spreads_and_is_released_everywhere() {
    let bench = Bench::start();
    let fleet = fleet(&bench, 3);
    fleet.iter().for_each(|it| bench.await_ready(it));
    await_members(&bench, &fleet);
    let crash = Some(CrashRule { text: "teak".into(), at: Default::default() });
    let faults = StandingFaults { crash, ..StandingFaults::default() };
    bench.upstream_faults(&["stock-low-1", "stock-low-2", "stock-high-1", "stock-high-2"], faults);
    eventually("the request is condemned", || search(&bench, &fleet[0], "teak").0 == 422);
    let started = Instant::now();
    for instance in &fleet[1..] {
        eventually("peers refuse it", || {
            status(&bench, instance)["quarantined"] == 1
                && search(&bench, instance, "teak").0 == 422
        });
    }
    println!("refused everywhere after {:?}", started.elapsed());
    bench.upstream_faults(&[], StandingFaults::default());
    let admin = fleet[1].daemon.admin_addr;
    let list = bench.send(Method::GET, admin, "/quarantine", &[], "");
    let list: Value = serde_json::from_slice(list.body()).unwrap();
    let fingerprint = list["entries"][0]["fingerprint"].as_u64().unwrap();
    let path = format!("/quarantine/stock/{fingerprint:016x}");
    assert_eq!(bench.send(Method::DELETE, admin, "/quarantine/stock/1", &[], "").status(), 404);
    assert_eq!(bench.send(Method::DELETE, admin, &path, &[], "").status(), 200);
    for instance in &fleet {
        eventually("it is released", || search(&bench, instance, "teak").0 == 200);
    }
}

/// Guards against an instance that leaves without telling its peers.
#[test]
fn a_stopping_instance_announces_that_it_leaves() {
    let bench = Bench::start();
    let mut fleet = fleet(&bench, 3);
    fleet.iter().for_each(|it| bench.await_ready(it));
    await_members(&bench, &fleet);
    assert_eq!(fleet.remove(0).stop(), StopOutcome::Graceful);
    eventually("its peers know that it left", || {
        fleet.iter().all(|it| {
            let status = status(&bench, it);
            let peers = status["peers"].as_array().unwrap();
            peers.iter().any(|it| it["instance"] == "entry-1" && it["phase"] == "leaving")
        })
    });
}

/// Guards against a stranger or a broken peer that stops an instance by what it sends to the peer
/// port.
#[test]
fn garbage_at_the_peer_port_does_no_harm() {
    use std::io::{Read, Write};
    let bench = Bench::start();
    let instance = bench.instance();
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let frame_of_16_mb =
        [&preface[..], &[0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1], &[7; 4_096]].concat();
    let parts: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 4_096], &frame_of_16_mb];
    for bytes in parts {
        let mut peer = std::net::TcpStream::connect(instance.daemon.peers_addr).unwrap();
        peer.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
        // The port may close before everything is sent.
        let _ = peer.write_all(bytes);
        let mut buf = [0; 1_024];
        while matches!(peer.read(&mut buf), Ok(n) if n > 0) {}
    }
    assert_eq!(search(&bench, &instance, "cherry").0, 200);
    assert_eq!(instance.stop(), StopOutcome::Graceful);
}
