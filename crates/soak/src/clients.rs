//! Clients that send requests over persistent connections and record the responses.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use fastrand::Rng;
use rosemarybank_standins::platform_mode::{Caller, Response};

/// Deadline of each request in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 1_500;

/// Mean pause of a client between two requests.
const MEAN_PAUSE: Duration = Duration::from_millis(25);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Search over all shards.
    Search,
    /// Idempotent read.
    Read,
    /// Order, which must execute at most once.
    Order,
    /// Read on the route that was added by this configuration version.
    Version(u64),
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the instance that received the request.
    pub instance: usize,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time of the response or of the connection failure.
    pub ended: Instant,
    /// Response, or `None` if the connection failed.
    pub answer: Option<Response>,
    /// Whether bytes followed the end of the response.
    pub has_trailing_bytes: bool,
}

/// Running client threads.
#[derive(Debug)]
pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    /// Newest configuration version, which selects the route of [`RequestKind::Version`].
    pub version: Arc<AtomicU64>,
}

impl Clients {
    /// Starts `per_instance` clients for each instance.
    #[must_use]
    pub fn start(front_addrs: &[SocketAddr], per_instance: usize, seed: u64) -> Clients {
        let clients = Clients {
            threads: Vec::new(),
            stop: Arc::default(),
            records: Arc::default(),
            version: Arc::new(AtomicU64::new(1)),
        };
        let mut rng = Rng::with_seed(seed);
        let threads = (0..front_addrs.len() * per_instance).map(|number| {
            let instance = number % front_addrs.len();
            let mut client = Client {
                number,
                instance,
                addr: front_addrs[instance],
                rng: rng.fork(),
                stop: clients.stop.clone(),
                records: clients.records.clone(),
                version: clients.version.clone(),
            };
            thread::spawn(move || client.run())
        });
        Clients { threads: threads.collect(), ..clients }
    }

    /// Stops the clients and returns the recorded requests.
    #[must_use]
    pub fn finish(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("clients do not panic");
        }
        std::mem::take(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

struct Client {
    number: usize,
    instance: usize,
    addr: SocketAddr,
    rng: Rng,
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    version: Arc<AtomicU64>,
}

impl Client {
    fn run(&mut self) {
        let mut caller: Option<Caller> = None;
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(MEAN_PAUSE.mul_f32(self.rng.f32() * 2.0));
            let open = match caller.take() {
                Some(open) => open,
                None => match Caller::connect(self.addr) {
                    Ok(open) => open,
                    Err(_) => continue,
                },
            };
            count += 1;
            caller = self.call(open, count);
        }
    }

    /// Sends one random request. Returns the connection if it can be reused.
    fn call(&mut self, mut caller: Caller, count: u64) -> Option<Caller> {
        let kind = match self.rng.u8(0..10) {
            0..=3 => RequestKind::Search,
            4..=5 => RequestKind::Read,
            6..=7 => RequestKind::Order,
            _ => RequestKind::Version(self.version.load(Ordering::Relaxed)),
        };
        let (method, path) = match kind {
            RequestKind::Search => ("GET", format!("/search/{count}")),
            RequestKind::Read => ("GET", format!("/read/{count}")),
            RequestKind::Order => ("POST", format!("/order/{count}")),
            RequestKind::Version(it) => ("GET", format!("/v{it}/{count}")),
        };
        let id = format!("c{}-{count}", self.number);
        let sent = Instant::now();
        let answer: io::Result<Response> = caller.call(method, &path, &id, REQUEST_TIMEOUT_MS);
        let closes = match &answer {
            Ok(answer) => answer.field("connection") == Some("close"),
            Err(_) => true,
        };
        let record = RequestRecord {
            id,
            kind,
            instance: self.instance,
            sent,
            ended: Instant::now(),
            answer: answer.ok(),
            has_trailing_bytes: !caller.trailing_bytes().is_empty(),
        };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        (!closes).then_some(caller)
    }
}
