//! Replicas: they register, run requests, drain, and crash.

use std::{
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Body, Reader, respond},
    store::Store,
};

/// Interval at which the listener checks whether the replica has ended.
const ACCEPT_POLL: Duration = Duration::from_millis(2);

/// A faulty replica spoils one answer of this number.
const SPOILED_ONE_IN: u64 = 20;

/// A spoiled answer is repetitions of this, which are no response: they come "without end [...] until the
/// caller closes".
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 \r\n\r\n";

/// A request that a replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub replica: String,
    pub service: String,
    pub request_id: String,
    pub line: String,
}

/// All runs of a day, in order.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a replica is and does.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
}

/// A replica. Clones are the same one.
#[derive(Clone)]
pub struct Replica {
    pub spec: Spec,
    pub addr: SocketAddr,
    store: Store,
    runs: Runs,
    is_down: Arc<AtomicBool>,
    born: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    /// Whether it spoils some of its answers.
    pub is_faulty: Arc<AtomicBool>,
    /// Answers since it became faulty.
    faulty_answers: Arc<AtomicU64>,
}

impl Replica {
    /// Starts a replica on a free port and registers it.
    pub fn start(spec: Spec, store: &Store, runs: &Runs) -> io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Replica {
            addr: listener.local_addr()?,
            spec,
            store: store.clone(),
            runs: runs.clone(),
            is_down: Arc::default(),
            born: Arc::new(AtomicU64::new(unix_ms())),
            streams: Arc::default(),
            is_faulty: Arc::default(),
            faulty_answers: Arc::default(),
        };
        replica.listen(listener)?;
        replica.report("ready");
        Ok(replica)
    }

    /// Writes its entry to the store. Returns the time of the confirmation.
    pub fn report(&self, state: &str) -> Instant {
        self.store.put("servers", &self.spec.id, &self.entry(state))
    }

    /// Stops serving and removes its entry.
    pub fn leave(&self) {
        self.go_down();
        self.store.remove("servers", &self.spec.id);
    }

    /// Ends all connections and the listener, as at the end of its process.
    pub fn go_down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().expect("no thread panics here").drain(..) {
            // The peer may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn entry(&self, state: &str) -> String {
        let Spec { service, zone, slots, .. } = &self.spec;
        let (addr, born) = (self.addr, self.born.load(Ordering::SeqCst));
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{born}}}"#
        )
    }

    fn listen(&self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let replica = self.clone();
        spawn(move || {
            while !replica.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => replica.accept(stream),
                    Err(_) => thread::sleep(ACCEPT_POLL),
                }
            }
        });
        Ok(())
    }

    fn accept(&self, stream: TcpStream) {
        let is_blocking = stream.set_nonblocking(false).is_ok();
        let Ok(copy) = stream.try_clone() else { return };
        self.streams.lock().expect("no thread panics here").push(copy);
        let replica = self.clone();
        if is_blocking {
            spawn(move || replica.serve(Reader::new(stream)));
        }
    }

    /// Whether the next answer is spoiled.
    fn spoils_next_answer(&self) -> bool {
        self.is_faulty.load(Ordering::SeqCst)
            && self.faulty_answers.fetch_add(1, Ordering::SeqCst) % SPOILED_ONE_IN
                == SPOILED_ONE_IN - 1
    }

    fn serve(&self, mut reader: Reader) {
        while let Ok(Some(request)) = reader.read(Body::Stated) {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let id = request.field("x-rosemarybank-request-id").unwrap_or("").to_owned();
            let expected = request.field("x-rosemarybank-expect-instance");
            if expected.is_some_and(|it| it != self.spec.id) {
                let fields = [
                    ("X-Rosemarybank-Request-Id", id.as_str()),
                    ("X-Rosemarybank-Not-Executed", "1"),
                    ("X-Rosemarybank-Instance-Id", self.spec.id.as_str()),
                ];
                let status = "421 Misdirected Request";
                if respond(&mut reader.stream, status, &fields, b"", Body::Stated).is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().expect("no thread panics here").push(Run {
                at: Instant::now(),
                replica: self.spec.id.clone(),
                service: self.spec.service.clone(),
                request_id: id.clone(),
                line: request.start.clone(),
            });
            thread::sleep(self.spec.work);
            if self.spoils_next_answer() {
                let block = INTERIM_RESPONSE.repeat(4_000);
                while reader.stream.write_all(&block).is_ok() {}
                return;
            }
            let stamp = format!("{}.{id}", self.spec.id);
            let fields = [
                ("X-Rosemarybank-Request-Id", id.as_str()),
                ("X-Rosemarybank-Server-Stamp", &stamp),
            ];
            let body = format!("record of {}\n", request.target());
            let has_body = if request.method() == "HEAD" { Body::None } else { Body::Stated };
            if respond(&mut reader.stream, "200 OK", &fields, body.as_bytes(), has_body).is_err() {
                return;
            }
        }
    }
}

/// Starts a thread with a small stack, because there are hundreds of them.
pub fn spawn(job: impl FnOnce() + Send + 'static) {
    let builder = thread::Builder::new().stack_size(128 << 10);
    builder.spawn(job).expect("the limit on threads is far away");
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}
