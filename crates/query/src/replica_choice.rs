//! Chooses the replica for an attempt.

use fastrand::Rng;
use rosemarybank_protocol::prelude::*;

use crate::{
    interface::SendKind,
    replicas::{Replica, ReplicaKey, Replicas},
    services::ServiceIndex,
    upstreams::Upstreams,
};

/// Replicas that serve the same keys, those of the local data centre first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pool<'a> {
    pub(crate) replicas: &'a [ReplicaKey],
    /// Number of local replicas.
    pub(crate) local: usize,
}

/// Inputs of the choice.
#[derive(Debug)]
pub(crate) struct ReplicaChooser<'a> {
    pub(crate) now: Time,
    pub(crate) rng: &'a mut Rng,
    pub(crate) replicas: &'a Replicas,
    pub(crate) upstreams: &'a Upstreams,
    /// Added to the expected latency of replicas in other data centres, in microseconds.
    pub(crate) cross_data_centre_us: f32,
    /// Snapshot that the replica must hold. Needed for later attempts, when the layout of the query
    /// may be outdated.
    pub(crate) required_snapshot: Option<(ServiceIndex, SnapshotId)>,
}

/// Conditions for a candidate, from strict to relaxed. In each case the replica must also take
/// work, hold the required snapshot and not have been tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Eligibility {
    /// Probably has a free slot, and is not avoided.
    Idle,
    /// Neither full nor avoided.
    NotFull,
    /// Not avoided.
    NotAvoided,
    /// No further condition.
    Any,
}

impl ReplicaChooser<'_> {
    /// Picks a random replica that takes work and has not been tried.
    pub(crate) fn pick_uniform(&mut self, pool: Pool, tried: &[ReplicaKey]) -> Option<ReplicaKey> {
        let is_eligible = |it: &Self, key| it.eligible(key, Eligibility::Any, tried).is_some();
        self.find_from_random_start(pool.replicas, |it, key| is_eligible(it, key))
            .map(|(key, _)| key)
    }

    /// Picks the better of two random replicas, preferring the local data centre. A first attempt
    /// may instead probe an ejected or doubtful replica.
    pub(crate) fn pick_balanced(
        &mut self,
        pool: Pool,
        tried: &[ReplicaKey],
        kind: SendKind,
    ) -> Option<ReplicaKey> {
        if kind == SendKind::First
            && let Some(key) = self.due_probe(pool)
        {
            return Some(key);
        }
        let levels: &[Eligibility] = match kind {
            SendKind::Hedge => &[Eligibility::Idle, Eligibility::NotFull],
            SendKind::First | SendKind::Retry => {
                &[Eligibility::NotFull, Eligibility::NotAvoided, Eligibility::Any]
            }
        };
        levels.iter().find_map(|level| self.pick_across_data_centres(pool, tried, *level))
    }

    /// Picks a local replica, unless a remote one is faster by more than the penalty.
    fn pick_across_data_centres(
        &mut self,
        pool: Pool,
        tried: &[ReplicaKey],
        level: Eligibility,
    ) -> Option<ReplicaKey> {
        let (local, remote) = pool.replicas.split_at(pool.local);
        let local = self.better_of_two(local, tried, level);
        match local {
            // No remote replica can be faster by more than the penalty.
            Some((key, local_us)) if local_us <= self.cross_data_centre_us => return Some(key),
            _ => {}
        }
        let remote = self.better_of_two(remote, tried, level);
        match (local, remote) {
            (Some((_, local_us)), Some((key, remote_us)))
                if local_us > remote_us + self.cross_data_centre_us =>
            {
                Some(key)
            }
            (Some((key, _)), _) | (None, Some((key, _))) => Some(key),
            (None, None) => None,
        }
    }

    /// Picks two random eligible candidates and returns the one with the lower expected latency.
    fn better_of_two(
        &mut self,
        candidates: &[ReplicaKey],
        tried: &[ReplicaKey],
        level: Eligibility,
    ) -> Option<(ReplicaKey, f32)> {
        let is_eligible = |it: &Self, key| it.eligible(key, level, tried).is_some();
        let (first, at) =
            self.find_from_random_start(candidates, |it, key| is_eligible(it, key))?;
        let first_us = self.expected_us(first);
        // The second candidate is never the first one, so that two replicas are compared whenever
        // two are eligible.
        let (before, after) = (&candidates[..at], &candidates[at + 1..]);
        let skip = self.rng.usize(..(before.len() + after.len()).max(1));
        let others = after.iter().chain(before).copied();
        let mut others = others.clone().skip(skip).chain(others.take(skip));
        let second = others.find(|key| self.eligible(*key, level, tried).is_some());
        match second.map(|key| (key, self.expected_us(key))) {
            Some((key, second_us)) if second_us < first_us => Some((key, second_us)),
            _ => Some((first, first_us)),
        }
    }

    /// Finds an eligible candidate and its index, starting at a random index.
    fn find_from_random_start(
        &mut self,
        candidates: &[ReplicaKey],
        is_eligible: impl Fn(&Self, ReplicaKey) -> bool,
    ) -> Option<(ReplicaKey, usize)> {
        let len = candidates.len();
        let start = self.rng.usize(..len.max(1));
        (start..len)
            .chain(0..start)
            .map(|at| (candidates[at], at))
            .find(|it| is_eligible(self, it.0))
    }

    /// Picks a random replica and returns it if its probe is due.
    fn due_probe(&mut self, pool: Pool) -> Option<ReplicaKey> {
        let key = *pool.replicas.get(self.rng.usize(..pool.replicas.len().max(1)))?;
        let replica = self.replicas.get(key)?;
        let median = self.upstreams.median_us(replica.upstream);
        (replica.takes_work() && replica.health.is_probe_due(self.now, median)).then_some(key)
    }

    /// Returns the replica if it meets the conditions.
    fn eligible(
        &self,
        key: ReplicaKey,
        level: Eligibility,
        tried: &[ReplicaKey],
    ) -> Option<&Replica> {
        let replica = self.replicas.get(key)?;
        let holds =
            || self.required_snapshot.is_none_or(|(service, id)| replica.holds(service, id));
        if tried.contains(&key) || !replica.takes_work() || !holds() {
            return None;
        }
        let health = &replica.health;
        let slots = self.upstreams.get(replica.upstream).slots;
        let is_eligible = match level {
            Eligibility::Idle => !health.is_avoided(self.now) && health.is_idle(self.now, slots),
            Eligibility::NotFull => {
                !health.is_avoided(self.now) && !health.is_full(self.now, slots)
            }
            Eligibility::NotAvoided => !health.is_avoided(self.now),
            Eligibility::Any => true,
        };
        is_eligible.then_some(replica)
    }

    /// Expected latency in microseconds. All slots of a replica work through the requests ahead in
    /// parallel.
    fn expected_us(&self, key: ReplicaKey) -> f32 {
        let Some(replica) = self.replicas.get(key) else { return f32::MAX };
        let upstream = self.upstreams.get(replica.upstream);
        let median = self.upstreams.median_us(replica.upstream);
        let service_us = replica.health.estimate_us(self.now, median);
        let extra_network_us = self.upstreams.extra_network_us(replica.data_centre);
        let load_per_slot = replica.health.load(self.now) / upstream.slots.max(1) as f32;
        (1.0 + load_per_slot) * service_us + extra_network_us
    }
}
