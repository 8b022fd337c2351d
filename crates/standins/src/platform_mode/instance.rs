//! An instance in platform mode, started as a process with its own settings and ports.

use std::{
    fs::File,
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::platform_mode::caller::Caller;

/// Ports of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// Client requests.
    pub client: u16,
    /// Readiness checks.
    pub readiness: u16,
    /// Messages of other instances.
    pub peer: u16,
    /// Metrics.
    pub metrics: u16,
}

/// An instance and its process, which can be stopped and started again. It is killed on drop.
#[derive(Debug)]
pub struct Instance {
    name: String,
    dir: PathBuf,
    binary: PathBuf,
    ports: PortBlock,
    child: Option<Child>,
    starts: u32,
}

/// Ports to choose from. They lie below the ephemeral range: an outgoing connection could take a
/// port of that range between the check and the start of the process.
const PORT_RANGE: std::ops::Range<u16> = 20_000..32_000;

/// Number of consecutive ports of a [`PortBlock`].
const BLOCK_LEN: u16 = 5;

/// Blocks to try before [`PortBlock::reserve`] fails.
const MAX_BLOCK_ATTEMPTS: u32 = 1_000;

/// Ports reserved for an instance, also while it is not running: a process binds its ports some time
/// after they were chosen. All users of the range reserve a block by listening on its first port.
#[derive(Debug)]
struct PortBlock {
    _first: TcpListener,
    ports: Ports,
}

impl PortBlock {
    fn reserve() -> io::Result<PortBlock> {
        let bind = |port| TcpListener::bind(("127.0.0.1", port));
        let blocks = (PORT_RANGE.end - PORT_RANGE.start) / BLOCK_LEN;
        for _ in 0..MAX_BLOCK_ATTEMPTS {
            let first = PORT_RANGE.start + fastrand::u16(0..blocks) * BLOCK_LEN;
            let Ok(listener) = bind(first) else { continue };
            if (first + 1..first + BLOCK_LEN).all(|it| bind(it).is_ok()) {
                let ports = Ports {
                    client: first + 1,
                    readiness: first + 2,
                    peer: first + 3,
                    metrics: first + 4,
                };
                return Ok(PortBlock { _first: listener, ports });
            }
        }
        Err(io::Error::other("no block of free ports found"))
    }
}

impl Instance {
    /// Writes the settings of an instance to `dir`, which also gets its logs.
    ///
    /// # Errors
    ///
    /// Fails when no free ports are found or the settings can't be written.
    pub fn new(
        name: &str,
        data_centre: &str,
        dir: &Path,
        binary: &Path,
        store: SocketAddr,
    ) -> io::Result<Instance> {
        let block = PortBlock::reserve()?;
        let ports = block.ports;
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
            ports: block,
            child: None,
            starts: 0,
        })
    }

    /// Ports of the instance.
    #[must_use]
    pub fn ports(&self) -> Ports {
        self.ports.ports
    }

    /// Address for client requests.
    #[must_use]
    pub fn client_addr(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.ports().client))
    }

    /// Id of the process; `None` while it is not running.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be created or the program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = File::create(self.log_path())?;
        let child = Command::new(&self.binary)
            .args(["--platform", "--metrics-port", &self.ports().metrics.to_string()])
            .env("ROSEMARYBANK_NODE_FILE", self.settings_path())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process with its log in a pipe, and returns the end to read.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn start_with_piped_log(&mut self) -> io::Result<ChildStdout> {
        let mut child = Command::new(&self.binary)
            .args(["--platform", "--metrics-port", &self.ports().metrics.to_string()])
            .env("ROSEMARYBANK_NODE_FILE", self.settings_path())
            .stdout(Stdio::piped())
            .spawn()?;
        let log = child.stdout.take().ok_or_else(|| io::Error::other("the log is no pipe"))?;
        self.child = Some(child);
        Ok(log)
    }

    /// Path of the log of the last started process.
    #[must_use]
    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}-{}.log", self.name, self.starts))
    }

    /// Path of the settings file.
    #[must_use]
    pub fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.json", self.name))
    }

    /// Changes the limits of the machine in the settings file, for the next start.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or written.
    pub fn set_limits(&self, memory_mb: u64, fd_limit: u64) -> io::Result<()> {
        let path = self.settings_path();
        let mut settings: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
        settings["limits"]["memory_mb"] = json!(memory_mb);
        settings["limits"]["fd_limit"] = json!(fd_limit);
        std::fs::write(path, settings.to_string())
    }

    /// Number of open sockets of the process.
    ///
    /// # Errors
    ///
    /// Fails when the process is not running.
    pub fn open_sockets(&self) -> io::Result<usize> {
        let pid = self.pid().ok_or_else(|| io::Error::other("the process is not running"))?;
        let files = std::fs::read_dir(format!("/proc/{pid}/fd"))?;
        // A file may be closed while the directory is read.
        let targets = files.flatten().filter_map(|it| std::fs::read_link(it.path()).ok());
        Ok(targets.filter(|it| it.to_string_lossy().starts_with("socket:")).count())
    }

    /// Whether the readiness check succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::from(([127, 0, 0, 1], self.ports().readiness));
        let answer =
            Caller::connect(addr).and_then(|mut it| it.call("GET", "/-/readiness", "r", 500));
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// Waits until the readiness check succeeds. Returns whether it did within `timeout`.
    #[must_use]
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        wait_until(timeout, || self.is_ready())
    }

    /// Reads the metrics in their text format.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub fn metrics(&self) -> io::Result<String> {
        let addr = SocketAddr::from(([127, 0, 0, 1], self.ports().metrics));
        let answer = Caller::connect(addr)?.call("GET", "/metrics", "m", 500)?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Peak of the memory of the process in kB.
    ///
    /// # Errors
    ///
    /// Fails when the process is not running or its status has no peak.
    pub fn peak_memory_kb(&self) -> io::Result<u64> {
        let pid = self.pid().ok_or_else(|| io::Error::other("the process is not running"))?;
        peak_memory_kb(pid)
    }

    /// Sends a signal to the process, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        if let Some(pid) = self.pid() {
            // The process may have exited already.
            let _ = Command::new("kill").args([signal, &pid.to_string()]).status();
        }
    }

    /// Waits for the exit of the process. Returns `None` when it still runs after `timeout`.
    #[must_use]
    pub fn wait_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let mut status = None;
        wait_until(timeout, || {
            let exited = self.child.as_mut().and_then(|it| it.try_wait().ok().flatten());
            status = exited.or(status);
            status.is_some()
        });
        if status.is_some() {
            self.child = None;
        }
        status
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
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

/// Peak of the memory of a process in kB.
///
/// # Errors
///
/// Fails when the process is not running or its status has no peak.
pub fn peak_memory_kb(pid: u32) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let peak = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    peak.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok())
        .ok_or_else(|| io::Error::other("no peak memory in the status"))
}

/// Waits until the memory of a process has not reached a new peak for a second.
///
/// # Errors
///
/// Fails when the process is not running, or its memory still grows after `timeout`.
pub fn wait_memory_steady(pid: u32, timeout: Duration) -> io::Result<()> {
    const STEADY_TIME: Duration = Duration::from_secs(1);
    let mut peak = (peak_memory_kb(pid)?, Instant::now());
    let is_steady = wait_until(timeout, || {
        let now_kb = peak_memory_kb(pid).unwrap_or(peak.0);
        if now_kb > peak.0 {
            peak = (now_kb, Instant::now());
        }
        peak.1.elapsed() >= STEADY_TIME
    });
    is_steady.then_some(()).ok_or_else(|| io::Error::other("the memory of the process grows"))
}

/// Waits until a condition holds. Returns whether it did within `timeout`.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
