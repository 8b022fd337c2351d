//! Crowds of callers that keep the buffers of `rosemarybankd` occupied. Each test checks that the process
//! stays within the memory of its machine and answers an ordinary caller.

mod common;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use common::{TOKEN, TestEnv, bundle, eventually, new_key, process::DaemonProcess};
use h2::client::SendRequest;
use http::{Method, Request, Version};
use rosemarybank_standins::{
    platform_mode::{
        Crowd,
        instance::{peak_memory_kb, wait_memory_steady},
    },
    upstream::faults::ReplicaFaults,
};
use tokio::net::TcpStream;

/// Timeout of any condition that a test waits for.
const WAIT: Duration = Duration::from_secs(120);

/// Memory of the machine in MB.
const MEMORY_MB: u64 = 256;

/// Largest request body in bytes that the bundle allows.
const MAX_BODY_LEN: usize = 1 << 20;

/// Largest body of a reply in bytes.
const MAX_REPLY_LEN: usize = 4 << 20;

/// One caller in this many sends its whole request.
const WHOLE_EVERY: usize = 10;

const SEARCH: &str = "/v1/services/stock/search";

/// Body of a search with [`MAX_BODY_LEN`] bytes.
fn large_body() -> Vec<u8> {
    let frame = r#"{"timeout_ms":60000,"query":""}"#;
    let query = "q".repeat(MAX_BODY_LEN - frame.len());
    frame.replace(r#""""#, &format!(r#""{query}""#)).into_bytes()
}

fn large_request() -> Vec<u8> {
    let head = format!(
        "POST {SEARCH} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: {MAX_BODY_LEN}\r\n\r\n"
    );
    [head.into_bytes(), large_body()].concat()
}

/// The environment of a test. Tests run one at a time, because each measures a process under load.
struct Env {
    env: TestEnv,
    process: DaemonProcess,
    _turn: MutexGuard<'static, ()>,
}

impl Env {
    fn start() -> Env {
        static TURN: Mutex<()> = Mutex::new(());
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        let env = TestEnv::start();
        env.roll_out(2, &format!("{}limits: {{ body_bytes: {MAX_BODY_LEN} }}\n", bundle()));
        let process = DaemonProcess::start(&env, &[], 10_000);
        Env { env, process, _turn: turn }
    }

    /// Checks that an ordinary caller is answered and the process stays within the memory.
    fn check(&self) {
        wait_memory_steady(self.process.pid(), WAIT).unwrap();
        self.check_action();
        self.check_memory();
    }

    fn check_action(&self) {
        let key = new_key();
        let (status, body) = self.env.send_as_desk(
            Method::POST,
            self.process.callers,
            "/v1/services/lots/actions",
            &[("idempotency-key", &key)],
            r#"{"body":"reserve 12","timeout_ms":60000}"#,
        );
        assert_eq!((status, &body["outcome"]["state"]), (200, &"done".into()), "{body}");
    }

    fn check_memory(&self) {
        let peak_kb = peak_memory_kb(self.process.pid()).unwrap();
        assert!(peak_kb <= MEMORY_MB << 10, "{peak_kb} kB");
    }
}

#[test]
fn large_bodies_over_http1_stay_within_the_memory() {
    let env = Env::start();
    let crowd = Crowd::send(env.process.callers, 400, 64 << 10, |number| {
        let mut message = large_request();
        if number % WHOLE_EVERY != 0 {
            message.pop();
        }
        message
    });
    env.check();
    drop(crowd);
}

#[test]
fn large_bodies_over_http2_stay_within_the_memory() {
    const CONNECTIONS: usize = 4;
    const STREAMS: usize = 100;
    let env = Env::start();
    let runtime = &env.env.runtime;
    let body = Bytes::from(large_body()).slice(..MAX_BODY_LEN - 1);
    let crowd: Vec<_> = (0..CONNECTIONS)
        .map(|_| runtime.block_on(open_streams(env.process.callers, STREAMS, "", &body)))
        .collect();
    env.check();
    drop(crowd);
}

/// The heads of all streams of a connection are kept until their requests are complete.
#[test]
fn large_heads_over_http2_stay_within_the_memory() {
    const CONNECTIONS: usize = 150;
    const STREAMS: usize = 120;
    let env = Env::start();
    let padding = "p".repeat(15_000);
    let opening = (0..CONNECTIONS).map(|_| {
        let (addr, padding) = (env.process.callers, padding.clone());
        let open = async move { open_streams(addr, STREAMS, &padding, &Bytes::from("{")).await };
        env.env.runtime.spawn(open)
    });
    let opening: Vec<_> = opening.collect();
    let crowd: Vec<_> =
        opening.into_iter().map(|it| env.env.runtime.block_on(it).unwrap()).collect();
    env.check();
    drop(crowd);
}

/// Opens streams that each send a head with this padding and this part of a body.
async fn open_streams(
    addr: std::net::SocketAddr,
    count: usize,
    padding: &str,
    body: &Bytes,
) -> (SendRequest<Bytes>, Vec<h2::SendStream<Bytes>>) {
    let socket = TcpStream::connect(addr).await.unwrap();
    let (requests, conn) = h2::client::handshake(socket).await.unwrap();
    tokio::spawn(conn);
    let mut streams = Vec::new();
    for _ in 0..count {
        let req = Request::builder()
            .method(Method::POST)
            .version(Version::HTTP_2)
            .uri(format!("http://entry{SEARCH}"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("x-padding", padding);
        let Ok(mut ready) = requests.clone().ready().await else { break };
        let Ok((_, mut stream)) = ready.send_request(req.body(()).unwrap(), false) else { break };
        let mut left = body.clone();
        while !left.is_empty() {
            stream.reserve_capacity(left.len());
            // The instance may reset the stream or close the connection.
            let Some(Ok(capacity)) = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await
            else {
                break;
            };
            if stream.send_data(left.split_to(capacity.min(left.len())), false).is_err() {
                break;
            }
        }
        streams.push(stream);
    }
    (requests, streams)
}

/// Whole requests are kept until they are answered, and once for each replica that they are sent to.
#[test]
fn large_bodies_at_silent_upstreams_stay_within_the_memory() {
    let env = Env::start();
    let replicas = ["stock-low-1", "stock-low-2", "stock-high-1", "stock-high-2"];
    env.env
        .set_upstream_faults(&replicas, ReplicaFaults { silent: true, ..ReplicaFaults::default() });
    let crowd = Crowd::send(env.process.callers, 200, usize::MAX, |_| large_request());
    env.check();
    drop(crowd);
}

/// Guards against replies that stop just short of the largest size: each is within its own limit, and their
/// number grows with the crowd.
#[test]
fn unfinished_replies_of_upstreams_stay_within_the_memory() {
    let env = Env::start();
    let faults = ReplicaFaults { unfinished_bytes: MAX_REPLY_LEN - 1, ..ReplicaFaults::default() };
    env.env.set_upstream_faults(&["lots-1", "lots-2"], faults);
    let crowd = Crowd::send(env.process.callers, 200, usize::MAX, |number| {
        let body = format!(r#"{{"timeout_ms":60000,"body":"reserve {number}"}}"#);
        format!(
            "POST /v1/services/lots/actions HTTP/1.1\r\nhost: entry\r\n\
             authorization: Bearer {TOKEN}\r\nidempotency-key: {}\r\ncontent-length: {}\r\n\r\n{body}",
            new_key(),
            body.len()
        )
        .into_bytes()
    });
    wait_memory_steady(env.process.pid(), WAIT).unwrap();
    assert_eq!(env.process.run_search(&env.env).0, 200);
    env.check_memory();
    drop(crowd);
}

/// Guards against a limit that a single caller meets.
#[test]
fn a_single_body_of_the_largest_size_is_served() {
    let env = Env::start();
    eventually("the search is answered", || {
        let mut crowd = Crowd::send(env.process.callers, 1, 8 << 10, |_| large_request());
        crowd.received().iter().any(|it| it.starts_with("HTTP/1.1 200 "))
    });
    env.check();
}
