//! A replica: registers itself, runs requests, and fails on purpose.

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::platform_mode::{
    message::{Message, Reader, write_reply},
    store::Store,
};

/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Start of the next lifetime, so that no two have the same.
static BORN: AtomicU64 = AtomicU64::new(1);

/// How a replica treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs them.
    #[default]
    Normal,
    /// It states that it did not run them.
    Refuse,
    /// It runs them and closes the connection instead of answering.
    Break,
    /// It runs them and answers 500 with its proof.
    Fail,
    /// It does not answer.
    Hang,
    /// It sends half of the answer.
    Truncate,
    /// It sends the answer to another request first.
    Extra,
    /// It sends an answer that names no request first.
    ExtraUnnamed,
    /// It sends bytes that are no answer after the answer.
    Trail,
    /// It answers without a length.
    Unframed,
    /// It crashes when it runs a request whose target names [`POISON`], and runs others.
    CrashOnPoison,
}

/// Part of the target of requests that crash replicas.
pub const POISON: &str = "poison";

/// A request that a replica ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id of the request.
    pub request_id: String,
    /// Replica that ran it.
    pub replica: String,
    /// Service of the replica.
    pub service: String,
    /// Request line.
    pub request_line: String,
    /// Start of the run.
    pub started_at: Instant,
    /// Whether the replica had said, three seconds before, that it drains.
    pub started_after_drain: bool,
    /// Time that the instance gave the replica, in milliseconds.
    pub deadline_ms: u64,
}

#[derive(Debug)]
struct Shared {
    id: Mutex<String>,
    service: String,
    data_centre: String,
    store: Store,
    behaviour: Mutex<Behaviour>,
    work: Mutex<Duration>,
    slots: Mutex<u32>,
    slot_free: Condvar,
    drained_at: Mutex<Option<Instant>>,
    runs: Arc<Mutex<Vec<Execution>>>,
    cancelled_requests: AtomicU64,
    is_stopped: AtomicBool,
    born: AtomicU64,
    /// Address that the entry names, when it is not that of the listener.
    advertised: Mutex<Option<SocketAddr>>,
    /// Connections that it accepts; further ones are closed at once.
    cap: AtomicU64,
    open: AtomicU64,
}

/// A running replica.
#[derive(Clone, Debug)]
pub struct Replica {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// Time after which a replica that drains must get nothing new.
const DRAIN: Duration = Duration::from_secs(3);

/// Requests that a replica runs at once.
const SLOTS: u32 = 8;

impl Replica {
    /// Starts a replica on a free loopback port and registers it.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(
        id: &str,
        service: &str,
        data_centre: &str,
        store: &Store,
        runs: &Arc<Mutex<Vec<Execution>>>,
    ) -> io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Arc::new(Shared {
            id: Mutex::new(id.to_owned()),
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            store: store.clone(),
            behaviour: Mutex::default(),
            work: Mutex::new(Duration::from_millis(3)),
            slots: Mutex::new(SLOTS),
            slot_free: Condvar::new(),
            drained_at: Mutex::default(),
            runs: runs.clone(),
            cancelled_requests: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            born: AtomicU64::new(BORN.fetch_add(1, Ordering::Relaxed)),
            advertised: Mutex::default(),
            cap: AtomicU64::new(u64::MAX),
            open: AtomicU64::new(0),
        });
        let replica = Replica { addr: listener.local_addr()?, shared };
        replica.beat();
        let (accepting, beating) = (replica.clone(), replica.clone());
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || {
            while !beating.is_stopped() {
                beating.beat();
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(replica)
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> String {
        lock(&self.shared.id).clone()
    }

    /// Address of its listener.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Registers another address, such as that of a proxy.
    pub fn advertise(&self, addr: SocketAddr) {
        *lock(&self.shared.advertised) = Some(addr);
        self.beat();
    }

    /// Its service.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.shared.service
    }

    /// Changes how it treats requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Changes how long a request takes.
    pub fn set_service_time(&self, work: Duration) {
        *lock(&self.shared.work) = work;
    }

    /// Number of requests whose connection was closed while they ran.
    #[must_use]
    pub fn cancelled_requests(&self) -> u64 {
        self.shared.cancelled_requests.load(Ordering::Relaxed)
    }

    /// Limits the connections that it accepts.
    pub fn set_max_connections(&self, cap: u64) {
        self.shared.cap.store(cap, Ordering::Relaxed);
    }

    /// Says that it drains.
    pub fn drain(&self) {
        *lock(&self.shared.drained_at) = Some(Instant::now());
        self.beat();
    }

    /// Ends it. The entry stays until it expires, like that of a replica that crashed.
    pub fn crash(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which closes the listener.
        let _ = TcpStream::connect(self.addr);
    }

    /// Ends it and removes its entry.
    pub fn leave(&self) {
        self.crash();
        self.shared.store.remove("servers", &self.id());
    }

    /// Gives its address to another replica: what is sent to the old id is refused.
    pub fn change_id(&self, id: &str) {
        let old = std::mem::replace(&mut *lock(&self.shared.id), id.to_owned());
        self.shared.store.remove("servers", &old);
        self.beat();
    }

    fn is_stopped(&self) -> bool {
        self.shared.is_stopped.load(Ordering::Relaxed)
    }

    fn beat(&self) {
        let shared = &self.shared;
        let state = if lock(&shared.drained_at).is_some() { "draining" } else { "ready" };
        let entry = json!({
            "service": shared.service,
            "address": lock(&shared.advertised).unwrap_or(self.addr).to_string(),
            "zone": shared.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_remaining_ms": 0,
            "born": shared.born.load(Ordering::Relaxed),
        });
        shared.store.register(&self.id(), entry, HEARTBEAT_INTERVAL);
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.is_stopped() {
                return;
            }
            if self.shared.open.load(Ordering::Relaxed) >= self.shared.cap.load(Ordering::Relaxed) {
                continue;
            }
            self.shared.open.fetch_add(1, Ordering::Relaxed);
            let replica = self.clone();
            thread::spawn(move || {
                // The peer sees the end of the connection, whatever ended it.
                drop(replica.serve(stream));
                replica.shared.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(call) = reader.read()? {
            if self.is_stopped() || !self.handle(&call, &mut stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Handles a request. Returns whether the connection goes on.
    fn handle(&self, call: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = self.id();
        let request = call.field("x-rosemarybank-request-id").unwrap_or_default().to_owned();
        if call.field("x-rosemarybank-expect-instance").is_some_and(|it| it != id) {
            let fields = [("x-rosemarybank-instance-id", id.as_str())];
            return write_reply(stream, 421, &fields, b"").map(|()| true);
        }
        let behaviour = *lock(&self.shared.behaviour);
        if behaviour == Behaviour::Refuse {
            let fields = [("x-rosemarybank-not-executed", "1")];
            return write_reply(stream, 503, &fields, b"").map(|()| true);
        }
        self.take_slot();
        let is_alive = self.run(call, &request, &id, stream);
        *lock(&self.shared.slots) += 1;
        self.shared.slot_free.notify_one();
        if !is_alive {
            self.shared.cancelled_requests.fetch_add(1, Ordering::Relaxed);
            return Ok(false);
        }
        if behaviour == Behaviour::CrashOnPoison && call.method_and_target().1.contains(POISON) {
            self.crash();
            return Ok(false);
        }
        self.reply(behaviour, &request, &id, stream)
    }

    fn take_slot(&self) {
        let mut slots = lock(&self.shared.slots);
        while *slots == 0 {
            slots = self.shared.slot_free.wait(slots).unwrap_or_else(PoisonError::into_inner);
        }
        *slots -= 1;
    }

    /// Works on a request. Returns whether its connection is still open.
    fn run(&self, call: &Message, request: &str, id: &str, stream: &TcpStream) -> bool {
        let drained_at = *lock(&self.shared.drained_at);
        let deadline = call.field("x-rosemarybank-deadline-ms").and_then(|it| it.parse().ok());
        lock(&self.shared.runs).push(Execution {
            request_id: request.to_owned(),
            replica: id.to_owned(),
            service: self.shared.service.clone(),
            request_line: call.start_line.clone(),
            started_at: Instant::now(),
            started_after_drain: drained_at.is_some_and(|it| it.elapsed() > DRAIN),
            deadline_ms: deadline.unwrap_or(0),
        });
        let until = Instant::now() + *lock(&self.shared.work);
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            thread::sleep(left.min(Duration::from_millis(20)));
            if is_closed(stream) {
                return false;
            }
        }
        true
    }

    fn reply(
        &self,
        behaviour: Behaviour,
        request: &str,
        id: &str,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let stamp = format!("{id}.{request}");
        let body = records(id, request);
        let fields = [
            ("x-rosemarybank-request-id", request),
            ("x-rosemarybank-server-stamp", stamp.as_str()),
        ];
        match behaviour {
            Behaviour::Normal | Behaviour::Refuse | Behaviour::CrashOnPoison => {
                write_reply(stream, 200, &fields, &body)?;
            }
            Behaviour::Fail => write_reply(stream, 500, &fields, b"failed")?,
            Behaviour::Break => return Ok(false),
            Behaviour::Hang => {
                while !self.is_stopped()
                    && *lock(&self.shared.behaviour) == Behaviour::Hang
                    && !is_closed(stream)
                {
                    thread::sleep(Duration::from_millis(20));
                }
                return Ok(false);
            }
            Behaviour::Truncate => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{}: {request}\r\n{}: {stamp}\r\n\r\n",
                    body.len(),
                    fields[0].0,
                    fields[1].0
                );
                stream.write_all(head.as_bytes())?;
                stream.write_all(&body[..body.len() / 2])?;
                return Ok(false);
            }
            Behaviour::Extra => {
                let other = format!("{id}.another");
                let others = [
                    ("x-rosemarybank-request-id", "another"),
                    ("x-rosemarybank-server-stamp", other.as_str()),
                ];
                write_reply(stream, 200, &others, &records(id, "another"))?;
                write_reply(stream, 200, &fields, &body)?;
            }
            Behaviour::ExtraUnnamed => {
                let others = [("x-rosemarybank-server-stamp", "another")];
                write_reply(stream, 200, &others, &records(id, "another"))?;
                write_reply(stream, 200, &fields, &body)?;
            }
            Behaviour::Trail => {
                write_reply(stream, 200, &fields, &body)?;
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc")?;
            }
            Behaviour::Unframed => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {stamp}\r\n\r\n",
                    fields[0].0, fields[1].0
                );
                stream.write_all(head.as_bytes())?;
                stream.write_all(&body)?;
                return Ok(false);
            }
        }
        Ok(true)
    }
}

/// The records with which a replica answers a request: two, which name both.
#[must_use]
pub fn records(replica: &str, request: &str) -> Vec<u8> {
    let text = format!("{replica}/{request}/");
    let first: Vec<u8> = text.bytes().cycle().take(16).collect();
    let second: Vec<u8> = text.bytes().rev().cycle().take(16).collect();
    [first, second].concat()
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let read = stream.peek(&mut byte);
    let is_blocking = stream.set_nonblocking(false).is_ok();
    !is_blocking
        || matches!(read, Ok(0))
        || matches!(&read, Err(err) if err.kind() != io::ErrorKind::WouldBlock)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
