//! A front whose engine and control threads are simulated by the test.
#![allow(dead_code, reason = "no test file uses all of it")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use rosemarybank_daemon::{
    clock::Clock,
    front::{self, FrontRings, FrontSetup},
    in_flight::InFlightRequests,
    lifecycle::{Lifecycle, Readiness},
    message::{ControlToFront, EngineToFront, FrontConfig, FrontToControl, FrontToEngine},
    settings::CallersSettings,
    telemetry::Recorder,
};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::SearchResult;
use rosemarybank_ring::{Receiver, Sender, channel};
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};

/// Time that the front allows for a request head, and for an idle connection.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// A running front whose engine and control threads are simulated by the test.
pub struct TestFront {
    pub addr: SocketAddr,
    pub lifecycle: Lifecycle,
    from_front: Receiver<FrontToEngine>,
    to_front: Sender<EngineToFront>,
    _control: (Receiver<FrontToControl>, Sender<ControlToFront>),
    pub thread: JoinHandle<()>,
}

impl TestFront {
    /// Starts a front with this capacity of the ring buffer to the engine, and waits until it has
    /// its configuration.
    pub fn start(ring_capacity: usize, connections: u32) -> TestFront {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        let lifecycle = Lifecycle::default();
        let (to_engine, from_front) = channel(ring_capacity);
        let (to_front, from_engine) = channel(16);
        let (to_control, control_from_front) = channel(16);
        let (mut control_to_front, from_control) = channel(16);
        control_to_front.try_send(ControlToFront::Config(Arc::new(config()))).unwrap();
        let (records, _) = channel(1);
        let setup = FrontSetup {
            clock: Clock::start(),
            settings: CallersSettings {
                addr,
                connections,
                streams_per_connection: 8,
                head_bytes: 8_192,
                head_timeout: HEAD_TIMEOUT,
                body_timeout: Duration::from_millis(300),
                body_memory: 1 << 20,
                longest_timeout: Duration::from_secs(60),
                actions: 4,
            },
            listener,
            readiness: Readiness::default(),
            in_flight: InFlightRequests::default(),
            recorder: Recorder::new(records, Arc::default()),
            log: Logger::root(Discard, o!()),
            phase: lifecycle.watch(),
        };
        let rings = FrontRings { to_engine, from_engine, to_control, from_control };
        let thread = thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(front::run(setup, rings)).unwrap();
        });
        let front = TestFront {
            addr,
            lifecycle,
            from_front,
            to_front,
            _control: (control_from_front, control_to_front),
            thread,
        };
        front.wait_for_config();
        front
    }

    /// Waits until an unknown token is refused as such, and no longer because the configuration is
    /// missing.
    fn wait_for_config(&self) {
        loop {
            let mut caller = self.connect();
            caller.write_all(&request("Bearer wrong", "{}")).unwrap();
            if read_head(&mut caller).contains(" 401 ") {
                return;
            }
        }
    }

    /// Opens a connection to the front.
    pub fn connect(&self) -> TcpStream {
        let caller = TcpStream::connect(self.addr).unwrap();
        caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        caller
    }

    /// Sends a search and returns its connection without waiting for a response.
    pub fn start_search(&self) -> TcpStream {
        let mut caller = self.connect();
        caller.write_all(&request("Bearer t", r#"{"query":"a"}"#)).unwrap();
        caller
    }

    /// Returns the next message to the engine, if there is one.
    pub fn try_next_message(&mut self) -> Option<FrontToEngine> {
        self.from_front.try_recv()
    }

    /// Waits for the next message to the engine.
    pub fn next_message(&mut self) -> FrontToEngine {
        let deadline = Instant::now() + Duration::from_secs(5);
        loop {
            if let Some(message) = self.from_front.try_recv() {
                return message;
            }
            assert!(Instant::now() < deadline, "no message");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits for the next message to the engine, which must be a search, and returns its id.
    pub fn next_submission(&mut self) -> u64 {
        match self.next_message() {
            FrontToEngine::Submit { submission, .. } => submission.query,
            other => panic!("{other:?}"),
        }
    }

    /// Sends the result of a search to the front.
    pub fn send_result(&mut self, query: u64) {
        let coverage = Coverage {
            records_covered: 1,
            records_total: RecordTotal::Exact(1),
            missing: Vec::new(),
        };
        let answer = Ok(SearchResult { snapshot: 7, coverage, hits: Vec::new() });
        self.to_front.try_send(EngineToFront { query, answer }).unwrap();
    }
}

fn config() -> FrontConfig {
    let caller = CallerConfig {
        name: "desk".into(),
        token_sha256: "".into(),
        priority: Priority::Normal,
        services: vec!["stock".into()],
    };
    let service = ServiceConfig {
        name: "stock".into(),
        kind: ServiceKind::Search,
        shards: Vec::new(),
        timeout_ms: 2_000,
        coverage: CoverageMode::Partial,
        canary: rosemarybank_protocol::bundle::Canary::Suspects,
    };
    FrontConfig {
        callers: [(Sha256::digest("t").into(), caller)].into(),
        services: [("stock".into(), service)].into(),
        limits: Limits::default(),
    }
}

/// Returns a search request in HTTP/1.1 format.
pub fn request(authorization: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/services/stock/search HTTP/1.1\r\nhost: entry\r\nauthorization: {authorization}\
         \r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads until the end of the response head or of the connection. The text may include a part of
/// the body.
pub fn read_head(caller: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 1_024];
    while !text.windows(4).any(|it| it == b"\r\n\r\n") {
        match caller.read(&mut buf) {
            Ok(n) if n > 0 => text.extend(&buf[..n]),
            _ => break,
        }
    }
    String::from_utf8(text).unwrap()
}
