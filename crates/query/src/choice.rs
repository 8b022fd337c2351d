//! Chooses the replica for an attempt.

use fastrand::Rng;

use crate::replicas::{ReplicaKey, Replicas};

/// Picks a uniformly random replica that takes work and was not tried.
pub(crate) fn uniform(
    rng: &mut Rng,
    replicas: &Replicas,
    candidates: &[ReplicaKey],
    tried: &[ReplicaKey],
) -> Option<ReplicaKey> {
    let usable = |key: &ReplicaKey| {
        !tried.contains(key) && replicas.get(*key).is_some_and(|it| it.takes_work())
    };
    let start = rng.usize(..candidates.len().max(1));
    let (before, after) = candidates.split_at_checked(start)?;
    after.iter().chain(before).copied().find(usable)
}
