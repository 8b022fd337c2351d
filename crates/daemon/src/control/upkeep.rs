use rosemarybank_coordination::{config::Role, membership::Phase};
use rosemarybank_store::CallCounts;

use super::{actions::Actions, coordinator::Coordinator, replicas::Replicas};
use crate::telemetry::{Counter, Gauge, PeerStatus, Record, StatusDocument};

/// Reports what `/status` and `/metrics` show of the control thread.
#[derive(Default)]
pub(super) struct Upkeep {
    shown: Option<StatusDocument>,
    calls: u64,
    peer_bytes: u64,
    platform_bytes: u64,
}

impl Upkeep {
    /// Reports what has changed.
    pub(super) fn run(&mut self, of: &Coordinator, replicas: &Replicas, actions: &Actions) {
        let shared = &of.shared;
        let calls = total(shared.platform.counts());
        if calls > self.calls {
            shared.recorder.record(Record::Count(Counter::PlatformCalls, calls - self.calls));
            self.calls = calls;
        }
        let bytes = [
            (Counter::PeerBytes, &mut self.peer_bytes, shared.peer_bytes.total()),
            (Counter::PlatformBytes, &mut self.platform_bytes, shared.platform.bytes()),
        ];
        for (counter, reported, total) in bytes {
            shared.recorder.record(Record::Count(counter, total - *reported));
            *reported = total;
        }
        let document = StatusDocument {
            instance: shared.settings.instance.clone(),
            data_centre: shared.settings.data_centre.clone(),
            version: shared.in_force.borrow().as_ref().map(|(version, _)| *version),
            is_watcher: of.role == Role::Watcher,
            fleet_size: of.membership.fleet_size(),
            peers: of.membership.peers().map(|(name, peer)| peer_status(name, peer)).collect(),
            replicas: replicas.len(),
            quarantined: of.quarantined(),
            actions: actions.len(),
            platform_calls: calls,
        };
        if self.shown.as_ref() != Some(&document) {
            self.shown = Some(document.clone());
            shared.gauge(Gauge::Quarantined, document.quarantined as u64);
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

fn total(counts: CallCounts) -> u64 {
    let CallCounts { get, list, create, update, delete, watch } = counts;
    get + list + create + update + delete + watch
}
