//! Detects requests that crash replicas and quarantines them.
//!
//! A crash sign is a connection that breaks while a replica runs the request. The first sign makes
//! the fingerprint of the request a suspect: its attempts are then sent one at a time, and the one
//! in flight is called the canary. Enough signs quarantine the fingerprint, which means that its
//! requests are refused.
//!
//! Attempts that are already in flight when a sign is seen are weak evidence, because the loss of a
//! data centre breaks many attempts of one query at once. A further sign therefore counts only if
//! its attempt was sent after the previous sign.
//!
//! A request that crashes every replica never succeeds, so two signs are enough for a quarantine.
//! If the request has succeeded recently or on other keys, or other attempts may still succeed, the
//! signs are more likely caused by independent losses or by another request. A third sign is then
//! needed.
//!
//! A quarantine can still be wrong, so the first one is short. When it ends, the fingerprint is a
//! suspect again, and a single sign quarantines it for twice as long.

use std::{collections::HashMap, time::Duration};

use rosemarybank_protocol::prelude::*;
use smallvec::SmallVec;

use crate::{interface::AttemptId, replicas::ReplicaKey, services::ServiceIndex};

/// A service and the fingerprint of a request to it.
pub(crate) type ServiceFingerprint = (ServiceIndex, Fingerprint);

/// Time after which crash signs, successes and ended quarantines are forgotten.
const RECORD_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of entries in each map of the tracker.
const MAX_RECORDS: usize = 65_536;

/// Crash signs that quarantine a fingerprint without a known success and without other attempts in
/// flight.
const SIGNS_TO_QUARANTINE: u32 = 2;

/// Crash signs that quarantine a fingerprint that has succeeded recently or on other keys, or that
/// has other attempts in flight.
const SIGNS_TO_QUARANTINE_AFTER_SUCCESS: u32 = 3;

/// Pause between the second of three signs and the next canary, so that the canary does not fail
/// because of the same incident. Without the pause, three replica losses 20 ms apart quarantined a
/// harmless search in 25 of 200 simulated runs.
const CANARY_PAUSE: Duration = Duration::from_secs(1);

/// Duration of the first quarantine of a fingerprint.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(30);

/// The crash signs of a fingerprint that count. `R` identifies a replica.
#[derive(Clone, Debug)]
struct CrashSigns<R> {
    /// Keys that the attempt of the first sign searched.
    range: KeyRange,
    /// Time of the last sign that counted.
    last_at: Time,
    /// Replicas of the signs that count; a replica is listed at most twice.
    replicas: SmallVec<[R; 3]>,
}

/// State of a suspect.
#[derive(Clone, Debug)]
struct SuspectRecord<R> {
    /// `None` if the fingerprint is a suspect without a crash sign: never seen before, or back from
    /// quarantine.
    signs: Option<CrashSigns<R>>,
    /// Whether it succeeded before the first sign or, since then, on other keys.
    has_success: bool,
    /// The attempt in flight, if any.
    canary: Option<AttemptId>,
    /// No attempt is sent before this time.
    paused_until: Time,
    /// When the fingerprint last became a suspect or had a crash sign.
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

/// Suspects, recent successes and quarantines by fingerprint.
#[derive(Clone, Debug)]
pub(crate) struct CrashTracker<R = ReplicaKey> {
    records: HashMap<ServiceFingerprint, SuspectRecord<R>>,
    /// Time of the last success of each fingerprint that is not a suspect.
    recent_successes: HashMap<ServiceFingerprint, Time>,
    quarantines: HashMap<ServiceFingerprint, Quarantine>,
}

/// A quarantine. It is kept for some time after its end, to lengthen the next one.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    until: Time,
    /// Duration of the next quarantine.
    next_length: Duration,
    /// Lower bound of the crashes that the fingerprint has caused.
    crashes: u32,
    /// Keys that the attempt of the first sign searched. `None` if another instance saw the signs.
    first_sign_range: Option<KeyRange>,
}

/// Consequence of a crash sign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The fingerprint is a suspect. No canary may be sent before `paused_until`.
    Suspected { paused_until: Time },
    /// The fingerprint is quarantined for the duration `quarantine`. `crashes` is a lower bound of
    /// the crashes that it caused.
    Quarantined { crashes: u32, quarantine: Duration },
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
    /// End of the quarantine of a fingerprint; `None` if it is not in quarantine.
    pub(crate) fn quarantined_until(&self, request: ServiceFingerprint, now: Time) -> Option<Time> {
        if self.quarantines.is_empty() {
            return None;
        }
        self.quarantines.get(&request).map(|it| it.until).filter(|until| *until > now)
    }

    /// All fingerprints in quarantine, with the end of each quarantine.
    pub(crate) fn quarantined(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (ServiceFingerprint, Time)> {
        self.quarantines
            .iter()
            .map(|(it, quarantine)| (*it, quarantine.until))
            .filter(move |it| it.1 > now)
    }

    /// Sets the end of a quarantine. An end that is not in the future releases the fingerprint.
    pub(crate) fn set_quarantine(&mut self, request: ServiceFingerprint, until: Time, now: Time) {
        self.records.remove(&request);
        if until <= now {
            self.quarantines.remove(&request);
            return;
        }
        evict_if_full(&mut self.quarantines, |it| it.until + RECORD_RETENTION > now);
        // The instance that quarantined the fingerprint has seen at least this many signs.
        let new = Quarantine {
            until,
            next_length: 2 * INITIAL_QUARANTINE,
            crashes: SIGNS_TO_QUARANTINE,
            first_sign_range: None,
        };
        self.quarantines.entry(request).or_insert(new).until = until;
    }

    /// The last quarantine of a fingerprint, if it ended within the retention time.
    fn expired_quarantine(&self, request: ServiceFingerprint, now: Time) -> Option<&Quarantine> {
        let quarantine = self.quarantines.get(&request);
        quarantine.filter(|it| it.until <= now && it.until + RECORD_RETENTION > now)
    }

    /// Makes a fingerprint a suspect if its quarantine has ended recently.
    pub(crate) fn suspect_after_quarantine(&mut self, request: ServiceFingerprint, now: Time) {
        if !self.quarantines.is_empty() && self.expired_quarantine(request, now).is_some() {
            evict_if_full(&mut self.records, |it| it.last_seen + RECORD_RETENTION > now);
            self.records.entry(request).or_default().last_seen = now;
        }
    }

    /// Whether attempts for the fingerprint must be sent one at a time.
    pub(crate) fn is_suspect(&self, request: ServiceFingerprint, now: Time) -> bool {
        !self.records.is_empty()
            && self.records.get(&request).is_some_and(|it| it.last_seen + RECORD_RETENTION > now)
    }

    /// Makes a fingerprint a suspect if no success of it is known.
    pub(crate) fn suspect_unseen(&mut self, request: ServiceFingerprint, now: Time) {
        if !self.recent_successes.contains_key(&request) {
            evict_if_full(&mut self.records, |it| it.last_seen + RECORD_RETENTION > now);
            self.records.entry(request).or_default().last_seen = now;
        }
    }

    /// Whether no canary of the fingerprint is in flight and no pause is running.
    pub(crate) fn may_send(&self, request: ServiceFingerprint, now: Time) -> bool {
        let record = self.records.get(&request);
        record.is_none_or(|it| it.canary.is_none() && it.paused_until <= now)
    }

    /// Keys that the attempt of the first sign searched. A canary on these keys tells most about
    /// whether the request causes the crashes.
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

    /// Clears the canary if it is the given attempt. Returns whether it was.
    pub(crate) fn end_canary(&mut self, request: ServiceFingerprint, attempt: AttemptId) -> bool {
        let record = self.records.get_mut(&request);
        record.is_some_and(|it| it.canary.take_if(|canary| *canary == attempt).is_some())
    }

    /// Records a connection that broke while a replica ran the request. `may_succeed` tells whether
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
            // After a success, a further sign counts only if its keys also overlap those of the
            // first sign.
            Some(signs)
                if sent >= signs.last_at
                    && (!record.has_success || signs.range.intersect(range).is_some()) =>
            {
                // A replica that breaks repeatedly must not fill the list.
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
        // Signs of a single replica point to a faulty replica rather than to the request.
        let is_spread = signs.replicas.iter().any(|it| *it != signs.replicas[0]);
        let needed = if record.has_success || may_succeed {
            SIGNS_TO_QUARANTINE_AFTER_SUCCESS
        } else {
            SIGNS_TO_QUARANTINE
        };
        // Only an attempt that was sent after the quarantine ended shows that the request still
        // crashes.
        let was_sent_after_quarantine = expired.is_some_and(|it| sent >= it.until);
        if !was_sent_after_quarantine && (count < needed || !is_spread) {
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

    /// Removes the suspect record of a fingerprint, so that its signs can be recorded again in
    /// another order.
    pub(crate) fn forget_signs(&mut self, request: ServiceFingerprint) {
        self.records.remove(&request);
    }

    /// Records a success on `range`. Returns whether the fingerprint is no longer a suspect.
    ///
    /// A success on other keys than those of the first sign does not clear it: a request can crash
    /// the replicas of one shard and succeed on all others.
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

    /// Records a success of a fingerprint, unless it is a suspect.
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

/// Removes outdated entries from a full map. If the map is still full, it is cleared, because
/// bounded memory is more important than complete records.
fn evict_if_full<T>(map: &mut HashMap<ServiceFingerprint, T>, is_current: impl Fn(&T) -> bool) {
    if map.len() >= MAX_RECORDS {
        map.retain(|_, it| is_current(it));
    }
    if map.len() >= MAX_RECORDS {
        map.clear();
    }
}
