//! The daemon as a separate process.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use http::Method;
use serde_json::Value;

use super::{TOKEN, TestEnv, eventually, free_addrs};

/// A daemon process with its ports. It is killed when dropped.
pub struct DaemonProcess {
    child: Child,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    _settings: tempfile::NamedTempFile,
}

/// Prints the exit status and the log of the process when a test fails.
impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let before = self.child.try_wait();
        // The process has usually exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let mut log = String::new();
            let stderr = self.child.stderr.take();
            let read = stderr.map(|mut it| it.read_to_string(&mut log));
            eprintln!("exit status at the failure: {before:?}; log {read:?}:\n{log}");
        }
    }
}

impl DaemonProcess {
    /// Starts a process and waits until its searches cover all shards.
    pub fn start(env: &TestEnv, peers: &[SocketAddr], grace_ms: u32) -> DaemonProcess {
        let process = DaemonProcess::spawn(env, peers, grace_ms);
        eventually("searches are complete", || {
            let (status, body) = process.run_search(env);
            status == 200 && body["complete"] == true
        });
        process
    }

    /// Sends a search and returns the status and the body of its response.
    pub fn run_search(&self, env: &TestEnv) -> (u16, Value) {
        let (path, body) = ("/v1/services/stock/search", r#"{"query":"cherry"}"#);
        env.send_as_desk(Method::POST, self.callers, path, &[], body)
    }

    /// Returns whether the process reports that it is ready.
    pub fn is_ready(&self, env: &TestEnv) -> bool {
        env.send(Method::GET, self.admin, "/ready", &[], "").status().is_success()
    }

    /// Starts a process and waits until its admin port is open.
    pub fn spawn(env: &TestEnv, peers: &[SocketAddr], grace_ms: u32) -> DaemonProcess {
        let addrs = free_addrs(3);
        let public = env.key.public_key();
        let peers: Vec<_> = peers.iter().map(ToString::to_string).collect();
        let mut settings = tempfile::NamedTempFile::new().unwrap();
        write!(
            settings,
            "instance: entry-1
data_centre: maun
callers: {{ addr: {} }}
peers: {{ addr: {}, others: [{}] }}
admin: {{ addr: {} }}
platform: {{ addr: {}, timeout_ms: 500 }}
trusted_keys: [{{ name: {}, public_key: {} }}]
stop: {{ grace_ms: {grace_ms} }}
",
            addrs[0],
            addrs[1],
            peers.join(", "),
            addrs[2],
            env.platform,
            public.name,
            public.public_key,
        )
        .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_rosemarybankd"))
            .arg("--settings")
            .arg(settings.path())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let process =
            DaemonProcess { child, callers: addrs[0], admin: addrs[2], _settings: settings };
        eventually("the admin port is open", || TcpStream::connect(process.admin).is_ok());
        process
    }

    /// Sends a request as the caller `desk` and returns its connection without waiting for a
    /// response.
    pub fn start_request(&self, path: &str, headers: &str, body: &str) -> TcpStream {
        let mut caller = TcpStream::connect(self.callers).unwrap();
        write!(
            caller,
            "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\n{headers}\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        // Lets the request arrive before a stop that the test requests next.
        thread::sleep(Duration::from_millis(100));
        caller
    }

    /// Sends a search and returns its connection without waiting for a response.
    pub fn start_search(&self, timeout_ms: u32) -> TcpStream {
        let body = format!(r#"{{"query":"cherry","timeout_ms":{timeout_ms}}}"#);
        self.start_request("/v1/services/stock/search", "", &body)
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to stop with `SIGTERM`.
    pub fn terminate(&self) {
        self.send_signal("-TERM");
    }

    /// Sends a signal, given as an option of `kill` such as `-KILL`.
    pub fn send_signal(&self, signal: &str) {
        let sent = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
        assert!(sent.unwrap().success());
    }

    /// Waits until the process exits. Returns its exit status, the time that it took and the log.
    pub fn wait_for_exit(mut self) -> (ExitStatus, Duration, String) {
        let started = Instant::now();
        let mut log = String::new();
        self.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        (self.child.wait().unwrap(), started.elapsed(), log)
    }
}

/// Reads from a connection until it ends.
pub fn read_all(mut caller: TcpStream) -> String {
    let mut text = String::new();
    // If the connection is reset, the data received so far is returned.
    let _ = caller.read_to_string(&mut text);
    text
}
