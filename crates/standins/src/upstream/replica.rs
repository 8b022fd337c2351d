//! State of a replica.

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
    effects::EffectLog,
    faults::ReplicaFaults,
    holdings::Holdings,
    slots::Slots,
    spec::{HoldingSpec, ReplicaSpec},
};
use crate::server::ConnSignals;

/// A replica. Clones share its state.
#[derive(Clone)]
pub struct Replica {
    /// Description of the replica, with the address that it listens on.
    pub spec: Arc<ReplicaSpec>,
    /// Execution slots of the replica.
    pub slots: Slots,
    /// Log of the effects at all replicas of the process.
    pub effects: EffectLog,
    /// Signals to its connections. A reset also aborts running actions.
    pub conn_signals: watch::Sender<ConnSignals>,
    received: Arc<AtomicU64>,
    crashes: Arc<AtomicU64>,
    state: Arc<Mutex<State>>,
}

/// Counters of a replica since the start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCounters {
    /// Received searches and actions, including refused ones.
    pub received: u64,
    /// Crashes of the replica.
    pub crashes: u64,
    /// Time between the last drain and the last search or action received after it, in
    /// milliseconds; 0 if none was received.
    pub last_work_after_drain_ms: u64,
}

struct State {
    incarnation: u64,
    started_at: Instant,
    /// Start of the drain, if the replica is draining.
    draining_since: Option<Instant>,
    last_work_after_drain: Duration,
    holdings: Holdings,
    faults: ReplicaFaults,
    /// Last reported status before overrides, and the time when it was taken.
    last_reported: Option<(Instant, ReplicaStatus)>,
    rng: fastrand::Rng,
}

impl Replica {
    /// Builds a running replica. `seed` determines its service times.
    #[must_use]
    pub fn start(spec: ReplicaSpec, seed: u64, effects: EffectLog) -> Replica {
        let state = State {
            incarnation: new_incarnation(0),
            started_at: Instant::now(),
            draining_since: None,
            last_work_after_drain: Duration::ZERO,
            holdings: Holdings::new(spec.holdings.clone()),
            faults: ReplicaFaults::default(),
            last_reported: None,
            rng: fastrand::Rng::with_seed(seed),
        };
        Replica {
            slots: Slots::new(spec.slots, spec.queue),
            spec: Arc::new(spec),
            effects,
            conn_signals: watch::Sender::default(),
            received: Arc::default(),
            crashes: Arc::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Counts a received search or action.
    pub fn count_request(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let mut state = self.lock();
        if let Some(since) = state.draining_since {
            state.last_work_after_drain = since.elapsed();
        }
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> ReplicaCounters {
        let last_work = self.lock().last_work_after_drain;
        ReplicaCounters {
            received: self.received.load(Ordering::Relaxed),
            crashes: self.crashes.load(Ordering::Relaxed),
            last_work_after_drain_ms: u64::try_from(last_work.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the actual state, which determines whether new requests are accepted.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        let state = self.lock();
        if state.draining_since.is_some() {
            return ReplicaState::Draining;
        }
        let cold = state.started_at.elapsed() < Duration::from_millis(self.spec.cold_start_ms);
        if cold { ReplicaState::Cold } else { ReplicaState::Serving }
    }

    /// Returns the current status without the effect of faults.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let (incarnation, holdings) = {
            let state = self.lock();
            (state.incarnation, state.holdings.with_counts())
        };
        ReplicaStatus {
            replica: self.spec.replica.clone(),
            incarnation,
            state: self.state(),
            load: self.slots.load(),
            holdings,
        }
    }

    /// Returns the status for clients, which may be outdated or overridden by faults.
    #[must_use]
    pub fn reported_status(&self) -> ReplicaStatus {
        let now = Instant::now();
        let actual = self.status();
        let mut state = self.lock();
        let max_age = Duration::from_millis(state.faults.status_lag_ms);
        let recent = state.last_reported.take().filter(|(taken_at, _)| now - *taken_at < max_age);
        let (taken_at, mut status) = recent.unwrap_or((now, actual));
        state.last_reported = Some((taken_at, status.clone()));
        let status_override = &state.faults.status_override;
        status.state = status_override.state.unwrap_or(status.state);
        status.load = status_override.load.unwrap_or(status.load);
        status
    }

    /// Returns the holding of a snapshot.
    #[must_use]
    pub fn holding(&self, service: &str, snapshot: SnapshotId) -> Option<HoldingSpec> {
        self.lock().holdings.get(service, snapshot).cloned()
    }

    /// Returns the snapshots of a service that the replica holds.
    #[must_use]
    pub fn snapshots(&self, service: &str) -> Vec<SnapshotId> {
        self.lock().holdings.snapshots(service)
    }

    /// Changes the holdings.
    pub fn change_holdings(&self, change: impl FnOnce(&mut Holdings)) {
        change(&mut self.lock().holdings);
    }

    /// Samples the time for which a request occupies its slot, with the straggler factor applied.
    #[must_use]
    pub fn sample_service_time(&self) -> Duration {
        let mut state = self.lock();
        let factor = state.faults.straggler;
        self.spec.service_time.sample(&mut state.rng).mul_f64(factor)
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> ReplicaFaults {
        self.lock().faults.clone()
    }

    /// Replaces the faults. Resets all connections if the replica goes down.
    pub fn set_faults(&self, faults: ReplicaFaults) {
        let goes_down = faults.down;
        self.lock().faults = faults;
        if goes_down {
            self.conn_signals.send_modify(|it| it.resets += 1);
        }
    }

    /// Refuses new searches and actions, and closes connections when their requests are complete.
    pub fn drain(&self) {
        {
            let mut state = self.lock();
            state.draining_since = state.draining_since.or(Some(Instant::now()));
        }
        self.conn_signals.send_modify(|it| it.drains += 1);
    }

    /// Resets all connections, aborts all requests, and restarts with a new incarnation.
    pub fn crash(&self) {
        {
            let mut state = self.lock();
            state.incarnation = new_incarnation(state.incarnation);
            state.started_at = Instant::now();
            state.draining_since = None;
            state.last_reported = None;
        }
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.conn_signals.send_modify(|it| it.resets += 1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock should not be poisoned")
    }
}

/// Returns a larger incarnation than `previous`. It is based on the clock, so that incarnations
/// also increase across processes.
fn new_incarnation(previous: u64) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX).max(previous + 1)
}
