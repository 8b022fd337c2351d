//! Instances of the query tier, started with the command of the deploy file.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record, store::Store};

/// The words of `run` in the deploy file.
const RUN: [&str; 4] = ["target/release/rosemarybankd", "--platform", "--metrics-port", "9464"];

/// Ports of each instance; each has a loopback address of its own.
const PORTS: [u16; 4] = [8226, 8227, 7740, 9464];

/// Bounds that differ between the installations.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub contact_ms: u64,
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub recovery_s: u64,
    pub retry_budget_slack: u64,
}

/// A machine of the query tier and its process, if it runs.
pub struct Instance {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Prepares a machine without starting its process. `cpu_share` is the share of a core.
    pub fn new(
        name: &str,
        zone: &str,
        cpu_share: f64,
        store: &Store,
        folder: &std::path::Path,
        bounds: Bounds,
    ) -> io::Result<Instance> {
        let ip = free_address()?;
        let Bounds { contact_ms, drain_ms, config_apply_ms, recovery_s, retry_budget_slack } =
            bounds;
        let text = format!(
            r#"{{"node_name":"{name}","role":"entry","machine_class":"frontend","serves":["frontend"],
"ip":"{ip}","zone":"{zone}","region":"{zone}","zones":{{"zone-a":"zone-a","zone-b":"zone-b","zone-c":"zone-c"}},
"listen_addresses":{{"frontend":"{ip}:{}","ready":"{ip}:{}"}},"internal_port_range":[{},7755],
"seeds":[],"bootstrap":false,"counts_as_loss":false,
"limits":{{"cpu_share":{cpu_share},"cores":1,"memory_mb":260,"fd_limit":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_directory":null,"discovery":"platform","entry":"virtual_ip","heartbeat_ms":1200,
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":{contact_ms},"ack_ms":6000,"catch_up_s":4,"drain_ms":{drain_ms},
"grace_s":6,"loss_slack_ms":200,"config_apply_ms":{config_apply_ms},"rollback_slack_ms":250,"max_skew_ms":15000,
"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":{retry_budget_slack},"recovery_s":{recovery_s}}},
"platform":{{"address":"{}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#,
            PORTS[0], PORTS[1], PORTS[2], store.addr
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        Ok(Instance { name: name.to_owned(), ip, settings, log, child: None })
    }

    /// Address for clients.
    pub fn client_addr(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, PORTS[0]))
    }

    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new(RUN[0])
            .args(&RUN[1..])
            .env("ROSEMARYBANK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record::PROCESSES.lock().expect("no thread panics here").push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            let mut processes = record::PROCESSES.lock().expect("no thread panics here");
            processes.retain(|it| *it != child.id());
        }
    }

    /// Waits until the readiness probe succeeds.
    pub fn wait_until_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks the readiness probe.
    pub fn is_ready(&self) -> bool {
        let request = http::Request {
            method: "GET",
            host: "probe",
            target: "/-/readiness",
            id: "",
            deadline_ms: 500,
            body: b"",
        };
        let addr = SocketAddr::V4(SocketAddrV4::new(self.ip, PORTS[1]));
        http::send_once(addr, &request).is_ok_and(|it| it.status() == 200)
    }

    /// Text of its log.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a loopback address on which all ports of an instance are free.
fn free_address() -> io::Result<Ipv4Addr> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    for _ in 0..500 {
        let number =
            NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + std::process::id() * 16;
        let ip = Ipv4Addr::new(127, 77, (number >> 7 & 0xff) as u8, (number & 0x7f) as u8 + 1);
        if PORTS.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return Ok(ip);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
