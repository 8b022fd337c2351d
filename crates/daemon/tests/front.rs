//! The front by itself: full rings, callers that hang up, and callers that are silent or slow.

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
    in_flight::InFlight,
    lifecycle::{Lifecycle, Phase},
    message::{ControlToFront, EngineToFront, FrontConfig, FrontToControl, FrontToEngine},
    settings::Callers,
    telemetry::Recorder,
};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::interface::SearchResult;
use rosemarybank_ring::{Receiver, Sender, channel};
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};

const HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// A front whose engine and control are played by the test.
struct Front {
    addr: SocketAddr,
    lifecycle: Lifecycle,
    from_front: Receiver<FrontToEngine>,
    to_front: Sender<EngineToFront>,
    _control: (Receiver<FrontToControl>, Sender<ControlToFront>),
    thread: JoinHandle<()>,
}

impl Front {
    fn start(ring: usize, connections: u32) -> Front {
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
            settings: Callers {
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
            in_flight: InFlight::default(),
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

    fn connect(&self) -> TcpStream {
        let caller = TcpStream::connect(self.addr).unwrap();
        caller.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        caller
    }

    fn search(&self) -> TcpStream {
        let mut caller = self.connect();
        caller.write_all(&request("Bearer t", r#"{"query":"a"}"#)).unwrap();
        caller
    }

    fn next(&mut self) -> FrontToEngine {
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            if let Some(message) = self.from_front.try_recv() {
                return message;
            }
            assert!(Instant::now() < until, "no message");
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn next_query(&mut self) -> u64 {
        match self.next() {
            FrontToEngine::Submit { submission, .. } => submission.query,
            other => panic!("{other:?}"),
        }
    }

    fn answer(&mut self, query: u64) {
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

fn request(authorization: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/services/stock/search HTTP/1.1\r\nhost: entry\r\nauthorization: {authorization}\
         \r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads until the end of the answer's head, or of the connection.
fn read_head(caller: &mut TcpStream) -> String {
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

/// Time until the front closes the connection.
fn closed_after(caller: &mut TcpStream) -> Duration {
    let started = Instant::now();
    let mut buf = [0; 1_024];
    while matches!(caller.read(&mut buf), Ok(n) if n > 0) {}
    started.elapsed()
}

/// Guards against requests that wait without bound, or are lost, when the engine falls behind.
#[test]
fn a_full_ring_is_answered_as_overloaded() {
    let mut front = Front::start(1, 16);
    let mut first = front.search();
    thread::sleep(Duration::from_millis(100));
    let mut second = front.search();
    let head = read_head(&mut second);
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(head.contains("retry-after: 1\r\n"), "{head}");
    let query = front.next_query();
    front.answer(query);
    assert!(read_head(&mut first).starts_with("HTTP/1.1 200 "));
}

/// Guards against searches that go on for callers that have hung up, also when the ring is full
/// at that moment.
#[test]
fn a_caller_that_hangs_up_cancels_its_search() {
    let mut front = Front::start(1, 16);
    let caller = front.search();
    let first = front.next_query();
    let _blocking = front.search();
    thread::sleep(Duration::from_millis(100));
    drop(caller);
    thread::sleep(Duration::from_millis(100));
    let _second = front.next_query();
    match front.next() {
        FrontToEngine::CallerGone { query } => assert_eq!(query, first),
        other => panic!("{other:?}"),
    }
}

/// Guards against a late answer that is given to another caller.
#[test]
fn answers_out_of_order_reach_their_own_callers() {
    let mut front = Front::start(16, 16);
    let mut first = front.search();
    let one = front.next_query();
    let mut second = front.search();
    let two = front.next_query();
    front.answer(two);
    front.answer(two);
    assert!(read_head(&mut second).starts_with("HTTP/1.1 200 "));
    first.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    assert_eq!(read_head(&mut first), "");
    front.answer(one);
    assert!(read_head(&mut first).starts_with("HTTP/1.1 200 "));
}

/// Guards against connections that are held by callers who send nothing, half of a head, half of
/// an h2 preface, or nothing after an answer.
#[test]
fn silent_and_slow_callers_are_disconnected() {
    let front = Front::start(16, 16);
    let starts: [&[u8]; 4] =
        [b"", b"PRI * HTTP/2.0\r\n", b"POST /v1/services/stock/search HTTP/1.1\r\nhost:", b"\r\n"];
    for start in starts {
        let mut caller = front.connect();
        caller.write_all(start).unwrap();
        let held = closed_after(&mut caller);
        assert!(held < HEAD_TIMEOUT * 4, "{:?} held for {held:?}", String::from_utf8_lossy(start));
    }
    let mut idle = front.connect();
    idle.write_all(&request("Bearer wrong", "{}")).unwrap();
    assert!(read_head(&mut idle).contains(" 401 "));
    assert!(closed_after(&mut idle) < HEAD_TIMEOUT * 4);
}

/// Guards against a head or a body without limit in size or time.
#[test]
fn heads_and_bodies_are_bounded() {
    let front = Front::start(16, 16);
    let mut large = front.connect();
    let head = format!("GET / HTTP/1.1\r\nhost: entry\r\nx: {}\r\n\r\n", "y".repeat(20_000));
    large.write_all(head.as_bytes()).unwrap();
    assert!(read_head(&mut large).contains(" 431 "));

    let mut slow = front.connect();
    let request = request("Bearer t", r#"{"query":"a"}"#);
    slow.write_all(&request[..request.len() - 3]).unwrap();
    assert!(read_head(&mut slow).starts_with("HTTP/1.1 504 "));

    let mut endless = front.connect();
    let head = "POST /v1/services/stock/search HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer \
                t\r\ntransfer-encoding: chunked\r\n\r\n";
    endless.write_all(head.as_bytes()).unwrap();
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    for _ in 0..5 {
        endless.write_all(chunk.as_bytes()).unwrap();
    }
    endless.write_all(b"0\r\n\r\n").unwrap();
    assert!(read_head(&mut endless).starts_with("HTTP/1.1 413 "));
}

/// Guards against a few silent callers that use up all connections for good.
#[test]
fn silent_callers_do_not_keep_others_out() {
    let mut front = Front::start(16, 2);
    let _silent: Vec<_> = (0..8).map(|_| front.connect()).collect();
    let mut caller = front.search();
    let query = front.next_query();
    front.answer(query);
    assert!(read_head(&mut caller).starts_with("HTTP/1.1 200 "));
}

/// Guards against a stop that cuts off a request in flight, or one whose connection was accepted
/// by the kernel only.
#[test]
fn a_draining_front_finishes_its_requests() {
    let mut front = Front::start(16, 16);
    let mut caller = front.search();
    let query = front.next_query();
    let idle = front.connect();
    front.lifecycle.enter(Phase::Draining);
    thread::sleep(Duration::from_millis(100));
    assert!(TcpStream::connect(front.addr).is_err());
    assert!(!front.thread.is_finished());
    front.answer(query);
    assert!(read_head(&mut caller).starts_with("HTTP/1.1 200 "));
    front.thread.join().unwrap();
    drop(idle);
}
