//! Stand-ins of the third review: the platform's store, replicas, clients and the processes of the tier.
//!
//! The standard library only. All addresses are loopback addresses, and only processes that this program
//! started are ended.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Milliseconds as a duration.
pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Processes that this program started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time of a run.
const MAX_RUN: Duration = Duration::from_secs(115);

/// Starts a process. It is ended at the end of the run at the latest.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let child = command.spawn()?;
    lock(&CHILDREN).push(child.id());
    Ok(child)
}

/// Kills a process that [`spawn`] started.
pub fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    lock(&CHILDREN).retain(|it| *it != child.id());
}

/// Ends the run, with all processes that it started, if it takes too long.
pub fn limit_run() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        for pid in lock(&CHILDREN).iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        eprintln!("could not run: it took too long");
        std::process::exit(2);
    });
}

// ---------------------------------------------------------------------------------------------------------
// Record

/// The lines of `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} {}", text.as_ref());
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

// ---------------------------------------------------------------------------------------------------------
// HTTP/1.1

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages with a length from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buf: Vec::new() }
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_len - 4]).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields: Vec<(String, String)> = lines
            .filter_map(|it| it.split_once(':'))
            .map(|it| (it.0.trim().to_owned(), it.1.trim().to_owned()))
            .collect();
        self.buf.drain(..head_len);
        let mut message = Message { start, fields, body: Vec::new() };
        let len = message.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0_usize);
        while self.buf.len() < len {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf.drain(..len).collect();
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0_u8; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len > 0)
    }
}

/// Renders a response.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} S\r\n").into_bytes();
    for (name, value) in fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

// ---------------------------------------------------------------------------------------------------------
// JSON text: only what the tier's own calls to the store need

/// Returns the value of a key anywhere in a JSON text, as text.
pub fn json_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = text[at..].trim_start();
    let (mut depth, mut in_string, mut is_escaped) = (0_i32, false, false);
    for (index, byte) in rest.bytes().enumerate() {
        if in_string {
            match byte {
                _ if is_escaped => is_escaped = false,
                b'\\' => is_escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(rest[..index].trim()),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(&rest[..=index]);
                }
            }
            b',' if depth == 0 => return Some(rest[..index].trim()),
            _ => {}
        }
    }
    Some(rest.trim())
}

// ---------------------------------------------------------------------------------------------------------
// Store

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: String,
    /// What a later write is compared with: a heartbeat that only changes `sequence` is no change.
    same_key: String,
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// The spec after the change; `None` for a deletion.
    spec: Option<String>,
}

/// What the store keeps. A drill brings an older copy of it back.
#[derive(Clone, Debug, Default)]
pub struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    log: Vec<Change>,
}

#[derive(Debug, Default)]
struct StoreState {
    content: Content,
    era: u64,
    is_up: bool,
    /// Connections that are cut when the store goes away.
    streams: Vec<TcpStream>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// A line for each call of the tier.
    pub record: Option<Record>,
}

impl Store {
    pub fn start(record: Option<Record>) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = StoreState {
            content: Content { revision: 100, ..Content::default() },
            era: 1,
            is_up: true,
            streams: Vec::new(),
        };
        let store = Store {
            addr: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record,
        };
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object. Returns its revision, or `None` while the store is away.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Option<u64> {
        let mut state = lock(&self.state.0);
        if !state.is_up {
            return None;
        }
        let revision = state.content.put(kind, name, spec);
        drop(state);
        self.state.1.notify_all();
        Some(revision)
    }

    /// Removes an object. Returns the revision, or `None` while the store is away.
    pub fn remove(&self, kind: &str, name: &str) -> Option<u64> {
        let mut state = lock(&self.state.0);
        if !state.is_up {
            return None;
        }
        let revision = state.content.remove(kind, name);
        drop(state);
        self.state.1.notify_all();
        Some(revision)
    }

    pub fn revision(&self) -> u64 {
        lock(&self.state.0).content.revision
    }

    pub fn is_up(&self) -> bool {
        lock(&self.state.0).is_up
    }

    /// Returns a copy of the content, as a backup has it.
    pub fn copy(&self) -> Content {
        lock(&self.state.0).content.clone()
    }

    /// The store goes away: all connections are cut and new ones are reset.
    pub fn go_away(&self) {
        let mut state = lock(&self.state.0);
        state.is_up = false;
        for it in state.streams.drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// The store comes back, from an older copy if one is given.
    pub fn come_back(&self, copy: Option<Content>) {
        let mut state = lock(&self.state.0);
        if let Some(copy) = copy {
            state.content = copy;
            state.era += 1;
        }
        state.is_up = true;
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        {
            let mut state = lock(&self.state.0);
            if !state.is_up {
                return Ok(());
            }
            state.streams.push(stream.try_clone()?);
        }
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(call) = reader.next()? {
            let Some((status, body)) = self.handle(&call) else { return Ok(()) };
            let era = lock(&self.state.0).era.to_string();
            if let Some(record) = &self.record {
                let shown = body.chars().take(120).collect::<String>();
                record.line(format!("store: {} -> {status} {shown}", call.start));
            }
            // Some milliseconds for an answer, as the sheet states.
            thread::sleep(ms(4));
            if !self.is_up() {
                return Ok(());
            }
            let fields = [("Store-Era", era.as_str()), ("Content-Type", "application/json")];
            stream.write_all(&response(status, &fields, body.as_bytes()))?;
        }
        Ok(())
    }

    /// Answers a call; `None` while the store is away.
    fn handle(&self, call: &Message) -> Option<(u16, String)> {
        let target = call.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let rest = path.strip_prefix("/-/objects/").unwrap_or_default();
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let param = |key: &str| {
            query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == key).map(|it| it.1)
        };
        let number = |key: &str| param(key).and_then(|it| it.parse::<u64>().ok());
        let body = call.text();
        let mut state = lock(&self.state.0);
        if !state.is_up {
            return None;
        }
        match call.method() {
            "GET" if number("watch").is_some() => {
                drop(state);
                self.watch(kind, number("watch").unwrap_or(0), ms(number("wait_ms").unwrap_or(0)))
            }
            "GET" => Some((200, state.content.list(kind, param("after").unwrap_or_default()))),
            "POST" | "PUT" => {
                let named = json_value(&body, "name").unwrap_or_default().trim_matches('"').to_owned();
                let name = if name.is_empty() { named } else { name.to_owned() };
                let exists = state.content.objects.contains_key(&(kind.to_owned(), name.clone()));
                match (call.method(), exists) {
                    ("POST", true) => Some((409, "{}".into())),
                    ("PUT", false) => Some((404, "{}".into())),
                    _ => {
                        let spec = json_value(&body, "spec").unwrap_or("null").to_owned();
                        state.content.put(kind, &name, &spec);
                        drop(state);
                        self.state.1.notify_all();
                        Some((200, "{}".into()))
                    }
                }
            }
            "DELETE" => {
                let exists = state.content.objects.contains_key(&(kind.to_owned(), name.to_owned()));
                if exists {
                    state.content.remove(kind, name);
                }
                drop(state);
                self.state.1.notify_all();
                Some((if exists { 200 } else { 404 }, "{}".into()))
            }
            _ => Some((405, "{}".into())),
        }
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = lock(&self.state.0);
        let era = state.era;
        loop {
            if !state.is_up || state.era != era {
                return None;
            }
            if since > state.content.revision {
                // A revision that the store doesn't have.
                return Some((410, "{}".into()));
            }
            let events: Vec<String> = state
                .content
                .log
                .iter()
                .filter(|it| it.revision > since && it.kind == kind)
                .map(|it| {
                    let Change { revision, name, spec, .. } = it;
                    let meta = format!(r#"{{"name":"{name}","revision":{revision}}}"#);
                    let shown = spec.as_deref().unwrap_or("null");
                    let deleted = spec.is_none();
                    format!(r#"{{"object":{{"meta":{meta},"spec":{shown}}},"deleted":{deleted}}}"#)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.content.revision;
                return Some((200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","))));
            }
            state = self.state.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let same_key = without_sequence(spec);
        let key = (kind.to_owned(), name.to_owned());
        if let Some(it) = self.objects.get_mut(&key)
            && it.same_key == same_key
        {
            it.spec = spec.to_owned();
            return it.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        self.log.push(Change {
            revision,
            kind: key.0.clone(),
            name: key.1.clone(),
            spec: Some(spec.to_owned()),
        });
        self.objects.insert(key, Object { revision, spec: spec.to_owned(), same_key });
        revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.remove(&key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.log.push(Change { revision, kind: key.0, name: key.1, spec: None });
        }
        self.revision
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let items: Vec<String> = self
            .objects
            .iter()
            .filter(|it| it.0.0 == kind && it.0.1.as_str() > after)
            .map(|(key, it)| {
                let meta = format!(r#"{{"name":"{}","revision":{}}}"#, key.1, it.revision);
                format!(r#"{{"meta":{meta},"spec":{}}}"#, it.spec)
            })
            .collect();
        format!(r#"{{"items":[{}],"has_more":false,"at":{}}}"#, items.join(","), self.revision)
    }
}

/// The spec without the number of the heartbeat.
fn without_sequence(spec: &str) -> String {
    match spec.find("\"sequence\":") {
        Some(at) => {
            let len = spec[at + 11..].find([',', '}']).unwrap_or(0);
            format!("{}{}", &spec[..at], &spec[at + 11 + len..])
        }
        None => spec.to_owned(),
    }
}

// ---------------------------------------------------------------------------------------------------------
// Replicas

/// What a replica says of itself in the store.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
    pub born: u64,
    pub sequence: u64,
}

impl Entry {
    pub fn spec(&self) -> String {
        let Entry { service, addr, zone, slots, state, born, sequence, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"1","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        )
    }
}

/// Keeps the entry of a replica in the store, at each heartbeat. A failed write is repeated soon, and an entry
/// that the store has lost is written again as soon as the replica's connection to the store, which was cut, is
/// open again.
pub struct Registration {
    entry: Arc<Mutex<Entry>>,
    is_over: Arc<Mutex<bool>>,
    store: Store,
}

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Registration {
    pub fn start(store: &Store, entry: Entry) -> Registration {
        let it = Registration {
            entry: Arc::new(Mutex::new(entry)),
            is_over: Arc::default(),
            store: store.clone(),
        };
        let (entry, is_over, store) = (it.entry.clone(), it.is_over.clone(), it.store.clone());
        thread::spawn(move || {
            let mut next = Instant::now();
            while !*lock(&is_over) {
                let is_cut = !store.is_up();
                if is_cut {
                    next = next.min(Instant::now() + ms(100));
                }
                if Instant::now() >= next {
                    let mut entry = lock(&entry);
                    entry.sequence += 1;
                    let is_written = store.put("servers", &entry.id, &entry.spec()).is_some();
                    next = Instant::now() + if is_written { HEARTBEAT } else { ms(100) };
                }
                thread::sleep(ms(10));
            }
        });
        it
    }

    /// Reports another state at once, or at the next heartbeat if the store is away.
    pub fn set_state(&self, state: &'static str) {
        let mut entry = lock(&self.entry);
        entry.state = state;
        self.store.put("servers", &entry.id, &entry.spec());
    }

    /// The replica writes nothing any more.
    pub fn stop(&self) {
        *lock(&self.is_over) = true;
    }

    /// The replica has left.
    pub fn leave(&self) {
        *lock(&self.is_over) = true;
        self.store.remove("servers", &lock(&self.entry).id);
    }
}

/// Serves HTTP requests with a function from a request to the bytes of its response.
pub fn serve_http<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut out = stream.try_clone()?;
                let mut reader = Reader::new(stream);
                while let Some(request) = reader.next()? {
                    let Some(bytes) = handle(&request) else { return Ok(()) };
                    out.write_all(&bytes)?;
                }
                Ok(())
            });
        }
    });
}

// ---------------------------------------------------------------------------------------------------------
// Processes of the tier

/// Bounds that are written into the settings file; those of the small Kavango deployment.
pub const BOUNDS: &str = r#"{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":5000,"ack_ms":6000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"rollback_slack_ms":250,"max_skew_ms":15000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":52,"recovery_s":12}"#;

/// A machine of the tier and its process.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    starts: u32,
    /// Held so that nobody else takes the ports while the process is not running.
    _reservation: TcpListener,
}

/// Reserves consecutive ports below the range of outgoing connections. The first one stays bound.
pub fn reserve_ports(count: u16) -> io::Result<(TcpListener, u16)> {
    let start = 20_000 + (std::process::id() % 1_000) as u16 * 10;
    for first in (0..1_000).map(|it| 20_000 + (start - 20_000 + it * 10) % 10_000) {
        let Ok(held) = TcpListener::bind(("127.0.0.1", first)) else { continue };
        if (1..=count).all(|it| TcpListener::bind(("127.0.0.1", first + it)).is_ok()) {
            return Ok((held, first + 1));
        }
    }
    Err(io::Error::other("no free ports"))
}

impl Instance {
    pub fn new(name: &str, zone: &str, dir: &Path, store: SocketAddr) -> io::Result<Instance> {
        let (held, port) = reserve_ports(6)?;
        let addr = |it: u16| SocketAddr::from(([127, 0, 0, 1], it));
        let settings = dir.join(format!("{name}.json"));
        let (front, ready, control) = (addr(port), addr(port + 1), addr(port + 2));
        let (inner, last) = (port + 3, port + 4);
        std::fs::write(
            &settings,
            format!(
                r#"{{"node_name":"{name}","role":"entry","machine_class":"frontend","serves":["frontend"],"ip":"127.0.0.1","zone":"{zone}","region":"{zone}","zones":{{"a":"a","b":"b","c":"c"}},"listen_addresses":{{"frontend":"{front}","ready":"{ready}","control":"{control}"}},"internal_port_range":[{inner},{last}],"seeds":[],"bootstrap":false,"counts_as_loss":false,"limits":{{"cpu_share":1.0,"cores":1,"memory_mb":260,"fd_limit":4100,"link_mbps":1000.0,"disk_mb":0}},"data_directory":null,"discovery":"platform","entry":"virtual_ip","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{BOUNDS},"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#
            ),
        )?;
        Ok(Instance {
            name: name.to_owned(),
            front,
            ready,
            metrics: port + 5,
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
            starts: 0,
            _reservation: held,
        })
    }

    /// Starts the command of the deploy file in the current folder, the project's root.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/rosemarybankd");
        command
            .args(["--platform", "--metrics-port", &self.metrics.to_string()])
            .env("ROSEMARYBANK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log));
        self.child = Some(spawn(&mut command)?);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let host = self.ready.to_string();
        let fields = [("Host", host.as_str())];
        let answer = call(self.ready, "GET", "/-/readiness", &fields, b"", ms(500));
        answer.is_ok_and(|it| it.status() == 200)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    /// Sends a signal to the process, named as for `kill`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(ToOwned::to_owned).collect()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            end(&mut child);
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------------------------------------------------
// Clients

/// Sends a request on a new connection and reads the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&request(method, target, fields, body))?;
    Reader::new(stream).next()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Renders a request.
pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !body.is_empty() {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Whether the run is to have its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A temporary folder that is removed on drop, unless `KEEP` is set.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create(name: &str) -> io::Result<TempDir> {
        let path = std::env::temp_dir().join(format!("{name}-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
