//! A site on loopback: the platform, upstream replicas in three data centres, and fleets of entry
//! instances.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use eyre::{Context, Result, ensure};
use http::Method;
use rosemarybank_protocol::platform::InstanceEntry;
use rosemarybank_standins::{client::HttpClient, platform::PlatformFaults};
use serde::Serialize;
use serde_json::Value;
use tempfile::TempDir;
use tokio::process::Command;

use crate::{
    bundle_text::{BundleOptions, CRITICAL_TOKEN, bundle_text},
    load::{LoadPlan, LoadResult},
    metrics::Scrape,
    process::{Process, find_addr, wait_until},
    site_profile::SiteProfile,
    upstreams::{UpstreamOptions, UpstreamProcess},
};

/// Distance between the seeds of two data centres. It exceeds the number of replicas in a data
/// centre, so that no two replicas share a seed.
const DATA_CENTRE_SEED_STRIDE: u64 = 10_000;

/// Routing policy of the instances of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The default policy.
    Adaptive,
    /// The policy for comparisons.
    Baseline,
}

impl Policy {
    /// Both policies, in the order in which each round measures them.
    pub const BOTH: [Policy; 2] = [Policy::Adaptive, Policy::Baseline];

    /// Returns the name in settings and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Policy::Adaptive => "adaptive",
            Policy::Baseline => "baseline",
        }
    }
}

/// An entry instance.
#[derive(Debug)]
pub struct Instance {
    /// The process.
    pub process: Process,
    /// Caller-facing address.
    pub callers_addr: SocketAddr,
    /// Admin address.
    pub admin_addr: SocketAddr,
}

/// Entry instances that are each other's peers.
#[derive(Debug)]
pub struct Fleet {
    /// Policy of all instances.
    pub policy: Policy,
    /// The instances.
    pub instances: Vec<Instance>,
}

impl Fleet {
    /// Returns the caller-facing addresses.
    #[must_use]
    pub fn callers_addrs(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|it| it.callers_addr).collect()
    }

    /// Returns the admin addresses.
    #[must_use]
    pub fn admin_addrs(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|it| it.admin_addr).collect()
    }
}

/// Data centres in which the stand-ins see the instances of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Spread over the data centres, with emulated delays between them.
    Spread,
    /// All in the first data centre, without emulated delays.
    FirstWithoutDelays,
}

/// A running site. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// Services, data centres and service times of the site.
    pub profile: SiteProfile,
    /// Upstream processes, one for each data centre.
    pub upstreams: Vec<UpstreamProcess>,
    /// Client for control and admin requests.
    pub client: ControlClient,
    platform: Process,
    platform_addr: SocketAddr,
    platform_control: SocketAddr,
    dir: PathBuf,
    bin_dir: PathBuf,
    /// Second octet of the loopback addresses of this site.
    network: u8,
    /// Last octet of the address of the next instance.
    next_host: u8,
    // Removes the directory when the site is dropped; `None` if the files are kept.
    _temp_dir: Option<TempDir>,
}

/// HTTP client for control and admin requests. The wrapper implements `Debug`.
#[derive(Clone)]
pub struct ControlClient(pub HttpClient);

impl std::fmt::Debug for ControlClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ControlClient")
    }
}

/// Options that all sites of a run share.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Directory of the binaries.
    pub bin_dir: PathBuf,
    /// Whether log and settings files are kept after the run.
    pub files: FileRetention,
}

/// Whether the files of a site are kept after the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileRetention {
    /// Remove the files.
    Remove,
    /// Keep the files in the system's temporary directory.
    Keep,
}

impl Site {
    /// Starts the platform and the upstream replicas, and rolls out the first bundle.
    ///
    /// # Errors
    ///
    /// Fails if a process does not become ready.
    pub async fn start(
        options: &SiteOptions,
        profile: SiteProfile,
        bundle: BundleOptions,
    ) -> Result<Site> {
        let temp = tempfile::tempdir()?;
        let (dir, temp) = match options.files {
            FileRetention::Remove => (temp.path().to_owned(), Some(temp)),
            FileRetention::Keep => (temp.keep(), None),
        };
        // Process tests use 127.16 to 127.127. The process id keeps concurrent runs apart.
        let network = 128 + u8::try_from(std::process::id() % 100).expect("less than 100");
        let args = ["--listen", "127.0.0.1:0", "--control", "127.0.0.1:0"];
        let binary = options.bin_dir.join("standin-platform");
        let mut platform = Process::start(&binary, &args, &dir.join("platform.log"))?;
        let addrs = platform.wait_ready().await?;
        let mut site = Site {
            profile,
            upstreams: Vec::new(),
            client: ControlClient(HttpClient::http1()),
            platform,
            platform_addr: find_addr(&addrs, "platform")?,
            platform_control: find_addr(&addrs, "control")?,
            dir,
            bin_dir: options.bin_dir.clone(),
            network,
            next_host: 10,
            _temp_dir: temp,
        };
        site.start_upstreams().await?;
        site.run_cli(&["bundle", "keygen", "ops-1"]).await?;
        site.roll_out(bundle).await?;
        Ok(site)
    }

    /// Returns the process id of the platform.
    #[must_use]
    pub fn platform_pid(&self) -> u32 {
        self.platform.pid()
    }

    /// Rolls out a bundle without waiting for the instances to activate it.
    ///
    /// # Errors
    ///
    /// Fails if `rosemarybank bundle roll-out` fails.
    pub async fn roll_out(&self, bundle: BundleOptions) -> Result<()> {
        let text = bundle_text(&self.profile, bundle);
        fs::write(self.dir.join("bundle.yaml"), text)?;
        self.run_cli(&["bundle", "roll-out", "bundle.yaml", "--key", "ops-1.key", "--no-wait"])
            .await
    }

    /// Starts instances and waits until each of them returns complete answers.
    ///
    /// # Errors
    ///
    /// Fails if an instance does not become ready.
    pub async fn start_fleet(
        &mut self,
        policy: Policy,
        count: u8,
        placement: Placement,
    ) -> Result<Fleet> {
        let hosts: Vec<_> = (0..count).map(|it| self.next_host + it).collect();
        self.next_host += count;
        let mut fleet = Fleet { policy, instances: Vec::new() };
        let peers: Vec<_> = hosts.iter().map(|&host| self.host_addr(host)).collect();
        for (number, &ip) in peers.iter().enumerate() {
            let other_peers =
                peers.iter().filter(|it| **it != ip).map(|it| format!("\"{it}:7100\""));
            let other_peers: Vec<_> = other_peers.collect();
            let name = format!("{}-{}", policy.name(), ip.octets()[3]);
            let text =
                self.settings_yaml(&name, number, ip, policy, placement, &other_peers.join(", "))?;
            let settings = self.dir.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            let args = ["--settings", &settings.to_string_lossy()];
            let log = self.dir.join(format!("{name}.log"));
            let process = Process::start(&self.bin_dir.join("rosemarybankd"), &args, &log)?;
            let (callers_addr, admin_addr) = ((ip, 8080).into(), (ip, 9100).into());
            fleet.instances.push(Instance { process, callers_addr, admin_addr });
        }
        self.wait_until_complete(&fleet).await?;
        Ok(fleet)
    }

    /// Waits until each instance returns a complete answer for each service.
    ///
    /// # Errors
    ///
    /// Fails if an instance takes longer than 20 s.
    pub async fn wait_until_complete(&self, fleet: &Fleet) -> Result<()> {
        for instance in &fleet.instances {
            for (service, _) in &self.profile.services {
                let what = format!(
                    "waiting for a complete answer of {service} from {}",
                    instance.callers_addr
                );
                wait_until(&what, async || self.is_complete(instance, service).await).await?;
            }
        }
        Ok(())
    }

    /// Returns the bundle version that is active at an instance, or `None` if it does not answer.
    pub async fn active_version(&self, instance: &Instance) -> Option<u64> {
        let sent = self.client.0.send(Method::GET, instance.admin_addr, "/status", &[], "");
        let status: Value = serde_json::from_slice(sent.await.ok()?.body()).ok()?;
        status["version"].as_u64()
    }

    /// Runs the load generator.
    ///
    /// # Errors
    ///
    /// Fails if the load generator fails.
    pub async fn run_load(&self, plan: &LoadPlan) -> Result<LoadResult> {
        plan.run(self.cli_command()).await
    }

    /// Reads the metrics of a fleet, after a delay in which the telemetry threads of the instances
    /// count the last requests.
    ///
    /// # Errors
    ///
    /// Fails if an instance does not answer.
    pub async fn scrape(&self, fleet: &Fleet) -> Result<Scrape> {
        tokio::time::sleep(Duration::from_millis(300)).await;
        Scrape::read(&self.client.0, &fleet.admin_addrs()).await
    }

    /// Returns the number of requests that all replicas have received, without status polls.
    ///
    /// # Errors
    ///
    /// Fails if an upstream process does not answer.
    pub async fn requests_received(&self) -> Result<u64> {
        let mut sum = 0;
        for upstreams in &self.upstreams {
            let counters = upstreams.counters(&self.client.0).await?;
            sum += counters.values().map(|it| it.received).sum::<u64>();
        }
        Ok(sum)
    }

    /// Sets the injected faults of the platform.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the request.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> Result<()> {
        self.post("/faults", faults).await
    }

    /// Adds or replaces entries in the platform's list of replicas.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the request.
    pub async fn set_instances(&self, entries: &[InstanceEntry]) -> Result<()> {
        self.post("/instances", &entries).await
    }

    async fn start_upstreams(&mut self) -> Result<()> {
        let topology = self.dir.join("topology.json");
        fs::write(&topology, serde_json::to_vec(&self.profile.topology(self.network))?)?;
        for (name, number) in self.profile.data_centres.iter().zip(0..) {
            let options = UpstreamOptions {
                binary: self.bin_dir.join("standin-upstream"),
                dir: self.dir.clone(),
                topology: topology.clone(),
                data_centre: (*name).to_owned(),
                seed: self.profile.seed.wrapping_add(DATA_CENTRE_SEED_STRIDE * number),
            };
            let upstreams = UpstreamProcess::start(options).await?;
            self.set_instances(&upstreams.entries).await?;
            self.upstreams.push(upstreams);
        }
        Ok(())
    }

    fn settings_yaml(
        &self,
        name: &str,
        number: usize,
        ip: Ipv4Addr,
        policy: Policy,
        placement: Placement,
        other_peers: &str,
    ) -> Result<String> {
        let key = fs::read_to_string(self.dir.join("ops-1.pub"))?;
        let key: Vec<_> = key.lines().collect();
        let (data_centre, source) = match placement {
            Placement::Spread => {
                let index = number % self.profile.data_centres.len();
                let [_, _, host, last] = ip.octets();
                let octet = u8::try_from(index + 1)?;
                debug_assert_eq!(
                    host, 0,
                    "instances must not listen in the network of a data centre"
                );
                let source = Ipv4Addr::new(127, self.network, octet, last);
                (self.profile.data_centres[index], source.to_string())
            }
            Placement::FirstWithoutDelays => (self.profile.data_centres[0], "null".to_owned()),
        };
        Ok(format!(
            "instance: {name}
data_centre: {data_centre}
source: {source}
callers: {{ addr: \"{ip}:8080\" }}
peers: {{ addr: \"{ip}:7100\", others: [{other_peers}] }}
admin: {{ addr: \"{ip}:9100\" }}
platform: {{ addr: \"{}\" }}
upstreams: {{ policy: {} }}
trusted_keys: [{{ {} }}]
",
            self.platform_addr,
            policy.name(),
            key.join(", "),
        ))
    }

    fn host_addr(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 0, host)
    }

    fn cli_command(&self) -> Command {
        let mut command = Command::new(self.bin_dir.join("rosemarybank"));
        command.current_dir(&self.dir);
        command.env("ROSEMARYBANK_PLATFORM", self.platform_addr.to_string());
        command
    }

    async fn run_cli(&self, args: &[&str]) -> Result<()> {
        let output = self.cli_command().args(args).kill_on_drop(true).output().await;
        let output = output.wrap_err("run the rosemarybank command")?;
        ensure!(
            output.status.success(),
            "rosemarybank {args:?} failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
        Ok(())
    }

    async fn is_complete(&self, instance: &Instance, service: &str) -> bool {
        let path = format!("/v1/services/{service}/search");
        let token = format!("Bearer {CRITICAL_TOKEN}");
        let headers = [("authorization", token.as_str())];
        let body = r#"{"query":"walnut"}"#;
        let sent = self.client.0.send(Method::POST, instance.callers_addr, &path, &headers, body);
        let Ok(reply) = sent.await else { return false };
        let body: Value = serde_json::from_slice(reply.body()).unwrap_or_default();
        reply.status().is_success() && body["complete"] == true
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<()> {
        let body = serde_json::to_vec(body)?;
        let sent = self.client.0.send(Method::POST, self.platform_control, path, &[], body);
        let reply = sent.await?;
        ensure!(reply.status().is_success(), "platform rejected POST {path}: {:?}", reply.body());
        Ok(())
    }
}
