//! The real process.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use http::Method;
use serde_json::Value;

use super::{Bench, TOKEN, eventually, free_addrs};

/// A daemon process with its ports. It is killed when the test ends early.
pub struct Process {
    child: Child,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    _settings: tempfile::NamedTempFile,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It has usually ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a process and waits until its searches are complete.
    pub fn start(bench: &Bench, peers: &[SocketAddr], grace_ms: u32) -> Process {
        let process = Process::spawn(bench, peers, grace_ms);
        eventually("searches are complete", || {
            let (status, body) = process.ask_search(bench);
            status == 200 && body["complete"] == true
        });
        process
    }

    /// Searches and reads the answer.
    pub fn ask_search(&self, bench: &Bench) -> (u16, Value) {
        let (path, body) = ("/v1/services/stock/search", r#"{"query":"cherry"}"#);
        bench.ask(Method::POST, self.callers, path, &[], body)
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self, bench: &Bench) -> bool {
        bench.send(Method::GET, self.admin, "/ready", &[], "").status().is_success()
    }

    /// Starts a process and waits until its admin port is open.
    pub fn spawn(bench: &Bench, peers: &[SocketAddr], grace_ms: u32) -> Process {
        let addrs = free_addrs(3);
        let public = bench.key.public_key();
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
            bench.platform,
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
        let process = Process { child, callers: addrs[0], admin: addrs[2], _settings: settings };
        eventually("the process answers", || TcpStream::connect(process.admin).is_ok());
        process
    }

    pub fn send(&self, path: &str, headers: &str, body: &str) -> TcpStream {
        let mut caller = TcpStream::connect(self.callers).unwrap();
        write!(
            caller,
            "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\n{headers}\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        // Lets the request arrive before the stop begins.
        thread::sleep(Duration::from_millis(100));
        caller
    }

    pub fn search(&self, timeout_ms: u32) -> TcpStream {
        let body = format!(r#"{{"query":"cherry","timeout_ms":{timeout_ms}}}"#);
        self.send("/v1/services/stock/search", "", &body)
    }

    /// Asks the process to stop.
    pub fn signal(&self) {
        self.send_signal("-TERM");
    }

    /// Sends a signal by its option of `kill`.
    pub fn send_signal(&self, signal: &str) {
        let sent = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the end; gives the exit status, the time it took and the log.
    pub fn ended(mut self) -> (ExitStatus, Duration, String) {
        let started = Instant::now();
        let mut log = String::new();
        self.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        (self.child.wait().unwrap(), started.elapsed(), log)
    }
}

pub fn read_all(mut caller: TcpStream) -> String {
    let mut text = String::new();
    // A connection that is cut off gives what came before.
    let _ = caller.read_to_string(&mut text);
    text
}
