//! Replicas that ask for no further requests, for a time or for the rest of their lifetime.
//!
//! Load pattern: a replica that leaves or is overloaded says so in its replies, long before the list of
//! replicas shows it, or without the list ever showing it. What it said holds for its lifetime even if the
//! list is out of date or loses its entry for a while.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::forward::{
    forwarder::Forwarder,
    interface::{Action, AttemptKey, ReplicaKey, Reply, Withdrawal},
    replicas::WithdrawalState,
    routes::ReplicaInfo,
};

/// Maximum number of removed replicas that are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// How long a removed replica is remembered: longer than a list of an instance that is cut off from the
/// store stays in use.
const MEMORY_DURATION: Duration = Duration::from_secs(120);

/// Identity of one lifetime of a replica.
type Lifetime = (ReplicaId, SocketAddr, u64);

/// What removed replicas had asked for, in case the same lifetime is listed again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovedReplicas {
    /// Oldest first.
    entries: VecDeque<(Lifetime, WithdrawalState, Time)>,
}

impl RemovedReplicas {
    /// Adds what a lifetime has asked for to what is known of it.
    pub(crate) fn add(&mut self, now: Time, info: &ReplicaInfo, state: WithdrawalState) {
        let known = self.find(now, info).unwrap_or_default();
        let state = WithdrawalState {
            is_leaving: state.is_leaving || known.is_leaving,
            until: state.until.max(known.until),
        };
        self.entries.retain(|it| now < it.2 && it.0 != lifetime(info));
        if self.entries.len() == MAX_REMEMBERED {
            self.entries.pop_front();
        }
        self.entries.push_back((lifetime(info), state, now + MEMORY_DURATION));
    }

    pub(crate) fn find(&self, now: Time, info: &ReplicaInfo) -> Option<WithdrawalState> {
        let found = self.entries.iter().find(|it| now < it.2 && it.0 == lifetime(info))?;
        Some(found.1)
    }
}

impl Forwarder {
    /// Records what a replica states about further requests in its reply to an attempt.
    pub(super) fn record_withdrawal(
        &mut self,
        now: Time,
        attempt: AttemptKey,
        reply: &Reply,
        out: &mut Vec<Action>,
    ) {
        let time = reply.retry_after.filter(|_| reply.status == 503);
        if !reply.is_leaving && time.is_none() {
            return;
        }
        let Some(key) = self.attempts.get(attempt).map(|it| it.replica) else { return };
        let Some(replica) = self.replicas.get(key) else { return };
        // The lifetime may have been removed from the list and listed again since the attempt began.
        let info = &replica.info;
        let listed = self.by_id.get(&info.id).copied().filter(|it| {
            self.replicas.get(*it).is_some_and(|it| lifetime(&it.info) == lifetime(info))
        });
        let key = listed.unwrap_or(key);
        if reply.is_leaving {
            self.record_leaving(key, out);
        }
        if let Some(time) = time {
            self.record_retry_after(now, key, time, out);
        }
        if listed.is_none() {
            self.remember_withdrawal(now, key);
        }
    }

    fn record_leaving(&mut self, key: ReplicaKey, out: &mut Vec<Action>) {
        let replica = &mut self.replicas[key];
        if !std::mem::replace(&mut replica.withdrawal.is_leaving, true) {
            let id = replica.info.id.clone();
            out.push(Action::RemoveReplica(key));
            out.push(Action::Withdrawn { id, withdrawal: Withdrawal::Leaving });
        }
    }

    fn record_retry_after(
        &mut self,
        now: Time,
        key: ReplicaKey,
        time: Duration,
        out: &mut Vec<Action>,
    ) {
        let replica = &mut self.replicas[key];
        // The replies of one moment are reported once.
        if !replica.is_withdrawn(now) {
            let id = replica.info.id.clone();
            out.push(Action::Withdrawn { id, withdrawal: Withdrawal::For(time) });
        }
        replica.withdrawal.until = replica.withdrawal.until.max(now + time);
    }

    /// Remembers what a replica that is removed has asked for.
    pub(super) fn remember_withdrawal(&mut self, now: Time, key: ReplicaKey) {
        let Some(replica) = self.replicas.get(key) else { return };
        if replica.withdrawal.is_leaving || replica.is_withdrawn(now) {
            self.removed_replicas.add(now, &replica.info, replica.withdrawal);
        }
    }
}

fn lifetime(info: &ReplicaInfo) -> Lifetime {
    (info.id.clone(), info.addr, info.born_ms)
}
