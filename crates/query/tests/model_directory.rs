//! Model check of the replica directory. The store fails and recovers, entries of live replicas
//! expire and are written again, replicas leave or restart under the same id, and a reader that is
//! cut off from the store sends updates to a follower.

mod forward_harness;

use std::{collections::BTreeMap, time::Duration};

use forward_harness::replica;
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Directory, ReplicaInfo,
    directory::{Change, ListUpdate, UpdateOutcome},
};

/// Duration of a step: roughly the interval at which instances read the store.
const STEP: Duration = Duration::from_millis(650);
/// Steps after a recovery of the store within which live replicas register again.
const REREGISTRATION_STEPS: u8 = 3;
/// Steps after the registration of a restarted replica within which its new lifetime must be listed
/// instead of the previous one.
const RENEWAL_STEPS: u8 = 4;
/// Steps of an outage until entries of live replicas expire: three heartbeat intervals.
const EXPIRY_STEPS: u8 = 5;
/// Steps without an entry in a reachable store after which a replica must not be listed.
const REMOVAL_STEPS: u8 = 8;
/// Steps without a recent update after which a follower reads the store itself.
const STALE_STEPS: u8 = 2;
const IDS: [&str; 2] = ["r1", "r2"];

const LIVE_NOT_LISTED: &str = "a live replica is not listed";
const STOPPED_STILL_LISTED: &str = "a stopped replica is still listed";
const STOPPED_LISTED_AGAIN: &str = "a stopped replica was added again";
const OLD_LIFETIME_LISTED: &str = "an earlier lifetime is listed";

/// The safeguard that a variant of the model removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Variant {
    Unchanged,
    /// Outages of the store are ignored.
    NoGracePeriod,
    /// Old updates are treated as recent.
    NoAgeLimit,
    /// Entries that are kept only for the grace period are sent to followers.
    SendsKeptEntries,
    /// Updates from before the follower's own read are applied.
    NoOrderCheck,
    /// A replica that restarted under the same id is treated as the same lifetime.
    NoLifetimes,
}

/// Maximum number of each kind of event.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    /// Time steps.
    steps: u8,
    outages: u8,
    /// Times that the reader is cut off from the store.
    disconnects: u8,
    /// Replicas that leave.
    departures: u8,
    restarts: u8,
}

/// An outage long enough for entries to expire, and a replica that leaves.
const OUTAGE: Bounds = Bounds { steps: 12, outages: 1, disconnects: 0, departures: 1, restarts: 0 };

/// A reader that is cut off while replicas leave and restart.
const DISCONNECT: Bounds =
    Bounds { steps: 7, outages: 0, disconnects: 1, departures: 1, restarts: 1 };

/// All events, in a time too short for entries to expire.
const ALL_EVENTS: Bounds =
    Bounds { steps: 5, outages: 1, disconnects: 1, departures: 1, restarts: 1 };

/// An instance and its directory.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Instance {
    directory: Directory,
    /// Steps since its data was read from the store.
    age: u8,
    /// Steps for which it has been able to read the store or had recent updates.
    connected_steps: u8,
    /// Stopped replicas that it has removed.
    removed: [bool; 2],
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Replica {
    is_alive: bool,
    born_ms: u64,
    /// Steps since the store last had its entry.
    absent_steps: u8,
    /// Steps for which the store has had the entry of this lifetime.
    registered_steps: u8,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    variant: Variant,
    step: u8,
    store_is_up: bool,
    /// Steps since the store last failed or recovered.
    since_store_change: u8,
    reader_is_cut_off: bool,
    replicas: [Replica; 2],
    entries: BTreeMap<ReplicaId, ReplicaInfo>,
    reader: Instance,
    follower: Instance,
    /// Sequence number of the reader's changes up to which the follower is current.
    followed_seq: u64,
    /// Events that may still happen.
    remaining: Bounds,
}

impl ModelState {
    /// Returns a state with two registered replicas and a reachable store.
    fn new(variant: Variant, remaining: Bounds) -> ModelState {
        let entries: BTreeMap<ReplicaId, ReplicaInfo> =
            IDS.iter().map(|it| ((*it).into(), replica(it, "s", "a"))).collect();
        let mut directory = Directory::new(Duration::from_millis(1_500));
        directory.set_store_reachable(Time::ZERO, Time::ZERO);
        directory.replace(Time::ZERO, entries.values().cloned());
        let followed_seq = directory.seq();
        let instance =
            Instance { directory, age: 0, connected_steps: REMOVAL_STEPS, removed: [false; 2] };
        let alive = Replica {
            is_alive: true,
            born_ms: 1,
            absent_steps: 0,
            registered_steps: RENEWAL_STEPS,
        };
        ModelState {
            variant,
            step: 0,
            store_is_up: true,
            since_store_change: REREGISTRATION_STEPS,
            reader_is_cut_off: false,
            replicas: [alive.clone(), alive],
            entries,
            reader: instance.clone(),
            follower: instance,
            followed_seq,
            remaining,
        }
    }

    fn now(&self) -> Time {
        STEP * u32::from(self.step)
    }

    /// Advances by one step: replicas register, the reader reads the store, and the follower may
    /// ask the reader for an update.
    fn advance(&self, follower_asks: bool) -> ModelState {
        let mut next = self.clone();
        next.step += 1;
        next.since_store_change = next.since_store_change.saturating_add(1);
        for (id, it) in IDS.iter().zip(&mut next.replicas) {
            if next.store_is_up && it.is_alive && next.since_store_change >= REREGISTRATION_STEPS {
                let info = ReplicaInfo { born_ms: it.born_ms, ..replica(id, "s", "a") };
                next.entries.insert((*id).into(), info);
            }
            let entry = next.entries.get(*id);
            let is_current = entry.is_some_and(|entry| entry.born_ms == it.born_ms);
            it.registered_steps =
                if is_current { it.registered_steps.saturating_add(1) } else { 0 };
            it.absent_steps = if next.entries.contains_key(*id) { 0 } else { it.absent_steps + 1 };
        }
        let (now, variant) = (next.now(), next.variant);
        let reads = next.store_is_up && !next.reader_is_cut_off;
        next.reader.read_store(now, variant, reads, &next.entries);
        next.update_follower(follower_asks);
        for it in [&mut next.reader, &mut next.follower] {
            let listed: Vec<ReplicaId> =
                it.directory.usable_replicas().into_iter().map(|it| it.id).collect();
            for (index, id) in IDS.iter().enumerate() {
                let is_gone = !next.replicas[index].is_alive && !next.entries.contains_key(*id);
                it.removed[index] =
                    is_gone && (it.removed[index] || !listed.contains(&(*id).into()));
            }
        }
        next
    }

    fn update_follower(&mut self, asks: bool) {
        let (now, variant) = (self.now(), self.variant);
        let source = &self.reader;
        let update = match source.directory.changes_since(self.followed_seq) {
            _ if variant == Variant::SendsKeptEntries => {
                ListUpdate::All(source.directory.usable_replicas())
            }
            Some(changes) => ListUpdate::Changes(changes),
            None => ListUpdate::All(source.directory.stored_replicas()),
        };
        let age = match variant {
            Variant::NoAgeLimit => Duration::ZERO,
            _ => STEP * u32::from(source.age),
        };
        let it = &mut self.follower;
        let outcome = match asks {
            true => it.directory.apply_update(now, Some(age), update),
            false => UpdateOutcome::TooOld,
        };
        if outcome == UpdateOutcome::Applied {
            self.followed_seq = source.directory.seq();
            it.age = if variant == Variant::NoAgeLimit { 0 } else { source.age };
            it.connected_steps = it.connected_steps.saturating_add(1);
            it.directory.tick(now);
            return;
        }
        it.age = it.age.saturating_add(1);
        if it.age >= STALE_STEPS {
            it.read_store(now, variant, self.store_is_up, &self.entries);
        }
    }
}

impl Instance {
    fn read_store(
        &mut self,
        now: Time,
        variant: Variant,
        reads: bool,
        entries: &BTreeMap<ReplicaId, ReplicaInfo>,
    ) {
        if !reads {
            if variant != Variant::NoGracePeriod {
                self.directory.set_store_unreachable();
            }
            (self.age, self.connected_steps) = (self.age.saturating_add(1), 0);
            return;
        }
        let requested_at = if variant == Variant::NoOrderCheck { Time::ZERO } else { now };
        self.directory.set_store_reachable(now, requested_at);
        let list = entries.values().cloned().map(|it| match variant {
            Variant::NoLifetimes => ReplicaInfo { born_ms: 1, ..it },
            _ => it,
        });
        self.directory.replace(now, list);
        self.directory.tick(now);
        (self.age, self.connected_steps) = (0, self.connected_steps.saturating_add(1));
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<(String, ModelState)> {
        let mut out = Vec::new();
        if self.step < self.remaining.steps {
            out.push(("time passes".into(), self.advance(true)));
            out.push(("time passes, the follower does not ask".into(), self.advance(false)));
        }
        let mut add = |label: &str, change: &dyn Fn(&mut ModelState)| {
            let mut next = self.clone();
            change(&mut next);
            out.push((label.into(), next));
        };
        match self.store_is_up {
            true if self.remaining.outages > 0 => add("the store fails", &|it| {
                it.store_is_up = false;
                it.since_store_change = 0;
                it.remaining.outages -= 1;
            }),
            false => add("the store recovers", &|it| {
                it.store_is_up = true;
                it.since_store_change = 0;
            }),
            true => {}
        }
        match self.reader_is_cut_off {
            false if self.remaining.disconnects > 0 => add("the reader is cut off", &|it| {
                it.reader_is_cut_off = true;
                it.remaining.disconnects -= 1;
            }),
            true => add("the reader is reconnected", &|it| it.reader_is_cut_off = false),
            false => {}
        }
        for (index, id) in IDS.iter().enumerate() {
            let it = &self.replicas[index];
            let expires = !self.store_is_up && self.since_store_change >= EXPIRY_STEPS;
            if expires && self.entries.contains_key(*id) {
                add("an entry expires during the outage", &|it| {
                    it.entries.remove(*id);
                });
            }
            if it.is_alive && self.remaining.departures > 0 && self.store_is_up {
                add("a replica leaves", &|it| {
                    it.remaining.departures -= 1;
                    it.replicas[index].is_alive = false;
                    it.entries.remove(*id);
                });
            }
            if it.is_alive && self.remaining.restarts > 0 {
                add("a replica restarts under the same id", &|it| {
                    it.remaining.restarts -= 1;
                    it.replicas[index].born_ms += 1;
                    it.replicas[index].registered_steps = 0;
                });
            }
        }
        out
    }

    fn violation(&self) -> Option<String> {
        for instance in [&self.reader, &self.follower] {
            let list = instance.directory.usable_replicas();
            for (index, id) in IDS.iter().enumerate() {
                let actual = &self.replicas[index];
                let listed = list.iter().find(|it| it.id == *id);
                let is_old = listed.is_some_and(|it| it.born_ms != actual.born_ms);
                let renewed = actual.registered_steps.min(instance.connected_steps);
                let absent = actual.absent_steps.min(instance.connected_steps);
                match (actual.is_alive, listed.is_some()) {
                    (true, false) => return Some(LIVE_NOT_LISTED.into()),
                    (true, true) if is_old && renewed >= RENEWAL_STEPS => {
                        return Some(OLD_LIFETIME_LISTED.into());
                    }
                    (false, true) if absent >= REMOVAL_STEPS => {
                        return Some(STOPPED_STILL_LISTED.into());
                    }
                    (false, true) if instance.removed[index] => {
                        return Some(STOPPED_LISTED_AGAIN.into());
                    }
                    _ => {}
                }
            }
        }
        None
    }
}

#[test]
fn an_outage_of_the_store_removes_no_live_replica() {
    assert_holds("outage", ModelState::new(Variant::Unchanged, OUTAGE), 10_000);
}

#[test]
fn a_reader_that_is_cut_off_adds_no_stopped_replica() {
    assert_holds("disconnect", ModelState::new(Variant::Unchanged, DISCONNECT), 10_000);
}

#[test]
fn only_live_replicas_stay_listed() {
    assert_holds("all", ModelState::new(Variant::Unchanged, ALL_EVENTS), 10_000);
}

/// Entries of live replicas expire during the outage.
#[test]
fn without_the_grace_period_an_outage_removes_live_replicas() {
    assert_violates(
        "no grace period",
        ModelState::new(Variant::NoGracePeriod, OUTAGE),
        LIVE_NOT_LISTED,
    );
}

/// An instance that cannot read the store keeps sending its old data.
#[test]
fn without_the_age_limit_old_updates_end_the_grace_period() {
    assert_violates("no age limit", ModelState::new(Variant::NoAgeLimit, OUTAGE), LIVE_NOT_LISTED);
}

#[test]
fn sending_kept_entries_adds_a_stopped_replica() {
    assert_violates(
        "kept entries",
        ModelState::new(Variant::SendsKeptEntries, DISCONNECT),
        STOPPED_LISTED_AGAIN,
    );
}

/// The follower has read the store itself while the reader was cut off.
#[test]
fn applying_older_updates_adds_a_stopped_replica() {
    assert_violates(
        "older updates",
        ModelState::new(Variant::NoOrderCheck, DISCONNECT),
        STOPPED_LISTED_AGAIN,
    );
}

#[test]
fn without_lifetimes_an_old_one_stays_listed() {
    assert_violates(
        "no lifetimes",
        ModelState::new(Variant::NoLifetimes, DISCONNECT),
        OLD_LIFETIME_LISTED,
    );
}

/// With a reachable store, a single change removes an entry at once.
#[test]
fn an_entry_is_removed_at_once_while_the_store_is_reachable() {
    let mut directory = ModelState::new(Variant::Unchanged, DISCONNECT).reader.directory;
    directory.apply(STEP, Change::Absent("r1".into()));
    assert_eq!(directory.usable_replicas().len(), 1);
}
