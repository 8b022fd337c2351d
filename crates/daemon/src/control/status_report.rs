use rosemarybank_coordination::{config::Role, membership::Phase};
use rosemarybank_store::CallCounts;

use super::{actions::ActionRunner, coordinator::Coordinator, replicas::ReplicaList};
use crate::telemetry::{Counter, Gauge, PeerStatus, Record, StatusDocument};

/// Reports the state and the counters of the control thread, which `/status` and `/metrics` show.
#[derive(Default)]
pub(super) struct StatusReporter {
    /// The last document that was reported.
    document: Option<StatusDocument>,
    platform_calls: u64,
    peer_bytes: u64,
    platform_bytes: u64,
}

impl StatusReporter {
    /// Reports the changes since the last report.
    pub(super) fn report(
        &mut self,
        coordinator: &Coordinator,
        replicas: &ReplicaList,
        actions: &ActionRunner,
    ) {
        let shared = &coordinator.shared;
        let calls = total_calls(shared.platform.counts());
        if calls > self.platform_calls {
            shared
                .recorder
                .record(Record::Count(Counter::PlatformCalls, calls - self.platform_calls));
            self.platform_calls = calls;
        }
        let bytes = [
            (Counter::PeerBytes, &mut self.peer_bytes, shared.peer_bytes.total()),
            (Counter::PlatformBytes, &mut self.platform_bytes, shared.platform.transferred_bytes()),
        ];
        for (counter, reported, total) in bytes {
            shared.recorder.record(Record::Count(counter, total - *reported));
            *reported = total;
        }
        let document = StatusDocument {
            instance: shared.settings.instance.clone(),
            data_centre: shared.settings.data_centre.clone(),
            version: shared.active_bundle.borrow().as_ref().map(|(version, _)| *version),
            is_watcher: coordinator.role == Role::Watcher,
            fleet_size: coordinator.membership.fleet_size(),
            peers: coordinator
                .membership
                .peers()
                .map(|(name, peer)| peer_status(name, peer))
                .collect(),
            replicas: replicas.len(),
            quarantined: coordinator.quarantined_count(),
            actions: actions.in_progress(),
            platform_calls: calls,
        };
        if self.document.as_ref() != Some(&document) {
            self.document = Some(document.clone());
            shared.record_gauge(Gauge::Quarantined, document.quarantined as u64);
            shared.recorder.record(Record::Status(Box::new(document)));
        }
    }
}

fn peer_status(
    name: &rosemarybank_protocol::id::InstanceId,
    peer: &rosemarybank_coordination::membership::Peer,
) -> PeerStatus {
    let phase = match peer.phase {
        Phase::Live => "live",
        Phase::Suspect => "suspect",
        Phase::Leaving => "leaving",
        Phase::Dead => "dead",
    };
    let version = peer.heartbeat.version;
    PeerStatus { instance: name.clone(), phase: phase.to_owned(), version }
}

fn total_calls(counts: CallCounts) -> u64 {
    let CallCounts { get, list, create, update, delete, watch } = counts;
    get + list + create + update + delete + watch
}
