//! Processes that the tool starts. They are ended by their ids when they are dropped.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::{Duration, Instant},
};

use eyre::{Context, OptionExt, Result, bail, ensure};
use tokio::process::{Child, Command};

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that was started by this tool.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: u32,
    log: PathBuf,
}

impl Process {
    /// Starts a binary whose output goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails when the binary cannot be started.
    pub fn start(binary: &Path, args: &[&str], log: &Path) -> Result<Process> {
        let out = File::create(log).wrap_err_with(|| format!("create {}", log.display()))?;
        let err = out.try_clone()?;
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .kill_on_drop(true)
            .spawn();
        let child = child.wrap_err_with(|| {
            format!("start {}; were the release binaries built?", binary.display())
        })?;
        let pid = child.id().ok_or_eyre("the process ended at once")?;
        Ok(Process { child, pid, log: log.to_owned() })
    }

    /// Id of the process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Ends the process at once and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be ended.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Waits for the line `ready` and returns the addresses of the `listening` lines by name.
    ///
    /// # Errors
    ///
    /// Fails when the process ends or is not ready in time.
    pub async fn wait_ready(&mut self) -> Result<Vec<(String, SocketAddr)>> {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let text = fs::read_to_string(&self.log).unwrap_or_default();
            if text.lines().any(|it| it == "ready") {
                return Ok(parse_listening(&text));
            }
            ensure!(self.child.try_wait()?.is_none(), "the process ended: {text}");
            ensure!(Instant::now() < end, "the process is not ready: {text}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Waits until `condition` is true.
///
/// # Errors
///
/// Fails with `what` after 20 s.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        if Instant::now() > end {
            bail!("not within {WAIT_TIMEOUT:?}: {what}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Finds an address by its name.
///
/// # Errors
///
/// Fails when the process does not listen under this name.
pub fn find_addr(addrs: &[(String, SocketAddr)], name: &str) -> Result<SocketAddr> {
    let found = addrs.iter().find(|(it, _)| it == name);
    Ok(found.ok_or_eyre("the process does not listen under the expected name")?.1)
}

fn parse_listening(text: &str) -> Vec<(String, SocketAddr)> {
    let parse = |line: &str| {
        let (name, addr) = line.strip_prefix("listening ")?.split_once(' ')?;
        Some((name.to_owned(), addr.parse().ok()?))
    };
    text.lines().filter_map(parse).collect()
}
