//! The front in isolation: full ring buffers, and callers that disconnect, send nothing or are
//! slow.

#[path = "common/front.rs"]
mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use common::{HEAD_TIMEOUT, TestFront, read_head, request};
use rosemarybank_daemon::{lifecycle::Phase, message::FrontToEngine};

/// Returns the time until the front closes the connection.
fn time_until_closed(caller: &mut TcpStream) -> Duration {
    let started = Instant::now();
    let mut buf = [0; 1_024];
    while matches!(caller.read(&mut buf), Ok(n) if n > 0) {}
    started.elapsed()
}

/// Guards against requests that wait without limit or are lost while the engine is overloaded.
#[test]
fn a_full_ring_buffer_is_reported_as_overloaded() {
    let mut front = TestFront::start(1, 16);
    let mut first = front.start_search();
    thread::sleep(Duration::from_millis(100));
    let mut second = front.start_search();
    let head = read_head(&mut second);
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(head.contains("retry-after: 1\r\n"), "{head}");
    let query = front.next_submission();
    front.send_result(query);
    assert!(read_head(&mut first).starts_with("HTTP/1.1 200 "));
}

/// Guards against searches that continue after their callers disconnected, also if the ring buffer
/// is full at that moment.
#[test]
fn a_disconnected_caller_cancels_its_search() {
    let mut front = TestFront::start(1, 16);
    let caller = front.start_search();
    let first = front.next_submission();
    let _blocking = front.start_search();
    thread::sleep(Duration::from_millis(100));
    drop(caller);
    thread::sleep(Duration::from_millis(100));
    let _second = front.next_submission();
    match front.next_message() {
        FrontToEngine::CallerGone { query } => assert_eq!(query, first),
        other => panic!("{other:?}"),
    }
}

/// Guards against a late or repeated result that is sent to another caller.
#[test]
fn out_of_order_results_reach_the_right_callers() {
    let mut front = TestFront::start(16, 16);
    let mut first = front.start_search();
    let one = front.next_submission();
    let mut second = front.start_search();
    let two = front.next_submission();
    front.send_result(two);
    front.send_result(two);
    assert!(read_head(&mut second).starts_with("HTTP/1.1 200 "));
    first.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    assert_eq!(read_head(&mut first), "");
    front.send_result(one);
    assert!(read_head(&mut first).starts_with("HTTP/1.1 200 "));
}

/// Guards against connections that stay open while the caller sends nothing, part of a request
/// head, part of an HTTP/2 preface, or nothing after a response.
#[test]
fn silent_and_slow_callers_are_disconnected() {
    let front = TestFront::start(16, 16);
    let starts: [&[u8]; 4] =
        [b"", b"PRI * HTTP/2.0\r\n", b"POST /v1/services/stock/search HTTP/1.1\r\nhost:", b"\r\n"];
    for start in starts {
        let mut caller = front.connect();
        caller.write_all(start).unwrap();
        let open_for = time_until_closed(&mut caller);
        assert!(
            open_for < HEAD_TIMEOUT * 4,
            "{:?}: open for {open_for:?}",
            String::from_utf8_lossy(start)
        );
    }
    let mut idle = front.connect();
    idle.write_all(&request("Bearer wrong", "{}")).unwrap();
    assert!(read_head(&mut idle).contains(" 401 "));
    assert!(time_until_closed(&mut idle) < HEAD_TIMEOUT * 4);
}

/// Guards against request heads and bodies of unlimited size or duration.
#[test]
fn heads_and_bodies_are_bounded() {
    let front = TestFront::start(16, 16);
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

/// Guards against a few silent callers that occupy all connections permanently.
#[test]
fn silent_callers_do_not_block_others() {
    let mut front = TestFront::start(16, 2);
    let _silent: Vec<_> = (0..8).map(|_| front.connect()).collect();
    let mut caller = front.start_search();
    let query = front.next_submission();
    front.send_result(query);
    assert!(read_head(&mut caller).starts_with("HTTP/1.1 200 "));
}

/// Guards against a stop that aborts a request in flight, or drops a connection that only the
/// kernel has accepted so far.
#[test]
fn a_draining_front_finishes_its_requests() {
    let mut front = TestFront::start(16, 16);
    let mut caller = front.start_search();
    let query = front.next_submission();
    let idle = front.connect();
    front.lifecycle.advance_to(Phase::Draining);
    thread::sleep(Duration::from_millis(100));
    assert!(TcpStream::connect(front.addr).is_err());
    assert!(!front.thread.is_finished());
    front.send_result(query);
    assert!(read_head(&mut caller).starts_with("HTTP/1.1 200 "));
    front.thread.join().unwrap();
    drop(idle);
}
