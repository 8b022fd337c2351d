//! Requests that crash replicas: signs, canaries and quarantine.
//!
//! Attempts that are in flight when the first sign is seen prove little, because the loss of a
//! data centre breaks many of one query's attempts at once. A second sign therefore counts only
//! when its attempt was sent after the first sign was seen. Until then a single attempt, the
//! canary, is in flight for the fingerprint, and everything else of it is held.

use std::{collections::HashMap, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::{interface::AttemptId, replicas::ReplicaKey, services::ServiceIx};

/// A service and the fingerprint of a request to it.
pub(crate) type Suspect = (ServiceIx, Fingerprint);

/// A sign without a later success is forgotten after this time.
const RECORD_RETENTION: Duration = Duration::from_secs(600);

/// Fingerprints that are remembered at once, per kind of record.
const MAX_RECORDS: usize = 65_536;

/// What is known of a fingerprint that is not proven.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Replica, keys and time of the first sign; `None` for a fingerprint that was never run.
    sign: Option<(ReplicaKey, KeyRange, Time)>,
    canary: Option<AttemptId>,
    seen: Time,
}

/// Records of all fingerprints.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    records: HashMap<Suspect, Record>,
    proven: HashMap<Suspect, Time>,
    quarantine: HashMap<Suspect, Time>,
}

/// What a crash sign means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Suspected,
    Condemned,
}

impl Crashes {
    /// End of the quarantine of a fingerprint.
    pub(crate) fn quarantined_until(&self, suspect: Suspect, now: Time) -> Option<Time> {
        if self.quarantine.is_empty() {
            return None;
        }
        self.quarantine.get(&suspect).copied().filter(|until| *until > now)
    }

    /// All fingerprints in quarantine and its end.
    pub(crate) fn quarantined(&self, now: Time) -> impl Iterator<Item = (Suspect, Time)> {
        self.quarantine.iter().map(|(it, until)| (*it, *until)).filter(move |it| it.1 > now)
    }

    /// Sets the end of a quarantine; a time that has passed releases the fingerprint.
    pub(crate) fn set_quarantine(&mut self, suspect: Suspect, until: Time, now: Time) {
        self.records.remove(&suspect);
        if until > now {
            make_room(&mut self.quarantine, |end| *end > now);
            self.quarantine.insert(suspect, until);
        } else {
            self.quarantine.remove(&suspect);
        }
    }

    /// Whether attempts for the fingerprint go one at a time.
    pub(crate) fn is_suspect(&self, suspect: Suspect, now: Time) -> bool {
        !self.records.is_empty()
            && self.records.get(&suspect).is_some_and(|it| it.seen + RECORD_RETENTION > now)
    }

    /// Puts a fingerprint that never succeeded under suspicion.
    pub(crate) fn suspect_unseen(&mut self, suspect: Suspect, now: Time) {
        if !self.proven.contains_key(&suspect) {
            make_room(&mut self.records, |it| it.seen + RECORD_RETENTION > now);
            self.records.entry(suspect).or_default().seen = now;
        }
    }

    /// Whether a suspect has no canary in flight.
    pub(crate) fn may_send(&self, suspect: Suspect) -> bool {
        self.records.get(&suspect).is_none_or(|it| it.canary.is_none())
    }

    /// Keys that the first sign was about; a canary that covers them is the best proof.
    pub(crate) fn sign_range(&self, suspect: Suspect) -> Option<KeyRange> {
        self.records.get(&suspect)?.sign.map(|it| it.1)
    }

    pub(crate) fn set_canary(&mut self, suspect: Suspect, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&suspect) {
            record.canary = Some(attempt);
        }
    }

    /// Notes that an attempt ended. Returns whether it was the canary.
    pub(crate) fn end_canary(&mut self, suspect: Suspect, attempt: AttemptId) -> bool {
        let record = self.records.get_mut(&suspect);
        record.is_some_and(|it| it.canary.take_if(|canary| *canary == attempt).is_some())
    }

    /// Notes a connection that broke while the request was on it.
    pub(crate) fn sign(
        &mut self,
        suspect: Suspect,
        replica: ReplicaKey,
        range: KeyRange,
        sent: Time,
        now: Time,
    ) -> Verdict {
        make_room(&mut self.records, |it| it.seen + RECORD_RETENTION > now);
        self.proven.remove(&suspect);
        let record = self.records.entry(suspect).or_default();
        record.seen = now;
        match record.sign {
            Some((first, _, seen)) if first != replica && sent >= seen => Verdict::Condemned,
            Some(_) => Verdict::Suspected,
            None => {
                record.sign = Some((replica, range, now));
                Verdict::Suspected
            }
        }
    }

    /// Notes a success over `range`. Returns whether it cleared a suspicion.
    ///
    /// A success elsewhere does not clear a sign: a request can crash the replicas of one shard
    /// and succeed on all others.
    pub(crate) fn success(&mut self, suspect: Suspect, range: KeyRange, now: Time) -> bool {
        let Some(record) = self.records.get(&suspect) else { return false };
        if record.sign.is_some_and(|it| it.1.intersect(range).is_none()) {
            return false;
        }
        self.records.remove(&suspect);
        make_room(&mut self.proven, |seen| *seen + RECORD_RETENTION > now);
        self.proven.insert(suspect, now);
        true
    }

    pub(crate) fn has_records(&self) -> bool {
        !self.records.is_empty()
    }
}

/// Drops outdated entries of a full map; a map full of current entries is emptied, because
/// bounded memory goes before complete records.
fn make_room<T>(map: &mut HashMap<Suspect, T>, is_current: impl Fn(&T) -> bool) {
    if map.len() >= MAX_RECORDS {
        map.retain(|_, it| is_current(it));
    }
    if map.len() >= MAX_RECORDS {
        map.clear();
    }
}
