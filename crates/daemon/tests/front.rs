//! The front by itself: full rings, callers that hang up, and callers that are silent or slow.

#[path = "common/front.rs"]
mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use common::{Front, HEAD_TIMEOUT, read_head, request};
use rosemarybank_daemon::{lifecycle::Phase, message::FrontToEngine};

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
    front.lifecycle.advance_to(Phase::Draining);
    thread::sleep(Duration::from_millis(100));
    assert!(TcpStream::connect(front.addr).is_err());
    assert!(!front.thread.is_finished());
    front.answer(query);
    assert!(read_head(&mut caller).starts_with("HTTP/1.1 200 "));
    front.thread.join().unwrap();
    drop(idle);
}
