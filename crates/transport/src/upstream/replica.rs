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
    frames::FrameLog,
    pool::{GoingAway, PoolSettings, Target},
};

/// Wait before the second attempt to connect; doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(20);
/// A replica that restarts is connected within about this time of being reachable again.
const RETRY_MAX: Duration = Duration::from_millis(1_000);
/// A stalled connection is replaced at most this often, so that a frozen replica is not flooded
/// with connections.
const STALL_AGE: Duration = Duration::from_secs(1);

impl State {
    fn retire_current(&mut self) {
        // Holding the connection itself would keep it open.
        self.retiring.extend(self.current.take().map(|it| it.log));
    }
}

/// The connections to one replica.
pub(super) struct Replica {
    addr: SocketAddr,
    share: AtomicU32,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Default)]
struct State {
    /// Takes new streams.
    current: Option<Connection>,
    /// Connections that finish their streams; they count towards the share until they end.
    retiring: Vec<Arc<FrameLog>>,
    /// Whether the last attempt to connect failed, or the share leaves no room for one.
    down: bool,
}

impl Replica {
    /// Prepares the connections to a replica. [`Replica::keep`] opens them.
    pub(super) fn new(target: &Target) -> Arc<Replica> {
        Arc::new(Replica {
            addr: target.addr,
            share: AtomicU32::new(target.max_connections),
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Address of the replica.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the number of connections that this instance may hold to the replica.
    pub(super) fn set_share(&self, share: u32) {
        self.share.store(share, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Keeps one connection open until the task is aborted.
    pub(super) async fn keep(
        self: Arc<Replica>,
        settings: PoolSettings,
        name: ReplicaId,
        notices: impl Fn(GoingAway),
    ) {
        let mut wait = RETRY_MIN;
        loop {
            if !self.has_room() {
                self.settle(true);
                self.wait_for_change(RETRY_MAX).await;
                continue;
            }
            let this = Arc::clone(&self);
            let on_end = move || this.changed.notify_waiters();
            match Connection::open(self.addr, settings, on_end).await {
                Ok(conn) => {
                    wait = RETRY_MIN;
                    self.install(conn.clone());
                    self.watch(&conn, || notices(GoingAway { replica: name.clone() })).await;
                    self.retire();
                }
                Err(_) => {
                    self.settle(true);
                    // Jitter keeps the instances from connecting to a restarted replica at once.
                    time::sleep(wait.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                    wait = (wait * 2).min(RETRY_MAX);
                }
            }
        }
    }

    /// Waits for a connection that takes streams; `None` when there is none to be had soon.
    pub(super) async fn connection(&self, deadline: time::Instant) -> Option<Connection> {
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if let Some(conn) = state.current.as_ref().filter(|it| it.is_usable()) {
                    return Some(conn.clone());
                }
                if state.down {
                    return None;
                }
            }
            time::timeout_at(deadline, changed).await.ok()?;
        }
    }

    /// Stops new streams on a connection on which a request timed out without a sign of life.
    pub(super) fn report_stall(&self, conn: &Connection) {
        if conn.opened_at.elapsed() < STALL_AGE {
            return;
        }
        let mut state = self.lock();
        if state.current.as_ref().is_some_and(|it| Arc::ptr_eq(&it.log, &conn.log)) {
            state.retire_current();
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Drops the connections; their running streams finish.
    pub(super) fn close(&self) {
        let mut state = self.lock();
        *state = State { down: true, ..State::default() };
        drop(state);
        self.changed.notify_waiters();
    }

    async fn watch(&self, conn: &Connection, going_away: impl FnOnce()) {
        let mut announced = Some(going_away);
        loop {
            let changed = self.changed.notified();
            if conn.log.is_going_away()
                && let Some(announce) = announced.take()
            {
                announce();
            }
            if !conn.is_usable() || !self.is_current(conn) {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = conn.log.going_away() => {}
            }
        }
    }

    async fn wait_for_change(&self, at_most: Duration) {
        let _ = time::timeout(at_most, self.changed.notified()).await;
    }

    fn is_current(&self, conn: &Connection) -> bool {
        self.lock().current.as_ref().is_some_and(|it| Arc::ptr_eq(&it.log, &conn.log))
    }

    fn has_room(&self) -> bool {
        let mut state = self.lock();
        state.retiring.retain(|it| !it.is_finished());
        state.retiring.len() < self.share.load(Ordering::Relaxed) as usize
    }

    fn install(&self, conn: Connection) {
        let mut state = self.lock();
        state.down = false;
        state.current = Some(conn);
        drop(state);
        self.changed.notify_waiters();
    }

    fn retire(&self) {
        self.lock().retire_current();
    }

    fn settle(&self, down: bool) {
        self.lock().down = down;
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
