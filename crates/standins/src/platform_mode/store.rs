//! The platform's object store with revisions, watches and fault injection.

use std::{
    collections::BTreeMap,
    io::{self, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::platform_mode::message::{Message, Reader, write_reply};

/// Lease of a replica's registration, in heartbeat intervals.
const LEASE_HEARTBEATS: u32 = 3;

/// Fault of the store, which applies to all calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Answers 503.
    Busy,
    /// Closes the connection.
    Reset,
    /// Does not answer; closes the connection when the fault changes.
    Silent,
    /// Carries out the call and closes the connection without a response.
    LoseReplies,
    /// Answers after this delay.
    Slow(Duration),
    /// Answers with a body without end, until the caller closes the connection.
    Endless,
}

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    spec: Value,
    /// Time at which the object is removed unless it is written again.
    lease_until: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    /// Revision, kind and name of each change since the last compaction.
    log: Vec<(u64, String, String)>,
    /// Changes up to this revision are no longer in the log.
    compacted_revision: u64,
    fault: StoreFault,
    calls: BTreeMap<SocketAddr, u64>,
    is_stopped: bool,
    /// Specs that are no JSON values; objects refer to them by [`raw_spec_reference`].
    raw_specs: Vec<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store. Clones share its state.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    inner: Arc<Inner>,
    /// Kind of the objects for which calls at this address are reset.
    blocked_kind: Arc<Mutex<Option<String>>>,
}

impl Store {
    /// Starts a store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            addr: listener.local_addr()?,
            inner: Arc::default(),
            blocked_kind: Arc::default(),
        };
        store.lock().revision = 1;
        let (acceptor, expirer) = (store.clone(), store.clone());
        thread::spawn(move || acceptor.accept(&listener));
        thread::spawn(move || expirer.expire_leases());
        Ok(store)
    }

    /// Opens another address of the same store, with a blocked kind of its own.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn open_address(&self) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            addr: listener.local_addr()?,
            inner: self.inner.clone(),
            blocked_kind: Arc::default(),
        };
        let acceptor = store.clone();
        thread::spawn(move || acceptor.accept(&listener));
        Ok(store)
    }

    /// Resets all calls at this address for objects of a kind, or none.
    pub fn block_kind(&self, kind: Option<&str>) {
        *self.blocked_kind.lock().unwrap_or_else(PoisonError::into_inner) =
            kind.map(ToOwned::to_owned);
    }

    /// Address of the store.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.write(kind, name, Some(spec), None);
    }

    /// Writes an object whose spec another program wrote: any bytes, also such that cannot be decoded.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &[u8]) {
        let reference = {
            let mut state = self.lock();
            state.raw_specs.push(spec.to_vec());
            raw_spec_reference(state.raw_specs.len() - 1)
        };
        self.put(kind, name, Value::String(reference));
    }

    /// Writes the registration of a replica, whose lease is three heartbeat intervals. Returns
    /// whether the store was available.
    pub fn register(&self, name: &str, spec: Value, interval: Duration) -> bool {
        let is_unavailable = !matches!(self.lock().fault, StoreFault::None | StoreFault::Slow(_));
        if !is_unavailable {
            self.write(
                "servers",
                name,
                Some(spec),
                Some(Instant::now() + interval * LEASE_HEARTBEATS),
            );
        }
        !is_unavailable
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

    /// Sets the fault and ends open watches.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
        self.inner.changed.notify_all();
    }

    /// Discards the change log, so that watches of earlier revisions get 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.log.clear();
        drop(state);
        self.inner.changed.notify_all();
    }

    /// Number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls.values().sum()
    }

    /// Stops the store. An open connection closes after its next call.
    pub fn stop(&self) {
        self.lock().is_stopped = true;
        self.inner.changed.notify_all();
        // Wakes the thread that accepts connections; the listener may be closed already.
        let _ = TcpStream::connect(self.addr);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an object, or removes it when `spec` is `None`. Writing an equal spec only replaces
    /// the lease: it is no change, and watches do not report it.
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

    fn expire_leases(&self) {
        while !self.lock().is_stopped {
            thread::sleep(Duration::from_millis(50));
            let now = Instant::now();
            let is_expired = |it: &Object| it.lease_until.is_some_and(|until| until <= now);
            let expired: Vec<(String, String)> = {
                let state = self.lock();
                let expired = state.objects.iter().filter(|it| is_expired(it.1));
                expired.map(|it| it.0.clone()).collect()
            };
            for (kind, name) in expired {
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
            // An error also closes the connection, which is all that the peer sees.
            thread::spawn(move || drop(store.serve(stream)));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let peer = stream.peer_addr()?;
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(call) = reader.read()? {
            *self.lock().calls.entry(peer).or_default() += 1;
            if self.is_blocked(&call) {
                return Ok(());
            }
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
                    self.handle(&call);
                    return Ok(());
                }
                StoreFault::Endless => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?;
                    let block = vec![b' '; 64 << 10];
                    loop {
                        stream.write_all(&block)?;
                    }
                }
            }
            let (status, body) = self.handle(&call);
            let body = self.insert_raw_specs(body.to_string().into_bytes());
            write_reply(&mut stream, status, &[], &body)?;
            if self.lock().is_stopped {
                return Ok(());
            }
        }
        Ok(())
    }

    fn insert_raw_specs(&self, mut body: Vec<u8>) -> Vec<u8> {
        for (number, spec) in self.lock().raw_specs.iter().enumerate() {
            let reference = format!("\"{}\"", raw_spec_reference(number)).into_bytes();
            let found = body.windows(reference.len()).position(|it| it == reference);
            if let Some(at) = found {
                body.splice(at..at + reference.len(), spec.iter().copied());
            }
        }
        body
    }

    fn is_blocked(&self, call: &Message) -> bool {
        let blocked = self.blocked_kind.lock().unwrap_or_else(PoisonError::into_inner);
        let path = call.method_and_target().1.strip_prefix("/-/objects/").unwrap_or_default();
        let kind = path.split(['/', '?']).next();
        blocked.is_some() && blocked.as_deref() == kind
    }

    fn wait_while_silent(&self) {
        let mut state = self.lock();
        while state.fault == StoreFault::Silent && !state.is_stopped {
            state = self.inner.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn handle(&self, call: &Message) -> (u16, Value) {
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
            "POST" | "PUT" => self.handle_write(kind, name, call),
            "DELETE" => {
                self.remove(kind, name);
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn handle_write(&self, kind: &str, name: &str, call: &Message) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(&call.body) else {
            return (400, json!({}));
        };
        let name = body["meta"]["name"].as_str().unwrap_or(name).to_owned();
        let exists = self.lock().objects.contains_key(&(kind.to_owned(), name.clone()));
        match (call.method_and_target().0, exists) {
            ("POST", true) => (409, json!({})),
            ("PUT", false) => (404, json!({})),
            _ => {
                self.put(kind, &name, body["spec"].clone());
                (200, json!({}))
            }
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        /// Small, so that tests get lists of several pages.
        const PAGE_SIZE: usize = 20;
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|it| it.0.0 == kind && it.0.1.as_str() > after);
        let mut items: Vec<Value> =
            of_kind.take(PAGE_SIZE + 1).map(|(key, it)| object(&key.1, it)).collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        (200, json!({ "items": items, "has_more": has_more, "at": state.revision }))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if since < state.compacted_revision {
                return (410, json!({}));
            }
            let changed: BTreeMap<&String, u64> = state
                .log
                .iter()
                .filter(|it| it.0 > since && it.1 == kind)
                .map(|it| (&it.2, it.0))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            let must_return = left.is_zero() || state.is_stopped || state.fault != StoreFault::None;
            if !changed.is_empty() || must_return {
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

fn raw_spec_reference(number: usize) -> String {
    format!("raw-spec-{number}")
}

fn object(name: &str, it: &Object) -> Value {
    json!({ "meta": { "name": name, "revision": it.revision }, "spec": it.spec })
}
