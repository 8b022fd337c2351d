//! Chooses the replica for an attempt.

use fastrand::Rng;
use rosemarybank_protocol::prelude::*;

use crate::{
    interface::SendKind,
    replicas::{Replica, ReplicaKey, Replicas},
    services::ServiceIx,
    upstreams::Upstreams,
};

/// Replicas that serve the same keys, those of the local data centre first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pool<'a> {
    pub(crate) replicas: &'a [ReplicaKey],
    pub(crate) local: usize,
}

/// What the choice depends on.
#[derive(Debug)]
pub(crate) struct Chooser<'a> {
    pub(crate) now: Time,
    pub(crate) rng: &'a mut Rng,
    pub(crate) replicas: &'a Replicas,
    pub(crate) upstreams: &'a Upstreams,
    /// Price of leaving the data centre in microseconds.
    pub(crate) crossing_us: f32,
    /// Snapshot that a later attempt needs; the layout of the query may be outdated by then.
    pub(crate) holds: Option<(ServiceIx, SnapshotId)>,
}

/// How far the choice relaxes its conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Pass {
    /// Has a free slot, as far as is known.
    Idle,
    /// Neither full nor avoided.
    Free,
    /// Not avoided.
    Full,
    /// Any that takes work.
    Any,
}

impl Chooser<'_> {
    /// Picks a uniformly random replica that takes work and was not tried.
    pub(crate) fn uniform(&mut self, pool: Pool, tried: &[ReplicaKey]) -> Option<ReplicaKey> {
        let fits = |it: &Self, key| it.fit(key, Pass::Any, tried).is_some();
        self.scan(pool.replicas, |it, key| fits(it, key)).map(|(key, _)| key)
    }

    /// Picks the better of two random replicas, preferring the local data centre.
    pub(crate) fn balanced(
        &mut self,
        pool: Pool,
        tried: &[ReplicaKey],
        kind: SendKind,
    ) -> Option<ReplicaKey> {
        if kind == SendKind::First
            && let Some(key) = self.probe(pool)
        {
            return Some(key);
        }
        let passes: &[Pass] = match kind {
            SendKind::Hedge => &[Pass::Idle, Pass::Free],
            SendKind::First | SendKind::Retry => &[Pass::Free, Pass::Full, Pass::Any],
        };
        passes.iter().find_map(|pass| self.across(pool, tried, *pass))
    }

    fn across(&mut self, pool: Pool, tried: &[ReplicaKey], pass: Pass) -> Option<ReplicaKey> {
        let (local, remote) = pool.replicas.split_at(pool.local);
        let local = self.better_of_two(local, tried, pass);
        match local {
            Some((key, cost)) if cost <= self.crossing_us => return Some(key),
            _ => {}
        }
        let remote = self.better_of_two(remote, tried, pass);
        match (local, remote) {
            (Some((_, near)), Some((key, far))) if near > far + self.crossing_us => Some(key),
            (Some((key, _)), _) | (None, Some((key, _))) => Some(key),
            (None, None) => None,
        }
    }

    fn better_of_two(
        &mut self,
        candidates: &[ReplicaKey],
        tried: &[ReplicaKey],
        pass: Pass,
    ) -> Option<(ReplicaKey, f32)> {
        let fits = |it: &Self, key| it.fit(key, pass, tried).is_some();
        let (first, at) = self.scan(candidates, |it, key| fits(it, key))?;
        let first_cost = self.cost(first);
        // The second choice comes from the others, so that two usable replicas are always compared.
        let (before, after) = (&candidates[..at], &candidates[at + 1..]);
        let skip = self.rng.usize(..(before.len() + after.len()).max(1));
        let others = after.iter().chain(before).copied();
        let mut others = others.clone().skip(skip).chain(others.take(skip));
        let second = others.find(|key| self.fit(*key, pass, tried).is_some());
        match second.map(|key| (key, self.cost(key))) {
            Some((key, cost)) if cost < first_cost => Some((key, cost)),
            _ => Some((first, first_cost)),
        }
    }

    /// Finds a fitting candidate, starting at a random place.
    fn scan(
        &mut self,
        candidates: &[ReplicaKey],
        fits: impl Fn(&Self, ReplicaKey) -> bool,
    ) -> Option<(ReplicaKey, usize)> {
        let len = candidates.len();
        let start = self.rng.usize(..len.max(1));
        (start..len).chain(0..start).map(|at| (candidates[at], at)).find(|it| fits(self, it.0))
    }

    /// An ejected replica whose probe is due, when a random look falls on it.
    fn probe(&mut self, pool: Pool) -> Option<ReplicaKey> {
        let key = *pool.replicas.get(self.rng.usize(..pool.replicas.len().max(1)))?;
        let replica = self.replicas.get(key)?;
        (replica.takes_work() && replica.health.is_probe_due(self.now)).then_some(key)
    }

    fn fit(&self, key: ReplicaKey, pass: Pass, tried: &[ReplicaKey]) -> Option<&Replica> {
        let replica = self.replicas.get(key)?;
        let holds = || self.holds.is_none_or(|(service, id)| replica.holds(service, id));
        if tried.contains(&key) || !replica.takes_work() || !holds() {
            return None;
        }
        let health = &replica.health;
        let slots = self.upstreams.get(replica.upstream).slots;
        let fits = match pass {
            Pass::Idle => !health.is_avoided(self.now) && health.is_idle(self.now, slots),
            Pass::Free => !health.is_avoided(self.now) && !health.is_full(self.now, slots),
            Pass::Full => !health.is_avoided(self.now),
            Pass::Any => true,
        };
        fits.then_some(replica)
    }

    /// Expected time in microseconds: the load ahead is worked off by all slots at once.
    fn cost(&self, key: ReplicaKey) -> f32 {
        let Some(replica) = self.replicas.get(key) else { return f32::MAX };
        let upstream = self.upstreams.get(replica.upstream);
        let median = self.upstreams.median_us(replica.upstream);
        let service_us = replica.health.estimate_us(self.now, median);
        let route_us = self.upstreams.route_us(replica.data_centre);
        let turns = replica.health.load(self.now) / upstream.slots.max(1) as f32;
        (1.0 + turns) * service_us + route_us
    }
}
