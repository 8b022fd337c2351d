//! Read-only views of the engine state for status reports and metrics.

use std::{net::SocketAddr, time::Duration};

use rosemarybank_protocol::{prelude::*, upstream::ReplicaState};
use serde::{Deserialize, Serialize};

use crate::{attempts::Attempt, engine::Engine, latency::from_micros};

/// Event counts since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Searches submitted.
    pub submitted: u64,
    /// Searches answered with a result.
    pub answered: u64,
    /// Results with complete coverage.
    pub complete: u64,
    /// Searches refused or failed.
    pub refused: u64,
    /// First attempts of searches.
    pub first_sends: u64,
    /// Retries of searches.
    pub retries: u64,
    /// Hedges of searches.
    pub hedges: u64,
    /// Attempts of actions.
    pub action_sends: u64,
    /// Searches refused before the first attempt because of load or an unreachable deadline.
    pub sheds: u64,
    /// Restarts of searches on another snapshot.
    pub reruns: u64,
    /// Connections that broke during a search, counted only under the adaptive policy.
    pub crash_signs: u64,
    /// Fingerprints quarantined by this engine.
    #[serde(rename = "condemned")]
    pub quarantined: u64,
    /// Requests that replicas shed because of load.
    pub upstream_sheds: u64,
    /// Outcomes that arrived after their attempt had ended.
    pub late_outcomes: u64,
    /// Replies rejected because they do not match the request.
    pub rejected_replies: u64,
}

/// State of a replica as known to the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Address of its endpoint.
    pub addr: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Last reported state.
    pub state: Option<ReplicaState>,
    /// Whether it gets no new work until it restarts.
    pub draining: bool,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Whether its last polls failed.
    pub unreachable: bool,
    /// Estimated service time; the upstream's median before the first sample.
    pub service_time: Duration,
    /// Requests of this instance in flight.
    pub in_flight: u32,
    /// Snapshots that it holds of the service.
    pub snapshots: Vec<SnapshotId>,
}

/// A fingerprint in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// Service that was searched.
    pub service: ServiceId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// End of the quarantine.
    pub until: Time,
}

/// Estimated memory in bytes, from the capacities of the main tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryView {
    /// Replicas, layouts and upstreams.
    pub table_bytes: usize,
    /// Searches in flight with their segments, attempts and hits.
    pub query_bytes: usize,
}

impl Engine {
    /// Event counts since the engine was created.
    ///
    /// # Examples
    ///
    /// ```
    /// use rosemarybank_query::{engine::Engine, settings::Settings};
    ///
    /// let engine = Engine::new(Settings::builder().data_centre("ost".into()).build(), 1);
    /// assert_eq!(engine.counters().hedges, 0);
    /// assert!(engine.replica_table("smiths").is_empty());
    /// ```
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Estimated memory, without small maps and the overhead of the allocator.
    #[must_use]
    pub fn memory(&self) -> MemoryView {
        let queries = self.queries.iter().map(|(_, it)| it.bytes()).sum::<usize>();
        MemoryView {
            table_bytes: self.replicas.bytes() + self.upstreams.bytes(),
            query_bytes: queries + self.attempts.len() * size_of::<(u64, Attempt)>(),
        }
    }

    /// Number of searches that have not been answered.
    #[must_use]
    pub fn queries_in_flight(&self) -> usize {
        self.queries.len()
    }

    /// Number of attempts in flight.
    #[must_use]
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Number of queued searches.
    #[must_use]
    pub fn queries_queued(&self) -> usize {
        self.admission.queued() as usize
    }

    /// Whether a bundle is in force and every key of each of its search services has a usable
    /// replica. Builds missing layouts.
    #[must_use]
    pub fn has_complete_coverage(&mut self) -> bool {
        let replicas = &mut self.replicas;
        let mut search_services =
            self.services.iter().filter(|(_, it)| it.kind == ServiceKind::Search);
        !self.services.is_empty()
            && search_services.all(|(index, _)| {
                let layout = replicas.choose_layout(*index);
                layout.is_some_and(|it| it.is_complete)
            })
    }

    /// Fingerprints in quarantine at `now`, ordered by service and fingerprint.
    #[must_use]
    pub fn quarantined(&self, now: Time) -> Vec<QuarantineView> {
        let views = self.crash_tracker.quarantined(now).map(|((service, fingerprint), until)| {
            let service = self.replicas.services.name(service).clone();
            QuarantineView { service, fingerprint, until }
        });
        let mut views: Vec<_> = views.collect();
        views
            .sort_unstable_by(|a, b| (&a.service, a.fingerprint).cmp(&(&b.service, b.fingerprint)));
        views
    }

    /// Replicas that hold a snapshot of a search service or belong to the upstream of a ledger,
    /// ordered by name. Empty for an unknown service.
    #[must_use]
    pub fn replica_table(&self, service: &str) -> Vec<ReplicaView> {
        let Some(service) = self.replicas.services.find(service) else { return Vec::new() };
        let ledger = self.services.get(&service).and_then(|it| it.ledger);
        let members = ledger.map(|it| self.replicas.members(it).replicas).unwrap_or_default();
        let mut held: Vec<_> =
            self.replicas.services.holders(service).map(|(id, it)| (it, id)).collect();
        held.sort_unstable();
        let mut keys: Vec<_> = held.iter().map(|it| it.0).chain(members.iter().copied()).collect();
        keys.sort_unstable();
        keys.dedup();
        let views = keys.into_iter().filter_map(|key| {
            let replica = self.replicas.get(key)?;
            let median = self.upstreams.median_us(replica.upstream);
            Some(ReplicaView {
                replica: replica.id.clone(),
                addr: replica.addr,
                data_centre: self.replicas.data_centre_name(replica.data_centre).clone(),
                state: replica.state,
                draining: replica.draining,
                ejected: replica.health.is_ejected(),
                unreachable: replica.health.is_unreachable(),
                service_time: from_micros(replica.health.last_estimate_us(median)),
                in_flight: replica.health.in_flight,
                snapshots: held.iter().filter(|it| it.0 == key).map(|it| it.1).collect(),
            })
        });
        let mut views: Vec<_> = views.collect();
        views.sort_unstable_by(|a, b| a.replica.cmp(&b.replica));
        views
    }
}
