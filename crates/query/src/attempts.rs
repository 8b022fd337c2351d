//! Table of the attempts in flight. Attempt ids are never reused.

use rosemarybank_protocol::prelude::*;
use slab::Slab;

use crate::{
    interface::{AttemptId, DispatchId},
    replicas::ReplicaKey,
};

/// Low bits of an attempt id that hold its slab index. The other 42 bits hold a serial number,
/// which lasts about 2.9 years at 48,000 attempts per second.
const SLAB_INDEX_BITS: u32 = 22;

/// What an attempt was sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    Query { query_index: u32, segment_index: u32 },
    Dispatch(DispatchId),
}

/// A request to a replica that is in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) owner: Owner,
    pub(crate) replica: ReplicaKey,
    pub(crate) sent: Time,
}

/// All attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    slab: Slab<(AttemptId, Attempt)>,
    serial: u64,
}

impl Attempts {
    /// Adds an attempt. Returns `None` if all slab indexes are in use.
    pub(crate) fn insert(&mut self, attempt: Attempt) -> Option<AttemptId> {
        let entry = self.slab.vacant_entry();
        let index = entry.key() as u64;
        if index >> SLAB_INDEX_BITS != 0 {
            return None;
        }
        self.serial += 1;
        let id = (self.serial << SLAB_INDEX_BITS) | index;
        entry.insert((id, attempt));
        Some(id)
    }

    /// Removes an attempt. Returns `None` if it has already ended.
    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        let index = slab_index(id);
        let (found, _) = self.slab.get(index)?;
        (*found == id).then(|| self.slab.remove(index).1)
    }

    pub(crate) fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.slab.get(slab_index(id)).filter(|(found, _)| *found == id).map(|(_, it)| it)
    }

    pub(crate) fn len(&self) -> usize {
        self.slab.len()
    }
}

fn slab_index(id: AttemptId) -> usize {
    (id & ((1 << SLAB_INDEX_BITS) - 1)) as usize
}
