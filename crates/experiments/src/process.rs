//! Child processes, which are killed when they are dropped.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::{Duration, Instant},
};

use eyre::{Context, OptionExt, Result, bail, ensure};
use tokio::process::{Child, Command};

/// Timeout of [`Process::wait_ready`] and [`wait_until`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process whose output goes to a log file.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: u32,
    log: PathBuf,
}

impl Process {
    /// Starts a binary and redirects its stdout and stderr to the file `log`.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be created or the binary cannot be started.
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
            format!("start {}; build the release binaries first", binary.display())
        })?;
        let pid = child.id().ok_or_eyre("process exited immediately")?;
        Ok(Process { child, pid, log: log.to_owned() })
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Kills the process and waits for it to exit.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Waits for the line `ready` in the log. Returns the names and addresses of the `listening`
    /// lines.
    ///
    /// # Errors
    ///
    /// Fails if the process exits first or is not ready within 20 s.
    pub async fn wait_ready(&mut self) -> Result<Vec<(String, SocketAddr)>> {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let text = fs::read_to_string(&self.log).unwrap_or_default();
            if text.lines().any(|it| it == "ready") {
                return Ok(parse_listening(&text));
            }
            ensure!(
                self.child.try_wait()?.is_none(),
                "process exited before it was ready; log {}:\n{text}",
                self.log.display()
            );
            ensure!(
                Instant::now() < end,
                "process was not ready within {WAIT_TIMEOUT:?}; log {}:\n{text}",
                self.log.display()
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Waits until `condition` is true.
///
/// # Errors
///
/// Fails after 20 s; the error names the condition as `what`.
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        if Instant::now() > end {
            bail!("timed out after {WAIT_TIMEOUT:?}: {what}");
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Returns the address that a process listens on under `name`.
///
/// # Errors
///
/// Fails if there is no address with this name.
pub fn find_addr(addrs: &[(String, SocketAddr)], name: &str) -> Result<SocketAddr> {
    let found = addrs.iter().find(|(it, _)| it == name);
    Ok(found.ok_or_eyre(format!("process reported no listening address {name:?}"))?.1)
}

fn parse_listening(text: &str) -> Vec<(String, SocketAddr)> {
    let parse = |line: &str| {
        let (name, addr) = line.strip_prefix("listening ")?.split_once(' ')?;
        Some((name.to_owned(), addr.parse().ok()?))
    };
    text.lines().filter_map(parse).collect()
}
