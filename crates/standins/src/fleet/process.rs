//! Child processes.

use std::{
    env, fs,
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use super::wait::wait_until;

/// A child process that writes its output to a log file. It is killed on drop.
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// Signals that tests send to a child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// `SIGTERM`: requests a graceful stop.
    Term,
    /// `SIGKILL`: terminates the process immediately.
    Kill,
    /// `SIGSTOP`: suspends the process.
    Stop,
    /// `SIGCONT`: resumes a suspended process.
    Cont,
}

impl Process {
    /// Starts a binary of the workspace and appends its output to `log`.
    ///
    /// # Panics
    ///
    /// Panics when the binary has not been built or `log` is not writable.
    #[must_use]
    pub fn start(binary: &str, args: &[&str], log: &Path) -> Process {
        let out = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log file should be writable");
        let err = out.try_clone().expect("the handle of the log file should be cloneable");
        let path = binary_path(binary);
        let child =
            Command::new(&path).args(args).stdin(Stdio::null()).stdout(out).stderr(err).spawn();
        let child = child.unwrap_or_else(|err| panic!("cannot start {}: {err}", path.display()));
        Process { child, log: log.to_owned() }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Term => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Cont => "-CONT",
        };
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(
            status.expect("`kill` should run").success(),
            "`kill {name} {}` failed",
            self.child.id()
        );
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the status of the child process should be readable").is_some()
    }

    /// Waits until the process has exited.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        wait_until("the process exits", async || {
            self.child.try_wait().expect("the status of the child process should be readable")
        })
        .await
    }

    /// Waits for the output line `ready` and returns the names and addresses of all `listening`
    /// lines.
    ///
    /// # Panics
    ///
    /// Panics when the process exits before it is ready.
    pub async fn wait_for_listeners(&mut self) -> Vec<(String, SocketAddr)> {
        let text = wait_until("the process is ready", async || {
            let text = self.output();
            let exit_status =
                self.child.try_wait().expect("the status of the child process should be readable");
            assert!(exit_status.is_none(), "the process exited before it was ready: {text}");
            text.lines().any(|it| it == "ready").then_some(text)
        });
        let text = text.await;
        let lines = text.lines().filter_map(|it| it.strip_prefix("listening "));
        let parse = |it: &str| {
            let (name, addr) = it.split_once(' ')?;
            Some((name.to_owned(), addr.parse().ok()?))
        };
        lines.filter_map(parse).collect()
    }

    /// Contents of the log file, or an empty text if it can't be read.
    #[must_use]
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let output = self.output();
            let tail: Vec<_> = output.lines().rev().take(20).collect();
            eprintln!("--- {}", self.log.display());
            tail.iter().rev().for_each(|line| eprintln!("{line}"));
        }
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a binary of the workspace in the same target directory as the test executable.
///
/// # Panics
///
/// Panics when the binary has not been built.
#[must_use]
pub fn binary_path(binary: &str) -> PathBuf {
    let exe = env::current_exe().expect("the path of the test executable should be known");
    let profile_dir = exe.ancestors().nth(2).expect("tests should run from target/<profile>/deps");
    let path = profile_dir.join(binary);
    assert!(path.is_file(), "{binary} is missing: run `cargo build --workspace --bins` first");
    path
}
