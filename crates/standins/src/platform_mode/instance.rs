//! A machine of the platform with one process of the tier.

use std::{
    fs::File,
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::platform_mode::caller::Caller;

/// Ports of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// For clients.
    pub client: u16,
    /// For questions of readiness.
    pub readiness: u16,
    /// For other instances.
    pub peer: u16,
    /// For metrics.
    pub metrics: u16,
}

/// A machine.
#[derive(Debug)]
pub struct Instance {
    name: String,
    dir: PathBuf,
    binary: PathBuf,
    ports: Ports,
    child: Option<Child>,
    starts: u32,
}

/// Ports of machines lie below those that the system gives to outgoing connections, which could take
/// a port between its choice and the start of the process.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Ports that are tried before there are taken to be none.
const MAX_PICKS: u32 = 1_000;

impl Ports {
    /// Four ports that are free at this moment.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn find_free() -> io::Result<Ports> {
        let mut ports = Vec::new();
        let mut rng = fastrand::Rng::new();
        for _ in 0..MAX_PICKS {
            let port = rng.u16(PORTS);
            if !ports.contains(&port) && TcpListener::bind(("127.0.0.1", port)).is_ok() {
                ports.push(port);
            }
            if ports.len() == 4 {
                break;
            }
        }
        if ports.len() < 4 {
            return Err(io::Error::other("no free ports"));
        }
        Ok(Ports { client: ports[0], readiness: ports[1], peer: ports[2], metrics: ports[3] })
    }
}

impl Instance {
    /// Prepares a machine; its settings and logs are kept in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the settings can't be written.
    pub fn new(
        name: &str,
        data_centre: &str,
        dir: &Path,
        binary: &Path,
        store: SocketAddr,
    ) -> io::Result<Instance> {
        let ports = Ports::find_free()?;
        let addr = |port: u16| format!("127.0.0.1:{port}");
        let settings = json!({
            "node_name": name,
            "ip": "127.0.0.1",
            "zone": data_centre,
            "region": data_centre,
            "zones": { data_centre: data_centre },
            "listen_addresses": { "frontend": addr(ports.client), "ready": addr(ports.readiness) },
            "internal_port_range": [ports.peer, ports.peer],
            "limits": { "cpu_share": 1.0, "cores": 1, "memory_mb": 260, "fd_limit": 4100 },
            "bounds": {
                "grace_s": 6,
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 50,
                "budget_window_s": 10,
            },
            "platform": { "address": store.to_string() },
        });
        std::fs::write(dir.join(format!("{name}.json")), settings.to_string())?;
        Ok(Instance {
            name: name.to_owned(),
            dir: dir.to_owned(),
            binary: binary.to_owned(),
            ports,
            child: None,
            starts: 0,
        })
    }

    /// Its ports.
    #[must_use]
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Address for clients.
    #[must_use]
    pub fn client_addr(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.ports.client))
    }

    /// Id of its process.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = File::create(self.log_path())?;
        let child = Command::new(&self.binary)
            .args(["--platform", "--metrics-port", &self.ports.metrics.to_string()])
            .env("ROSEMARYBANK_NODE_FILE", self.settings_path())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Log of the current lifetime.
    #[must_use]
    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}-{}.log", self.name, self.starts))
    }

    /// Settings file.
    #[must_use]
    pub fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.json", self.name))
    }

    /// Whether it says that it takes clients.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::from(([127, 0, 0, 1], self.ports.readiness));
        let answer =
            Caller::connect(addr).and_then(|mut it| it.call("GET", "/-/readiness", "r", 500));
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// Waits until it takes clients. Returns whether it did in time.
    #[must_use]
    pub fn wait_ready(&self, time: Duration) -> bool {
        wait_until(time, || self.is_ready())
    }

    /// Its metrics as text.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn metrics(&self) -> io::Result<String> {
        let addr = SocketAddr::from(([127, 0, 0, 1], self.ports.metrics));
        let answer = Caller::connect(addr)?.call("GET", "/metrics", "m", 500)?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Sends a signal to the process, by its name as `kill` knows it.
    pub fn signal(&self, signal: &str) {
        if let Some(pid) = self.pid() {
            // The process may have ended in the meantime.
            let _ = Command::new("kill").args([signal, &pid.to_string()]).status();
        }
    }

    /// Waits for the end of the process.
    #[must_use]
    pub fn wait_exit(&mut self, time: Duration) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(time, || {
            let ended = self.child.as_mut().and_then(|it| it.try_wait().ok().flatten());
            status = ended.or(status);
            status.is_some()
        });
        if status.is_some() {
            self.child = None;
        }
        status
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds. Returns whether it did in time.
pub fn wait_until(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
