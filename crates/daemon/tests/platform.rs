//! End-to-end tests of `rosemarybankd --platform`, with stand-ins for the store and the replicas.

#[path = "common/cluster.rs"]
mod cluster;

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    sync::mpsc::RecvTimeoutError,
    time::{Duration, Instant},
};

use cluster::{Cluster, WAIT, assert_relayed, call};

use rosemarybank_adapter::{calls, instances};
use rosemarybank_coordination::{feed::FeedPosition, source::Member};
use rosemarybank_daemon::platform::{
    config_text::ConfigText,
    feed_codec::{self, FeedResponse},
};
use rosemarybank_query::forward::directory::ListUpdate;
use rosemarybank_standins::platform_mode::{
    Behaviour, BodyCoding, Caller, Instance, Replica, Response, Store, StoreFault, config,
    instance::wait_until,
    message::Reader,
    replica::{POISON, records},
};
use serde_json::{Value, json};
use tempfile::TempDir;

#[test]
fn a_search_merges_the_parts_and_counts_missing_ones() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let answer = call(&instance, "GET", "/search/x", "q1");
    assert_eq!(answer.status(), 200);
    let stamps = answer.field("x-rosemarybank-part-stamps").unwrap();
    assert_eq!(stamps.split(", ").count(), 4);
    assert_eq!(answer.field("x-rosemarybank-missing-parts"), Some("0"));
    let mut expected: Vec<[u8; 16]> = Vec::new();
    for stamp in stamps.split(", ") {
        let all = records(stamp.split_once('.').unwrap().0, "q1");
        expected.extend(all.as_chunks::<16>().0);
    }
    expected.sort_unstable_by(|a, b| b.cmp(a));
    assert_eq!(answer.body, expected[..3].concat());

    cluster.set_behaviour("s2", Behaviour::Fail);
    let answer = call(&instance, "GET", "/search/x", "q2");
    assert_eq!(answer.field("x-rosemarybank-missing-parts"), Some("1"));
    cluster.set_behaviour("s1", Behaviour::Fail);
    cluster.set_behaviour("s3", Behaviour::Fail);
    let answer = call(&instance, "GET", "/search/x", "q3");
    assert_eq!(answer.status(), 504, "one of four shards is below the minimum share");
}

/// Replicas send extra, unframed and truncated replies. None of these bytes may reach a client, and
/// no client may get the reply to another request.
#[test]
fn malformed_replies_do_not_reach_clients() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let behaviours = [
        Behaviour::Extra,
        Behaviour::ExtraUnnamed,
        Behaviour::Trail,
        Behaviour::Unframed,
        Behaviour::Truncate,
    ];
    for behaviour in behaviours {
        let replica = cluster.replica("orders-1");
        for number in 0..12 {
            replica.set_behaviour(if number % 3 == 0 { behaviour } else { Behaviour::Normal });
            let id = format!("{behaviour:?}-{number}");
            let mut caller = Caller::connect(instance.client_addr()).unwrap();
            assert_relayed(&caller.call("GET", "/read/x", &id, 1_500).unwrap(), &id);
            assert_eq!(caller.trailing_bytes(), b"");
        }
        replica.set_behaviour(Behaviour::Normal);
    }
}

/// Guards against a whole answer that is lost: its end, which is the end of the connection, had arrived
/// together with the last bytes, and no further event reported it.
#[test]
fn replies_that_end_with_their_connection_are_relayed_at_once() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    cluster.set_behaviour("orders", Behaviour::Unframed);
    for number in 0..50 {
        let id = format!("u{number}");
        let start = Instant::now();
        assert_relayed(&call(&instance, "POST", "/order/x", &id), &id);
        assert!(start.elapsed() < Duration::from_millis(500), "{id} took {:?}", start.elapsed());
    }
}

/// Guards against a reply that ends in its head, or before the end that it states, and reaches the client
/// as a complete one.
#[test]
fn a_reply_that_breaks_off_is_no_success() {
    const REQUEST_LEN: usize = 4;
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    // Length of the head without the field of the body coding; the ids have fixed lengths.
    let stamp_len = "orders-1.".len() + REQUEST_LEN;
    let plain_head = format!(
        "HTTP/1.1 200 OK\r\nx-rosemarybank-request-id: {}\r\nx-rosemarybank-server-stamp: {}\r\n\r\n",
        "r".repeat(REQUEST_LEN),
        "s".repeat(stamp_len)
    );
    let cases = [
        (BodyCoding::Length, plain_head.len() + "content-length: 32\r\n".len() + 32),
        (
            BodyCoding::Chunked,
            plain_head.len() + "transfer-encoding: chunked\r\n20\r\n\r\n0\r\n\r\n".len() + 32,
        ),
        // Any end within the body is the end that such a response states.
        (BodyCoding::UntilClose, plain_head.len()),
    ];
    let mut unknown = 0;
    let mut number = 0;
    for (coding, len) in cases {
        for at in 0..len {
            number += 1;
            let id = format!("{number:0REQUEST_LEN$}");
            cluster.set_behaviour("orders", Behaviour::Cut(coding, at));
            let answer = call(&instance, "POST", "/order/x", &id);
            assert!(matches!(answer.status(), 502 | 503), "{coding:?} {at}: {answer:?}");
            unknown += usize::from(answer.status() == 502);
            cluster.set_behaviour("orders", Behaviour::Normal);
            call(&instance, "GET", "/read/x", "sound");
        }
        cluster.set_behaviour("orders", Behaviour::Cut(coding, usize::MAX));
        number += 1;
        let id = format!("{number:0REQUEST_LEN$}");
        assert_relayed(&call(&instance, "POST", "/order/x", &id), &id);
    }
    assert!(unknown * 10 > number * 9, "{unknown} of {number} requests reached a replica");
}

/// Guards against a part of a search that breaks off and is merged.
#[test]
fn a_part_that_breaks_off_is_missing() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    for at in [0, 17, 40, 100, 120, 135] {
        cluster.set_behaviour("s2", Behaviour::Cut(BodyCoding::Length, at));
        let answer = call(&instance, "GET", "/search/x", &format!("part-{at}"));
        assert_eq!(answer.status(), 200, "{at}");
        assert_eq!(answer.field("x-rosemarybank-missing-parts"), Some("1"), "{at}");
    }
}

/// A non-idempotent request whose reply was lost may have run. It must not be retried, and the client
/// must not be told that it did not run.
#[test]
fn an_order_runs_at_most_once() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    assert_relayed(&call(&instance, "POST", "/order/x", "o1"), "o1");
    for (number, behaviour) in [Behaviour::Break, Behaviour::Truncate].into_iter().enumerate() {
        cluster.set_behaviour("orders", behaviour);
        let id = format!("lost-{number}");
        assert_eq!(call(&instance, "POST", "/order/x", &id).status(), 502);
        assert_eq!(cluster.runs(&id).len(), 1);
    }
    cluster.set_behaviour("orders", Behaviour::Refuse);
    let answer = call(&instance, "POST", "/order/x", "o3");
    assert_eq!(answer.status(), 503);
    assert!(answer.field("retry-after").is_some());
    assert_eq!(cluster.runs("o3").len(), 0, "a refused request must not have run");
    cluster.set_behaviour("orders", Behaviour::Normal);
    cluster.replica("orders-1").set_behaviour(Behaviour::Refuse);
    assert_relayed(&call(&instance, "POST", "/order/x", "o4"), "o4");
}

/// Guards against sending a request right after connecting. Replicas at their connection limit
/// closed the connection with the request on it, which looked the same as a lost reply, so that a
/// non-idempotent request could not be retried.
#[test]
fn an_order_is_retried_when_a_replica_is_at_its_connection_limit() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    cluster.replica("orders-1").set_max_connections(0);
    for number in 0..10 {
        let id = format!("f{number}");
        assert_relayed(&call(&instance, "POST", "/order/x", &id), &id);
    }
    cluster.replica("orders-2").set_max_connections(0);
    std::thread::sleep(Duration::from_millis(1_200));
    let answer = call(&instance, "POST", "/order/x", "none");
    assert_eq!(answer.status(), 503, "503 states that the request did not run: {answer:?}");
    assert_eq!(cluster.runs("none").len(), 0);
}

/// Guards against crashes that are never found out: a connection that a process accepts as it ends closes so
/// soon that the replica might as well be at its connection limit, and nothing tried again.
#[test]
fn a_crash_is_found_out_although_the_process_still_accepts_a_connection() {
    let mut cluster = Cluster::new();
    for number in 3..=8 {
        cluster.add_replica(&format!("orders-{number}"), "orders", "a");
    }
    for it in &cluster.replicas {
        it.set_exit_delay(Duration::from_millis(5));
    }
    cluster.set_behaviour("orders", Behaviour::CrashOnPoison);
    let instance = cluster.start_ready_instance();
    let path = format!("/order/{POISON}");
    for number in 0..6 {
        assert_ne!(call(&instance, "POST", &path, &format!("p{number}")).status(), 200);
        std::thread::sleep(Duration::from_millis(700));
    }
    assert_eq!(cluster.runs.lock().unwrap().len(), 2, "replicas crashed");
    assert_eq!(call(&instance, "POST", &path, "last").status(), 503);
}

/// Guards against an order that is sent on a connection which a busy replica is about to close
/// unread. Its outcome was reported as unknown although no replica had read it.
#[test]
fn an_order_is_retried_when_a_busy_replica_closes_its_connection_late() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let replica = cluster.replica("orders-1");
    replica.set_close_delay(Duration::from_millis(8));
    replica.set_max_connections(0);
    for number in 0..10 {
        let id = format!("b{number}");
        assert_relayed(&call(&instance, "POST", "/order/x", &id), &id);
    }
}

/// Guards against a request that crashes one replica after the other when it is sent repeatedly to
/// several instances. Other requests to the same service must still succeed.
#[test]
fn a_request_that_crashes_replicas_is_quarantined_by_all_instances() {
    let mut cluster = Cluster::new();
    for number in 3..=8 {
        cluster.add_replica(&format!("orders-{number}"), "orders", "a");
    }
    cluster.set_behaviour("orders", Behaviour::CrashOnPoison);
    let instances = [cluster.start_ready_instance(), cluster.start_instance("m2", "b")];
    assert!(instances[1].wait_ready(WAIT));
    let path = format!("/read/{POISON}");
    for number in 0..20 {
        for (index, instance) in instances.iter().enumerate() {
            let id = format!("p{number}-{index}");
            assert_ne!(call(instance, "GET", &path, &id).status(), 200);
            let id = format!("ok{number}-{index}");
            assert_relayed(&call(instance, "GET", "/read/x", &id), &id);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let crashes =
        cluster.runs.lock().unwrap().iter().filter(|it| it.request_line.contains(POISON)).count();
    assert!((2..=4).contains(&crashes), "{crashes} replicas crashed");
    for instance in &instances {
        let answer = call(instance, "GET", &path, "last");
        assert_eq!(answer.status(), 503);
        assert!(answer.field("retry-after").is_some());
    }
}

/// Guards against an order that crashes one replica after the other because each of many instances sees only
/// some of the crashes. The fleet refuses it after the third crash.
#[test]
fn an_order_that_crashes_replicas_is_refused_by_the_fleet() {
    let mut cluster = Cluster::new();
    for number in 3..=14 {
        cluster.add_replica(&format!("orders-{number}"), "orders", "a");
    }
    cluster.set_behaviour("orders", Behaviour::CrashOnPoison);
    let instances: Vec<Instance> =
        (0..6).map(|it| cluster.start_instance(&format!("m{it}"), "a")).collect();
    assert!(instances.iter().all(|it| it.wait_ready(WAIT)));
    // The instances find each other.
    std::thread::sleep(Duration::from_secs(3));
    let path = format!("/order/{POISON}");
    for (number, instance) in instances.iter().chain(&instances).enumerate() {
        assert_ne!(call(instance, "POST", &path, &format!("p{number}")).status(), 200);
        std::thread::sleep(Duration::from_millis(1_500));
    }
    let crashes =
        cluster.runs.lock().unwrap().iter().filter(|it| it.request_line.contains(POISON)).count();
    assert!((2..=4).contains(&crashes), "{crashes} replicas crashed");
    for instance in &instances {
        assert_relayed(&call(instance, "GET", "/read/x", "sound"), "sound");
    }
}

/// A replica may clean up before its process ends, so it can be reached for a moment after the
/// connection of the request broke. No other requests show that it has crashed.
#[test]
fn a_request_that_crashes_replicas_with_a_delay_is_quarantined() {
    let mut cluster = Cluster::new();
    for number in 3..=12 {
        cluster.add_replica(&format!("orders-{number}"), "orders", "a");
    }
    for it in &cluster.replicas {
        it.set_exit_delay(Duration::from_millis(30));
    }
    cluster.set_behaviour("orders", Behaviour::CrashOnPoison);
    let instance = cluster.start_ready_instance();
    let path = format!("/read/{POISON}");
    for number in 0..10 {
        assert_ne!(call(&instance, "GET", &path, &format!("p{number}")).status(), 200);
        std::thread::sleep(Duration::from_millis(150));
    }
    let crashes = cluster.runs.lock().unwrap().len();
    assert_eq!(crashes, 2, "replicas crashed");
    assert_eq!(call(&instance, "GET", &path, "last").status(), 503);
}

/// Guards against an order that runs twice: a replica sent a late copy of a refusal on a connection that
/// was in use again, and the order in progress was taken as refused and sent to another replica.
#[test]
fn a_late_refusal_without_an_id_is_not_believed() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    for number in 0..10 {
        cluster.set_behaviour("orders", Behaviour::Normal);
        assert_relayed(
            &call(&instance, "POST", "/order/x", &format!("w{number}")),
            &format!("w{number}"),
        );
        cluster.set_behaviour("orders", Behaviour::LateRefusal);
        let id = format!("l{number}");
        let status = call(&instance, "POST", "/order/x", &id).status();
        assert_ne!(status, 503, "the order runs");
        // The instance gives up before the replica begins to run the order.
        assert!(wait_until(WAIT, || !cluster.runs(&id).is_empty()), "status {status}");
    }
    for number in 0..10 {
        assert_eq!(cluster.runs(&format!("l{number}")).len(), 1);
    }
}

/// A faulty replica sends bytes without end. They must not take the memory of the instance, and the
/// connection is closed; another replica answers.
#[test]
fn bytes_without_end_are_bounded() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let behaviours = [
        Behaviour::EndlessHead,
        Behaviour::EndlessBody(BodyCoding::UntilClose),
        Behaviour::EndlessBody(BodyCoding::Chunked),
        Behaviour::EndlessBody(BodyCoding::Length),
        Behaviour::EndlessInterim,
        Behaviour::EndlessReplies,
    ];
    for behaviour in behaviours {
        cluster.replica("orders-1").set_behaviour(behaviour);
        std::thread::scope(|scope| {
            for caller in 0..20 {
                let instance = &instance;
                scope.spawn(move || {
                    let id = format!("{behaviour:?}-{caller}");
                    // The budget permits only some of the retries.
                    let answer = call(instance, "GET", "/read/x", &id);
                    match answer.status() {
                        504 => {}
                        _ => assert_relayed(&answer, &id),
                    }
                });
            }
        });
        cluster.replica("orders-1").set_behaviour(Behaviour::Normal);
        let is_over = || cluster.replica("orders-1").endless_responses() == 0;
        assert!(wait_until(WAIT, is_over), "{behaviour:?}: a connection stays open");
    }
    // The settings allow 260 MB.
    let peak_kb = instance.peak_memory_kb().unwrap();
    assert!(peak_kb < 65_000, "{peak_kb} kB");
}

/// Guards against requests that a client has sent behind the one in progress, and that a planned stop drops.
#[test]
fn pipelined_requests_are_answered_at_a_planned_stop() {
    const REQUESTS: usize = 6;
    let cluster = Cluster::new();
    let mut instance = cluster.start_ready_instance();
    cluster.set_service_time("orders", Duration::from_millis(200));
    let mut caller = Caller::connect(instance.client_addr()).unwrap();
    for number in 0..REQUESTS {
        caller.send("GET", "/read/x", &format!("piped-{number}"), 5_000).unwrap();
    }
    assert!(wait_until(WAIT, || !cluster.runs("piped-0").is_empty()));
    instance.signal("-TERM");
    for number in 0..REQUESTS {
        let answer = caller.receive().unwrap_or_else(|err| panic!("request {number}: {err}"));
        assert_relayed(&answer, &format!("piped-{number}"));
    }
    let status = instance.wait_exit(WAIT).expect("the instance exits within its grace time");
    assert!(status.success());
}

/// Guards against a reader of the log that stalls and keeps the process from ending.
#[test]
fn a_log_that_nobody_reads_does_not_delay_a_stop() {
    let cluster = Cluster::new();
    let mut instance = cluster.start_ready_instance();
    instance.kill();
    let mut log = instance.start_with_piped_log().unwrap();
    assert!(instance.wait_ready(WAIT));
    // The pipe holds 64 KB; refused requests have a line each, up to the limit of lines a second.
    let path = format!("/nowhere/{}", "x".repeat(300));
    wait_until(Duration::from_secs(8), || {
        (0..60).for_each(|it| drop(call(&instance, "GET", &path, &format!("unread-{it}"))));
        false
    });
    instance.signal("-TERM");
    let status = instance.wait_exit(WAIT).expect("the instance exits within its grace time");
    assert!(status.success());
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    assert!(!text.contains(r#""event":"stop""#), "the pipe was not full: {} bytes", text.len());
}

/// Guards against clients that fill the memory with lines that nobody reads: the texts of a request are cut in
/// them, and the line is still found by its id.
#[test]
fn long_texts_of_clients_are_cut_in_the_log() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    for (id, filler) in [("long-1", "x"), ("long-2", "\"")] {
        let answer = call(&instance, "GET", &format!("/nowhere/{}", filler.repeat(12_000)), id);
        assert_eq!(answer.status(), 404, "{id}");
    }
    let read = || std::fs::read_to_string(instance.log_path()).unwrap();
    let is_logged = |id: &str| read().contains(&format!(r#""request":"{id}","#));
    assert!(wait_until(WAIT, || is_logged("long-1") && is_logged("long-2")), "{}", read());
    assert!(read().lines().all(|it| it.len() < 4_096), "{}", read());
}

/// Guards against a store that sends bytes without end: a process reads it on several connections, and requests
/// are served meanwhile.
#[test]
fn a_store_without_end_is_bounded() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    cluster.store.set_fault(StoreFault::Endless);
    for number in 0..50 {
        let id = format!("endless-{number}");
        assert_relayed(&call(&instance, "GET", "/read/x", &id), &id);
        std::thread::sleep(Duration::from_millis(100));
    }
    // The settings allow 260 MB.
    let peak_kb = instance.peak_memory_kb().unwrap();
    assert!(peak_kb < 65_000, "{peak_kb} kB");
}

/// Guards against a number that is no status and reaches the client as the status of an answer.
#[test]
fn a_reply_without_a_valid_status_is_no_answer() {
    for status in [0, 1, 99, 600, 999] {
        let cluster = Cluster::new();
        let instance = cluster.start_ready_instance();
        cluster.replica("orders-1").set_behaviour(Behaviour::Status(status));
        // The other replica answers.
        assert_relayed(&call(&instance, "GET", "/read/x", "read-1"), "read-1");
        cluster.set_behaviour("orders", Behaviour::Status(status));
        cluster.set_behaviour("s4", Behaviour::Status(status));
        let answer = call(&instance, "GET", "/read/x", "read-2");
        assert!([502, 504].contains(&answer.status()), "{status:03}: {answer:?}");
        let answer = call(&instance, "POST", "/order/x", "order-1");
        assert!([502, 504].contains(&answer.status()), "{status:03}: {answer:?}");
        assert_eq!(cluster.runs("order-1").len(), 1, "{status:03}");
        let answer = call(&instance, "GET", "/search/x", "search-1");
        assert_eq!(answer.status(), 200, "{status:03}: {answer:?}");
        assert_eq!(answer.field("x-rosemarybank-missing-parts"), Some("1"));
    }
}

/// Guards against half of a reply without a length that counts as whole: its connection is reset while the
/// request is still being written, and the failed write takes the error that a read would report.
#[test]
fn a_reply_that_is_reset_while_the_request_is_sent_is_no_success() {
    const BODY_LEN: usize = 12 << 20;
    let cluster = Cluster::new();
    let mut spec =
        config::spec(2, &["s1"], "orders", vec![config::route("early", "idempotent", "early")]);
    spec["limits"]["max_body_bytes"] = json!(BODY_LEN);
    let service = json!({ "name": "early", "max_connections": 40, "health_check_path": "/health" });
    spec["services"].as_array_mut().unwrap().push(service);
    cluster.store.put("config", "main", spec);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = json!({
        "service": "early", "address": listener.local_addr().unwrap().to_string(), "zone": "a",
        "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        "born": 1,
    });
    cluster.store.register("early-1", entry, Duration::from_secs(60));
    let (tx, stopped) = std::sync::mpsc::channel::<()>();
    let replica = std::thread::spawn(move || {
        listener.set_nonblocking(true).unwrap();
        while stopped.recv_timeout(Duration::from_millis(10)) == Err(RecvTimeoutError::Timeout) {
            let Ok((mut stream, _)) = listener.accept() else { continue };
            stream.set_nonblocking(false).unwrap();
            let mut head = [0; 1 << 10];
            if stream.read(&mut head).unwrap_or(0) > 0 {
                let half = "HTTP/1.1 200 OK\r\nx-rosemarybank-request-id: early\r\n\
                            x-rosemarybank-server-stamp: early-1.early\r\n\r\nhalf of the body";
                stream.write_all(half.as_bytes()).unwrap();
            }
            // The instance has filled the buffers of the connection by then. Closing it with unread input
            // resets it.
            std::thread::sleep(Duration::from_millis(300));
        }
    });
    let instance = cluster.start_ready_instance();
    let mut caller = Caller::connect(instance.client_addr()).unwrap();
    let head = format!(
        "POST /early/x HTTP/1.1\r\nhost: h.example\r\nx-rosemarybank-request-id: early\r\n\
         x-rosemarybank-deadline-ms: 9000\r\ncontent-length: {BODY_LEN}\r\n\r\n"
    );
    caller.send_raw(head.as_bytes()).unwrap();
    caller.send_raw(&vec![b'b'; BODY_LEN]).unwrap();
    let answer = caller.receive().unwrap();
    drop(tx);
    replica.join().unwrap();
    assert!([502, 504].contains(&answer.status()), "{:?}", answer.start_line);
}

/// Guards against an answer that is dropped because the next request takes the place of the first one before the
/// answer is sent.
#[test]
fn requests_that_arrive_together_are_all_answered() {
    const CALLERS: usize = 30;
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    for replica in ["orders-1", "orders-2"] {
        cluster.replica(replica).crash();
    }
    // The instance finds out that the replicas are down, so that it refuses requests at once.
    let is_refused = || call(&instance, "GET", "/read/x", "probe").status() == 503;
    assert!(wait_until(WAIT, is_refused));
    instance.signal("-STOP");
    let mut callers: Vec<Caller> =
        (0..CALLERS).map(|_| Caller::connect(instance.client_addr()).unwrap()).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.send("GET", "/read/x", &format!("together-{number}"), 60_000).unwrap();
    }
    instance.signal("-CONT");
    for (number, caller) in callers.iter_mut().enumerate() {
        let answer = caller.receive().unwrap_or_else(|err| panic!("request {number}: {err}"));
        assert!([502, 503, 504].contains(&answer.status()), "request {number}: {answer:?}");
    }
}

/// Guards against the same for requests that wait for the first configuration and are then refused together.
#[test]
fn requests_that_wait_for_the_start_are_all_answered() {
    const CALLERS: usize = 30;
    let cluster = Cluster::new();
    for replica in ["orders-1", "orders-2"] {
        cluster.replica(replica).leave();
    }
    let mut instance = cluster.start_instance("m1", "a");
    // An instance loads its configuration about 300 ms after its start, and requests wait for 200 ms.
    for delay in [120, 180, 240] {
        instance.kill();
        instance.start().unwrap();
        std::thread::sleep(Duration::from_millis(delay));
        let mut callers: Vec<Caller> =
            (0..CALLERS).map(|_| Caller::connect(instance.client_addr()).unwrap()).collect();
        for (number, caller) in callers.iter_mut().enumerate() {
            caller.send("GET", "/read/x", &format!("start-{delay}-{number}"), 60_000).unwrap();
        }
        for (number, caller) in callers.iter_mut().enumerate() {
            let answer = caller.receive().unwrap_or_else(|err| panic!("request {number}: {err}"));
            assert_eq!(answer.status(), 503, "request {number}: {answer:?}");
        }
        let metrics = instance.metrics().unwrap();
        assert!(metrics.contains("rosemarybank_answers_dropped_total 0\n"), "{metrics}");
    }
}

/// Guards against an entry of another writer, with fields missing, that names a replica of another service.
#[test]
fn an_incomplete_entry_names_no_replica() {
    let mut cluster = Cluster::new();
    cluster.add_replica("other-1", "other", "a");
    let instance = cluster.start_ready_instance();
    // The entry would name the only replica of the service.
    cluster.replica("orders-1").leave();
    cluster.replica("orders-2").leave();
    let addr = cluster.replica("other-1").addr();
    let entry = format!(
        r#"{{"service":"orders","address":"{addr}","zone":"a","slots":8,"state":"ready"}}"#
    );
    // The replica writes its own entry again with each heartbeat.
    let end = Instant::now() + Duration::from_secs(3);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while Instant::now() < end {
                cluster.store.put_raw("servers", "other-1", entry.as_bytes());
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        let mut number = 0;
        while Instant::now() < end {
            number += 1;
            let id = format!("read-{number}");
            assert_ne!(call(&instance, "GET", "/read/x", &id).status(), 200);
        }
    });
    let runs = cluster.runs.lock().unwrap();
    assert!(runs.iter().all(|it| it.replica != "other-1"), "a replica of another service ran one");
}

/// Guards against settings that end a running process when they change.
#[test]
fn changed_settings_leave_a_process_alive() {
    let cluster = Cluster::new();
    let mut instance = cluster.start_ready_instance();
    // Failures use the retry budget.
    cluster.set_behaviour("orders", Behaviour::Break);
    let path = instance.settings_path();
    let first: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    let keys = [
        ("bounds", "budget_window_s"),
        ("bounds", "retry_budget_ratio"),
        ("bounds", "retry_budget_slack"),
        ("bounds", "grace_s"),
        ("bounds", "drain_ms"),
        ("bounds", "config_apply_ms"),
        ("limits", "memory_mb"),
        ("limits", "fd_limit"),
        ("limits", "cpu_share"),
        ("limits", "cores"),
    ];
    let values = [
        json!(20),
        json!(1.8e19),
        json!(u64::MAX),
        json!(1_u64 << 44),
        json!(0),
        json!(0.001),
        json!(3_600),
        json!(-1),
        json!("x"),
        Value::Null,
    ];
    let mut number = 0;
    for (section, key) in keys {
        for value in &values {
            let mut settings = first.clone();
            settings[section][key] = value.clone();
            std::fs::write(&path, settings.to_string()).unwrap();
            instance.signal("-HUP");
            for _ in 0..3 {
                number += 1;
                let answer = call(&instance, "GET", "/read/x", &format!("read-{number}"));
                assert!(
                    [200, 502, 503, 504].contains(&answer.status()),
                    "{key} {value}: {answer:?}"
                );
            }
        }
    }
    std::fs::write(&path, first.to_string()).unwrap();
    cluster.set_behaviour("orders", Behaviour::Normal);
    instance.signal("-TERM");
    let status = instance.wait_exit(WAIT).unwrap();
    assert_eq!(status.code(), Some(0));
}

/// Guards against requests that are never read: more than the buffer for pipelined requests had arrived
/// while an earlier one was in progress, and no event reported the rest.
#[test]
fn pipelined_requests_beyond_the_buffer_are_answered() {
    const COUNT: usize = 1_000;
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    cluster.set_service_time("orders", Duration::from_millis(300));
    let mut caller = Caller::connect(instance.client_addr()).unwrap();
    caller.send("GET", "/read/x", "first", 1_500).unwrap();
    for number in 0..COUNT {
        caller.send("GET", "/unknown/x", &format!("further-{number}"), 1_500).unwrap();
    }
    assert_relayed(&caller.receive().unwrap(), "first");
    for _ in 0..COUNT {
        assert_eq!(caller.receive().unwrap().status(), 404);
    }
}

/// Guards against an event loop that never leaves the connection of one replica: bytes without end
/// arrived faster than they were parsed, and no client, probe or timer was served any more.
#[test]
fn replies_without_end_do_not_stop_other_requests() {
    for behaviour in [Behaviour::EndlessInterim, Behaviour::EndlessReplies] {
        check_other_requests(behaviour);
    }
}

fn check_other_requests(behaviour: Behaviour) {
    let mut cluster = Cluster::new();
    for number in 3..=8 {
        cluster.add_replica(&format!("orders-{number}"), "orders", "a");
    }
    cluster.configure(2, json!([config::route("part", "idempotent", "s1")]));
    let instance = cluster.start_ready_instance();
    let has_route = || call(&instance, "GET", "/part/x", "route").status() == 200;
    assert!(wait_until(WAIT, has_route));
    cluster.set_behaviour("orders", behaviour);
    std::thread::scope(|scope| {
        for caller in 0..40 {
            let instance = &instance;
            scope.spawn(move || {
                let answer = call(instance, "GET", "/read/x", &format!("faulty-{caller}"));
                assert!(matches!(answer.status(), 502..=504), "{answer:?}");
            });
        }
        for number in 0..100 {
            let start = Instant::now();
            let id = format!("sound-{number}");
            assert_relayed(&call(&instance, "GET", "/part/x", &id), &id);
            assert!(start.elapsed() < Duration::from_secs(1), "{id} took {:?}", start.elapsed());
            assert!(instance.is_ready());
            std::thread::sleep(Duration::from_millis(10));
        }
    });
}

#[test]
fn no_request_runs_as_a_replica_whose_address_was_reused() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let replica = cluster.replica("orders-1");
    call(&instance, "GET", "/read/x", "before");
    replica.change_id("stranger");
    for number in 0..5 {
        let id = format!("r{number}");
        assert_relayed(&call(&instance, "GET", "/read/x", &id), &id);
        assert!(cluster.runs(&id).iter().all(|it| it.replica != "orders-1"));
    }
}

#[test]
fn a_draining_replica_gets_no_requests_after_three_seconds() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    cluster.replica("orders-1").drain();
    let end = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        call(&instance, "GET", "/read/x", &format!("d{number}"));
    }
    let runs = cluster.runs.lock().unwrap();
    assert!(runs.iter().all(|it| !it.started_after_drain));
}

/// Sends a read and a search each 10 ms for the given time. Returns how many were answered with 200.
fn keep_asking(instance: &Instance, time: Duration) -> usize {
    let end = Instant::now() + time;
    let mut served = 0;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        for path in ["/read/x", "/search/x"] {
            let answer = call(instance, "GET", path, &format!("ask-{number}{}", &path[1..4]));
            served += usize::from(answer.status() == 200);
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    served
}

/// Guards against requests to a replica that has said in an answer that it leaves. Its registration, which
/// still says that it is ready, does not take that back; a restart of the replica does.
#[test]
fn a_replica_that_says_it_leaves_gets_no_requests() {
    let mut cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    for id in ["orders-1", "s2-1"] {
        cluster.replica(id).set_behaviour(Behaviour::Leave);
    }
    keep_asking(&instance, Duration::from_millis(300));
    let count = |cluster: &Cluster, id: &str| cluster.replica(id).arrivals().len();
    let before = ["orders-1", "s2-1"].map(|it| count(&cluster, it));
    assert!(before.iter().all(|it| *it > 0), "{before:?}");
    // Other registrations change meanwhile, and the store fails for a while.
    cluster.replica("s3-1").drain();
    cluster.store.set_fault(StoreFault::Reset);
    keep_asking(&instance, Duration::from_millis(1_500));
    cluster.store.set_fault(StoreFault::None);
    assert!(keep_asking(&instance, Duration::from_millis(1_500)) > 100);
    assert_eq!(["orders-1", "s2-1"].map(|it| count(&cluster, it)), before);
    cluster.replica("orders-1").leave();
    cluster.replicas.retain(|it| it.id() != "orders-1");
    cluster.add_replica("orders-1", "orders", "a");
    // With the other replica in use, its open connections could make up for the distance.
    cluster.replica("orders-2").leave();
    let is_used = || {
        keep_asking(&instance, Duration::from_millis(50));
        count(&cluster, "orders-1") > 0
    };
    assert!(wait_until(WAIT, is_used), "the replica has restarted");
    let log = std::fs::read_to_string(instance.log_path()).unwrap();
    assert!(log.contains(r#""event":"replica_leaving","replica":"orders-1""#), "{log}");
}

/// When all replicas of a service leave, its requests are refused at once.
#[test]
fn requests_are_refused_at_once_when_all_replicas_leave() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    cluster.set_behaviour("orders", Behaviour::Leave);
    assert!(wait_until(WAIT, || call(&instance, "GET", "/read/x", "last").status() == 503));
    let start = Instant::now();
    let answer = call(&instance, "POST", "/order/x", "refused");
    assert_eq!((answer.status(), cluster.runs("refused").len()), (503, 0));
    assert!(answer.field("retry-after").is_some());
    assert!(start.elapsed() < Duration::from_millis(200));
}

/// Guards against requests to a replica that has asked for none for a while.
#[test]
fn a_replica_that_states_retry_after_gets_no_requests_until_then() {
    let wait = Duration::from_millis(2_500);
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    keep_asking(&instance, Duration::from_millis(100));
    let refuse = Behaviour::RefuseFor(wait.as_millis() as u64);
    let changed_at = Instant::now();
    for service in ["orders", "s2"] {
        cluster.set_behaviour(service, refuse);
    }
    let answer = call(&instance, "POST", "/order/x", "first");
    assert_eq!(answer.status(), 503);
    let stated: f64 = answer.field("retry-after").unwrap().parse().unwrap();
    assert!((1.0..=2.6).contains(&stated), "{stated}");
    keep_asking(&instance, wait - Duration::from_millis(200));
    for id in ["orders-1", "orders-2", "s2-1", "s2-2"] {
        let arrivals = cluster.replica(id).arrivals();
        let refused_at = *arrivals.iter().find(|it| **it > changed_at).unwrap();
        let unwanted = refused_at + Duration::from_millis(500)..refused_at + wait;
        let early = arrivals.iter().filter(|it| unwanted.contains(*it)).count();
        assert!(early <= 2, "{id}: {early} requests while it refuses");
    }
    cluster.set_behaviour("orders", Behaviour::Normal);
    let is_served = || call(&instance, "GET", "/read/x", "after").status() == 200;
    assert!(wait_until(Duration::from_secs(1), is_served), "its time is over");
}

/// Sends a HEAD and a GET request on one connection and returns the bytes after the head of the first
/// response.
fn bytes_after_head_response(addr: std::net::SocketAddr, path: &str) -> (String, String) {
    let mut stream = std::net::TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    for (method, connection) in [("HEAD", "keep-alive"), ("GET", "close")] {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: h.example\r\nx-rosemarybank-request-id: {method}\r\n\
             x-rosemarybank-deadline-ms: 1500\r\nconnection: {connection}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
    }
    let mut all = Vec::new();
    stream.read_to_end(&mut all).unwrap();
    let text = String::from_utf8_lossy(&all).into_owned();
    let (first, rest) = text.split_once("\r\n\r\n").unwrap();
    (first.to_owned(), rest.to_owned())
}

/// Guards against content in the response to a HEAD request, which the client takes for the start of the
/// next response: refusals, merged answers, and those of the other listeners.
#[test]
fn responses_to_head_requests_have_no_content() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let ports = instance.ports();
    let client = instance.client_addr();
    let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let check = |addr, path: &str, status: &str| {
        let (head, rest) = bytes_after_head_response(addr, path);
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{path}: {head}");
        assert!(rest.starts_with("HTTP/1.1 "), "{path}: {head}\n{rest}");
        head
    };
    check(client, "/unknown/x", "404");
    check(client, "/search/x", "200");
    let head = check(client, "/read/x", "200");
    assert!(!head.contains("content-length"), "the length of the content is unknown: {head}");
    check(at(ports.readiness), "/-/readiness", "200");
    check(at(ports.readiness), "/other", "404");
    check(at(ports.metrics), "/metrics", "200");
    cluster.set_behaviour("orders", Behaviour::Refuse);
    let head = check(client, "/read/x", "503");
    assert!(head.contains("content-length: 1"), "the length that GET would have: {head}");
}

/// Without a configuration the routes are unknown, so the status must not be 404.
#[test]
fn an_instance_without_configuration_refuses_requests_until_the_store_recovers() {
    let cluster = Cluster::new();
    cluster.store.set_fault(StoreFault::Busy);
    let instance = cluster.start_instance("m1", "a");
    std::thread::sleep(Duration::from_millis(500));
    assert!(!instance.is_ready());
    assert_eq!(call(&instance, "GET", "/read/x", "early").status(), 503);
    cluster.store.set_fault(StoreFault::None);
    assert!(instance.wait_ready(WAIT));
    assert_relayed(&call(&instance, "GET", "/read/x", "late"), "late");
}

/// Requests succeed while the store is unreachable, and after its recovery although the registrations
/// of live replicas have expired meanwhile.
#[test]
fn requests_succeed_during_and_after_a_store_outage() {
    for fault in [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent] {
        let cluster = Cluster::new();
        let instance = cluster.start_ready_instance();
        cluster.store.set_fault(fault);
        let start = Instant::now();
        let mut number = 0;
        while start.elapsed() < Duration::from_millis(4_500) {
            // Registrations expire after 1.2 s, so all of them have expired by now.
            if start.elapsed() > Duration::from_secs(2) {
                cluster.store.set_fault(StoreFault::None);
            }
            number += 1;
            let id = format!("n{number}");
            assert_relayed(&call(&instance, "GET", "/read/x", &id), &id);
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

#[test]
fn a_new_configuration_becomes_active_and_is_never_replaced_by_an_older_one() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let added = json!([config::route("new", "idempotent", "orders")]);
    assert_eq!(call(&instance, "GET", "/new/x", "n0").status(), 404);
    cluster.configure(7, added);
    let is_new = || call(&instance, "GET", "/new/x", "n1").status() == 200;
    assert!(wait_until(Duration::from_secs(3), is_new));
    cluster.configure(6, json!([]));
    cluster.store.compact();
    std::thread::sleep(Duration::from_millis(600));
    assert!(is_new(), "an older version is ignored");
    cluster.store.put("config", "main", json!({ "version": 9 }));
    std::thread::sleep(Duration::from_millis(600));
    assert!(is_new(), "an invalid version is ignored");
}

/// Objects that are not valid registrations must not affect the other replicas.
#[test]
fn invalid_registrations_are_ignored() {
    let cluster = Cluster::new();
    cluster.store.put("servers", "odd-1", json!("text"));
    cluster.store.put("servers", "odd-2", json!({ "service": "orders", "address": 7 }));
    let instance = cluster.start_ready_instance();
    cluster.store.put("servers", "odd-3", json!({ "state": "unknown" }));
    assert_relayed(&call(&instance, "GET", "/read/x", "e1"), "e1");
}

/// Guards against instances that do not start, or follow no changes any more, because one entry of another
/// writer cannot be decoded.
#[test]
fn unreadable_entries_are_left_out() {
    let nested = [b"[".repeat(100_000), b"]".repeat(100_000)].concat();
    let specs: [&[u8]; 6] = [
        br#"{"service":"\udcff"}"#,
        b"{\"service\":\"\xff\"}",
        br#"{"service":"orders","slots":1e400}"#,
        br#"{"service":"orders","address":"127.0.0.1:99999","slots":1,"state":"ready"}"#,
        b"{\"service\":\"line\nbreak\"}",
        &nested,
    ];
    for (number, spec) in specs.into_iter().enumerate() {
        let cluster = Cluster::new();
        let kinds = [calls::REPLICAS, calls::INSTANCES, calls::CONFIG];
        for kind in kinds {
            cluster.store.put_raw(kind, "before", spec);
        }
        let mut instance = cluster.start_ready_instance();
        for kind in kinds {
            cluster.store.put_raw(kind, "while-running", spec);
        }
        cluster.replica("orders-1").drain();
        cluster.configure(2, json!([config::route("new", "idempotent", "orders")]));
        let has_changes = || {
            let answer = call(&instance, "GET", "/new/x", "n");
            answer.status() == 200 && answer.body == records("orders-2", "n")
        };
        assert!(wait_until(Duration::from_secs(3), has_changes), "spec {number}");
        instance.signal("-KILL");
        assert!(instance.wait_exit(WAIT).is_some());
        instance.start().unwrap();
        assert!(instance.wait_ready(WAIT), "spec {number}");
        assert_relayed(&call(&instance, "GET", "/read/x", "again"), "again");
    }
}

/// After SIGTERM the readiness probe fails, all received requests are answered, and the process exits
/// with success.
#[test]
fn a_graceful_stop_answers_received_requests() {
    let cluster = Cluster::new();
    let mut instance = cluster.start_ready_instance();
    for it in &cluster.replicas {
        it.set_service_time(Duration::from_millis(1_200));
    }
    let mut open = Caller::connect(instance.client_addr()).unwrap();
    open.send("GET", "/read/x", "s1", 5_000).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    instance.signal("-TERM");
    assert!(wait_until(Duration::from_secs(1), || !instance.is_ready()));
    // The platform still routes clients to this instance for a while.
    let mut late = Caller::connect(instance.client_addr()).unwrap();
    late.send("GET", "/read/x", "s2", 5_000).unwrap();
    assert_relayed(&open.receive().unwrap(), "s1");
    let answer = late.receive().unwrap();
    assert_relayed(&answer, "s2");
    assert_eq!(answer.field("connection"), Some("close"));
    assert!(instance.wait_exit(WAIT).is_some_and(|it| it.success()));
}

/// Guards against a planned stop that cuts off connections which were accepted just before: their first
/// requests are still on their way when the instance closes its listener and idle connections.
#[test]
fn a_request_on_a_new_connection_is_answered_during_a_stop() {
    let cluster = Cluster::new();
    let mut instance = cluster.start_ready_instance();
    instance.signal("-TERM");
    std::thread::sleep(Duration::from_millis(1_900));
    let mut callers = Vec::new();
    while let Ok(caller) = Caller::connect(instance.client_addr()) {
        callers.push(std::thread::spawn(move || {
            let mut caller = caller;
            std::thread::sleep(Duration::from_millis(200));
            caller.call("GET", "/read/x", "new", 1_500).map(|it| it.status())
        }));
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(callers.len() > 20, "{} connections before the listener closed", callers.len());
    for it in callers {
        assert_eq!(it.join().unwrap().unwrap(), 200);
    }
    assert!(instance.wait_exit(WAIT).is_some_and(|it| it.success()));
}

/// Guards against orders that are taken at the end of a stop and end with an unknown outcome: their bodies
/// arrive until shortly before the process exits, and each is run or refused, never left open.
#[test]
fn orders_that_arrive_at_the_end_of_a_stop_are_run_or_refused() {
    let cluster = Cluster::new();
    let mut instance = cluster.start_ready_instance();
    cluster.set_service_time("orders", Duration::from_millis(300));
    std::thread::scope(|scope| {
        for number in 0..10 {
            let instance = &instance;
            scope.spawn(move || call(instance, "POST", "/order/x", &format!("first-{number}")));
        }
    });
    let addr = instance.client_addr();
    let orders = (0..50).map(|number| {
        std::thread::spawn(move || {
            let id = format!("late-{number}");
            let mut stream = std::net::TcpStream::connect(addr).unwrap();
            let head = format!(
                "POST /order/x HTTP/1.1\r\nhost: h.example\r\nx-rosemarybank-request-id: {id}\r\n\
                 x-rosemarybank-deadline-ms: 9000\r\ncontent-length: 5\r\n\r\nord"
            );
            stream.write_all(head.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(4_200 + 25 * number));
            stream.write_all(b"er").unwrap();
            (id, Reader::new(stream).read())
        })
    });
    let orders: Vec<_> = orders.collect();
    std::thread::sleep(Duration::from_millis(100));
    instance.signal("-TERM");
    let mut statuses = Vec::new();
    for it in orders {
        let (id, answer) = it.join().unwrap();
        let answer = answer.unwrap().unwrap_or_else(|| panic!("{id} got no answer"));
        match answer.status() {
            200 => assert_relayed(&answer, &id),
            503 => assert_eq!(cluster.runs(&id), []),
            status => panic!("{id} got {status}"),
        }
        statuses.push(answer.status());
    }
    assert!(statuses.contains(&200) && statuses.contains(&503), "{statuses:?}");
    assert!(instance.wait_exit(WAIT).is_some_and(|it| it.success()));
}

/// Sends an order in pieces after a pause, on a connection that has had an answer.
fn send_slowly(addr: std::net::SocketAddr, pause: Duration, pieces: &[(&str, u64)]) -> Response {
    let mut caller = Caller::connect(addr).unwrap();
    assert_eq!(caller.call("GET", "/read/x", "before", 1_500).unwrap().status(), 200);
    std::thread::sleep(pause);
    for (piece, ms) in pieces {
        caller.send_raw(piece.as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(*ms));
    }
    caller.receive().unwrap()
}

/// Guards against requests that are cut off between two pieces of their head: the time limit of a head
/// began with the last answer on the connection, not with the first byte of the request.
#[test]
fn the_time_for_a_head_begins_with_its_first_byte() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    // The limit for heads is 3 s.
    let pieces = [
        ("POST /order/x HTTP/1.1\r\nhost: h.example\r\nx-rosemarybank-request-id: slow\r\n", 400),
        ("x-rosemarybank-deadline-ms: 1500\r\ncontent-length: 5\r\n\r\nord", 400),
        ("er", 0),
    ];
    let answer = send_slowly(instance.client_addr(), Duration::from_millis(3_500), &pieces);
    assert_relayed(&answer, "slow");
}

/// Guards against replicas that get more time than the client has left after a slow upload.
#[test]
fn the_time_of_an_upload_counts() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let pieces = [
        (
            "POST /order/x HTTP/1.1\r\nhost: h.example\r\nx-rosemarybank-request-id: long\r\n\
          x-rosemarybank-deadline-ms: 1800\r\ncontent-length: 5\r\n\r\nord",
            1_000,
        ),
        ("er", 0),
    ];
    assert_relayed(&send_slowly(instance.client_addr(), Duration::ZERO, &pieces), "long");
    let given = cluster.runs("long")[0].deadline_ms;
    assert!((300..=800).contains(&given), "{given} ms are left");
}

/// A replica must not continue work for a client that has disconnected, so its connection is closed.
#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    for it in &cluster.replicas {
        it.set_service_time(Duration::from_secs(2));
    }
    let mut caller = Caller::connect(instance.client_addr()).unwrap();
    caller.send("GET", "/read/x", "gone", 5_000).unwrap();
    assert!(wait_until(WAIT, || !cluster.runs("gone").is_empty()));
    drop(caller);
    let closed = || cluster.replicas.iter().map(Replica::cancelled_requests).sum::<u64>() > 0;
    assert!(wait_until(Duration::from_millis(700), closed));
}

/// One instance reads the store and the others follow its feed, so that the number of calls does not
/// grow with the fleet.
#[test]
fn followers_do_not_read_the_store() {
    let cluster = Cluster::new();
    let instances: Vec<Instance> =
        (0..4).map(|it| cluster.start_instance(&format!("m{it}"), "a")).collect();
    assert!(instances.iter().all(|it| it.wait_ready(WAIT)));
    let knows_all_instances = |it: &Instance| {
        it.metrics().is_ok_and(|it| it.contains("rosemarybank_instances_registered 4\n"))
    };
    assert!(wait_until(WAIT, || instances.iter().all(knows_all_instances)));
    std::thread::sleep(Duration::from_millis(1_500));
    let before = cluster.store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let calls = cluster.store.calls() - before;
    // The reader fetches replica changes four or five times, watches the configuration once or twice and
    // lists the instances once.
    assert!(calls <= 8, "{calls} calls in 3 s");
    cluster.configure(8, json!([]));
    let has_new =
        |it: &Instance| it.metrics().is_ok_and(|it| it.contains("rosemarybank_config_version 8\n"));
    assert!(wait_until(Duration::from_secs(2), || instances.iter().all(has_new)));
}

/// Guards against instances that stay on an old configuration: the one that they follow could read the
/// replicas and not the configuration, and its state counted as new.
#[test]
fn a_source_that_cannot_read_the_configuration_is_not_followed() {
    let cluster = Cluster::new();
    let stores: Vec<Store> = (0..3).map(|_| cluster.store.open_address().unwrap()).collect();
    let instances: Vec<Instance> = stores
        .iter()
        .enumerate()
        .map(|(number, store)| cluster.start_instance_at(store, &format!("m{number}"), "a"))
        .collect();
    let knows_all_instances = |it: &Instance| {
        it.metrics().is_ok_and(|it| it.contains("rosemarybank_instances_registered 3\n"))
    };
    assert!(wait_until(WAIT, || instances.iter().all(knows_all_instances)));
    std::thread::sleep(Duration::from_secs(1));
    for (number, store) in stores.iter().enumerate() {
        store.block_kind(Some(calls::CONFIG));
        // The reader has a call in flight, which still returns.
        std::thread::sleep(Duration::from_secs(3));
        let version = 10 + number as u64;
        cluster.configure(version, json!([]));
        let line = format!("rosemarybank_config_version {version}\n");
        let has_new = |it: &Instance| it.metrics().is_ok_and(|it| it.contains(&line));
        let limit = Duration::from_secs(3);
        assert!(
            wait_until(limit, || instances.iter().all(has_new)),
            "m{number} cannot read the configuration: {:?}",
            instances.iter().map(has_new).collect::<Vec<_>>()
        );
        store.block_kind(None);
    }
}

/// During an upgrade, an instance of another version asks on the path of its own format. Its message
/// must not be read as one of this version.
#[test]
fn feed_requests_of_another_version_are_rejected() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let addr = ([127, 0, 0, 1], instance.ports().peer).into();
    for path in ["/feed", "/feed/1"] {
        let answer = Caller::connect(addr).unwrap().call("POST", path, "f", 1_000).unwrap();
        assert_eq!(answer.status(), 404, "{path}");
    }
}

/// Answers each feed request with a state that was read from the store an hour ago.
fn serve_old_state(listener: &std::net::TcpListener, config: &Value) {
    let text = config.to_string().into_bytes();
    let state = FeedResponse {
        position: FeedPosition { epoch: 1, config_version: 1, ..FeedPosition::default() },
        age: Some(Duration::from_secs(3_600)),
        replicas: ListUpdate::All(Vec::new()),
        config: Some(ConfigText::plain(text).compressed().unwrap().to_vec()),
        quarantined: Vec::new(),
        crash_signs: Vec::new(),
        members_age: None,
        members: None,
    };
    let body = feed_codec::encode(&state).unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    for stream in listener.incoming().flatten() {
        let mut stream = stream;
        // The instance under test may close the connection.
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(&[head.as_bytes(), &body].concat());
    }
}

/// Guards against a route that was withdrawn and comes into use again: an instance that has restarted
/// knows no configuration, so it takes any version, also from an instance that was cut off for long.
#[test]
fn a_restarted_instance_takes_no_old_configuration() {
    let cluster = Cluster::new();
    let old = config::spec(1, &["s1", "s2", "s3", "s4"], "orders", Vec::new());
    cluster.configure(2, json!([]));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let source = Member {
        id: "old".into(),
        addr: listener.local_addr().unwrap(),
        data_centre: "a".into(),
        millicores: 9_000,
    };
    cluster.store.put(calls::INSTANCES, "old", instances::encode(&source));
    std::thread::spawn(move || serve_old_state(&listener, &old));
    let instance = cluster.start_ready_instance();
    let log = || std::fs::read_to_string(instance.log_path()).unwrap();
    assert!(wait_until(WAIT, || log().contains("its data is too old")));
    assert!(instance.metrics().unwrap().contains("rosemarybank_config_version 2\n"));
    assert!(!log().contains(r#""event":"config","before":0,"version":1"#), "{}", log());
}

#[test]
fn requests_beyond_the_limits_are_rejected() {
    let cluster = Cluster::new();
    let instance = cluster.start_ready_instance();
    let mut caller = Caller::connect(instance.client_addr()).unwrap();
    let long = format!("/read/{}", "x".repeat(20_000));
    assert_eq!(caller.call("GET", &long, "l1", 1_000).unwrap().status(), 431);
    assert_eq!(call(&instance, "GET", "/unknown/x", "u1").status(), 404);
}

/// Invalid settings end the process with an error that names the file and the field.
#[test]
fn invalid_settings_are_reported() {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("node.json");
    std::fs::write(&path, r#"{"node_name": "n", "ip": "127.0.0.1"}"#).unwrap();
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_rosemarybankd"))
        .arg("--platform")
        .env("ROSEMARYBANK_NODE_FILE", &path)
        .output()
        .unwrap();
    assert!(!out.status.success());
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(text.contains("missing field `zone`"), "{text}");
    assert!(text.contains("node.json"), "{text}");
}
