//! The platform's store, as the page on the protocol describes it.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Body, Message, Reader, respond};

/// Maximum number of objects in a page of a list: "about 500 or 1 MB at most".
const PAGE_OBJECTS: usize = 500;

/// Maximum size of a page of a list in bytes.
const PAGE_BYTES: usize = 1 << 20;

/// Time for an answer, as in the table of the installations.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and spec by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// All changes, in order.
    events: Vec<Event>,
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    spec: String,
    is_deleted: bool,
}

/// A running store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 100, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { addr: listener.local_addr()?, shared };
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object. A write that changes nothing is no change. Returns the time of the
    /// confirmation.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).is_some_and(|it| it.1 == spec) {
            return Instant::now();
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_owned()));
        let (kind, name, spec) = (kind.to_owned(), name.to_owned(), spec.to_owned());
        state.events.push(Event { revision, kind, name, spec, is_deleted: false });
        drop(state);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some((_, spec)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        state.events.push(Event { revision, kind, name, spec, is_deleted: true });
        drop(state);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics while it holds the lock")
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(call)) = reader.read(Body::Stated) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&call);
            let fields = [("Content-Type", "application/json")];
            if respond(&mut reader.stream, status, &fields, body.as_bytes(), Body::Stated).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (&'static str, String) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return ("404 Not Found", String::new());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let param = |name: &str| {
            let pair = query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='));
            pair.map(str::to_owned)
        };
        match call.method() {
            "GET" if !name.is_empty() => self.get(kind, name),
            "GET" => match param("watch").and_then(|it| it.parse().ok()) {
                Some(since) => {
                    let wait = param("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                    self.watch(kind, since, Duration::from_millis(wait).min(MAX_WAIT))
                }
                None => self.list(kind, &param("after").unwrap_or_default()),
            },
            "POST" | "PUT" => self.write(call, kind),
            "DELETE" => {
                let found = self.get(kind, name);
                self.remove(kind, name);
                found
            }
            _ => ("405 Method Not Allowed", String::new()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, String) {
        match self.lock().objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => ("200 OK", object(name, *revision, spec)),
            None => ("404 Not Found", String::new()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.lock();
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for ((_, name), (revision, spec)) in
            state.objects.iter().filter(|it| it.0.0 == kind && it.0.1.as_str() > after)
        {
            let item = object(name, *revision, spec);
            if items.len() == PAGE_OBJECTS || bytes + item.len() > PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        let (items, at) = (items.join(","), state.revision);
        ("200 OK", format!(r#"{{"items":[{items}],"has_more":{has_more},"at":{at}}}"#))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|it| it.kind == kind && it.revision > since)
                .map(|it| {
                    let object = object(&it.name, it.revision, &it.spec);
                    format!(r#"{{"deleted":{},"object":{object}}}"#, it.is_deleted)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return ("200 OK", format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            let woken = self.shared.1.wait_timeout(state, left);
            state = woken.expect("no thread panics while it holds the lock").0;
        }
    }

    /// Handles a write of an instance: `{"meta":{"name":...},"spec":...}`.
    fn write(&self, call: &Message, kind: &str) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&call.body);
        let name = body.split_once(r#""name":""#).and_then(|it| it.1.split_once('"'));
        let spec = body.split_once(r#","spec":"#).and_then(|it| it.1.strip_suffix('}'));
        let (Some((name, _)), Some(spec)) = (name, spec) else {
            return ("400 Bad Request", String::new());
        };
        let exists = self.get(kind, name).0 == "200 OK";
        match (call.method(), exists) {
            ("POST", true) => ("409 Conflict", self.get(kind, name).1),
            ("PUT", false) => ("404 Not Found", String::new()),
            _ => {
                self.put(kind, name, spec);
                self.get(kind, name)
            }
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created_at":1,"finalizers":[],"deletion_requested":false}},"spec":{spec},"status":null}}"#
    )
}
