//! Replicates quarantine entries to peers and to the store.

use std::{collections::BTreeMap, time::Duration};

use rosemarybank_protocol::{platform::QuarantineEntry, prelude::*};
use serde::{Deserialize, Serialize};

use super::{Action, EntryKey, EntrySet, Event, Settings, WriteResult, entry_key};

/// Maximum clock difference between instances in milliseconds. A stored entry is deleted only after
/// it has expired according to the clock of every instance.
const CLOCK_SKEW_MS: u64 = 5 * 60 * 1000;

/// Quarantine state of one instance.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::quarantine::{Action, Event, Machine, Settings};
/// use rosemarybank_protocol::prelude::Time;
///
/// let settings = Settings::builder().unix_ms_at_zero(1_704_067_200_000).build();
/// let (mut machine, mut out) = (Machine::new(settings), Vec::new());
/// let duration = std::time::Duration::from_secs(30);
/// let event =
///     Event::Quarantined { service: "orders".into(), fingerprint: 7, crashes: 2, duration };
/// machine.handle(Time::from_secs(10), event, &mut out);
/// assert!(matches!(&out[0], Action::Apply { until, .. } if *until == Time::from_secs(40)));
/// assert!(matches!(&out[1], Action::PushAll(entries) if entries.len() == 1));
/// assert!(matches!(&out[2], Action::WriteStore(entry) if entry.fingerprint == 7));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    settings: Settings,
    set: EntrySet,
    /// Writes of entries that the store may not contain yet.
    writes: BTreeMap<EntryKey, PendingWrite>,
    load: LoadState,
    started: Time,
    /// Time at which the whole set was last pushed to each peer.
    #[serde(rename = "pushed")]
    last_pushes: BTreeMap<InstanceId, Time>,
}

/// State of the write of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum PendingWrite {
    /// The write is due at the given time.
    Due(Time),
    /// The given entry was sent to the store.
    Outstanding(QuarantineEntry),
}

/// State of loading the stored entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum LoadState {
    NotStarted,
    Outstanding,
    Due(Time),
    Done,
}

impl Machine {
    /// Creates the machine of a starting instance.
    #[must_use]
    pub fn new(settings: Settings) -> Machine {
        Machine {
            settings,
            set: EntrySet::default(),
            writes: BTreeMap::new(),
            load: LoadState::NotStarted,
            started: Time::ZERO,
            last_pushes: BTreeMap::new(),
        }
    }

    /// Returns whether the stored entries have been loaded or the load timeout has passed. An
    /// instance that accepts requests earlier could forward a request that is already known to crash
    /// upstreams.
    #[must_use]
    pub fn is_loaded(&self, now: Time) -> bool {
        match self.load {
            LoadState::Done => true,
            LoadState::NotStarted => false,
            _ => now >= self.started + self.settings.load_timeout,
        }
    }

    /// Returns all entries held, including releases.
    #[must_use]
    pub fn entries(&self) -> &EntrySet {
        &self.set
    }

    /// Returns whether requests with this fingerprint are refused.
    #[must_use]
    pub fn is_quarantined(&self, now: Time, key: &EntryKey) -> bool {
        let unix_ms = self.unix_ms(now);
        self.set.get(key).is_some_and(|e| !e.released && e.expires_unix_ms > unix_ms)
    }

    /// Returns the time at which the driver must send the next [`Event::Tick`], if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        let load = match self.load {
            LoadState::Due(at) => Some(at),
            _ => None,
        };
        let writes = self.writes.values().filter_map(|write| match write {
            PendingWrite::Due(at) => Some(*at),
            PendingWrite::Outstanding(_) => None,
        });
        let expiry = self.set.next_expiry().map(|unix_ms| self.time_from_unix_ms(unix_ms));
        writes.chain(load).chain(expiry).min()
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => {
                self.started = now;
                self.load = LoadState::Due(now);
            }
            Event::Quarantined { service, fingerprint, crashes, duration } => {
                self.quarantine(now, (service, fingerprint), crashes, duration, out);
            }
            Event::Release { service, fingerprint } => self.release(now, service, fingerprint, out),
            Event::PeerEntries(entries) => {
                self.apply_entries(now, &entries, out);
            }
            // Arrives with every heartbeat, so it skips the expiry and store checks below.
            Event::PeerDigest { instance, digest } => {
                return self.on_peer_digest(now, instance, digest, out);
            }
            Event::StoreEntries(entries) => self.on_store_entries(now, &entries, out),
            Event::StoreUnreachable => {
                if self.load == LoadState::Outstanding {
                    self.load = LoadState::Due(now + self.settings.store_retry);
                }
            }
            Event::StoreWrite { key, result } => self.on_store_write(now, key, result),
            Event::Tick => {}
        }
        self.set.expire(self.unix_ms(now));
        self.call_store(now, out);
    }

    /// Applies an entry created by this instance and sends it to all peers and to the store.
    fn publish(&mut self, now: Time, entry: QuarantineEntry, out: &mut Vec<Action>) {
        let key = entry_key(&entry);
        let Some(held) = self.set.insert(&entry).cloned() else { return };
        out.push(self.apply_action(&held));
        out.push(Action::PushAll(vec![held]));
        self.schedule_write(now, key);
    }

    /// Creates the entry of a fingerprint that the query engine quarantined. Its expiry is later than
    /// that of a known release, so it overrides the release even if the clock of the instance that
    /// created the release is ahead.
    fn quarantine(
        &mut self,
        now: Time,
        key: EntryKey,
        crashes: u32,
        duration: Duration,
        out: &mut Vec<Action>,
    ) {
        let release = self.set.get(&key).filter(|held| held.released);
        let min_expiry = release.map_or(0, |held| held.expires_unix_ms + 1);
        let (service, fingerprint) = key;
        let entry = QuarantineEntry {
            service,
            fingerprint,
            crashes,
            expires_unix_ms: self
                .unix_ms(now + duration.min(self.settings.duration))
                .max(min_expiry),
            released: false,
        };
        self.publish(now, entry, out);
    }

    /// Creates a release. It must override every earlier entry, including entries with a later expiry
    /// that other instances created at about the same time, so it uses the latest expiry that such
    /// an entry can have.
    fn release(&mut self, now: Time, service: ServiceId, fp: Fingerprint, out: &mut Vec<Action>) {
        let key = (service, fp);
        let held = self.set.get(&key);
        let expires = self.max_expiry_unix_ms(now).max(held.map_or(0, |e| e.expires_unix_ms));
        let entry = QuarantineEntry {
            crashes: held.map_or(0, |e| e.crashes),
            service: key.0,
            fingerprint: fp,
            expires_unix_ms: expires,
            released: true,
        };
        self.publish(now, entry, out);
    }

    /// Merges entries from peers or the store and applies those that change the set.
    fn apply_entries(&mut self, now: Time, entries: &[QuarantineEntry], out: &mut Vec<Action>) {
        let unix_ms = self.unix_ms(now);
        for entry in entries.iter().filter(|e| e.expires_unix_ms > unix_ms) {
            if let Some(held) = self.set.insert(entry).cloned() {
                out.push(self.apply_action(&held));
            }
        }
    }

    /// Handles the entries loaded from the store. Entries that the store lacks are written, because
    /// the instance that created them may have died before its write. Expired ones are deleted.
    fn on_store_entries(&mut self, now: Time, stored: &[QuarantineEntry], out: &mut Vec<Action>) {
        self.load = LoadState::Done;
        self.apply_entries(now, stored, out);
        let missing: Vec<EntryKey> =
            self.set.iter().filter(|entry| !stored.contains(entry)).map(entry_key).collect();
        for key in missing {
            self.schedule_write(now, key);
        }
        let unix_ms = self.unix_ms(now);
        let expired = |e: &&QuarantineEntry| e.expires_unix_ms + CLOCK_SKEW_MS <= unix_ms;
        let old = stored.iter().filter(expired);
        out.extend(old.map(|entry| Action::DeleteStore { key: entry_key(entry) }));
    }

    /// Pushes the whole set to a peer with a different digest, which lacks an entry or has one that is
    /// missing here. Each side pushes its own set, so both end up with the union.
    fn on_peer_digest(
        &mut self,
        now: Time,
        instance: InstanceId,
        digest: u64,
        out: &mut Vec<Action>,
    ) {
        if self.set.is_empty() || digest == self.set.digest() {
            return;
        }
        let interval = self.settings.push_interval;
        self.last_pushes.retain(|_, at| now < *at + interval);
        if self.last_pushes.contains_key(&instance) {
            return;
        }
        self.last_pushes.insert(instance.clone(), now);
        out.push(Action::PushTo { instance, entries: self.set.iter().cloned().collect() });
    }

    fn schedule_write(&mut self, now: Time, key: EntryKey) {
        // A pending write is kept. If it is outstanding with an older entry, `on_store_write`
        // schedules another write when it completes.
        self.writes.entry(key).or_insert(PendingWrite::Due(now));
    }

    fn on_store_write(&mut self, now: Time, key: EntryKey, result: WriteResult) {
        let Some(PendingWrite::Outstanding(entry)) = self.writes.get(&key) else { return };
        let is_current = self.set.get(&key).is_none_or(|held| held == entry);
        match result {
            WriteResult::Written if is_current => {
                self.writes.remove(&key);
            }
            WriteResult::Written => {
                self.writes.insert(key, PendingWrite::Due(now));
            }
            WriteResult::Failed => {
                self.writes.insert(key, PendingWrite::Due(now + self.settings.store_retry));
            }
        }
    }

    fn call_store(&mut self, now: Time, out: &mut Vec<Action>) {
        if matches!(self.load, LoadState::Due(at) if at <= now) {
            self.load = LoadState::Outstanding;
            out.push(Action::LoadStore);
        }
        let set = &self.set;
        // Drops due writes of entries that have expired or no longer exist.
        self.writes.retain(|key, write| match write {
            PendingWrite::Due(_) => set.get(key).is_some(),
            PendingWrite::Outstanding(_) => true,
        });
        for (key, write) in &mut self.writes {
            let due = matches!(write, PendingWrite::Due(at) if *at <= now);
            if let Some(entry) = set.get(key).filter(|_| due) {
                *write = PendingWrite::Outstanding(entry.clone());
                out.push(Action::WriteStore(entry.clone()));
            }
        }
    }

    /// Returns the action that makes the query engine refuse or release a fingerprint.
    fn apply_action(&self, entry: &QuarantineEntry) -> Action {
        let until =
            if entry.released { Time::ZERO } else { self.time_from_unix_ms(entry.expires_unix_ms) };
        let (service, fingerprint) = (entry.service.clone(), entry.fingerprint);
        Action::Apply { service, fingerprint, until }
    }

    /// Returns the latest expiry of an entry created at the given time.
    fn max_expiry_unix_ms(&self, now: Time) -> u64 {
        self.unix_ms(now + self.settings.duration)
    }

    fn unix_ms(&self, now: Time) -> u64 {
        let ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.settings.unix_ms_at_zero.saturating_add(ms)
    }

    fn time_from_unix_ms(&self, unix_ms: u64) -> Time {
        Duration::from_millis(unix_ms.saturating_sub(self.settings.unix_ms_at_zero))
    }
}
