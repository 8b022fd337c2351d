//! Requests that crash the replicas that run them.
//!
//! Load pattern: a request ends the process of each replica that begins to run it, and its caller
//! sends it again, at any instance. A broken connection alone is no sign: replicas lose replies and
//! links break far more often. It becomes one when the replica can't be reached soon afterwards.
//! What is condemned here is passed on to the other instances, since each sees only its own part.

use std::{collections::HashMap, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::{
    crash::{Crashes, Verdict},
    forward::interface::ReplicaKey,
};

/// Time after a broken connection in which the replica must be found unreachable. A replica that
/// crashed is back after some seconds.
const CONFIRMED_WITHIN: Duration = Duration::from_secs(3);

/// Broken connections that wait for a confirmation.
const MAX_BROKEN: usize = 4_096;

/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(600);

/// Forwarded requests have no key ranges; all of them are about the same keys.
const ALL_KEYS: KeyRange = KeyRange::ALL;

/// All forwarded requests share one service number, since the fingerprint covers the host.
const SERVICE: u32 = 0;

/// Longest time that another instance can keep a request in quarantine; none sets a longer one.
const LONGEST_LEFT: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Broken {
    replica: ReplicaKey,
    fingerprint: Fingerprint,
    sent: Time,
    at: Time,
}

/// Suspects and condemned requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    crashes: Crashes<ReplicaKey>,
    /// Breaks that are not confirmed.
    broken: Vec<Broken>,
    /// Breaks whose replicas could not be reached afterwards, by request.
    confirmed: HashMap<Fingerprint, Vec<Broken>>,
    /// Number of changes of the quarantine.
    seq: u64,
}

impl Suspects {
    /// End of the quarantine of a request.
    pub(crate) fn quarantined_until(&self, now: Time, fingerprint: Fingerprint) -> Option<Time> {
        self.crashes.quarantined_until((SERVICE, fingerprint), now)
    }

    /// Requests in quarantine and the time that is left.
    pub(crate) fn quarantined(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (Fingerprint, Duration)> + '_ {
        self.crashes.quarantined(now).map(move |((_, it), until)| (it, until - now))
    }

    /// Number of changes of the quarantine.
    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    /// Another instance condemned a request.
    pub(crate) fn learn(&mut self, now: Time, fingerprint: Fingerprint, left: Duration) {
        if self.quarantined_until(now, fingerprint).is_none() && !left.is_zero() {
            let until = now + left.min(LONGEST_LEFT);
            self.crashes.set_quarantine((SERVICE, fingerprint), until, now);
            self.seq += 1;
        }
    }

    /// A connection broke while a replica had the request.
    pub(crate) fn note_broken(
        &mut self,
        now: Time,
        replica: ReplicaKey,
        fingerprint: Fingerprint,
        sent: Time,
    ) {
        self.broken.retain(|it| it.at + CONFIRMED_WITHIN > now);
        if self.broken.len() < MAX_BROKEN {
            self.broken.push(Broken { replica, fingerprint, sent, at: now });
        }
    }

    /// A replica can't be reached: the requests whose connections broke there may have ended it.
    /// Returns those that are condemned by it.
    pub(crate) fn note_unreachable(&mut self, now: Time, replica: ReplicaKey) -> Vec<Fingerprint> {
        if self.broken.is_empty() {
            return Vec::new();
        }
        let is_due = |it: &Broken| it.replica == replica && it.at + CONFIRMED_WITHIN > now;
        let (confirmed, open) = self.broken.drain(..).partition::<Vec<_>, _>(is_due);
        self.broken = open;
        let mut fingerprints: Vec<Fingerprint> = Vec::new();
        for it in confirmed {
            if self.confirmed.len() >= MAX_BROKEN {
                self.confirmed.clear();
            }
            self.confirmed.entry(it.fingerprint).or_default().push(it);
            fingerprints.push(it.fingerprint);
        }
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.retain(|it| self.is_condemned_now(now, *it));
        self.seq += fingerprints.len() as u64;
        fingerprints
    }

    /// Weighs the confirmed breaks of a request in the order in which they happened; replicas are
    /// found unreachable in any order.
    fn is_condemned_now(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let suspect = (SERVICE, fingerprint);
        let Some(breaks) = self.confirmed.get_mut(&fingerprint) else { return false };
        breaks.sort_by_key(|it| it.at);
        self.crashes.forget_signs(suspect);
        let mut is_condemned = false;
        for it in breaks.iter() {
            let sign = (it.replica, ALL_KEYS, it.sent);
            let verdict = self.crashes.sign(suspect, sign, false, LONGEST_QUARANTINE, it.at);
            is_condemned |= matches!(verdict, Verdict::Condemned { .. });
        }
        if is_condemned {
            self.confirmed.remove(&fingerprint);
        }
        is_condemned && self.quarantined_until(now, fingerprint).is_some()
    }

    /// A replica replied to the request.
    pub(crate) fn note_success(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.crashes.has_records() {
            self.confirmed.remove(&fingerprint);
            self.crashes.success((SERVICE, fingerprint), ALL_KEYS, now);
        }
    }
}
