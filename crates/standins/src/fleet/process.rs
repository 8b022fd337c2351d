//! One child process.

use std::{
    env, fs,
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
};

use super::wait::wait_until;

/// A child process, which is killed by its id when this is dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// Signals that tests send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful stop.
    Term,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process run on.
    Cont,
}

impl Process {
    /// Starts a binary of the workspace; its output goes to `log`.
    ///
    /// # Panics
    ///
    /// Panics when the binary was not built.
    #[must_use]
    pub fn start(binary: &str, args: &[&str], log: &Path) -> Process {
        let out = File::options().create(true).append(true).open(log).expect("the log is writable");
        let err = out.try_clone().expect("a file has several handles");
        let path = binary_path(binary);
        let child =
            Command::new(&path).args(args).stdin(Stdio::null()).stdout(out).stderr(err).spawn();
        let child = child.unwrap_or_else(|err| panic!("start {}: {err}", path.display()));
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
        assert!(status.expect("kill runs").success(), "kill {name}");
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the child is ours").is_some()
    }

    /// Waits until the process has ended.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        wait_until("the process ends", async || self.child.try_wait().expect("the child is ours"))
            .await
    }

    /// Waits for the line `ready` and returns the addresses of all `listening` lines by name.
    pub async fn wait_for_listeners(&mut self) -> Vec<(String, SocketAddr)> {
        let text = wait_until("the process is ready", async || {
            let text = self.output();
            let ended = self.child.try_wait().expect("the child is ours");
            assert!(ended.is_none(), "the process ended: {text}");
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

    /// Everything that the process has written.
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
        // Both fail only when the process has ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of a binary, which lies beside the directory of the test executable.
#[must_use]
pub fn binary_path(binary: &str) -> PathBuf {
    let exe = env::current_exe().expect("the test executable has a path");
    let profile_dir = exe.ancestors().nth(2).expect("tests run from target/<profile>/deps");
    let path = profile_dir.join(binary);
    assert!(path.is_file(), "{binary} is missing: run `cargo build --workspace --bins` first");
    path
}
