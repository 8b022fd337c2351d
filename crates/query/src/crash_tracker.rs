//! Requests that crash replicas: signs, canaries and quarantine.
//!
//! Attempts that are in flight when a sign is last_seen record_unsuspected_success little, because the loss of a data centre
//! breaks many of one query's attempts at once. A further sign therefore counts only when its
//! attempt was sent after the last sign was last_seen. Until then a single attempt, the canary, is in
//! flight for the fingerprint, and everything else of it is quarantine.
//!
//! A request that crashes each replica succeeds nowhere, so two signs condemn it. When it has
//! succeeded lately or at other keys, or may still do so, the signs are more likely independent
//! losses or the work of another request, and a third sign is needed.
//!
//! A condemnation can still be false, so the first one is short. After its end the fingerprint is a
//! request with one canary, and a single sign condemns it for twice the time.

use std::{collections::HashMap, time::Duration};

use rosemarybank_protocol::prelude::*;
use smallvec::SmallVec;

use crate::{interface::AttemptId, replicas::ReplicaKey, services::ServiceIndex};

/// A service and the fingerprint of a request to it.
pub(crate) type ServiceFingerprint = (ServiceIndex, Fingerprint);

/// A sign without a later success is forgotten after this time.
const RECORD_RETENTION: Duration = Duration::from_secs(600);

/// Fingerprints that are remembered at once, per kind of record.
const MAX_RECORDS: usize = 65_536;

/// CrashSigns that condemn a fingerprint that has no success.
const SIGNS_TO_QUARANTINE: u32 = 2;

/// CrashSigns that condemn a fingerprint that has succeeded lately or at other keys.
const SIGNS_TO_QUARANTINE_AFTER_SUCCESS: u32 = 3;

/// Time between the second of three signs and the next canary, so that it does not meet a third
/// replica of the same incident. Without it three losses 20 ms apart condemned an innocent search
/// in 25 of 200 runs.
const CANARY_PAUSE: Duration = Duration::from_secs(1);

/// Length of the first quarantine.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(30);

/// Counted signs of a fingerprint. `R` names a replica.
#[derive(Clone, Debug)]
struct CrashSigns<R> {
    /// Keys of the first sign.
    range: KeyRange,
    /// Time of the last one.
    last_at: Time,
    replicas: SmallVec<[R; 3]>,
}

/// What is known of a fingerprint that is not recent_successes.
#[derive(Clone, Debug)]
struct SuspectRecord<R> {
    /// `None` for a fingerprint that was never run.
    signs: Option<CrashSigns<R>>,
    /// Whether it succeeded before the first sign or, since then, at other keys.
    has_success: bool,
    canary: Option<AttemptId>,
    /// Nothing is sent before this time.
    paused_until: Time,
    last_seen: Time,
}

impl<R> Default for SuspectRecord<R> {
    fn default() -> SuspectRecord<R> {
        SuspectRecord {
            signs: None,
            has_success: false,
            canary: None,
            paused_until: Time::ZERO,
            last_seen: Time::ZERO,
        }
    }
}

/// Records of all fingerprints.
#[derive(Clone, Debug)]
pub(crate) struct CrashTracker<R = ReplicaKey> {
    records: HashMap<ServiceFingerprint, SuspectRecord<R>>,
    /// Last success of fingerprints that are not under suspicion.
    recent_successes: HashMap<ServiceFingerprint, Time>,
    quarantines: HashMap<ServiceFingerprint, Quarantine>,
}

/// A quarantine and, after its end, what it means for the next sign.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: Time,
    /// Length of the next one.
    next_length: Duration,
    /// Replicas that the fingerprint is known to have crashed at least.
    crashes: u32,
    /// Keys of the first sign, when it was last_seen here.
    first_sign_range: Option<KeyRange>,
}

/// What a crash sign means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// No canary may be sent before the given time.
    Suspected {
        paused_until: Time,
    },
    Quarantined {
        crashes: u32,
        quarantine: Duration,
    },
}

impl<R> Default for CrashTracker<R> {
    fn default() -> CrashTracker<R> {
        CrashTracker {
            records: HashMap::new(),
            recent_successes: HashMap::new(),
            quarantines: HashMap::new(),
        }
    }
}

impl<R: Copy + PartialEq> CrashTracker<R> {
    /// End of the quarantine of a fingerprint.
    pub(crate) fn quarantined_until(&self, request: ServiceFingerprint, now: Time) -> Option<Time> {
        if self.quarantines.is_empty() {
            return None;
        }
        self.quarantines.get(&request).map(|it| it.until).filter(|until| *until > now)
    }

    /// All fingerprints in quarantine and its end.
    pub(crate) fn quarantined(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (ServiceFingerprint, Time)> {
        self.quarantines
            .iter()
            .map(|(it, quarantine)| (*it, quarantine.until))
            .filter(move |it| it.1 > now)
    }

    /// Sets the end of a quarantine; a time that has passed releases the fingerprint.
    pub(crate) fn set_quarantine(&mut self, request: ServiceFingerprint, until: Time, now: Time) {
        self.records.remove(&request);
        if until <= now {
            self.quarantines.remove(&request);
            return;
        }
        evict_if_full(&mut self.quarantines, |it| it.until + RECORD_RETENTION > now);
        // Another instance has last_seen as many signs as a condemnation needs.
        let new = Quarantine {
            until,
            next_length: 2 * INITIAL_QUARANTINE,
            crashes: SIGNS_TO_QUARANTINE,
            first_sign_range: None,
        };
        self.quarantines.entry(request).or_insert(new).until = until;
    }

    /// The quarantine of a fingerprint that has expired not long ago.
    fn expired_quarantine(&self, request: ServiceFingerprint, now: Time) -> Option<&Quarantine> {
        let quarantine = self.quarantines.get(&request);
        quarantine.filter(|it| it.until <= now && it.until + RECORD_RETENTION > now)
    }

    /// Keeps a request that returns from quarantine to one attempt at a time.
    pub(crate) fn suspect_after_quarantine(&mut self, request: ServiceFingerprint, now: Time) {
        if !self.quarantines.is_empty() && self.expired_quarantine(request, now).is_some() {
            evict_if_full(&mut self.records, |it| it.last_seen + RECORD_RETENTION > now);
            self.records.entry(request).or_default().last_seen = now;
        }
    }

    /// Whether attempts for the fingerprint go one at a time.
    pub(crate) fn is_suspect(&self, request: ServiceFingerprint, now: Time) -> bool {
        !self.records.is_empty()
            && self.records.get(&request).is_some_and(|it| it.last_seen + RECORD_RETENTION > now)
    }

    /// Puts a fingerprint that never succeeded under suspicion.
    pub(crate) fn suspect_unseen(&mut self, request: ServiceFingerprint, now: Time) {
        if !self.recent_successes.contains_key(&request) {
            evict_if_full(&mut self.records, |it| it.last_seen + RECORD_RETENTION > now);
            self.records.entry(request).or_default().last_seen = now;
        }
    }

    /// Whether a request has no canary in flight and is not paused.
    pub(crate) fn may_send(&self, request: ServiceFingerprint, now: Time) -> bool {
        let record = self.records.get(&request);
        record.is_none_or(|it| it.canary.is_none() && it.paused_until <= now)
    }

    /// Keys that the first sign was about; a canary that covers them is the best proof.
    pub(crate) fn first_sign_range(&self, request: ServiceFingerprint) -> Option<KeyRange> {
        let record = self.records.get(&request)?;
        let signs = record.signs.as_ref().map(|it| it.range);
        signs.or_else(|| self.quarantines.get(&request)?.first_sign_range)
    }

    pub(crate) fn set_canary(&mut self, request: ServiceFingerprint, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&request) {
            record.canary = Some(attempt);
        }
    }

    /// Notes that an attempt expired. Returns whether it was the canary.
    pub(crate) fn end_canary(&mut self, request: ServiceFingerprint, attempt: AttemptId) -> bool {
        let record = self.records.get_mut(&request);
        record.is_some_and(|it| it.canary.take_if(|canary| *canary == attempt).is_some())
    }

    /// Notes a connection that broke while the request was on it. `may_succeed` tells whether
    /// other attempts for the fingerprint are in flight.
    pub(crate) fn record_crash_sign(
        &mut self,
        request: ServiceFingerprint,
        (replica, range, sent): (R, KeyRange, Time),
        may_succeed: bool,
        max_quarantine: Duration,
        now: Time,
    ) -> Verdict {
        evict_if_full(&mut self.records, |it| it.last_seen + RECORD_RETENTION > now);
        let last_success = self.recent_successes.remove(&request);
        let succeeded_lately = last_success.is_some_and(|it| it + RECORD_RETENTION > now);
        let expired = self.expired_quarantine(request, now).copied();
        let record = self.records.entry(request).or_default();
        if record.last_seen + RECORD_RETENTION <= now {
            *record = SuspectRecord { canary: record.canary, ..SuspectRecord::default() };
        }
        record.last_seen = now;
        record.has_success |= succeeded_lately;
        match &mut record.signs {
            Some(signs)
                if sent >= signs.last_at
                    && (!record.has_success || signs.range.intersect(range).is_some()) =>
            {
                // A replica that breaks again and again must not fill the list.
                if signs.replicas.iter().filter(|it| **it == replica).count() < 2 {
                    signs.replicas.push(replica);
                }
                signs.last_at = now;
            }
            Some(_) => return Verdict::Suspected { paused_until: record.paused_until },
            None => {
                let replicas = SmallVec::from_iter([replica]);
                record.signs = Some(CrashSigns { range, last_at: now, replicas });
            }
        }
        let Some(signs) = &record.signs else { return Verdict::Suspected { paused_until: now } };
        let count = signs.replicas.len() as u32;
        // One replica that breaks again and again says more about itself than about the request.
        let is_spread = signs.replicas.iter().any(|it| *it != signs.replicas[0]);
        let needed = if record.has_success || may_succeed {
            SIGNS_TO_QUARANTINE_AFTER_SUCCESS
        } else {
            SIGNS_TO_QUARANTINE
        };
        // An attempt that was sent before the quarantine tells nothing about the return.
        let was_quarantined = expired.is_some_and(|it| sent >= it.until);
        if !was_quarantined && (count < needed || !is_spread) {
            if count >= SIGNS_TO_QUARANTINE {
                record.paused_until = now + CANARY_PAUSE;
            }
            return Verdict::Suspected { paused_until: record.paused_until };
        }
        let range = expired.and_then(|it| it.first_sign_range).unwrap_or(signs.range);
        let crashes = count + expired.map_or(0, |it| it.crashes);
        let quarantine =
            expired.map_or(INITIAL_QUARANTINE, |it| it.next_length).min(max_quarantine);
        let (until, next_length) = (now + quarantine, 2 * quarantine);
        evict_if_full(&mut self.quarantines, |it| it.until + RECORD_RETENTION > now);
        self.quarantines.insert(
            request,
            Quarantine { until, next_length, crashes, first_sign_range: Some(range) },
        );
        Verdict::Quarantined { crashes, quarantine }
    }

    /// Forgets the signs of a fingerprint, so that they can be noted anew in another order.
    pub(crate) fn forget_signs(&mut self, request: ServiceFingerprint) {
        self.records.remove(&request);
    }

    /// Notes a success over `range`. Returns whether it cleared a suspicion.
    ///
    /// A success elsewhere does not clear a sign: a request can crash the replicas of one shard
    /// and succeed on all others.
    pub(crate) fn record_success(
        &mut self,
        request: ServiceFingerprint,
        range: KeyRange,
        now: Time,
    ) -> bool {
        let sign = self.first_sign_range(request);
        let Some(record) = self.records.get_mut(&request) else { return false };
        if sign.is_some_and(|it| it.intersect(range).is_none()) {
            record.has_success = true;
            return false;
        }
        self.records.remove(&request);
        self.quarantines.remove(&request);
        self.record_unsuspected_success(request, now);
        true
    }

    /// Remembers a success of a fingerprint that is not under suspicion.
    pub(crate) fn record_unsuspected_success(&mut self, request: ServiceFingerprint, now: Time) {
        if !self.has_records() || !self.records.contains_key(&request) {
            evict_if_full(&mut self.recent_successes, |at| *at + RECORD_RETENTION > now);
            self.recent_successes.insert(request, now);
        }
    }

    pub(crate) fn has_records(&self) -> bool {
        !self.records.is_empty()
    }
}

/// Drops outdated entries of a full map; a map full of current entries is emptied, because
/// bounded memory goes before complete records.
fn evict_if_full<T>(map: &mut HashMap<ServiceFingerprint, T>, is_current: impl Fn(&T) -> bool) {
    if map.len() >= MAX_RECORDS {
        map.retain(|_, it| is_current(it));
    }
    if map.len() >= MAX_RECORDS {
        map.clear();
    }
}
