//! Stand-ins of the platform's store, of replicas and of clients, and the start of instances. Uses the
//! standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval at which a replica writes its registration.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|it| it == "0")
}

// ---------------------------------------------------------------------------------------------------
// Record

/// The file that holds what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(dir: &Path) -> io::Result<Record> {
        let file = File::create(dir.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {}", text.as_ref());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------------
// HTTP/1.1

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended with the connection.
    pub is_unframed: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn request_id(&self) -> &str {
        self.field("x-rosemarybank-request-id").unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|it| it.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                let fields = fields.collect();
                return Ok(Some(Message { first_line, fields, ..Message::default() }));
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a whole request; a request without a length has no body.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if let Some(len) = message.field("content-length").and_then(|it| it.parse().ok()) {
            message.body = self.exact(len)?;
        }
        Ok(Some(message))
    }

    /// Reads a whole response.
    pub fn response(&mut self) -> io::Result<Message> {
        let head = self.head()?;
        let mut message = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        match message.field("content-length").and_then(|it| it.parse().ok()) {
            Some(len) => message.body = self.exact(len)?,
            None => {
                message.is_unframed = true;
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.buf);
            }
        }
        Ok(message)
    }
}

pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

// ---------------------------------------------------------------------------------------------------
// Store

#[derive(Clone)]
struct Object {
    revision: u64,
    /// JSON text.
    spec: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, and the spec after the change.
    log: Vec<(u64, String, String, Option<String>)>,
}

/// Stand-in of the platform's store. Clones share their state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// Answers all calls of processes with 503 while set.
    pub is_busy: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store =
            Store { addr: listener.local_addr()?, state: Arc::default(), is_busy: Arc::default() };
        store.state.0.lock().unwrap().revision = 1;
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object; `None` removes it.
    pub fn write(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).map(|it| &it.spec) == spec.as_ref() {
            return state.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        match &spec {
            Some(it) => {
                let object = Object { revision, spec: it.clone() };
                state.objects.insert(key.clone(), object);
            }
            None => {
                state.objects.remove(&key);
            }
        }
        state.log.push((revision, key.0, key.1, spec));
        drop(state);
        self.state.1.notify_all();
        revision
    }

    pub fn count(&self, kind: &str) -> usize {
        self.state.0.lock().unwrap().objects.keys().filter(|it| it.0 == kind).count()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(call) = reader.request()? {
            let (status, body) = match self.is_busy.load(Ordering::Relaxed) {
                true => ("503 Busy", "{}".to_owned()),
                false => self.handle(&call),
            };
            let fields = [("content-type", "application/json")];
            write_response(&mut stream, status, &fields, body.as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, call: &Message) -> (&'static str, String) {
        let target = call.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else { return ("404 None", "{}".into()) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let number = |name: &str| -> Option<u64> {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.into_iter().find(|it| it.0 == name)?.1.parse().ok()
        };
        match call.method() {
            "GET" => match number("watch") {
                Some(since) => self.watch(kind, since, number("wait_ms").unwrap_or(0)),
                None => self.list(kind),
            },
            "POST" | "PUT" => {
                let text = String::from_utf8_lossy(&call.body).into_owned();
                let spec = text.split_once("\"spec\":").map(|it| it.1).unwrap_or("null}");
                let spec = spec[..spec.len() - 1].to_owned();
                let stated = text.split_once("\"name\":\"").map(|it| it.1).unwrap_or_default();
                let stated = stated.split('"').next().unwrap_or_default();
                let name = if name.is_empty() { stated } else { name };
                self.write(kind, name, Some(spec));
                ("200 OK", "{}".into())
            }
            "DELETE" => {
                self.write(kind, name, None);
                ("200 OK", "{}".into())
            }
            _ => ("404 None", "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|it| it.0.0 == kind);
        let items: Vec<String> =
            of_kind.map(|(key, it)| object(&key.1, it.revision, &it.spec)).collect();
        let at = state.revision;
        ("200 OK", format!(r#"{{"items":[{}],"has_more":false,"at":{at}}}"#, items.join(",")))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|it| it.0 > since && it.1 == kind)
                .map(|(revision, _, name, spec)| {
                    let text = object(name, *revision, spec.as_deref().unwrap_or("null"));
                    format!(r#"{{"object":{text},"deleted":{}}}"#, spec.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return ("200 OK", format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(r#"{{"meta":{{"name":"{name}","revision":{revision}}},"spec":{spec},"status":null}}"#)
}

// ---------------------------------------------------------------------------------------------------
// Configuration

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    /// Shards of a search, in place of the service.
    pub gather: &'a [&'a str],
    pub timeout_ms: u64,
    pub target_ms: u64,
}

/// Host name of all routes.
pub const HOST: &str = "desk.example";

/// JSON text of a configuration.
pub fn config(version: u64, routes: &[Route<'_>], services: &[&str], max_body: u64) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|it| {
            let target = match it.gather.is_empty() {
                true => format!(r#""service":"{}""#, it.service),
                false => {
                    let shards: Vec<String> = it.gather.iter().map(|it| format!("\"{it}\"")).collect();
                    format!(
                        r#""gather":[{}],"top_k":5,"min_shard_fraction":0.75"#,
                        shards.join(",")
                    )
                }
            };
            format!(
                r#"{{"name":"{0}","hostname":"{HOST}","path_prefix":"/{0}/","route_kind":"{1}","timeout_ms":{2},"target_latency_ms":{3},"attempts":2,"priority":1,{target}}}"#,
                it.name, it.kind, it.timeout_ms, it.target_ms
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!(r#"{{"name":"{it}","max_connections":50,"health_check_path":"/health"}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{max_body},"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------------------------------------------
// Replicas

/// A replica's registration, kept up to date by heartbeats.
#[derive(Clone)]
pub struct Registration {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
    pub state: Arc<Mutex<String>>,
    sequence: Arc<AtomicU64>,
    is_silent: Arc<AtomicBool>,
}

impl Registration {
    pub fn new(id: &str, service: &str, zone: &str, slots: u32, addr: SocketAddr) -> Registration {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Registration {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            zone: zone.to_owned(),
            slots,
            born,
            state: Arc::new(Mutex::new("ready".to_owned())),
            sequence: Arc::default(),
            is_silent: Arc::default(),
        }
    }

    /// Writes the entry now.
    pub fn write(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = self.state.lock().unwrap().clone();
        let Registration { id, service, addr, zone, slots, born, .. } = self;
        let spec = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        store.write("servers", id, Some(spec));
    }

    /// Writes the entry at intervals until [`Registration::leave`].
    pub fn beat(&self, store: &Store) {
        self.write(store);
        let (it, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while !it.is_silent.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                if !it.is_silent.load(Ordering::Relaxed) {
                    it.write(&store);
                }
            }
        });
    }

    /// Writes the entry no more.
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    /// Removes the entry.
    pub fn leave(&self, store: &Store) {
        self.is_silent.store(true, Ordering::Relaxed);
        store.write("servers", &self.id, None);
    }
}

/// Accepts connections and calls `serve` with each in a thread of its own.
pub fn listen(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // An error ends the connection, which is all that the peer sees.
            thread::spawn(move || serve(stream));
        }
    });
}

/// Counting semaphore: the slots of a replica.
#[derive(Clone)]
pub struct Slots(Arc<(Mutex<u32>, Condvar)>);

impl Slots {
    pub fn new(count: u32) -> Slots {
        Slots(Arc::new((Mutex::new(count), Condvar::new())))
    }

    pub fn with<T>(&self, f: impl FnOnce() -> T) -> T {
        let mut free = self.0.0.lock().unwrap();
        while *free == 0 {
            free = self.0.1.wait(free).unwrap();
        }
        *free -= 1;
        drop(free);
        let result = f();
        *self.0.0.lock().unwrap() += 1;
        self.0.1.notify_one();
        result
    }
}

/// The stamp of a replica for a request.
pub fn stamp(replica: &str, request: &str) -> String {
    format!("{replica}.{request}")
}

// ---------------------------------------------------------------------------------------------------
// Instances

/// Signals that the cases send, with the numbers that they have on Linux.
#[derive(Clone, Copy)]
pub enum Signal {
    Hup = 1,
    Kill = 9,
    Term = 15,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that the case has started and not yet waited for.
pub fn send_signal(pid: u32, signal: Signal) {
    // SAFETY: the call has no memory arguments.
    unsafe { kill(pid as i32, signal as i32) };
}

/// An instance of the tier, run with the command of the deploy file.
pub struct Instance {
    pub name: String,
    pub client_port: u16,
    pub ready_port: u16,
    peer_port: u16,
    metrics_port: u16,
    zone: String,
    dir: PathBuf,
    store: SocketAddr,
    child: Option<Child>,
    _reserved: TcpListener,
}

impl Instance {
    pub fn new(name: &str, zone: &str, dir: &Path, store: SocketAddr) -> io::Result<Instance> {
        let (reserved, first) = reserve_ports()?;
        Ok(Instance {
            name: name.to_owned(),
            client_port: first + 1,
            ready_port: first + 2,
            peer_port: first + 3,
            metrics_port: first + 4,
            zone: zone.to_owned(),
            dir: dir.to_owned(),
            store,
            child: None,
            _reserved: reserved,
        })
    }

    pub fn settings_path(&self) -> PathBuf {
        self.dir.join(format!("{}.json", self.name))
    }

    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.name))
    }

    /// Writes the settings file. `budget_window_s` is the only field that a case changes.
    pub fn write_settings(&self, budget_window_s: u64) -> io::Result<()> {
        let zones = r#"{"khomas-a":"khomas","kavango-a":"kavango","erongo-a":"erongo"}"#;
        let Instance { name, zone, client_port, ready_port, peer_port, store, .. } = self;
        let region = zone.trim_end_matches("-a");
        let text = format!(
            r#"{{"node_name":"{name}","role":"entry","machine_class":"frontend","serves":["frontend"],"ip":"127.0.0.1","zone":"{zone}","region":"{region}","zones":{zones},"listen_addresses":{{"frontend":"127.0.0.1:{client_port}","ready":"127.0.0.1:{ready_port}"}},"internal_port_range":[{peer_port},{peer_port}],"seeds":[],"bootstrap":false,"counts_as_loss":false,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"fd_limit":4100,"link_mbps":1000.0,"disk_mb":0}},"data_directory":null,"discovery":"platform","entry":"virtual_ip","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":5000,"ack_ms":6000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"rollback_slack_ms":250,"max_skew_ms":15000,"retry_budget_ratio":0.2,"budget_window_s":{budget_window_s},"retry_budget_slack":52,"recovery_s":12}},"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#
        );
        // The file is replaced as a whole, so that no process reads half of it.
        let temporary = self.dir.join(format!("{name}.new"));
        std::fs::write(&temporary, text)?;
        std::fs::rename(temporary, self.settings_path())
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let child = Command::new("target/release/rosemarybankd")
            .args(["--platform", "--metrics-port", &self.metrics_port.to_string()])
            .env_clear()
            .env("ROSEMARYBANK_NODE_FILE", self.settings_path())
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process while it runs.
    pub fn signal(&mut self, signal: Signal) {
        if self.ended().is_none() {
            send_signal(self.pid(), signal);
        }
    }

    /// Returns how the process has ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().and_then(|it| it.try_wait().ok().flatten())
    }

    pub fn is_ready(&self) -> bool {
        let call = || -> io::Result<u16> {
            let mut client = Client::connect(self.ready_port)?;
            client.stream.write_all(b"GET /-/readiness HTTP/1.1\r\nhost: x\r\n\r\n")?;
            Ok(client.reader.response()?.status())
        };
        call().is_ok_and(|it| it == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    pub fn metrics(&self) -> String {
        let call = || -> io::Result<String> {
            let mut client = Client::connect(self.metrics_port)?;
            client.stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")?;
            Ok(String::from_utf8_lossy(&client.reader.response()?.body).into_owned())
        };
        call().unwrap_or_default()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Reserves five consecutive ports below the ephemeral range by listening on the first of them.
fn reserve_ports() -> io::Result<(TcpListener, u16)> {
    let mut seed = u64::from(std::process::id()) * 7_919
        + SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos() as u64;
    for _ in 0..1_000 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let first = 20_000 + (((seed >> 33) % 2_000) as u16) * 5;
        let bind = |port| TcpListener::bind(("127.0.0.1", port));
        let Ok(reserved) = bind(first) else { continue };
        if (first + 1..first + 5).all(|it| bind(it).is_ok()) {
            return Ok((reserved, first));
        }
    }
    Err(io::Error::other("no free ports"))
}

// ---------------------------------------------------------------------------------------------------
// Clients

/// A client connection to an instance.
pub struct Client {
    pub stream: TcpStream,
    pub reader: Reader,
}

impl Client {
    pub fn connect(port: u16) -> io::Result<Client> {
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        Client::from_stream(stream)
    }

    pub fn from_stream(stream: TcpStream) -> io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Client { reader: Reader::new(stream.try_clone()?), stream })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-rosemarybank-request-id: {id}\r\nx-rosemarybank-deadline-ms: {deadline_ms}\r\n"
        );
        if !body.is_empty() {
            out.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        let mut out = out.into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }

    /// Sends a request and reads its answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> io::Result<Message> {
        self.send(method, path, id, deadline_ms, body)?;
        self.reader.response()
    }
}

/// A temporary folder, removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new(name: &str) -> io::Result<TempDir> {
        let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(TempDir(dir))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
