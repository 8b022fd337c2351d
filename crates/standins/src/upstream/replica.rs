//! State of one replica.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rosemarybank_protocol::{
    id::SnapshotId,
    upstream::{ReplicaState, ReplicaStatus},
};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::Instant};

use super::{
    effects::Effects,
    faults::ReplicaFaults,
    holdings::Holdings,
    slots::Slots,
    spec::{HoldingSpec, ReplicaSpec},
};
use crate::server::ConnOrders;

/// One replica. Clones share their state.
#[derive(Clone)]
pub struct Replica {
    /// Description that it was started with.
    pub spec: Arc<ReplicaSpec>,
    /// Execution slots.
    pub slots: Slots,
    /// Effects of all replicas of the process.
    pub effects: Effects,
    /// Orders to its connections; a reset also ends the actions that are running.
    pub orders: watch::Sender<ConnOrders>,
    received: Arc<AtomicU64>,
    crashes: Arc<AtomicU64>,
    state: Arc<Mutex<State>>,
}

/// Counts of one replica since the start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCounters {
    /// Requests for work, including those that were refused.
    pub received: u64,
    /// Crashes.
    pub crashes: u64,
    /// Time between the last drain and the last request for work after it, in milliseconds; 0 if
    /// none came.
    pub last_work_after_drain_ms: u64,
}

struct State {
    incarnation: u64,
    started: Instant,
    /// Since when it takes no new work.
    drained: Option<Instant>,
    last_work_after_drain: Duration,
    holdings: Holdings,
    faults: ReplicaFaults,
    reported: Option<(Instant, ReplicaStatus)>,
    rng: fastrand::Rng,
}

impl Replica {
    /// Starts a replica; `seed` fixes its service times.
    #[must_use]
    pub fn start(spec: ReplicaSpec, seed: u64, effects: Effects) -> Replica {
        let state = State {
            incarnation: new_incarnation(0),
            started: Instant::now(),
            drained: None,
            last_work_after_drain: Duration::ZERO,
            holdings: Holdings::new(spec.holdings.clone()),
            faults: ReplicaFaults::default(),
            reported: None,
            rng: fastrand::Rng::with_seed(seed),
        };
        Replica {
            slots: Slots::new(spec.slots, spec.queue),
            spec: Arc::new(spec),
            effects,
            orders: watch::Sender::default(),
            received: Arc::default(),
            crashes: Arc::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Counts a request for work.
    pub fn count_request(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let mut state = self.lock();
        if let Some(since) = state.drained {
            state.last_work_after_drain = since.elapsed();
        }
    }

    /// Counts since the start of the process.
    #[must_use]
    pub fn counters(&self) -> ReplicaCounters {
        let last_work = self.lock().last_work_after_drain;
        ReplicaCounters {
            received: self.received.load(Ordering::Relaxed),
            crashes: self.crashes.load(Ordering::Relaxed),
            last_work_after_drain_ms: u64::try_from(last_work.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        let state = self.lock();
        if state.drained.is_some() {
            return ReplicaState::Draining;
        }
        let cold = state.started.elapsed() < Duration::from_millis(self.spec.cold_start_ms);
        if cold { ReplicaState::Cold } else { ReplicaState::Serving }
    }

    /// Its present, true status.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let (incarnation, holdings) = {
            let state = self.lock();
            (state.incarnation, state.holdings.report())
        };
        ReplicaStatus {
            replica: self.spec.replica.clone(),
            incarnation,
            state: self.state(),
            load: self.slots.load(),
            holdings,
        }
    }

    /// The status that it reports, which may lag or mislead.
    #[must_use]
    pub fn reported_status(&self) -> ReplicaStatus {
        let now = Instant::now();
        let truth = self.status();
        let mut state = self.lock();
        let lag = Duration::from_millis(state.faults.status_lag_ms);
        let old = state.reported.take().filter(|(at, _)| now - *at < lag);
        let (at, mut status) = old.unwrap_or((now, truth));
        state.reported = Some((at, status.clone()));
        let status_override = &state.faults.status_override;
        status.state = status_override.state.unwrap_or(status.state);
        status.load = status_override.load.unwrap_or(status.load);
        status
    }

    /// What it holds of a snapshot.
    #[must_use]
    pub fn holding(&self, service: &str, snapshot: SnapshotId) -> Option<HoldingSpec> {
        self.lock().holdings.of(service, snapshot).cloned()
    }

    /// Snapshots of a service that it holds.
    #[must_use]
    pub fn snapshots(&self, service: &str) -> Vec<SnapshotId> {
        self.lock().holdings.snapshots(service)
    }

    /// Changes what it holds.
    pub fn change_holdings(&self, change: impl FnOnce(&mut Holdings)) {
        change(&mut self.lock().holdings);
    }

    /// Draws the time that the next request takes in its slot.
    #[must_use]
    pub fn draw_service_time(&self) -> Duration {
        let mut state = self.lock();
        let factor = state.faults.straggler;
        self.spec.service_time.draw(&mut state.rng).mul_f64(factor)
    }

    /// Its standing faults.
    #[must_use]
    pub fn faults(&self) -> ReplicaFaults {
        self.lock().faults.clone()
    }

    /// Replaces its standing faults.
    pub fn set_faults(&self, faults: ReplicaFaults) {
        let goes_down = faults.down;
        self.lock().faults = faults;
        if goes_down {
            self.orders.send_modify(|it| it.resets += 1);
        }
    }

    /// Takes no new work and closes connections once their requests are done.
    pub fn drain(&self) {
        {
            let mut state = self.lock();
            state.drained = state.drained.or(Some(Instant::now()));
        }
        self.orders.send_modify(|it| it.drains += 1);
    }

    /// Breaks all connections and work, and starts again with a new incarnation.
    pub fn crash(&self) {
        {
            let mut state = self.lock();
            state.incarnation = new_incarnation(state.incarnation);
            state.started = Instant::now();
            state.drained = None;
            state.reported = None;
        }
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.orders.send_modify(|it| it.resets += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// Incarnations grow from start to start, also across processes, because they follow the clock.
fn new_incarnation(previous: u64) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX).max(previous + 1)
}
