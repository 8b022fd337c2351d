use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use rosemarybank_protocol::id::ReplicaId;
use tokio::{sync::Notify, time};

use super::{
    connection::Connection,
    frames::FrameTracker,
    pool::{GoingAway, PoolSettings, Target},
};

/// Delay before the second attempt to connect. It doubles up to [`MAX_RECONNECT_DELAY`]; jitter
/// shortens each delay by up to half.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Largest delay between attempts, so a restarted replica is connected about this soon after it
/// becomes reachable.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_000);
/// Age below which a stalled connection is not replaced, so that a hanging replica is not flooded
/// with connections.
const MIN_STALLED_AGE: Duration = Duration::from_secs(1);

impl State {
    /// Stops new streams on the current connection and lets its open streams finish.
    fn drain_current(&mut self) {
        // Keeping the `Connection` itself would keep it open.
        self.draining.extend(self.current.take().map(|it| it.frames));
    }
}

/// The connections to one replica.
pub(super) struct Replica {
    addr: SocketAddr,
    max_connections: AtomicU32,
    state: Mutex<State>,
    /// Notified when `state` or `max_connections` changes.
    changed: Notify,
}

/// State of the connections to a replica.
#[derive(Default)]
struct State {
    /// Connection for new streams.
    current: Option<Connection>,
    /// Connections that only finish their open streams. They count towards `max_connections` until
    /// they close.
    draining: Vec<Arc<FrameTracker>>,
    /// Whether the last attempt to connect failed, or `max_connections` allows no connection. Requests
    /// then fail instead of waiting for a connection.
    unavailable: bool,
}

impl Replica {
    /// Creates a replica without connections. [`Replica::keep_connected`] opens them.
    pub(super) fn new(target: &Target) -> Arc<Replica> {
        Arc::new(Replica {
            addr: target.addr,
            max_connections: AtomicU32::new(target.max_connections),
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Address of the replica.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the maximum number of connections to the replica.
    pub(super) fn set_max_connections(&self, max_connections: u32) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Keeps one connection open until the task is aborted. Reports received GOAWAY frames to
    /// `on_goaway`.
    pub(super) async fn keep_connected(
        self: Arc<Replica>,
        settings: PoolSettings,
        name: ReplicaId,
        on_goaway: impl Fn(GoingAway),
    ) {
        let mut delay = MIN_RECONNECT_DELAY;
        loop {
            if !self.can_connect() {
                self.set_unavailable(true);
                self.wait_for_change(MAX_RECONNECT_DELAY).await;
                continue;
            }
            let this = Arc::clone(&self);
            let on_close = move || this.changed.notify_waiters();
            match Connection::open(self.addr, settings, on_close).await {
                Ok(conn) => {
                    delay = MIN_RECONNECT_DELAY;
                    self.set_current(conn.clone());
                    self.wait_until_unusable(&conn, || {
                        on_goaway(GoingAway { replica: name.clone() })
                    })
                    .await;
                    self.drain();
                }
                Err(_) => {
                    self.set_unavailable(true);
                    // Jitter keeps instances from connecting to a restarted replica simultaneously.
                    time::sleep(delay.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                    delay = (delay * 2).min(MAX_RECONNECT_DELAY);
                }
            }
        }
    }

    /// Waits for a usable connection. Returns `None` when the replica is unavailable or the deadline
    /// passes.
    pub(super) async fn connection(&self, deadline: time::Instant) -> Option<Connection> {
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if let Some(conn) = state.current.as_ref().filter(|it| it.is_usable()) {
                    return Some(conn.clone());
                }
                if state.unavailable {
                    return None;
                }
            }
            time::timeout_at(deadline, changed).await.ok()?;
        }
    }

    /// Reports that a request timed out and no byte arrived on the connection meanwhile. The
    /// connection then takes no new streams and is replaced.
    pub(super) fn report_stall(&self, conn: &Connection) {
        if conn.opened_at.elapsed() < MIN_STALLED_AGE {
            return;
        }
        let mut state = self.lock();
        if state.current.as_ref().is_some_and(|it| Arc::ptr_eq(&it.frames, &conn.frames)) {
            state.drain_current();
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Drops the connections. Open streams finish.
    pub(super) fn close(&self) {
        let mut state = self.lock();
        *state = State { unavailable: true, ..State::default() };
        drop(state);
        self.changed.notify_waiters();
    }

    /// Waits until the connection takes no new streams. Calls `on_goaway` if the replica sent GOAWAY.
    async fn wait_until_unusable(&self, conn: &Connection, on_goaway: impl FnOnce()) {
        let mut on_goaway = Some(on_goaway);
        loop {
            let changed = self.changed.notified();
            if conn.frames.is_going_away()
                && let Some(on_goaway) = on_goaway.take()
            {
                on_goaway();
            }
            if !conn.is_usable() || !self.is_current(conn) {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = conn.frames.wait_for_goaway() => {}
            }
        }
    }

    async fn wait_for_change(&self, max_wait: Duration) {
        let _ = time::timeout(max_wait, self.changed.notified()).await;
    }

    fn is_current(&self, conn: &Connection) -> bool {
        self.lock().current.as_ref().is_some_and(|it| Arc::ptr_eq(&it.frames, &conn.frames))
    }

    /// Whether the limit of connections allows another one.
    fn can_connect(&self) -> bool {
        let mut state = self.lock();
        state.draining.retain(|it| !it.is_closed());
        state.draining.len() < self.max_connections.load(Ordering::Relaxed) as usize
    }

    fn set_current(&self, conn: Connection) {
        let mut state = self.lock();
        state.unavailable = false;
        state.current = Some(conn);
        drop(state);
        self.changed.notify_waiters();
    }

    fn drain(&self) {
        self.lock().drain_current();
    }

    fn set_unavailable(&self, unavailable: bool) {
        self.lock().unavailable = unavailable;
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
