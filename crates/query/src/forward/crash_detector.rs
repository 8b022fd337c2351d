//! Detects and quarantines requests that crash replicas.
//!
//! Load pattern: a request crashes each replica that starts to execute it, and its caller sends it
//! again through any instance. A broken connection alone is not evidence of a crash, because lost
//! replies and link failures are far more frequent. It counts only if the replica is unreachable
//! soon afterwards. A crashing process can still be reached while it cleans up, so a connection that
//! it accepts and then closes unused is replaced as well. Crashes and quarantined requests are shared
//! with the other instances, since each instance sees only some of the crashes.

use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use rosemarybank_protocol::prelude::*;

use crate::{
    crash_tracker::{CrashTracker, Verdict},
    forward::{
        interface::{CrashSign, ReplicaKey},
        routes::ReplicaInfo,
    },
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

/// How long a crash is passed on to other instances. It reaches all of them within a few seconds.
const SHARING_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of crashes that are kept to be passed on, and to recognize those received again.
const MAX_SHARED: usize = 256;

/// Maximum number of crashes in one message.
const MAX_SIGNS_PER_MESSAGE: usize = 64;

/// Upper bound of the time that a message takes. The times of another instance's crash are known only
/// as ages, which do not contain it.
const MAX_TRANSIT: Duration = Duration::from_millis(100);

/// Maximum quarantine duration.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// Forwarded requests have no key ranges, so all of them cover the same keys.
const ALL_KEYS: KeyRange = KeyRange::ALL;

/// All forwarded requests share one service index, because the fingerprint includes the host.
const SERVICE: u32 = 0;

/// Maximum quarantine that another instance can set. No instance uses a longer one.
const MAX_PEER_QUARANTINE: Duration = Duration::from_secs(600);

/// Hash of the id and start time of a replica process, the same at all instances.
type Lifetime = u64;

#[derive(Clone, Copy, Debug)]
struct BrokenConnection {
    replica: ReplicaKey,
    lifetime: Lifetime,
    fingerprint: Fingerprint,
    sent_at: Time,
    broken_at: Time,
    /// Number of connections opened after the first replacement closed unused.
    reconnects: u32,
}

/// A crash of a replica that ran a request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    fingerprint: Fingerprint,
    lifetime: Lifetime,
    sent_at: Time,
    broken_at: Time,
    seen_by: Observer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observer {
    ThisInstance,
    AnotherInstance,
}

/// Crash evidence and quarantined requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashDetector {
    crashes: CrashTracker<Lifetime>,
    /// Broken connections that are not confirmed as crashes.
    unconfirmed: Vec<BrokenConnection>,
    /// Crashes since the last success, by request.
    confirmed: HashMap<Fingerprint, Vec<Crash>>,
    /// Recent crashes, oldest first.
    shared: VecDeque<Crash>,
    /// Number of crashes and of quarantines, here or at another instance. The end of a quarantine does
    /// not count.
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

    /// Returns a counter that increases with every crash and every request that is quarantined, but not
    /// at the end of a quarantine.
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

    /// Returns the newest crashes, for other instances.
    pub(crate) fn crash_signs(&self, now: Time) -> impl Iterator<Item = CrashSign> + '_ {
        let recent = self.shared.iter().rev().filter(move |it| it.broken_at + SHARING_PERIOD > now);
        recent.take(MAX_SIGNS_PER_MESSAGE).map(move |it| CrashSign {
            fingerprint: it.fingerprint,
            lifetime: it.lifetime,
            sent_ago: now.saturating_sub(it.sent_at),
            broken_ago: now.saturating_sub(it.broken_at),
        })
    }

    /// Adds a crash that another instance has seen. Returns whether its request is quarantined as a result.
    pub(crate) fn add_peer_crash(&mut self, now: Time, sign: &CrashSign) -> bool {
        let crash = Crash {
            fingerprint: sign.fingerprint,
            lifetime: sign.lifetime,
            sent_at: now.saturating_sub(sign.sent_ago.saturating_add(MAX_TRANSIT)),
            broken_at: now.saturating_sub(sign.broken_ago),
            seen_by: Observer::AnotherInstance,
        };
        if sign.broken_ago >= SHARING_PERIOD || !self.share(crash) {
            return false;
        }
        self.quarantined_until(now, crash.fingerprint).is_none() && self.add_crash(now, crash)
    }

    /// Keeps a crash to pass it on. Returns whether it is a new one.
    fn share(&mut self, crash: Crash) -> bool {
        let key = (crash.fingerprint, crash.lifetime);
        if self.shared.iter().any(|it| (it.fingerprint, it.lifetime) == key) {
            return false;
        }
        if self.shared.len() == MAX_SHARED {
            self.shared.pop_front();
        }
        self.shared.push_back(crash);
        self.seq += 1;
        true
    }

    /// Adds a crash to those of its request. Returns whether the request is quarantined as a result.
    fn add_crash(&mut self, now: Time, crash: Crash) -> bool {
        if self.confirmed.len() >= MAX_TRACKED {
            self.confirmed.clear();
        }
        self.confirmed.entry(crash.fingerprint).or_default().push(crash);
        let is_quarantined = self.evaluate(now, crash.fingerprint);
        self.seq += u64::from(is_quarantined);
        is_quarantined
    }

    /// Records a connection that broke while the replica was processing a request.
    pub(crate) fn record_broken(
        &mut self,
        now: Time,
        (replica, info): (ReplicaKey, &ReplicaInfo),
        fingerprint: Fingerprint,
        sent_at: Time,
    ) {
        self.unconfirmed.retain(|it| it.broken_at + CONFIRMATION_WINDOW > now);
        if self.unconfirmed.len() < MAX_TRACKED {
            self.unconfirmed.push(BrokenConnection {
                replica,
                lifetime: lifetime(info),
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
        let mut quarantined = Vec::new();
        for it in confirmed {
            let crash = Crash {
                fingerprint: it.fingerprint,
                lifetime: it.lifetime,
                sent_at: it.sent_at,
                broken_at: it.broken_at,
                seen_by: Observer::ThisInstance,
            };
            self.share(crash);
            if self.add_crash(now, crash) {
                quarantined.push(it.fingerprint);
            }
        }
        quarantined
    }

    /// Evaluates the confirmed crashes of a request in the order in which the connections broke,
    /// because replicas may be found unreachable in a different order. Returns whether the request
    /// is quarantined as a result.
    fn evaluate(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let suspect = (SERVICE, fingerprint);
        let Some(crashes) = self.confirmed.get_mut(&fingerprint) else { return false };
        crashes.sort_by_key(|it| it.broken_at);
        self.crashes.forget_signs(suspect);
        // The request may have succeeded at the other instance since, so one more crash is needed.
        let may_succeed = crashes.iter().any(|it| it.seen_by == Observer::AnotherInstance);
        let mut is_quarantined = false;
        for it in crashes.iter() {
            let sign = (it.lifetime, ALL_KEYS, it.sent_at);
            let verdict = self.crashes.record_crash_sign(
                suspect,
                sign,
                may_succeed,
                MAX_QUARANTINE,
                it.broken_at,
            );
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

fn lifetime(info: &ReplicaInfo) -> Lifetime {
    // The default keys are the same in all processes.
    let mut hasher = DefaultHasher::new();
    (info.id.as_str(), info.born_ms).hash(&mut hasher);
    hasher.finish()
}
