//! Crowds of clients, and of replies of faulty replicas, that keep buffers or connections of
//! `rosemarybankd --platform` occupied. Each test lowers the limits of the machine in the settings, and
//! checks that the process stays within them and answers an ordinary client.

#[path = "common/cluster.rs"]
mod cluster;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use cluster::{Cluster, WAIT, assert_relayed};
use rosemarybank_standins::platform_mode::{
    Behaviour, BodyCoding, Caller, Crowd, Instance, config,
    instance::{wait_memory_steady, wait_until},
};
use serde_json::json;

/// Memory of the machine in MB.
const MEMORY_MB: u64 = 32;

/// Largest request body in bytes that the configuration allows.
const MAX_BODY_LEN: usize = 256 << 10;

/// Number of clients of a crowd.
const CROWD: usize = 150;

/// One client in this many sends its whole request.
const WHOLE_EVERY: usize = 10;

/// Descriptors of the machine, and how many of them are reserved for files.
const FD_LIMIT: u64 = 300;
const RESERVED_FDS: usize = 200;

/// Connections that each replica accepts.
const REPLICA_CONNECTIONS: usize = 200;

/// Largest body of a reply in bytes that is legal on this machine.
const MAX_REPLY_LEN: usize = 128 << 10;

/// Timeout of all requests, so that none is given up because the machine is slow.
const TIMEOUT_MS: u64 = 60_000;

/// How a client codes a body.
#[derive(Clone, Copy, Debug)]
enum Coding {
    Length,
    /// In chunks of this many bytes.
    Chunked(usize),
}

/// Renders an order with a body of `len` bytes.
fn order(path: &str, id: &str, len: usize, coding: Coding) -> Vec<u8> {
    let field = match coding {
        Coding::Length => format!("content-length: {len}"),
        Coding::Chunked(_) => "transfer-encoding: chunked".to_owned(),
    };
    let mut message = format!(
        "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-rosemarybank-request-id: {id}\r\n\
         x-rosemarybank-deadline-ms: {TIMEOUT_MS}\r\n{field}\r\n\r\n"
    )
    .into_bytes();
    let body = vec![b'b'; len];
    match coding {
        Coding::Length => message.extend_from_slice(&body),
        Coding::Chunked(size) => {
            for chunk in body.chunks(size) {
                message.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                message.extend_from_slice(chunk);
                message.extend_from_slice(b"\r\n");
            }
            message.extend_from_slice(b"0\r\n\r\n");
        }
    }
    message
}

/// The environment of a test. Tests run one at a time, because each measures a process under load.
struct Env {
    cluster: Cluster,
    instance: Instance,
    _turn: MutexGuard<'static, ()>,
}

impl Env {
    fn start(fd_limit: u64) -> Env {
        Env::start_with(fd_limit, MAX_BODY_LEN)
    }

    fn start_with(fd_limit: u64, max_body_len: usize) -> Env {
        static TURN: Mutex<()> = Mutex::new(());
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let cluster = Cluster::new();
        // The replicas of `other` behave well while those of `orders` are silent.
        let other = config::route("other", "idempotent", "s1");
        let mut spec = config::spec(2, &["s1", "s2", "s3", "s4"], "orders", vec![other]);
        spec["limits"]["max_body_bytes"] = json!(max_body_len);
        for route in spec["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(TIMEOUT_MS);
        }
        for service in spec["services"].as_array_mut().unwrap() {
            service["max_connections"] = json!(REPLICA_CONNECTIONS);
        }
        cluster.store.put("config", "main", spec);
        let mut instance = cluster.start_instance("m1", "a");
        instance.kill();
        instance.set_limits(MEMORY_MB, fd_limit).unwrap();
        instance.start().unwrap();
        assert!(instance.wait_ready(WAIT));
        Env { cluster, instance, _turn: turn }
    }

    /// Sends a crowd of orders, of which most lack their last byte and stay open.
    fn send_orders(&self, len: usize, coding: Coding, piece: usize) -> Crowd {
        Crowd::send(self.instance.client_addr(), CROWD, piece, |number| {
            let mut message = order("/order/x", &format!("crowd-{number}"), len, coding);
            if number % WHOLE_EVERY != 0 {
                message.pop();
            }
            message
        })
    }

    /// Checks that an ordinary client is answered and the process stays within its limits.
    fn check(&self, path: &str) {
        wait_memory_steady(self.instance.pid().unwrap(), WAIT).unwrap();
        let mut caller = Caller::connect(self.instance.client_addr()).unwrap();
        let answer = caller.call("POST", path, "ordinary", TIMEOUT_MS).unwrap();
        assert_relayed(&answer, "ordinary");
        let peak_kb = self.instance.peak_memory_kb().unwrap();
        assert!(peak_kb <= MEMORY_MB << 10, "{peak_kb} kB");
    }

    /// Checks that no order of the crowd ran that was refused as not run.
    fn check_refusals(&self, mut crowd: Crowd) {
        for (number, received) in crowd.received().into_iter().enumerate() {
            let promises = ["408", "421", "429", "503"];
            if promises.iter().any(|it| received.starts_with(&format!("HTTP/1.1 {it} "))) {
                assert_eq!(self.cluster.runs(&format!("crowd-{number}")), [], "{received}");
            }
        }
    }

    fn check_orders(&self, len: usize, coding: Coding, piece: usize) {
        let crowd = self.send_orders(len, coding, piece);
        self.check("/order/y");
        self.check_refusals(crowd);
    }
}

#[test]
fn large_bodies_sent_at_once_stay_within_the_memory() {
    let env = Env::start(4_100);
    env.check_orders(MAX_BODY_LEN, Coding::Length, usize::MAX);
}

#[test]
fn large_bodies_sent_piece_by_piece_stay_within_the_memory() {
    let env = Env::start(4_100);
    env.check_orders(MAX_BODY_LEN, Coding::Length, 4 << 10);
}

#[test]
fn bodies_in_large_chunks_stay_within_the_memory() {
    let env = Env::start(4_100);
    env.check_orders(MAX_BODY_LEN, Coding::Chunked(64 << 10), usize::MAX);
}

#[test]
fn bodies_in_small_chunks_stay_within_the_memory() {
    let env = Env::start(4_100);
    env.check_orders(MAX_BODY_LEN / 4, Coding::Chunked(1), usize::MAX);
}

/// Whole requests are kept until they are answered, and once for each replica that they are sent to.
#[test]
fn large_bodies_at_silent_replicas_stay_within_the_memory() {
    for path in ["/read/x", "/search/x"] {
        let env = Env::start(4_100);
        let silent = if path == "/read/x" { &["orders"][..] } else { &["s2", "s3", "s4"] };
        silent.iter().for_each(|it| env.cluster.set_behaviour(it, Behaviour::Hang));
        let crowd = Crowd::send(env.instance.client_addr(), CROWD, usize::MAX, |number| {
            order(path, &format!("crowd-{number}"), MAX_BODY_LEN, Coding::Length)
        });
        env.check("/other/y");
        env.check_refusals(crowd);
    }
}

/// A search sends its body to each shard. This crowd fits into the memory if that takes no copies.
#[test]
fn the_parts_of_a_search_share_its_body() {
    const REQUESTS: usize = 25;
    let env = Env::start(4_100);
    for service in ["s1", "s2", "s3", "s4"] {
        env.cluster.set_behaviour(service, Behaviour::Hang);
    }
    let crowd = Crowd::send(env.instance.client_addr(), REQUESTS, usize::MAX, |number| {
        order("/search/x", &format!("crowd-{number}"), MAX_BODY_LEN, Coding::Length)
    });
    env.check("/order/y");
    drop(crowd);
}

/// Answers that clients do not read are kept as well, also those to pipelined requests.
#[test]
fn unread_answers_stay_within_the_memory() {
    const PIPELINED: usize = 200;
    const RECORDS: u64 = 4_000;
    let env = Env::start(4_100);
    for replica in &env.cluster.replicas {
        replica.set_min_records(if replica.service() == "orders" { RECORDS } else { 0 });
    }
    let crowd = Crowd::send(env.instance.client_addr(), CROWD / 10, usize::MAX, |number| {
        let requests = (0..PIPELINED).map(|it| {
            format!(
                "GET /read/x HTTP/1.1\r\nhost: h.example\r\n\
                 x-rosemarybank-request-id: crowd-{number}-{it}\r\n\r\n"
            )
        });
        requests.collect::<String>().into_bytes()
    });
    // All requests have run, or the instance waits for the clients to read.
    let mut runs = 0;
    wait_until(WAIT, || {
        let before = std::mem::replace(&mut runs, env.cluster.runs.lock().unwrap().len());
        std::thread::sleep(std::time::Duration::from_millis(500));
        runs == before
    });
    env.check("/other/y");
    drop(crowd);
}

/// Guards against a process without a free descriptor: it cannot call a replica, the store or another
/// instance, nor answer the readiness probe.
#[test]
fn idle_and_slow_connections_leave_descriptors_free() {
    let env = Env::start(FD_LIMIT);
    let crowd = Crowd::send(env.instance.client_addr(), CROWD, usize::MAX, |number| {
        let mut message = order("/order/x", &format!("crowd-{number}"), 1_000, Coding::Length);
        message.truncate(if number % 2 == 0 { 0 } else { 30 });
        message
    });
    let open = env.instance.open_sockets().unwrap();
    assert!(open <= FD_LIMIT as usize - RESERVED_FDS, "{open} sockets");
    env.check("/order/y");
    assert!(env.instance.is_ready());
    drop(crowd);
}

/// Guards against connections to the other ports that take all descriptors, and against a probe that finds no
/// room beside them.
#[test]
fn idle_connections_to_all_ports_leave_descriptors_free() {
    let env = Env::start(FD_LIMIT);
    let ports = env.instance.ports();
    let crowds: Vec<Crowd> = [ports.peer, ports.readiness, ports.metrics, ports.client]
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .map(|addr| Crowd::send(addr, CROWD, usize::MAX, |_| Vec::new()))
        .into();
    let open = env.instance.open_sockets().unwrap();
    assert!(open <= FD_LIMIT as usize - RESERVED_FDS, "{open} sockets");
    env.check("/order/y");
    assert!(env.instance.is_ready());
    drop(crowds);
}

/// Guards against silent replicas that take all descriptors: each has its own limit on connections, and their
/// sum leaves none for clients, the store and probes.
#[test]
fn connections_to_silent_replicas_leave_descriptors_free() {
    let env = Env::start(FD_LIMIT);
    for service in ["s1", "s2", "s3", "s4"] {
        env.cluster.set_behaviour(service, Behaviour::Hang);
    }
    let crowd = send_small(&env, "/search/x");
    let open = env.instance.open_sockets().unwrap();
    assert!(open <= FD_LIMIT as usize - RESERVED_FDS, "{open} sockets");
    env.check("/order/y");
    assert!(env.instance.is_ready());
    drop(crowd);
}

/// Guards against an iteration of the event loop in which probes, timers and other clients wait until the
/// input of a whole crowd is parsed.
#[test]
fn the_input_of_one_iteration_is_limited() {
    const MAX_TURN_INPUT: u64 = 512 << 10;
    let env = Env::start(4_100);
    let crowd = env.send_orders(MAX_BODY_LEN / 4, Coding::Chunked(1), usize::MAX);
    env.check("/order/y");
    let metrics = env.instance.metrics().unwrap();
    let name = "rosemarybank_client_input_turn_max_bytes ";
    let max = metrics.lines().find_map(|it| it.strip_prefix(name)).unwrap().parse::<u64>().unwrap();
    assert!(max <= MAX_TURN_INPUT, "{max} bytes");
    drop(crowd);
}

#[test]
fn single_bodies_of_every_legal_size_are_served() {
    let env = Env::start(4_100);
    for len in [0, 1, 1_000, 64 << 10, MAX_BODY_LEN] {
        for (number, coding) in
            [Coding::Length, Coding::Chunked(64 << 10), Coding::Chunked(1)].into_iter().enumerate()
        {
            for piece in [usize::MAX, 8 << 10] {
                let id = format!("single-{len}-{number}-{piece}");
                let message = order("/order/x", &id, len, coding);
                let mut crowd =
                    Crowd::send(env.instance.client_addr(), 1, piece, |_| message.clone());
                let served = wait_until(WAIT, || {
                    crowd.received().iter().any(|it| it.starts_with("HTTP/1.1 200 "))
                });
                assert!(served, "{id}");
                assert_eq!(env.cluster.runs(&id).len(), 1, "{id}");
            }
        }
    }
    env.check("/order/y");
}

/// Guards against a limit that a single client meets when the configuration permits larger bodies than usual.
#[test]
fn a_single_body_is_served_where_large_ones_are_permitted() {
    const LEN: usize = 3 << 20;
    let env = Env::start_with(4_100, LEN);
    let message = order("/order/x", "single", LEN, Coding::Length);
    let mut crowd = Crowd::send(env.instance.client_addr(), 1, 64 << 10, |_| message.clone());
    let served =
        wait_until(WAIT, || crowd.received().iter().any(|it| it.starts_with("HTTP/1.1 200 ")));
    assert!(served, "{:?}", crowd.received());
    env.check("/order/y");
}

/// Codings of a body, each with its own way to go on without end.
const CODINGS: [BodyCoding; 3] = [BodyCoding::Length, BodyCoding::Chunked, BodyCoding::UntilClose];

/// Sends a crowd of small requests that replicas answer with large replies.
fn send_small(env: &Env, path: &str) -> Crowd {
    Crowd::send(env.instance.client_addr(), 2 * CROWD, usize::MAX, |number| {
        order(path, &format!("crowd-{number}"), 10, Coding::Length)
    })
}

/// Guards against replies that stop just short of a legal length: each is within its own limit, and their
/// number grows with the crowd.
#[test]
fn unfinished_replies_stay_within_the_memory() {
    for coding in CODINGS {
        let env = Env::start(4_100);
        for service in ["s1", "s2", "s3", "s4"] {
            let behaviour = Behaviour::UnfinishedBody(coding, MAX_REPLY_LEN - 1);
            env.cluster.set_behaviour(service, behaviour);
        }
        let crowd = send_small(&env, "/search/x");
        env.check("/order/y");
        env.check_refusals(crowd);
    }
}

/// Guards against replies without end. The sound replica of the same service answers an ordinary client.
#[test]
fn endless_replies_stay_within_the_memory() {
    for coding in CODINGS {
        let env = Env::start(4_100);
        for service in ["s1", "s2", "s3", "s4"] {
            env.cluster.set_behaviour(service, Behaviour::EndlessBody(coding));
        }
        env.cluster.replica("s1-2").set_behaviour(Behaviour::Normal);
        let crowd = send_small(&env, "/search/x");
        env.check("/order/y");
        env.check("/other/y");
        env.check_refusals(crowd);
    }
}

/// Guards against an order that has run and is answered as not run, because its reply did not fit into the
/// memory.
#[test]
fn orders_without_room_for_their_replies_have_an_unknown_outcome() {
    for coding in CODINGS {
        let env = Env::start(4_100);
        let behaviour = Behaviour::UnfinishedBody(coding, MAX_REPLY_LEN - 1);
        env.cluster.set_behaviour("orders", behaviour);
        let mut crowd = send_small(&env, "/order/x");
        env.check("/other/y");
        let is_unknown = |it: &String| it.starts_with("HTTP/1.1 502 ");
        assert!(crowd.received().iter().any(is_unknown), "{coding:?}: no reply was given up");
        env.check_refusals(crowd);
    }
}

/// Guards against a limit that the replies of sound replicas meet in calm.
#[test]
fn replies_of_every_legal_size_are_served() {
    const RECORD_LEN: usize = 16;
    let env = Env::start(4_100);
    for len in [RECORD_LEN * 2, 64 << 10, MAX_REPLY_LEN] {
        for coding in CODINGS {
            for replica in &env.cluster.replicas {
                replica.set_min_records((len / RECORD_LEN) as u64);
                replica.set_behaviour(Behaviour::Cut(coding, usize::MAX));
            }
            for path in ["/order/x", "/read/x"] {
                let mut caller = Caller::connect(env.instance.client_addr()).unwrap();
                let id = format!("legal-{len}-{coding:?}-{path}");
                let answer = caller.call("POST", path, &id, TIMEOUT_MS).unwrap();
                assert_eq!((answer.status(), answer.body.len()), (200, len), "{id}");
            }
        }
    }
}
