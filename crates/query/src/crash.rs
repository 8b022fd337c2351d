//! Requests that crash replicas: signs, canaries and quarantine.
//!
//! Attempts that are in flight when a sign is seen prove little, because the loss of a data centre
//! breaks many of one query's attempts at once. A further sign therefore counts only when its
//! attempt was sent after the last sign was seen. Until then a single attempt, the canary, is in
//! flight for the fingerprint, and everything else of it is held.
//!
//! A request that crashes each replica succeeds nowhere, so two signs condemn it. When it has
//! succeeded lately or at other keys, or may still do so, the signs are more likely independent
//! losses or the work of another request, and a third sign is needed.
//!
//! A condemnation can still be false, so the first one is short. After its end the fingerprint is a
//! suspect with one canary, and a single sign condemns it for twice the time.

use std::{collections::HashMap, time::Duration};

use rosemarybank_protocol::prelude::*;
use smallvec::SmallVec;

use crate::{interface::AttemptId, replicas::ReplicaKey, services::ServiceIx};

/// A service and the fingerprint of a request to it.
pub(crate) type Suspect = (ServiceIx, Fingerprint);

/// A sign without a later success is forgotten after this time.
const RECORD_RETENTION: Duration = Duration::from_secs(600);

/// Fingerprints that are remembered at once, per kind of record.
const MAX_RECORDS: usize = 65_536;

/// Signs that condemn a fingerprint that has no success.
const SIGNS: u32 = 2;

/// Signs that condemn a fingerprint that has succeeded lately or at other keys.
const SIGNS_AGAINST_SUCCESS: u32 = 3;

/// Time between the second of three signs and the next canary, so that it does not meet a third
/// replica of the same incident. Without it three losses 20 ms apart condemned an innocent search
/// in 25 of 200 runs.
const CANARY_PAUSE: Duration = Duration::from_secs(1);

/// Length of the first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);

/// Counted signs of a fingerprint. `R` names a replica.
#[derive(Clone, Debug)]
struct Signs<R> {
    /// Keys of the first sign.
    range: KeyRange,
    /// Time of the last one.
    last: Time,
    replicas: SmallVec<[R; 3]>,
}

/// What is known of a fingerprint that is not proven.
#[derive(Clone, Debug)]
struct Record<R> {
    /// `None` for a fingerprint that was never run.
    signs: Option<Signs<R>>,
    /// Whether it succeeded before the first sign or, since then, at other keys.
    has_success: bool,
    canary: Option<AttemptId>,
    /// Nothing is sent before this time.
    paused_until: Time,
    seen: Time,
}

impl<R> Default for Record<R> {
    fn default() -> Record<R> {
        Record {
            signs: None,
            has_success: false,
            canary: None,
            paused_until: Time::ZERO,
            seen: Time::ZERO,
        }
    }
}

/// Records of all fingerprints.
#[derive(Clone, Debug)]
pub(crate) struct Crashes<R = ReplicaKey> {
    records: HashMap<Suspect, Record<R>>,
    /// Last success of fingerprints that are not under suspicion.
    proven: HashMap<Suspect, Time>,
    quarantine: HashMap<Suspect, Quarantine>,
}

/// A quarantine and, after its end, what it means for the next sign.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: Time,
    /// Length of the next one.
    next: Duration,
    /// Replicas that the fingerprint is known to have crashed at least.
    crashes: u32,
    /// Keys of the first sign, when it was seen here.
    range: Option<KeyRange>,
}

/// What a crash sign means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// No canary may be sent before the given time.
    Suspected {
        paused_until: Time,
    },
    Condemned {
        crashes: u32,
        quarantine: Duration,
    },
}

impl<R> Default for Crashes<R> {
    fn default() -> Crashes<R> {
        Crashes { records: HashMap::new(), proven: HashMap::new(), quarantine: HashMap::new() }
    }
}

impl<R: Copy + PartialEq> Crashes<R> {
    /// End of the quarantine of a fingerprint.
    pub(crate) fn quarantined_until(&self, suspect: Suspect, now: Time) -> Option<Time> {
        if self.quarantine.is_empty() {
            return None;
        }
        self.quarantine.get(&suspect).map(|it| it.until).filter(|until| *until > now)
    }

    /// All fingerprints in quarantine and its end.
    pub(crate) fn quarantined(&self, now: Time) -> impl Iterator<Item = (Suspect, Time)> {
        self.quarantine.iter().map(|(it, held)| (*it, held.until)).filter(move |it| it.1 > now)
    }

    /// Sets the end of a quarantine; a time that has passed releases the fingerprint.
    pub(crate) fn set_quarantine(&mut self, suspect: Suspect, until: Time, now: Time) {
        self.records.remove(&suspect);
        if until <= now {
            self.quarantine.remove(&suspect);
            return;
        }
        make_room(&mut self.quarantine, |it| it.until + RECORD_RETENTION > now);
        // Another instance has seen as many signs as a condemnation needs.
        let new = Quarantine { until, next: 2 * FIRST_QUARANTINE, crashes: SIGNS, range: None };
        self.quarantine.entry(suspect).or_insert(new).until = until;
    }

    /// The quarantine of a fingerprint that has ended not long ago.
    fn ended_quarantine(&self, suspect: Suspect, now: Time) -> Option<&Quarantine> {
        let held = self.quarantine.get(&suspect);
        held.filter(|it| it.until <= now && it.until + RECORD_RETENTION > now)
    }

    /// Keeps a suspect that returns from quarantine to one attempt at a time.
    pub(crate) fn note_return(&mut self, suspect: Suspect, now: Time) {
        if !self.quarantine.is_empty() && self.ended_quarantine(suspect, now).is_some() {
            make_room(&mut self.records, |it| it.seen + RECORD_RETENTION > now);
            self.records.entry(suspect).or_default().seen = now;
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

    /// Whether a suspect has no canary in flight and is not paused.
    pub(crate) fn may_send(&self, suspect: Suspect, now: Time) -> bool {
        let record = self.records.get(&suspect);
        record.is_none_or(|it| it.canary.is_none() && it.paused_until <= now)
    }

    /// Keys that the first sign was about; a canary that covers them is the best proof.
    pub(crate) fn sign_range(&self, suspect: Suspect) -> Option<KeyRange> {
        let record = self.records.get(&suspect)?;
        let signs = record.signs.as_ref().map(|it| it.range);
        signs.or_else(|| self.quarantine.get(&suspect)?.range)
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

    /// Notes a connection that broke while the request was on it. `may_succeed` tells whether
    /// other attempts for the fingerprint are in flight.
    pub(crate) fn sign(
        &mut self,
        suspect: Suspect,
        (replica, range, sent): (R, KeyRange, Time),
        may_succeed: bool,
        longest: Duration,
        now: Time,
    ) -> Verdict {
        make_room(&mut self.records, |it| it.seen + RECORD_RETENTION > now);
        let proven = self.proven.remove(&suspect);
        let was_proven = proven.is_some_and(|it| it + RECORD_RETENTION > now);
        let ended = self.ended_quarantine(suspect, now).copied();
        let record = self.records.entry(suspect).or_default();
        if record.seen + RECORD_RETENTION <= now {
            *record = Record { canary: record.canary, ..Record::default() };
        }
        record.seen = now;
        record.has_success |= was_proven;
        match &mut record.signs {
            Some(signs)
                if sent >= signs.last
                    && (!record.has_success || signs.range.intersect(range).is_some()) =>
            {
                // A replica that breaks again and again must not fill the list.
                if signs.replicas.iter().filter(|it| **it == replica).count() < 2 {
                    signs.replicas.push(replica);
                }
                signs.last = now;
            }
            Some(_) => return Verdict::Suspected { paused_until: record.paused_until },
            None => {
                let replicas = SmallVec::from_iter([replica]);
                record.signs = Some(Signs { range, last: now, replicas });
            }
        }
        let Some(signs) = &record.signs else { return Verdict::Suspected { paused_until: now } };
        let count = signs.replicas.len() as u32;
        // One replica that breaks again and again says more about itself than about the request.
        let is_spread = signs.replicas.iter().any(|it| *it != signs.replicas[0]);
        let needed = if record.has_success || may_succeed { SIGNS_AGAINST_SUCCESS } else { SIGNS };
        // An attempt that was sent before the quarantine tells nothing about the return.
        let has_returned = ended.is_some_and(|it| sent >= it.until);
        if !has_returned && (count < needed || !is_spread) {
            if count >= SIGNS {
                record.paused_until = now + CANARY_PAUSE;
            }
            return Verdict::Suspected { paused_until: record.paused_until };
        }
        let range = ended.and_then(|it| it.range).unwrap_or(signs.range);
        let crashes = count + ended.map_or(0, |it| it.crashes);
        let quarantine = ended.map_or(FIRST_QUARANTINE, |it| it.next).min(longest);
        let (until, next) = (now + quarantine, 2 * quarantine);
        make_room(&mut self.quarantine, |it| it.until + RECORD_RETENTION > now);
        self.quarantine.insert(suspect, Quarantine { until, next, crashes, range: Some(range) });
        Verdict::Condemned { crashes, quarantine }
    }

    /// Forgets the signs of a fingerprint, so that they can be noted anew in another order.
    pub(crate) fn forget_signs(&mut self, suspect: Suspect) {
        self.records.remove(&suspect);
    }

    /// Notes a success over `range`. Returns whether it cleared a suspicion.
    ///
    /// A success elsewhere does not clear a sign: a request can crash the replicas of one shard
    /// and succeed on all others.
    pub(crate) fn success(&mut self, suspect: Suspect, range: KeyRange, now: Time) -> bool {
        let sign = self.sign_range(suspect);
        let Some(record) = self.records.get_mut(&suspect) else { return false };
        if sign.is_some_and(|it| it.intersect(range).is_none()) {
            record.has_success = true;
            return false;
        }
        self.records.remove(&suspect);
        self.quarantine.remove(&suspect);
        self.prove(suspect, now);
        true
    }

    /// Remembers a success of a fingerprint that is not under suspicion.
    pub(crate) fn prove(&mut self, suspect: Suspect, now: Time) {
        if !self.has_records() || !self.records.contains_key(&suspect) {
            make_room(&mut self.proven, |seen| *seen + RECORD_RETENTION > now);
            self.proven.insert(suspect, now);
        }
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
