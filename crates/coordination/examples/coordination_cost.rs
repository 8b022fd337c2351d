//! Measures the network traffic and CPU time of coordination per instance.
//!
//! Run with `cargo run --release -p rosemarybank-coordination --example coordination_cost`.
//!
//! Bytes are counted on encoded messages, without HTTP/2, TCP and IP framing. CPU time is the thread
//! time reported by the kernel. It covers encoding, decoding and the state machines, but no network
//! system calls.

use std::{hint::black_box, net::SocketAddr, time::Duration};

use rosemarybank_coordination::{config, membership, quarantine};
use rosemarybank_protocol::{
    peer::{ConfigUpdate, Heartbeat, PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage},
    platform::{QuarantineEntry, SignedBundle},
    prelude::*,
};

const INTERVAL: Duration = Duration::from_millis(500);
const FLEET_SIZES: [usize; 5] = [2, 4, 8, 64, 680];
/// Number of heartbeats per measurement. With few peers, a single interval is too short to measure.
const HEARTBEATS_PER_RUN: usize = 400_000;
const UNIX_MS: u64 = 1_704_067_200_000;
/// Network and CPU budget of one instance for coordination, as given in the design document.
const BUDGET_BYTES_PER_S: f64 = 22_000.0;
const BUDGET_CORE_PERCENT: f64 = 1.4;
const CHANGES_PER_DAY: f64 = 2_600.0;

fn main() {
    println!("full-mesh heartbeats, one to each peer every 500 ms, each answered with a heartbeat");
    println!("members  bytes/message  sent bytes/s  received bytes/s   core %");
    let costs: Vec<_> = FLEET_SIZES.iter().map(|n| (*n, heartbeats(*n))).collect();
    for (members, Cost { message, sent, received, core }) in &costs {
        println!("{members:7}  {message:13}  {sent:12.0}  {received:16.0}  {core:7.4}");
    }
    let ((few, low), (many, high)) = (&costs[2], &costs[4]);
    let per_member = |low: f64, high: f64| (high - low) / (many - few) as f64;
    let (bytes, core) = (per_member(low.sent, high.sent), per_member(low.core, high.core));
    println!(
        "per additional member, from {few} to {many}: {bytes:.1} bytes/s sent and {core:.5} % core"
    );
    let (by_bytes, by_core) = (1.0 + BUDGET_BYTES_PER_S / bytes, 1.0 + BUDGET_CORE_PERCENT / core);
    println!("members within {BUDGET_BYTES_PER_S:.0} bytes/s sent: {by_bytes:.0}");
    println!("members within {BUDGET_CORE_PERCENT} % core: {by_core:.0}");
    digests();
    deltas();
}

struct Cost {
    message: usize,
    sent: f64,
    received: f64,
    /// Percent of a core.
    core: f64,
}

/// One instance of a fleet whose state does not change.
struct Instance {
    membership: membership::Machine,
    config: config::Machine,
    quarantine: quarantine::Machine,
}

impl Instance {
    fn new(members: usize) -> Instance {
        let out = &mut Vec::new();
        let settings = config::Settings::builder().instances(members as u32).build();
        let mut config = config::Machine::new(settings);
        config.handle(Time::ZERO, config::Event::Start, out);
        config.handle(Time::ZERO, config::Event::StoreHead(bundle(2_600, 0)), &mut Vec::new());

        let settings = quarantine::Settings::builder().unix_ms_at_zero(UNIX_MS).build();
        let mut quarantine = quarantine::Machine::new(settings);
        quarantine.handle(Time::ZERO, quarantine::Event::PeerEntries(entries(16)), &mut Vec::new());

        let settings = membership::Settings::builder()
            .instance(name(0))
            .incarnation(UNIX_MS)
            .data_centre("north-1")
            .addr(addr(0))
            .peers((1..members).map(addr).collect())
            .build();
        let mut membership = membership::Machine::new(settings);
        let local = membership::LocalState {
            version: config.version(),
            quarantine_digest: quarantine.entries().digest(),
            ready: true,
        };
        membership.handle(Time::ZERO, membership::Event::Local(local), &mut Vec::new());
        Instance { membership, config, quarantine }
    }

    fn receive(&mut self, now: Time, bytes: &[u8]) {
        let PeerEnvelope { from, message, .. } = decode(bytes);
        let PeerMessage::Heartbeat(heartbeat) = message else { return };
        let (version, digest) = (heartbeat.version, heartbeat.quarantine_digest);
        let event = membership::Event::HeartbeatReceived { from: from.clone(), heartbeat };
        self.membership.handle(now, event, &mut Vec::new());
        let event = config::Event::PeerHolds { instance: from.clone(), version };
        self.config.handle(now, event, &mut Vec::new());
        let event = quarantine::Event::PeerDigest { instance: from, digest };
        self.quarantine.handle(now, event, &mut Vec::new());
    }
}

fn heartbeats(members: usize) -> Cost {
    let mut instance = Instance::new(members);
    let own = name(0);
    let peers: Vec<Vec<u8>> = (1..members)
        .map(|i| {
            let heartbeat = Heartbeat { addr: addr(i), ..instance.membership.heartbeat() };
            encode(&name(i), PeerMessage::Heartbeat(heartbeat))
        })
        .collect();
    let intervals = (HEARTBEATS_PER_RUN / (2 * peers.len())).max(1) as u32;
    let (mut sent, mut received, mut message) = (0, 0, 0);
    instance.membership.handle(Time::ZERO, membership::Event::Start, &mut Vec::new());

    let started = cpu_time();
    for interval in 1..=intervals {
        let now = INTERVAL * interval;
        let mut out = Vec::new();
        instance.membership.handle(now, membership::Event::Tick, &mut out);
        for action in out {
            let membership::Action::SendHeartbeats { to, heartbeat } = action else { continue };
            message = encode(&own, PeerMessage::Heartbeat(heartbeat)).len();
            sent += message * to.len();
        }
        for peer in &peers {
            // The reply to the heartbeat of this instance, then the heartbeat of the peer.
            instance.receive(now, peer);
            instance.receive(now, peer);
            received += 2 * peer.len();
            let answer = PeerMessage::Heartbeat(instance.membership.heartbeat());
            sent += black_box(encode(&own, answer)).len();
        }
    }
    let used = cpu_time() - started;
    assert_eq!(instance.membership.fleet_size() as usize, members, "every peer is live");

    let simulated = INTERVAL.as_secs_f64() * f64::from(intervals);
    Cost {
        message,
        sent: sent as f64 / simulated,
        received: received as f64 / simulated,
        core: 100.0 * used.as_secs_f64() / simulated,
    }
}

fn digests() {
    println!("\nquarantine: push of the whole set after a digest mismatch");
    println!("entries  bytes  merge µs");
    for count in [1, 16, 256] {
        let push = encode(&name(0), PeerMessage::QuarantinePush(entries(count)));
        let rounds = 1_000_000 / count as u32;
        let started = cpu_time();
        for _ in 0..rounds {
            let settings = quarantine::Settings::builder().unix_ms_at_zero(UNIX_MS).build();
            let mut machine = quarantine::Machine::new(settings);
            let PeerMessage::QuarantinePush(entries) = decode(&push).message else { return };
            let event = quarantine::Event::PeerEntries(entries);
            machine.handle(Time::ZERO, event, &mut Vec::new());
            black_box(machine.entries().digest());
        }
        let used = micros(cpu_time() - started, rounds);
        println!("{count:7}  {:5}  {used:8.2}", push.len());
    }
}

fn deltas() {
    println!("\nconfiguration: one changed line in a bundle, {CHANGES_PER_DAY} changes per day");
    println!("  bundle bytes  whole bytes/s  delta bytes  delta bytes/s  make µs  apply µs");
    for kilobytes in [10, 100, 1_000] {
        let (old, new) = (bundle(1, kilobytes), bundle(2, kilobytes));
        let rounds = 300;
        let started = cpu_time();
        for _ in 0..rounds {
            black_box(config::make_delta(&old, &new));
        }
        let make = micros(cpu_time() - started, rounds);
        let delta = config::make_delta(&old, &new);
        let started = cpu_time();
        for _ in 0..rounds {
            black_box(config::apply_delta(&old, &delta)).expect("the delta was made for it");
        }
        let apply = micros(cpu_time() - started, rounds);
        let push = |update| encode(&name(0), PeerMessage::ConfigPush(update)).len();
        let (whole, delta) = (push(ConfigUpdate::Whole(new)), push(ConfigUpdate::Delta(delta)));
        let rate = |bytes: usize| bytes as f64 * CHANGES_PER_DAY / 86_400.0;
        println!(
            "{whole:14}  {:13.1}  {delta:11}  {:13.1}  {make:7.0}  {apply:8.0}",
            rate(whole),
            rate(delta)
        );
    }
}

/// Creates a bundle of about the given size. Versions differ in one line in the middle.
fn bundle(version: Version, kilobytes: usize) -> SignedBundle {
    let lines = kilobytes * 1_000 / 50;
    let mut text = String::new();
    for i in 0..lines {
        let connections = if i == lines / 2 { version } else { 25 };
        text += &format!("  - name: replica-{i:06}\n    connections: {connections:05}\n");
    }
    SignedBundle {
        version,
        signer: "operators-2024".into(),
        bundle: text,
        signature: "A".repeat(88).into(),
    }
}

fn entries(count: u64) -> Vec<QuarantineEntry> {
    let entry = |fingerprint: u64| QuarantineEntry {
        service: "order-desk-1".into(),
        fingerprint: fingerprint.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        crashes: 2,
        expires_unix_ms: u64::MAX / 2,
        released: false,
    };
    (1..=count).map(entry).collect()
}

fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000))
}

fn name(i: usize) -> InstanceId {
    format!("entry-{i:04}").into()
}

fn encode(from: &InstanceId, message: PeerMessage) -> Vec<u8> {
    let envelope = PeerEnvelope { protocol: PEER_PROTOCOL_VERSION, from: from.clone(), message };
    bincode::serde::encode_to_vec(envelope, bincode::config::standard())
        .expect("messages of these types encode")
}

fn decode(bytes: &[u8]) -> PeerEnvelope {
    let (envelope, _) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .expect("the message was encoded by this program");
    envelope
}

/// Returns the CPU time of this thread.
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux accounts it");
    let ns = stat.split_whitespace().next().and_then(|ns| ns.parse().ok());
    Duration::from_nanos(ns.expect("the first field is the time in nanoseconds"))
}

fn micros(time: Duration, rounds: u32) -> f64 {
    time.as_secs_f64() * 1e6 / f64::from(rounds)
}
