//! A test deployment: the platform, a search service with two replicas per shard, a ledger with two
//! replicas, and entry instances.

use std::{
    fmt::Write as _,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::atomic::{AtomicU8, Ordering},
};

use compact_str::format_compact;
use sha2::{Digest, Sha256};
use tempfile::TempDir;

use super::{
    instance::InstanceProcess,
    process::binary_path,
    stand_ins::{PlatformProcess, UpstreamProcess},
};
use crate::upstream::{HoldingSpec, ReplicaSpec, ServiceTime, topology::equal_part};

/// Bearer token of the caller `desk`, the only caller in the bundle.
pub const TOKEN: &str = "desk-token";

/// Number of records of `order-desk`.
pub const RECORDS: u64 = 4_000;

/// Number of shards of `order-desk`.
pub const SHARDS: u16 = 4;

/// Port of the peer API of each entry instance. Nothing listens on the next port, which serves as
/// the address of unreachable peers.
const PEER_PORT: u16 = 7100;

/// Whether entry instances can connect to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerLinks {
    /// The settings of every instance contain the peer addresses of the others.
    Connected,
    /// The peer addresses in the settings are unreachable, because nothing listens on them.
    Disconnected,
}

/// A running test deployment. Its processes are killed on drop.
pub struct Site {
    /// Entry instances, alternately in the data centres `maun` and `rundu`.
    pub instances: Vec<InstanceProcess>,
    /// Process with one replica of each shard, in data centre `maun`.
    pub maun_shards: UpstreamProcess,
    /// Process with one replica of each shard, in data centre `rundu`.
    pub rundu_shards: UpstreamProcess,
    /// Process with two replicas of the ledger, one in each data centre.
    pub ledger: UpstreamProcess,
    /// Process of the platform stand-in.
    pub platform: PlatformProcess,
    dir: TempDir,
    /// Second and third octet of the loopback addresses of the entry instances.
    network: [u8; 2],
}

impl Site {
    /// Starts the platform and the upstreams, and rolls out version 1 of the bundle.
    pub async fn start() -> Site {
        let dir = tempfile::tempdir().expect("a temporary directory should be creatable");
        let path = dir.path();
        let platform = PlatformProcess::start(path).await;
        let maun_shards = UpstreamProcess::start(path, "first", &shard_replicas("maun")).await;
        let rundu_shards = UpstreamProcess::start(path, "second", &shard_replicas("rundu")).await;
        let ledgers = [ledger_replica("maun"), ledger_replica("rundu")];
        let ledger = UpstreamProcess::start(path, "ledger", &ledgers).await;
        for upstream in [&maun_shards, &rundu_shards, &ledger] {
            platform.set_instances(&upstream.entries).await;
        }
        let network = allocate_network();
        let site = Site {
            instances: Vec::new(),
            maun_shards,
            rundu_shards,
            ledger,
            platform,
            dir,
            network,
        };
        let keygen = site.run_cli(&["bundle", "keygen", "ops-1"]);
        assert!(keygen.status.success(), "{keygen:?}");
        let roll_out = site.roll_out(&bundle_yaml(1_000));
        assert!(roll_out.status.success(), "{roll_out:?}");
        site
    }

    /// Starts a deployment with `count` entry instances, and waits until each of them is ready and
    /// returns complete search results.
    pub async fn with_instances(count: usize) -> Site {
        let mut site = Site::start().await;
        site.start_instances(count);
        for instance in &site.instances {
            instance.wait_until_ready().await;
            instance.wait_for_complete_search().await;
        }
        site
    }

    /// Starts connected entry instances without waiting until they are ready.
    pub fn start_instances(&mut self, count: usize) {
        self.start_instances_with(count, PeerLinks::Connected);
    }

    /// Starts entry instances without waiting until they are ready.
    pub fn start_instances_with(&mut self, count: usize, links: PeerLinks) {
        let port_of_others = match links {
            PeerLinks::Connected => PEER_PORT,
            PeerLinks::Disconnected => PEER_PORT + 1,
        };
        for number in 0..count {
            let peer = self.addr(number, PEER_PORT);
            let others = (0..count).filter(|it| *it != number);
            let others: Vec<_> =
                others.map(|it| self.addr(it, port_of_others).to_string()).collect();
            let name = format!("entry-{number}");
            let (caller_addr, admin_addr) = (self.addr(number, 8080), self.addr(number, 9100));
            let data_centre = if number % 2 == 0 { "maun" } else { "rundu" };
            let text = format!(
                "instance: {name}
data_centre: {data_centre}
callers: {{ addr: {caller_addr} }}
peers: {{ addr: {peer}, others: [{}] }}
admin: {{ addr: {admin_addr} }}
platform: {{ addr: {}, timeout_ms: 500, watch_wait_ms: 5000 }}
trusted_keys: [{}]
",
                others.join(", "),
                self.platform.addr,
                self.public_key(),
            );
            let settings_file = self.dir.path().join(format!("{name}.yaml"));
            fs::write(&settings_file, text).expect("the directory should be writable");
            let instance = InstanceProcess::start(&name, caller_addr, admin_addr, &settings_file);
            self.instances.push(instance);
        }
    }

    /// Rolls out a bundle without waiting for the instances to activate it.
    #[must_use]
    pub fn roll_out(&self, bundle: &str) -> Output {
        self.run_cli(&self.roll_out_args(bundle))
    }

    /// Returns the unstarted command that rolls out a bundle, so that a test can run several at
    /// once.
    #[must_use]
    pub fn roll_out_command(&self, bundle: &str) -> Command {
        self.cli_command(&self.roll_out_args(bundle))
    }

    /// Runs the `rosemarybank` command-line tool and waits until it exits.
    #[must_use]
    pub fn run_cli(&self, args: &[impl AsRef<str>]) -> Output {
        self.cli_command(args).output().expect("`rosemarybank` should run")
    }

    fn cli_command(&self, args: &[impl AsRef<str>]) -> Command {
        let mut command = Command::new(binary_path("rosemarybank"));
        command.args(args.iter().map(AsRef::as_ref)).current_dir(self.dir.path());
        command.env("ROSEMARYBANK_PLATFORM", self.platform.addr.to_string());
        command
    }

    fn roll_out_args(&self, bundle: &str) -> Vec<String> {
        let file = self.write_bundle(bundle);
        let file = file.to_string_lossy();
        let args = ["bundle", "roll-out", &file, "--key", "ops-1.key", "--no-wait"];
        args.iter().map(|it| (*it).to_owned()).collect()
    }

    fn write_bundle(&self, bundle: &str) -> PathBuf {
        let hash = Sha256::digest(bundle);
        let file = self.dir.path().join(format!("bundle-{:02x}{:02x}.yaml", hash[0], hash[1]));
        fs::write(&file, bundle).expect("the directory should be writable");
        file
    }

    /// The public key of `ops-1` as a YAML flow mapping.
    fn public_key(&self) -> String {
        let file: &Path = &self.dir.path().join("ops-1.pub");
        let text =
            fs::read_to_string(file).expect("`bundle keygen` should have written the public key");
        let fields: Vec<_> = text.lines().collect();
        format!("{{ {} }}", fields.join(", "))
    }

    fn addr(&self, number: usize, port: u16) -> SocketAddr {
        let [a, b] = self.network;
        let host =
            u8::try_from(number + 1).expect("a deployment has fewer than 255 entry instances");
        (Ipv4Addr::new(127, a, b, host), port).into()
    }
}

/// Returns the YAML text of a bundle for the deployment. `timeout_ms` is the timeout of searches;
/// tests vary it to get different bundles.
#[must_use]
pub fn bundle_yaml(timeout_ms: u32) -> String {
    let hash = Sha256::digest(TOKEN).iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    });
    let mut shards = String::new();
    let mut upstreams = String::new();
    for shard in 0..SHARDS {
        let range = equal_part(shard, SHARDS);
        let (first, last) = (range.first(), range.last());
        let range = format!("{{ first: {first:016x}, last: {last:016x} }}");
        let name = format!("order-desk-{shard:02}");
        let _ = writeln!(shards, "      - {{ range: {range}, upstream: {name} }}");
        let _ = writeln!(upstreams, "  - {{ name: {name}, slots: 2, connections: 25 }}");
    }
    format!(
        "format: 1
services:
  - name: order-desk
    kind: search
    timeout_ms: {timeout_ms}
    shards:
{shards}  - name: lot-ledger
    kind: ledger
    timeout_ms: 3000
    shards:
      - {{ range: {{ first: 0000000000000000, last: ffffffffffffffff }}, upstream: lot-ledger }}
upstreams:
{upstreams}  - {{ name: lot-ledger, slots: 2, connections: 100 }}
callers:
  - {{ name: desk, token_sha256: {hash}, priority: normal, services: [order-desk, lot-ledger] }}
"
    )
}

/// Generates an idempotency key, a UUID of version 7.
#[must_use]
pub fn new_idempotency_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Holding of one shard of a snapshot of `order-desk`.
#[must_use]
pub fn holding(snapshot: u64, shard: u16) -> HoldingSpec {
    HoldingSpec {
        service: "order-desk".into(),
        snapshot,
        records: RECORDS,
        ranges: vec![equal_part(shard, SHARDS)],
    }
}

fn shard_replicas(data_centre: &str) -> Vec<ReplicaSpec> {
    let replica = |shard| ReplicaSpec {
        holdings: vec![holding(1, shard)],
        ..replica(&format!("order-desk-{shard:02}"), data_centre)
    };
    (0..SHARDS).map(replica).collect()
}

fn ledger_replica(data_centre: &str) -> ReplicaSpec {
    let ledgers = vec!["lot-ledger".into()];
    ReplicaSpec { ledgers, connections: 100, ..replica("lot-ledger", data_centre) }
}

fn replica(upstream: &str, data_centre: &str) -> ReplicaSpec {
    ReplicaSpec {
        replica: format_compact!("{upstream}-{data_centre}"),
        upstream: upstream.into(),
        data_centre: data_centre.into(),
        addr: (Ipv4Addr::LOCALHOST, 0).into(),
        slots: 2,
        queue: 8,
        connections: 25,
        connect_ms: 0,
        cold_start_ms: 0,
        service_time: ServiceTime { median_us: 3_000, sigma: 0.3 },
        holdings: Vec::new(),
        ledgers: Vec::new(),
    }
}

/// Returns the second and third octet of a loopback network for one deployment.
///
/// Instances have fixed ports, because their settings contain each other's addresses and they keep
/// their own across restarts. Separate networks avoid conflicts between concurrent deployments.
fn allocate_network() -> [u8; 2] {
    static ALLOCATED: AtomicU8 = AtomicU8::new(0);
    // The process id selects a block of eight networks between 127.16.0.0 and 127.127.255.0, so
    // that concurrent test processes rarely share one. 127.0 to 127.15 stay free for other uses.
    let block = u16::try_from(std::process::id() % (112 * 32))
        .expect("a remainder below 3584 fits into 16 bits");
    let index = ALLOCATED.fetch_add(1, Ordering::Relaxed) % 8;
    let [high, low] = (block << 3 | u16::from(index)).to_be_bytes();
    [16 + high, low]
}
