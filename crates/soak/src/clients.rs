//! Clients that keep their connections open until the process at the other end is gone.

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

/// Time that a client waits for an answer, in milliseconds.
pub const WAIT_MS: u64 = 1_500;

/// Mean pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// What a client asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// A search over all shards.
    Search,
    /// A read of one record.
    Read,
    /// An order, which must not run twice.
    Order,
    /// A read on a route that a version added.
    Version(u64),
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// What was asked.
    pub asked: Asked,
    /// The instance.
    pub machine: usize,
    /// Time of the request.
    pub sent: Instant,
    /// Time of the answer or of the failure.
    pub ended: Instant,
    /// The answer; `None` when the connection failed.
    pub answer: Option<Response>,
    /// Bytes that followed the answer unasked.
    pub has_more: bool,
}

/// Running clients.
#[derive(Debug)]
pub struct Clients {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    /// Newest version of the configuration, for requests on its routes.
    pub version: Arc<AtomicU64>,
}

impl Clients {
    /// Starts some clients for each instance.
    #[must_use]
    pub fn start(fronts: &[SocketAddr], each: usize, seed: u64) -> Clients {
        let clients = Clients {
            threads: Vec::new(),
            stop: Arc::default(),
            records: Arc::default(),
            version: Arc::new(AtomicU64::new(1)),
        };
        let mut rng = Rng::with_seed(seed);
        let threads = (0..fronts.len() * each).map(|number| {
            let machine = number % fronts.len();
            let mut client = Client {
                number,
                machine,
                addr: fronts[machine],
                rng: rng.fork(),
                stop: clients.stop.clone(),
                records: clients.records.clone(),
                version: clients.version.clone(),
            };
            thread::spawn(move || client.run())
        });
        Clients { threads: threads.collect(), ..clients }
    }

    /// Ends the clients and returns what they saw.
    #[must_use]
    pub fn finish(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("clients do not panic");
        }
        std::mem::take(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

struct Client {
    number: usize,
    machine: usize,
    addr: SocketAddr,
    rng: Rng,
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    version: Arc<AtomicU64>,
}

impl Client {
    fn run(&mut self) {
        let mut caller: Option<Caller> = None;
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(PAUSE.mul_f32(self.rng.f32() * 2.0));
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

    /// Makes a call. Returns the connection if it can be used again.
    fn call(&mut self, mut caller: Caller, count: u64) -> Option<Caller> {
        let asked = match self.rng.u8(0..10) {
            0..=3 => Asked::Search,
            4..=5 => Asked::Read,
            6..=7 => Asked::Order,
            _ => Asked::Version(self.version.load(Ordering::Relaxed)),
        };
        let (method, path) = match asked {
            Asked::Search => ("GET", format!("/search/{count}")),
            Asked::Read => ("GET", format!("/read/{count}")),
            Asked::Order => ("POST", format!("/order/{count}")),
            Asked::Version(it) => ("GET", format!("/v{it}/{count}")),
        };
        let id = format!("c{}-{count}", self.number);
        let sent = Instant::now();
        let answer: io::Result<Response> = caller.call(method, &path, &id, WAIT_MS);
        let closes = match &answer {
            Ok(answer) => answer.field("connection") == Some("close"),
            Err(_) => true,
        };
        let record = Record {
            id,
            asked,
            machine: self.machine,
            sent,
            ended: Instant::now(),
            answer: answer.ok(),
            has_more: !caller.trailing_bytes().is_empty(),
        };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        (!closes).then_some(caller)
    }
}
