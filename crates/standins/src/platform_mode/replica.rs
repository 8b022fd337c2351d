//! A replica that registers itself in the store, runs requests, and injects faults.

use std::{
    collections::HashMap,
    io::{self, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
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

/// Interval at which a replica renews its registration.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Incarnation of the next replica to start; each gets its own.
static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// How a replica handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs them and answers 200.
    #[default]
    Normal,
    /// Answers 503 with the field that states that it did not run them.
    Refuse,
    /// Answers 503 with the field that states that it did not run them, and a `Retry-After` of this many
    /// milliseconds.
    RefuseFor(u64),
    /// Runs them and states in its answers that it leaves. Its registration stays as it is.
    Leave,
    /// Runs them and closes the connection without a response.
    Break,
    /// Runs them and answers 500 with its server stamp.
    Fail,
    /// Runs them and answers with this number in place of a status, its server stamp and the records.
    Status(u16),
    /// Runs them and does not answer; closes the connection when the behaviour changes.
    Hang,
    /// Sends half of the response and closes the connection.
    Truncate,
    /// Sends this many bytes of a response whose body has the given coding, and closes the connection.
    Cut(BodyCoding, usize),
    /// Sends a response to another request before the response.
    Extra,
    /// Sends a response without a request id before the response.
    ExtraUnnamed,
    /// Sends an unsolicited response after the response.
    Trail,
    /// Answers without a content length and closes the connection.
    Unframed,
    /// Sends a refusal without a request id, as a late copy of an earlier one, before the response to a
    /// further request on a connection.
    LateRefusal,
    /// Sends a head without end, until the peer closes the connection.
    EndlessHead,
    /// Sends a body without end, until the peer closes the connection. A stated length is a terabyte.
    EndlessBody(BodyCoding),
    /// Sends this many bytes of a longer body, and keeps the connection open until the peer closes it.
    UnfinishedBody(BodyCoding, usize),
    /// Sends interim responses without end, until the peer closes the connection.
    EndlessInterim,
    /// Sends replies to other requests without end, until the peer closes the connection.
    EndlessReplies,
    /// Crashes after it ran a request whose target contains [`POISON`]; answers others.
    CrashOnPoison,
}

/// How a response states the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyCoding {
    /// By a content length.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl BodyCoding {
    /// Header line of the coding, and the coded body.
    fn encode(self, body: &[u8]) -> (String, Vec<u8>) {
        match self {
            BodyCoding::Length => (format!("content-length: {}\r\n", body.len()), body.to_vec()),
            BodyCoding::Chunked => {
                let size = format!("{:x}\r\n", body.len()).into_bytes();
                let coded = [&size[..], body, b"\r\n0\r\n\r\n"].concat();
                ("transfer-encoding: chunked\r\n".to_owned(), coded)
            }
            BodyCoding::UntilClose => (String::new(), body.to_vec()),
        }
    }

    /// Header line of the coding, and a piece of a body of `len` bytes that goes on after it.
    fn begin(self, len: usize, piece: &[u8]) -> (String, Vec<u8>) {
        match self {
            BodyCoding::Length => (format!("content-length: {len}\r\n"), piece.to_vec()),
            BodyCoding::Chunked => {
                let size = format!("{:x}\r\n", piece.len()).into_bytes();
                ("transfer-encoding: chunked\r\n".to_owned(), [&size[..], piece, b"\r\n"].concat())
            }
            BodyCoding::UntilClose => self.encode(piece),
        }
    }
}

/// Text in the targets of requests that crash a replica with [`Behaviour::CrashOnPoison`].
pub const POISON: &str = "poison";

/// One execution of a request by a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Id of the request.
    pub request_id: String,
    /// Id of the replica.
    pub replica: String,
    /// Service of the replica.
    pub service: String,
    /// Request line.
    pub request_line: String,
    /// Start of the execution.
    pub started_at: Instant,
    /// Whether the execution started more than three seconds after the replica began to drain.
    pub started_after_drain: bool,
    /// Remaining time that the instance sent with the request, in milliseconds; 0 if absent.
    pub deadline_ms: u64,
}

#[derive(Debug)]
struct Shared {
    id: Mutex<String>,
    service: String,
    data_centre: String,
    store: Store,
    behaviour: Mutex<Behaviour>,
    service_time: Mutex<Duration>,
    /// Minimum number of records in a response.
    min_records: AtomicU64,
    free_slots: Mutex<u32>,
    slot_freed: Condvar,
    draining_since: Mutex<Option<Instant>>,
    runs: Arc<Mutex<Vec<Execution>>>,
    arrivals: Mutex<Vec<Instant>>,
    cancelled_requests: AtomicU64,
    is_stopped: AtomicBool,
    incarnation: AtomicU64,
    /// Registered address, when it is not that of the listener.
    advertised: Mutex<Option<SocketAddr>>,
    /// Maximum of open connections; the replica closes further ones after `close_delay`.
    max_connections: AtomicU64,
    close_delay: Mutex<Duration>,
    open_connections: AtomicU64,
    /// The open connections by number, to close all of them when the replica crashes.
    streams: Mutex<HashMap<u64, TcpStream>>,
    next_stream: AtomicU64,
    is_listening: Mutex<bool>,
    listener_closed: Condvar,
    exit_delay: Mutex<Duration>,
    endless_responses: AtomicU64,
}

/// A running replica.
#[derive(Clone, Debug)]
pub struct Replica {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

/// Time after which a draining replica must get no new requests.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Time between a late refusal and the execution of the request in progress.
const LATE_REFUSAL_LEAD: Duration = Duration::from_millis(5);

/// Maximum number of requests that a replica runs concurrently.
const SLOTS: u32 = 8;

impl Replica {
    /// Starts a replica on a free loopback port and registers it. Each execution is appended to
    /// `runs`.
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
            service_time: Mutex::new(Duration::from_millis(3)),
            min_records: AtomicU64::new(0),
            free_slots: Mutex::new(SLOTS),
            slot_freed: Condvar::new(),
            draining_since: Mutex::default(),
            runs: runs.clone(),
            arrivals: Mutex::default(),
            cancelled_requests: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            incarnation: AtomicU64::new(NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed)),
            advertised: Mutex::default(),
            max_connections: AtomicU64::new(u64::MAX),
            close_delay: Mutex::default(),
            open_connections: AtomicU64::new(0),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(0),
            is_listening: Mutex::new(true),
            listener_closed: Condvar::new(),
            exit_delay: Mutex::default(),
            endless_responses: AtomicU64::new(0),
        });
        let replica = Replica { addr: listener.local_addr()?, shared };
        replica.send_heartbeat();
        let (acceptor, heartbeat_sender) = (replica.clone(), replica.clone());
        thread::spawn(move || acceptor.accept(listener));
        thread::spawn(move || {
            while !heartbeat_sender.is_stopped() {
                heartbeat_sender.send_heartbeat();
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(replica)
    }

    /// Id of the replica.
    #[must_use]
    pub fn id(&self) -> String {
        lock(&self.shared.id).clone()
    }

    /// Address of the listener.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Registers another address than that of the listener, such as that of a proxy.
    pub fn advertise(&self, addr: SocketAddr) {
        *lock(&self.shared.advertised) = Some(addr);
        self.send_heartbeat();
    }

    /// Service of the replica.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.shared.service
    }

    /// Changes how the replica handles requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Changes how long the execution of a request takes.
    pub fn set_service_time(&self, service_time: Duration) {
        *lock(&self.shared.service_time) = service_time;
    }

    /// Lets the responses repeat their records until there are at least this many.
    pub fn set_min_records(&self, count: u64) {
        self.shared.min_records.store(count, Ordering::Relaxed);
    }

    /// Arrival times of the requests that named this replica, including those it refused.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Number of requests whose client closed the connection during their execution.
    #[must_use]
    pub fn cancelled_requests(&self) -> u64 {
        self.shared.cancelled_requests.load(Ordering::Relaxed)
    }

    /// Limits the number of open connections; the replica closes further ones unread.
    pub fn set_max_connections(&self, max: u64) {
        self.shared.max_connections.store(max, Ordering::Relaxed);
    }

    /// Number of connections on which it sends bytes without end.
    #[must_use]
    pub fn endless_responses(&self) -> u64 {
        self.shared.endless_responses.load(Ordering::Relaxed)
    }

    /// Delays the closing of connections beyond the limit, as on a busy machine.
    pub fn set_close_delay(&self, delay: Duration) {
        *lock(&self.shared.close_delay) = delay;
    }

    /// Registers the replica as draining. It still runs requests.
    pub fn drain(&self) {
        *lock(&self.shared.draining_since) = Some(Instant::now());
        self.send_heartbeat();
    }

    /// Delays the end of the process after a request has crashed it, as when it cleans up first. The
    /// connection of that request breaks at once.
    pub fn set_exit_delay(&self, delay: Duration) {
        *lock(&self.shared.exit_delay) = delay;
    }

    /// Stops the replica without removing its registration, which stays until its lease expires. When
    /// this returns, all its sockets are closed, as after the end of a process.
    pub fn crash(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(self.addr);
        let is_listening = lock(&self.shared.is_listening);
        drop(self.shared.listener_closed.wait_while(is_listening, |it| *it));
        for stream in lock(&self.shared.streams).values() {
            // The peer may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops the replica and removes its registration.
    pub fn leave(&self) {
        self.crash();
        self.shared.store.remove("servers", &self.id());
    }

    /// Changes the id, as if another replica had taken over the address; the incarnation stays.
    /// Requests that expect the old id are answered with 421.
    pub fn change_id(&self, id: &str) {
        let old = std::mem::replace(&mut *lock(&self.shared.id), id.to_owned());
        self.shared.store.remove("servers", &old);
        self.send_heartbeat();
    }

    fn is_stopped(&self) -> bool {
        self.shared.is_stopped.load(Ordering::Relaxed)
    }

    fn send_heartbeat(&self) {
        let shared = &self.shared;
        let state = if lock(&shared.draining_since).is_some() { "draining" } else { "ready" };
        let entry = json!({
            "service": shared.service,
            "address": lock(&shared.advertised).unwrap_or(self.addr).to_string(),
            "zone": shared.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": shared.incarnation.load(Ordering::Relaxed),
        });
        shared.store.register(&self.id(), entry, HEARTBEAT_INTERVAL);
    }

    fn accept(&self, listener: TcpListener) {
        self.serve_connections(&listener);
        drop(listener);
        *lock(&self.shared.is_listening) = false;
        self.shared.listener_closed.notify_all();
    }

    fn serve_connections(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.is_stopped() {
                return;
            }
            if self.shared.open_connections.load(Ordering::Relaxed)
                >= self.shared.max_connections.load(Ordering::Relaxed)
            {
                thread::sleep(*lock(&self.shared.close_delay));
                continue;
            }
            self.shared.open_connections.fetch_add(1, Ordering::Relaxed);
            let replica = self.clone();
            let number = self.shared.next_stream.fetch_add(1, Ordering::Relaxed);
            if let Ok(copy) = stream.try_clone() {
                lock(&self.shared.streams).insert(number, copy);
            }
            thread::spawn(move || {
                // An error also closes the connection, which is all that the peer sees.
                drop(replica.serve(stream));
                lock(&replica.shared.streams).remove(&number);
                replica.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        let mut is_first = true;
        while let Some(call) = reader.read()? {
            let is_reused = !std::mem::take(&mut is_first);
            if is_reused && *lock(&self.shared.behaviour) == Behaviour::LateRefusal {
                write_reply(&mut stream, 503, &[("x-rosemarybank-not-executed", "1")], b"")?;
                thread::sleep(LATE_REFUSAL_LEAD);
            }
            if self.is_stopped() || !self.handle(&call, &mut stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Handles a request. Returns whether the connection stays open.
    fn handle(&self, call: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = self.id();
        let request = call.field("x-rosemarybank-request-id").unwrap_or_default().to_owned();
        if call.field("x-rosemarybank-expect-instance").is_some_and(|it| it != id) {
            let fields = [("x-rosemarybank-instance-id", id.as_str())];
            return write_reply(stream, 421, &fields, b"").map(|()| true);
        }
        let behaviour = *lock(&self.shared.behaviour);
        lock(&self.shared.arrivals).push(Instant::now());
        let refusal =
            [("x-rosemarybank-not-executed", "1"), ("x-rosemarybank-request-id", request.as_str())];
        match behaviour {
            Behaviour::Refuse => {
                return write_reply(stream, 503, &refusal, b"").map(|()| true);
            }
            Behaviour::RefuseFor(ms) => {
                let seconds = format!("{}", Duration::from_millis(ms).as_secs_f64());
                let fields = [refusal[0], refusal[1], ("retry-after", seconds.as_str())];
                return write_reply(stream, 503, &fields, b"").map(|()| true);
            }
            _ => {}
        }
        self.acquire_slot();
        let is_connected = self.run(call, &request, &id, stream);
        *lock(&self.shared.free_slots) += 1;
        self.shared.slot_freed.notify_one();
        if !is_connected {
            self.shared.cancelled_requests.fetch_add(1, Ordering::Relaxed);
            return Ok(false);
        }
        if behaviour == Behaviour::CrashOnPoison && call.method_and_target().1.contains(POISON) {
            self.exit();
            return Ok(false);
        }
        self.reply(behaviour, &request, &id, stream)
    }

    /// Ends the process after the exit delay.
    fn exit(&self) {
        let delay = *lock(&self.shared.exit_delay);
        if delay.is_zero() {
            return self.crash();
        }
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            replica.crash();
        });
    }

    /// Writes a text over and over until the peer closes the connection.
    fn write_endlessly(&self, stream: &mut TcpStream, text: &[u8]) -> io::Result<()> {
        let block = text.repeat(4_096);
        self.shared.endless_responses.fetch_add(1, Ordering::Relaxed);
        let end = loop {
            if let Err(err) = stream.write_all(&block) {
                break err;
            }
        };
        self.shared.endless_responses.fetch_sub(1, Ordering::Relaxed);
        Err(end)
    }

    /// Waits until the behaviour changes or the peer closes the connection.
    fn wait_while(&self, behaviour: Behaviour, stream: &TcpStream) {
        while !self.is_stopped() && *lock(&self.shared.behaviour) == behaviour && !is_closed(stream)
        {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn acquire_slot(&self) {
        let mut free_slots = lock(&self.shared.free_slots);
        while *free_slots == 0 {
            free_slots =
                self.shared.slot_freed.wait(free_slots).unwrap_or_else(PoisonError::into_inner);
        }
        *free_slots -= 1;
    }

    /// Runs a request for the service time. Returns whether its connection is still open.
    fn run(&self, call: &Message, request: &str, id: &str, stream: &TcpStream) -> bool {
        let draining_since = *lock(&self.shared.draining_since);
        let deadline = call.field("x-rosemarybank-deadline-ms").and_then(|it| it.parse().ok());
        lock(&self.shared.runs).push(Execution {
            request_id: request.to_owned(),
            replica: id.to_owned(),
            service: self.shared.service.clone(),
            request_line: call.start_line.clone(),
            started_at: Instant::now(),
            started_after_drain: draining_since.is_some_and(|it| it.elapsed() > MAX_DRAIN_DELAY),
            deadline_ms: deadline.unwrap_or(0),
        });
        let until = Instant::now() + *lock(&self.shared.service_time);
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            thread::sleep(left.min(Duration::from_millis(20)));
            if is_closed(stream) {
                return false;
            }
        }
        true
    }

    /// Answers a request that was run. Returns whether the connection stays open.
    fn reply(
        &self,
        behaviour: Behaviour,
        request: &str,
        id: &str,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let stamp = format!("{id}.{request}");
        let body = records(id, request);
        let copies = self.shared.min_records.load(Ordering::Relaxed).div_ceil(2).max(1);
        let body = body.repeat(usize::try_from(copies).unwrap_or(1));
        let fields = [
            ("x-rosemarybank-request-id", request),
            ("x-rosemarybank-server-stamp", stamp.as_str()),
        ];
        match behaviour {
            // `handle` sends refusals itself and does not reply to a poisoned request. The late
            // refusal has been sent when the request arrived.
            Behaviour::Normal
            | Behaviour::Refuse
            | Behaviour::RefuseFor(_)
            | Behaviour::CrashOnPoison
            | Behaviour::LateRefusal => {
                write_reply(stream, 200, &fields, &body)?;
            }
            Behaviour::Leave => {
                let fields = [fields[0], fields[1], ("server-leaving", "1")];
                write_reply(stream, 200, &fields, &body)?;
            }
            Behaviour::Fail => write_reply(stream, 500, &fields, b"failed")?,
            Behaviour::Status(status) => write_reply(stream, status, &fields, &body)?,
            Behaviour::Break => return Ok(false),
            Behaviour::Hang => {
                self.wait_while(behaviour, stream);
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
            Behaviour::Cut(coding, len) => {
                let (field, coded) = coding.encode(&body);
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {stamp}\r\n{field}\r\n",
                    fields[0].0, fields[1].0
                );
                let response = [head.as_bytes(), &coded].concat();
                stream.write_all(&response[..len.min(response.len())])?;
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
            Behaviour::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 OK\r\n")?;
                self.write_endlessly(stream, b"x-filler: 0123456789\r\n")?;
            }
            Behaviour::EndlessBody(coding) => {
                let (field, piece) = coding.begin(1 << 40, &body);
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {stamp}\r\n{field}\r\n",
                    fields[0].0, fields[1].0
                );
                stream.write_all(head.as_bytes())?;
                self.write_endlessly(stream, &piece)?;
            }
            Behaviour::UnfinishedBody(coding, len) => {
                let (field, part) = coding.begin(len + 1, &vec![b'b'; len]);
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {stamp}\r\n{field}\r\n",
                    fields[0].0, fields[1].0
                );
                stream.write_all(head.as_bytes())?;
                stream.write_all(&part)?;
                self.wait_while(behaviour, stream);
                return Ok(false);
            }
            Behaviour::EndlessInterim => {
                self.write_endlessly(stream, b"HTTP/1.1 100 \r\n\r\n")?;
            }
            Behaviour::EndlessReplies => {
                let other = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                self.write_endlessly(stream, other)?;
            }
            Behaviour::Unframed => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{}: {request}\r\n{}: {stamp}\r\n\r\n",
                    fields[0].0, fields[1].0
                );
                stream.write_all(&[head.as_bytes(), &body].concat())?;
                return Ok(false);
            }
        }
        Ok(true)
    }
}

/// Body of the response of a replica to a request: two records of 16 bytes, made from both ids.
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
