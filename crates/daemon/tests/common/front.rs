//! A front whose engine and control are played by a test.
#![allow(dead_code, reason = "each test file uses a part")]

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
    lifecycle::Lifecycle,
    message::{ControlToFront, EngineToFront, FrontConfig, FrontToControl, FrontToEngine},
    settings::CallersSettings,
    telemetry::Recorder,
};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::SearchResult;
use rosemarybank_ring::{Receiver, Sender, channel};
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};

/// Head and idle limit of the front.
pub const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// A front whose engine and control are played by the test.
pub struct Front {
    pub addr: SocketAddr,
    pub lifecycle: Lifecycle,
    from_front: Receiver<FrontToEngine>,
    to_front: Sender<EngineToFront>,
    _control: (Receiver<FrontToControl>, Sender<ControlToFront>),
    pub thread: JoinHandle<()>,
}

impl Front {
    pub fn start(ring: usize, connections: u32) -> Front {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        let lifecycle = Lifecycle::default();
        let (to_engine, from_front) = channel(ring);
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
                longest_timeout: Duration::from_secs(60),
                actions: 4,
            },
            listener,
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
        let front = Front {
            addr,
            lifecycle,
            from_front,
            to_front,
            _control: (control_from_front, control_to_front),
            thread,
        };
        front.await_config();
        front
    }

    /// The configuration has arrived when a wrong token is told from no configuration.
    fn await_config(&self) {
        loop {
            let mut caller = self.connect();
            caller.write_all(&request("Bearer wrong", "{}")).unwrap();
            if read_head(&mut caller).contains(" 401 ") {
                return;
            }
        }
    }

    pub fn connect(&self) -> TcpStream {
        let caller = TcpStream::connect(self.addr).unwrap();
        caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        caller
    }

    pub fn search(&self) -> TcpStream {
        let mut caller = self.connect();
        caller.write_all(&request("Bearer t", r#"{"query":"a"}"#)).unwrap();
        caller
    }

    pub fn try_next(&mut self) -> Option<FrontToEngine> {
        self.from_front.try_recv()
    }

    pub fn next(&mut self) -> FrontToEngine {
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            if let Some(message) = self.from_front.try_recv() {
                return message;
            }
            assert!(Instant::now() < until, "no message");
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn next_query(&mut self) -> u64 {
        match self.next() {
            FrontToEngine::Submit { submission, .. } => submission.query,
            other => panic!("{other:?}"),
        }
    }

    pub fn answer(&mut self, query: u64) {
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

/// A search as HTTP/1.1 text.
pub fn request(authorization: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/services/stock/search HTTP/1.1\r\nhost: entry\r\nauthorization: {authorization}\
         \r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads until the end of the answer's head, or of the connection.
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
