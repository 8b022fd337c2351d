//! Detects and quarantines requests that crash replicas.
//!
//! Load pattern: a request crashes each replica that starts to execute it, and its caller sends it
//! again through any instance. A broken connection alone is not evidence of a crash, because lost
//! replies and link failures are far more frequent. It counts only if the replica is unreachable
//! soon afterwards. A crashing process can still be reached while it cleans up, so a connection that
//! it accepts and then closes unused is replaced as well. Quarantined requests are shared with the
//! other instances, since each instance sees only some of the crashes.

use std::{collections::HashMap, time::Duration};

use rosemarybank_protocol::prelude::*;

use crate::{
    crash_tracker::{CrashTracker, Verdict},
    forward::interface::ReplicaKey,
};

/// Time after a broken connection within which the replica must be found unreachable. A crashed
/// replica is back after some seconds.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of replacements of connections that closed unused, for each broken connection. A
/// running replica may close them for other reasons.
const MAX_RECONNECTS: u32 = 3;

/// Maximum number of broken connections that await confirmation, and of requests with confirmed
/// crashes.
const MAX_TRACKED: usize = 4_096;

/// Maximum quarantine duration.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// Forwarded requests have no key ranges, so all of them cover the same keys.
const ALL_KEYS: KeyRange = KeyRange::ALL;

/// All forwarded requests share one service index, because the fingerprint includes the host.
const SERVICE: u32 = 0;

/// Maximum quarantine that another instance can set. No instance uses a longer one.
const MAX_PEER_QUARANTINE: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct BrokenConnection {
    replica: ReplicaKey,
    fingerprint: Fingerprint,
    sent_at: Time,
    broken_at: Time,
    /// Number of connections opened after the first replacement closed unused.
    reconnects: u32,
}

/// Crash evidence and quarantined requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashDetector {
    crashes: CrashTracker<ReplicaKey>,
    /// Broken connections that are not confirmed as crashes.
    unconfirmed: Vec<BrokenConnection>,
    /// Broken connections whose replica was unreachable afterwards, by request.
    confirmed: HashMap<Fingerprint, Vec<BrokenConnection>>,
    /// Number of times that a request was quarantined here or by another instance. The end of a
    /// quarantine does not count.
    seq: u64,
}

impl CrashDetector {
    /// Returns the end of a request's quarantine.
    pub(crate) fn quarantined_until(&self, now: Time, fingerprint: Fingerprint) -> Option<Time> {
        self.crashes.quarantined_until((SERVICE, fingerprint), now)
    }

    /// Returns the quarantined requests with their remaining quarantine time.
    pub(crate) fn quarantined(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (Fingerprint, Duration)> + '_ {
        self.crashes.quarantined(now).map(move |((_, it), until)| (it, until - now))
    }

    /// Returns a counter that increases with every request that is quarantined, but not at the end
    /// of a quarantine.
    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    /// Adds a request that another instance quarantined.
    pub(crate) fn add_peer_quarantine(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        left: Duration,
    ) {
        if self.quarantined_until(now, fingerprint).is_none() && !left.is_zero() {
            let until = now + left.min(MAX_PEER_QUARANTINE);
            self.crashes.set_quarantine((SERVICE, fingerprint), until, now);
            self.seq += 1;
        }
    }

    /// Records a connection that broke while the replica was processing a request.
    pub(crate) fn record_broken(
        &mut self,
        now: Time,
        replica: ReplicaKey,
        fingerprint: Fingerprint,
        sent_at: Time,
    ) {
        self.unconfirmed.retain(|it| it.broken_at + CONFIRMATION_WINDOW > now);
        if self.unconfirmed.len() < MAX_TRACKED {
            self.unconfirmed.push(BrokenConnection {
                replica,
                fingerprint,
                sent_at,
                broken_at: now,
                reconnects: 0,
            });
        }
    }

    /// Whether to open another connection to a replica after the replacement of a broken one closed
    /// unused.
    pub(crate) fn is_reconnect_due(&mut self, now: Time, replica: ReplicaKey) -> bool {
        let is_open = |it: &&mut BrokenConnection| {
            it.replica == replica
                && it.broken_at + CONFIRMATION_WINDOW > now
                && it.reconnects < MAX_RECONNECTS
        };
        match self.unconfirmed.iter_mut().rfind(is_open) {
            Some(it) => {
                it.reconnects += 1;
                true
            }
            None => false,
        }
    }

    /// Records that a replica is unreachable, which confirms its recent broken connections as
    /// crashes. Returns the requests that are quarantined as a result.
    pub(crate) fn record_unreachable(
        &mut self,
        now: Time,
        replica: ReplicaKey,
    ) -> Vec<Fingerprint> {
        if self.unconfirmed.is_empty() {
            return Vec::new();
        }
        let is_confirmed = |it: &BrokenConnection| {
            it.replica == replica && it.broken_at + CONFIRMATION_WINDOW > now
        };
        let (confirmed, unconfirmed) =
            self.unconfirmed.drain(..).partition::<Vec<_>, _>(is_confirmed);
        self.unconfirmed = unconfirmed;
        let mut fingerprints: Vec<Fingerprint> = Vec::new();
        for it in confirmed {
            if self.confirmed.len() >= MAX_TRACKED {
                self.confirmed.clear();
            }
            self.confirmed.entry(it.fingerprint).or_default().push(it);
            fingerprints.push(it.fingerprint);
        }
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints.retain(|it| self.evaluate(now, *it));
        self.seq += fingerprints.len() as u64;
        fingerprints
    }

    /// Evaluates the confirmed crashes of a request in the order in which the connections broke,
    /// because replicas may be found unreachable in a different order. Returns whether the request
    /// is quarantined as a result.
    fn evaluate(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let suspect = (SERVICE, fingerprint);
        let Some(connections) = self.confirmed.get_mut(&fingerprint) else { return false };
        connections.sort_by_key(|it| it.broken_at);
        self.crashes.forget_signs(suspect);
        let mut is_quarantined = false;
        for it in connections.iter() {
            let sign = (it.replica, ALL_KEYS, it.sent_at);
            let verdict =
                self.crashes.record_crash_sign(suspect, sign, false, MAX_QUARANTINE, it.broken_at);
            is_quarantined |= matches!(verdict, Verdict::Quarantined { .. });
        }
        if is_quarantined {
            self.confirmed.remove(&fingerprint);
        }
        is_quarantined && self.quarantined_until(now, fingerprint).is_some()
    }

    /// Records a successful reply to the request, which discards its confirmed crashes.
    pub(crate) fn record_success(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.crashes.has_records() {
            self.confirmed.remove(&fingerprint);
            self.crashes.record_success((SERVICE, fingerprint), ALL_KEYS, now);
        }
    }
}
