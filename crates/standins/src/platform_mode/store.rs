//! The platform's store: objects with revisions, watches, and faults.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::platform_mode::message::{Message, Reader, write_reply};

/// Time after which the entry of a silent replica is removed, in heartbeats.
const LEASE_BEATS: u32 = 3;

/// What the store does instead of answering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It answers.
    #[default]
    None,
    /// It answers 503.
    Busy,
    /// It closes connections.
    Reset,
    /// It says nothing.
    Silent,
    /// It does what is asked and closes the connection without an answer.
    LoseReplies,
    /// It answers after this time.
    Slow(Duration),
}

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: Value,
    /// Time at which it is removed unless it is written again.
    lease_until: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    /// Revision, kind and name of each change that is remembered.
    log: Vec<(u64, String, String)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    fault: StoreFault,
    calls: BTreeMap<SocketAddr, u64>,
    is_stopped: bool,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store. Clones are the same store.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

impl Store {
    /// Starts a store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store { addr: listener.local_addr()?, inner: Arc::default() };
        store.lock().revision = 1;
        let (accepting, expiring) = (store.clone(), store.clone());
        thread::spawn(move || accepting.accept(&listener));
        thread::spawn(move || expiring.expire());
        Ok(store)
    }

    /// Its address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.write(kind, name, Some(spec), None);
    }

    /// Writes the entry of a replica, which lasts for three heartbeats. Fails while the store is
    /// away.
    pub fn register(&self, name: &str, spec: Value, every: Duration) -> bool {
        let is_away = !matches!(self.lock().fault, StoreFault::None | StoreFault::Slow(_));
        if !is_away {
            self.write("servers", name, Some(spec), Some(Instant::now() + every * LEASE_BEATS));
        }
        !is_away
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, None, None);
    }

    /// Names of the objects of a kind.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    /// Switches a fault on or off. Open watches end.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.inner.changed.notify_all();
    }

    /// Forgets the history, so that watches must begin anew.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.forgotten = state.revision;
        state.log.clear();
        drop(state);
        self.inner.changed.notify_all();
    }

    /// Number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls.values().sum()
    }

    /// Ends the store; open connections close.
    pub fn stop(&self) {
        self.lock().is_stopped = true;
        self.inner.changed.notify_all();
        // Wakes the accepting thread; the store may have no listener left.
        let _ = TcpStream::connect(self.addr);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, kind: &str, name: &str, spec: Option<Value>, lease_until: Option<Instant>) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let is_same = state.objects.get(&key).map(|it| &it.spec) == spec.as_ref();
        if is_same {
            if let Some(object) = state.objects.get_mut(&key) {
                object.lease_until = lease_until;
            }
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        match spec {
            Some(spec) => {
                state.objects.insert(key.clone(), Object { revision, spec, lease_until });
            }
            None => {
                state.objects.remove(&key);
            }
        }
        state.log.push((revision, key.0, key.1));
        drop(state);
        self.inner.changed.notify_all();
    }

    fn expire(&self) {
        while !self.lock().is_stopped {
            thread::sleep(Duration::from_millis(50));
            let now = Instant::now();
            let is_over = |it: &Object| it.lease_until.is_some_and(|until| until <= now);
            let over: Vec<(String, String)> = {
                let state = self.lock();
                let over = state.objects.iter().filter(|it| is_over(it.1));
                over.map(|it| it.0.clone()).collect()
            };
            for (kind, name) in over {
                self.remove(&kind, &name);
            }
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.lock().is_stopped {
                return;
            }
            let store = self.clone();
            // The peer sees the end of the connection, whatever ended it.
            thread::spawn(move || drop(store.serve(stream)));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let peer = stream.peer_addr()?;
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(call) = reader.read()? {
            *self.lock().calls.entry(peer).or_default() += 1;
            let fault = self.lock().fault;
            match fault {
                StoreFault::None => {}
                StoreFault::Slow(time) => thread::sleep(time),
                StoreFault::Busy => {
                    write_reply(&mut stream, 503, &[], b"{}")?;
                    continue;
                }
                StoreFault::Reset => return Ok(()),
                StoreFault::Silent => {
                    self.wait_while_silent();
                    return Ok(());
                }
                StoreFault::LoseReplies => {
                    self.answer(&call);
                    return Ok(());
                }
            }
            let (status, body) = self.answer(&call);
            write_reply(&mut stream, status, &[], body.to_string().as_bytes())?;
            if self.lock().is_stopped {
                return Ok(());
            }
        }
        Ok(())
    }

    fn wait_while_silent(&self) {
        let mut state = self.lock();
        while state.fault == StoreFault::Silent && !state.is_stopped {
            state = self.inner.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn answer(&self, call: &Message) -> (u16, Value) {
        let (method, target) = call.method_and_target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else { return (404, json!({})) };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.into_iter().find(|it| it.0 == name).map(|it| it.1.to_owned())
        };
        let number = |name: &str| param(name).and_then(|it| it.parse::<u64>().ok());
        match method {
            "GET" if name.is_empty() => match number("watch") {
                Some(since) => self.watch(kind, since, number("wait_ms").unwrap_or(0)),
                None => self.list(kind, &param("after").unwrap_or_default()),
            },
            "POST" | "PUT" => self.write_call(kind, name, call),
            "DELETE" => {
                self.remove(kind, name);
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn write_call(&self, kind: &str, name: &str, call: &Message) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
            return (400, json!({}));
        };
        let named = body["meta"]["name"].as_str().unwrap_or(name).to_owned();
        let is_known = self.lock().objects.contains_key(&(kind.to_owned(), named.clone()));
        match (call.method_and_target().0, is_known) {
            ("POST", true) => (409, json!({})),
            ("PUT", false) => (404, json!({})),
            _ => {
                self.put(kind, &named, body["spec"].clone());
                (200, json!({}))
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        /// Objects of a page, small so that tests see several pages.
        const PAGE: usize = 20;
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|it| it.0.0 == kind && it.0.1.as_str() > after);
        let mut items: Vec<Value> =
            of_kind.take(PAGE + 1).map(|(key, it)| object(&key.1, it)).collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        (200, json!({ "items": items, "has_more": has_more, "at": state.revision }))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if since < state.forgotten {
                return (410, json!({}));
            }
            let changed: BTreeMap<&String, u64> = state
                .log
                .iter()
                .filter(|it| it.0 > since && it.1 == kind)
                .map(|it| (&it.2, it.0))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            let is_over = left.is_zero() || state.is_stopped || state.fault != StoreFault::None;
            if !changed.is_empty() || is_over {
                let event = |name: &String, revision: u64| {
                    let key = (kind.to_owned(), name.clone());
                    match state.objects.get(&key) {
                        Some(it) => json!({ "deleted": false, "object": object(name, it) }),
                        None => {
                            let meta = json!({ "name": name, "revision": revision });
                            json!({ "deleted": true, "object": { "meta": meta, "spec": null } })
                        }
                    }
                };
                let events: Vec<Value> = changed.iter().map(|it| event(it.0, *it.1)).collect();
                return (200, json!({ "events": events, "at": state.revision }));
            }
            let waited = self.inner.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn object(name: &str, it: &Object) -> Value {
    json!({ "meta": { "name": name, "revision": it.revision }, "spec": it.spec })
}
