//! State of one replica.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rosemarybank_protocol::{
    id::SnapshotId,
    upstream::{Holding, RangeCount, ReplicaState, ReplicaStatus},
};
use tokio::{sync::watch, time::Instant};

use super::{
    effects::Effects,
    records::Records,
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
    /// Orders to its connections.
    pub orders: watch::Sender<ConnOrders>,
    state: Arc<Mutex<State>>,
}

struct State {
    incarnation: u64,
    started: Instant,
    draining: bool,
    holdings: Vec<HoldingSpec>,
    rng: fastrand::Rng,
}

impl Replica {
    /// Starts a replica; `seed` fixes its service times.
    #[must_use]
    pub fn start(spec: ReplicaSpec, seed: u64, effects: Effects) -> Replica {
        let state = State {
            incarnation: new_incarnation(0),
            started: Instant::now(),
            draining: false,
            holdings: spec.holdings.clone(),
            rng: fastrand::Rng::with_seed(seed),
        };
        Replica {
            slots: Slots::new(spec.slots, spec.queue),
            spec: Arc::new(spec),
            effects,
            orders: watch::Sender::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        let state = self.lock();
        if state.draining {
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
            (state.incarnation, state.holdings.iter().map(holding).collect())
        };
        ReplicaStatus {
            replica: self.spec.replica.clone(),
            incarnation,
            state: self.state(),
            load: self.slots.load(),
            holdings,
        }
    }

    /// What it holds of a snapshot.
    #[must_use]
    pub fn holding(&self, service: &str, snapshot: SnapshotId) -> Option<HoldingSpec> {
        let state = self.lock();
        let mut holdings = state.holdings.iter();
        holdings.find(|it| it.service == service && it.snapshot == snapshot).cloned()
    }

    /// Snapshots of a service that it holds.
    #[must_use]
    pub fn snapshots(&self, service: &str) -> Vec<SnapshotId> {
        let state = self.lock();
        let holdings = state.holdings.iter().filter(|it| it.service == service);
        holdings.map(|it| it.snapshot).collect()
    }

    /// Draws the time that the next request takes in its slot.
    #[must_use]
    pub fn draw_service_time(&self) -> Duration {
        self.spec.service_time.draw(&mut self.lock().rng)
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

fn holding(spec: &HoldingSpec) -> Holding {
    let records = Records { service: &spec.service, snapshot: spec.snapshot, count: spec.records };
    let count = |range| RangeCount { range, records: records.count_in(range) };
    Holding {
        service: spec.service.clone(),
        snapshot: spec.snapshot,
        ranges: spec.ranges.iter().copied().map(count).collect(),
    }
}
