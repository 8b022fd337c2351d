//! State machine for the decisions of the query path.

use std::{collections::HashMap, time::Duration};

use fastrand::Rng;
use rosemarybank_protocol::{bundle::Canary, prelude::*};
use slab::Slab;

use crate::{
    admission::Admission,
    attempts::{Attempt, Attempts, Owner},
    crash_tracker::{CrashTracker, ServiceFingerprint},
    dispatch::DispatchState,
    interface::{Action, AttemptId, AttemptOutcome, DispatchId, Event, QueryId},
    query::Query,
    replicas::{ReplicaKey, Replicas, UpstreamIndex},
    services::ServiceIndex,
    settings::Settings,
    timers::{Timer, Timers},
    upstreams::Upstreams,
    views::Counters,
};

/// Decides which replicas get searches and actions, and what callers are answered.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rosemarybank_query::{engine::Engine, interface::Event, settings::Settings};
///
/// let mut engine = Engine::new(Settings::builder().data_centre("ost".into()).build(), 1);
/// let mut out = Vec::new();
/// engine.handle(Duration::from_secs(1), Event::Tick, &mut out);
/// assert!(out.is_empty());
/// assert_eq!(engine.next_wakeup(), None);
/// ```
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Settings,
    pub(crate) rng: Rng,
    pub(crate) replicas: Replicas,
    pub(crate) services: HashMap<ServiceIndex, ServiceSettings>,
    pub(crate) upstreams: Upstreams,
    pub(crate) admission: Admission,
    pub(crate) crash_tracker: CrashTracker,
    /// Fingerprints whose held-back segments may be sendable again: a canary, a pause or the
    /// suspicion has ended, or a quarantine was set or released.
    pub(crate) resumable_requests: Vec<ServiceFingerprint>,
    pub(crate) limits: Limits,
    pub(crate) is_configured: bool,
    /// Number of live entry instances, including this one.
    fleet_size: u32,
    pub(crate) attempts: Attempts,
    pub(crate) queries: Slab<Query>,
    pub(crate) query_by_id: HashMap<QueryId, u32>,
    pub(crate) query_serial: u64,
    pub(crate) dispatches: HashMap<DispatchId, DispatchState>,
    pub(crate) timers: Timers,
    pub(crate) counters: Counters,
}

/// Settings of a service from the bundle.
#[derive(Clone, Debug)]
pub(crate) struct ServiceSettings {
    pub(crate) kind: ServiceKind,
    pub(crate) canary: Canary,
    /// Upstream of a ledger; `None` for a search service.
    pub(crate) ledger: Option<UpstreamIndex>,
}

impl Engine {
    /// Creates an engine without replicas or a bundle. The seed determines all random choices.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Engine {
        Engine {
            replicas: Replicas::new(settings.data_centre.clone()),
            settings,
            rng: Rng::with_seed(seed),
            services: HashMap::new(),
            upstreams: Upstreams::default(),
            admission: Admission::default(),
            crash_tracker: CrashTracker::default(),
            resumable_requests: Vec::new(),
            limits: Limits::default(),
            is_configured: false,
            fleet_size: 1,
            attempts: Attempts::default(),
            queries: Slab::new(),
            query_by_id: HashMap::new(),
            query_serial: 0,
            dispatches: HashMap::new(),
            timers: Timers::default(),
            counters: Counters::default(),
        }
    }

    /// Handles an event at time `now` and appends the resulting actions to `out`. Timers that are
    /// due at `now` fire as well. `now` must not go backwards.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use rosemarybank_protocol::prelude::*;
    /// use rosemarybank_query::{
    ///     engine::Engine,
    ///     interface::{Action, Event, Submission},
    ///     settings::Settings,
    /// };
    ///
    /// let mut engine = Engine::new(Settings::builder().data_centre("ost".into()).build(), 1);
    /// let now = Duration::from_secs(1);
    /// let mut out = Vec::new();
    /// let search = Submission {
    ///     query: 1,
    ///     service: "smiths".into(),
    ///     fingerprint: 7,
    ///     priority: Priority::Normal,
    ///     coverage: CoverageMode::Partial,
    ///     limit: 20,
    ///     deadline: now + Duration::from_millis(200),
    /// };
    /// engine.handle(now, Event::Submit(search), &mut out);
    /// // Without a bundle nothing can be sent, and the refusal says so.
    /// let [Action::Answer { query: 1, answer: Err(refusal) }] = &out[..] else { panic!() };
    /// assert_eq!((refusal.kind, refusal.execution), (ErrorKind::NotReady, Execution::NotRun));
    /// ```
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Submit(submission) => self.submit(now, submission, out),
            Event::CallerGone { query } => self.caller_gone(now, query, out),
            Event::Dispatch(dispatch) => self.dispatch(now, dispatch, out),
            Event::AttemptDone { attempt, outcome } => {
                self.attempt_done(now, attempt, outcome, out);
            }
            Event::ReplicaList(list) => {
                let added = self.replicas.apply_list(now, &list);
                self.upstreams.resize(&self.replicas);
                for key in added {
                    self.schedule_first_poll(now, key);
                }
            }
            Event::ReplicaStatus(status) => self.replicas.apply_status(now, &status),
            Event::PollFailed { replica } => self.poll_failed(&replica),
            Event::GoingAway { replica } => {
                if let Some(key) = self.replicas.find(&replica) {
                    self.replicas.drain(key);
                }
            }
            Event::Configure(bundle) => self.apply_bundle(&bundle),
            Event::Quarantine { service, fingerprint, until } => {
                let request = (self.replicas.services.index_or_insert(&service), fingerprint);
                self.apply_quarantine(now, request, until, out);
            }
            Event::FleetSize(instances) => self.fleet_size = instances,
            Event::Tick => {}
        }
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Query { query_index, serial } => {
                    self.handle_query_timer(now, query_index, serial, out)
                }
                Timer::Dispatch(dispatch) => self.handle_dispatch_timer(now, dispatch, out),
                Timer::Poll(key) => self.poll_replica(now, key, out),
                Timer::CanaryPause(request) => self.resumable_requests.push(request),
            }
        }
        self.resume_requests(now, out);
        self.admit(now, out);
    }

    /// The earliest time at which the engine needs an [`Event::Tick`]. `None` if no timer is armed.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.next_at()
    }

    fn apply_bundle(&mut self, bundle: &Bundle) {
        self.limits = bundle.limits.clone();
        self.is_configured = true;
        self.admission.configure(&self.limits, self.settings.policy);
        let slots: Vec<_> = bundle
            .upstreams
            .iter()
            .map(|it| (self.replicas.upstream_index(&it.name), it.slots))
            .collect();
        self.upstreams.resize(&self.replicas);
        for (upstream, slots) in slots {
            self.upstreams.get_mut(upstream).slots = slots;
        }
        self.services.clear();
        for service in &bundle.services {
            let index = self.replicas.services.index_or_insert(&service.name);
            let first = service.shards.first().map(|it| self.replicas.upstream_index(&it.upstream));
            let ledger = first.filter(|_| service.kind == ServiceKind::Ledger);
            self.services.insert(
                index,
                ServiceSettings { kind: service.kind, canary: service.canary, ledger },
            );
        }
    }

    fn attempt_done(
        &mut self,
        now: Time,
        id: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.end_attempt(id) else {
            self.counters.late_outcomes += 1;
            return;
        };
        match attempt.owner {
            Owner::Query { query_index, segment_index } => {
                self.handle_query_outcome(
                    now,
                    (query_index, segment_index as usize),
                    (id, attempt),
                    outcome,
                    out,
                );
            }
            Owner::Dispatch(dispatch) => {
                self.handle_dispatch_outcome(now, dispatch, attempt, outcome, out);
            }
        }
    }

    /// Removes an attempt that ended or is cancelled, so that further outcomes of it are ignored.
    /// If it was a canary, held-back segments may be sent.
    pub(crate) fn end_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(id)?;
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            replica.health.in_flight -= 1;
        }
        if let Owner::Query { query_index, .. } = attempt.owner
            && self.crash_tracker.has_records()
        {
            let request = self.queries[query_index as usize].service_fingerprint();
            if self.crash_tracker.end_canary(request, id) {
                self.resumable_requests.push(request);
            }
        }
        Some(attempt)
    }

    /// Cancels an attempt that is no longer needed.
    pub(crate) fn cancel_attempt(
        &mut self,
        now: Time,
        id: AttemptId,
        out: &mut Vec<Action>,
    ) -> Option<Attempt> {
        let attempt = self.end_attempt(id)?;
        out.push(Action::Cancel { attempt: id });
        let took = now.saturating_sub(attempt.sent);
        self.upstreams.record_abandoned(now, &mut self.replicas, attempt.replica, took);
        Some(attempt)
    }

    /// Registers an attempt that is about to be sent. Returns `None` if too many are in flight.
    pub(crate) fn begin_attempt(&mut self, attempt: Attempt) -> Option<AttemptId> {
        let id = self.attempts.insert(attempt)?;
        if let Some(replica) = self.replicas.get_mut(attempt.replica) {
            let median = self.upstreams.median_us(replica.upstream);
            if replica.health.is_probe_due(attempt.sent, median) {
                replica.health.start_probe(attempt.sent);
            }
            replica.health.in_flight += 1;
        }
        Some(id)
    }

    fn schedule_first_poll(&mut self, now: Time, key: ReplicaKey) {
        // A new replica is polled soon, because a search replica gets no work before its first
        // status. The random delay avoids polling all new replicas at once.
        let delay_ms = self.rng.u32(..20);
        self.timers.arm(now + Duration::from_millis(delay_ms.into()), Timer::Poll(key));
    }

    fn poll_replica(&mut self, now: Time, key: ReplicaKey, out: &mut Vec<Action>) {
        let interval = self.poll_interval();
        let Some(replica) = self.replicas.get(key) else { return };
        if replica.unlisted_since.is_none() {
            out.push(Action::Poll { replica: replica.id.clone(), addr: replica.addr });
        }
        // Jitter of 10% keeps the instances from polling a replica at the same moment.
        let next = interval.mul_f64(0.9 + 0.2 * self.rng.f64());
        self.timers.arm(now + next, Timer::Poll(key));
    }

    /// Time between two polls of a replica. It grows with the number of replicas and of entry
    /// instances, which limits the load on this instance and on each replica.
    fn poll_interval(&self) -> Duration {
        let for_instance =
            self.replicas.len() as f64 / f64::from(self.settings.polls_per_second.max(1));
        let for_replica =
            f64::from(self.fleet_size) / f64::from(self.settings.polls_per_replica.max(1));
        self.settings.poll_interval.max(Duration::from_secs_f64(for_instance.max(for_replica)))
    }

    fn poll_failed(&mut self, replica: &str) {
        if let Some(key) = self.replicas.find(replica)
            && let Some(replica) = self.replicas.get_mut(key)
        {
            replica.health.record_poll_failure();
        }
    }
}
