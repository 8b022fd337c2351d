//! Model check of the list of replicas: the store fails and returns, entries of live replicas
//! expire meanwhile and come back, replicas leave, crash or start again under the same id, and an
//! instance that is cut off from the store serves one that follows it.

mod forward_harness;

use std::{collections::BTreeMap, time::Duration};

use forward_harness::replica;
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Directory, ReplicaInfo,
    directory::{Change, ListUpdate, UpdateOutcome},
};

/// Time of a step: instances read the store about this often.
const STEP: Duration = Duration::from_millis(650);
/// Steps after the return of the store in which live replicas register again.
const RETURN_STEPS: u8 = 3;
/// Steps after which a lifetime that has registered must be listed in place of the one before.
const RENEWED_STEPS: u8 = 4;
/// Steps of an outage before entries of live replicas expire: three of their heartbeats.
const EXPIRY_STEPS: u8 = 5;
/// Steps without an entry, with the store in reach, after which a replica must not be listed.
const GONE_STEPS: u8 = 8;
/// Steps after which a follower without fresh news reads the store itself.
const STALE_STEPS: u8 = 2;
const IDS: [&str; 2] = ["r1", "r2"];

const LOST: &str = "a live replica is not listed";
const KEPT: &str = "a replica that is gone is still listed";
const BACK: &str = "a replica that is gone was taken up again";
const OLD: &str = "an earlier lifetime is listed";

/// The guard that a variant removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Guard {
    AllKept,
    /// An outage is not noted.
    Grace,
    /// Old news are taken for fresh ones.
    Age,
    /// Entries that are only kept are passed on.
    Listed,
    /// News from before the follower's own read are used.
    Order,
    /// Another start under the same id is the same replica.
    Lifetime,
}

/// How much may happen.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    /// Steps of time.
    steps: u8,
    outages: u8,
    /// Cuts between the reader and the store.
    cuts: u8,
    /// Replicas that leave.
    ends: u8,
    rebirths: u8,
}

/// An outage in which entries expire, and a replica that leaves.
const OUTAGE: Bounds = Bounds { steps: 12, outages: 1, cuts: 0, ends: 1, rebirths: 0 };

/// A reader that is cut off while replicas leave and start again.
const CUT: Bounds = Bounds { steps: 7, outages: 0, cuts: 1, ends: 1, rebirths: 1 };

/// All of them, without the time in which entries expire.
const ALL: Bounds = Bounds { steps: 5, outages: 1, cuts: 1, ends: 1, rebirths: 1 };

/// An instance with its list.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Instance {
    directory: Directory,
    /// Steps since its news were read from the store.
    age: u8,
    /// Steps for which it has been able to read the store, or fresh news.
    in_touch: u8,
    /// Replicas that it has dropped since they left.
    dropped: [bool; 2],
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Replica {
    is_alive: bool,
    born_ms: u64,
    /// Steps since its entry was last there.
    absent: u8,
    /// Steps for which the store has had the entry of this lifetime.
    registered: u8,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    guard: Guard,
    step: u8,
    store_is_up: bool,
    /// Steps since the store failed or returned.
    since_turn: u8,
    reader_is_cut_off: bool,
    replicas: [Replica; 2],
    entries: BTreeMap<ReplicaId, ReplicaInfo>,
    reader: Instance,
    follower: Instance,
    /// Number of the reader's changes that the follower has.
    followed: u64,
    /// What may still happen.
    left: Bounds,
}

impl ModelState {
    /// Two replicas; one may end and one may start again.
    fn new(guard: Guard, left: Bounds) -> ModelState {
        let entries: BTreeMap<ReplicaId, ReplicaInfo> =
            IDS.iter().map(|it| ((*it).into(), replica(it, "s", "a"))).collect();
        let mut directory = Directory::default();
        directory.set_store_reachable(Time::ZERO, Time::ZERO);
        directory.replace(Time::ZERO, entries.values().cloned());
        let followed = directory.seq();
        let instance = Instance { directory, age: 0, in_touch: GONE_STEPS, dropped: [false; 2] };
        let alive = Replica { is_alive: true, born_ms: 1, absent: 0, registered: RENEWED_STEPS };
        ModelState {
            guard,
            step: 0,
            store_is_up: true,
            since_turn: RETURN_STEPS,
            reader_is_cut_off: false,
            replicas: [alive.clone(), alive],
            entries,
            reader: instance.clone(),
            follower: instance,
            followed,
            left,
        }
    }

    fn now(&self) -> Time {
        STEP * u32::from(self.step)
    }

    /// A step of time: replicas register, then the reader looks, then the follower asks it or not.
    fn pass(&self, follower_asks: bool) -> ModelState {
        let mut next = self.clone();
        next.step += 1;
        next.since_turn = next.since_turn.saturating_add(1);
        for (id, it) in IDS.iter().zip(&mut next.replicas) {
            if next.store_is_up && it.is_alive && next.since_turn >= RETURN_STEPS {
                let info = ReplicaInfo { born_ms: it.born_ms, ..replica(id, "s", "a") };
                next.entries.insert((*id).into(), info);
            }
            let entry = next.entries.get(*id);
            let is_current = entry.is_some_and(|entry| entry.born_ms == it.born_ms);
            it.registered = if is_current { it.registered.saturating_add(1) } else { 0 };
            it.absent = if next.entries.contains_key(*id) { 0 } else { it.absent + 1 };
        }
        let (now, guard) = (next.now(), next.guard);
        let reads = next.store_is_up && !next.reader_is_cut_off;
        next.reader.look(now, guard, reads, &next.entries);
        next.follow(follower_asks);
        for it in [&mut next.reader, &mut next.follower] {
            let listed: Vec<ReplicaId> =
                it.directory.usable_replicas().into_iter().map(|it| it.id).collect();
            for (index, id) in IDS.iter().enumerate() {
                let is_gone = !next.replicas[index].is_alive && !next.entries.contains_key(*id);
                it.dropped[index] =
                    is_gone && (it.dropped[index] || !listed.contains(&(*id).into()));
            }
        }
        next
    }

    fn follow(&mut self, asks: bool) {
        let (now, guard) = (self.now(), self.guard);
        let source = &self.reader;
        let news = match source.directory.changes_since(self.followed) {
            _ if guard == Guard::Listed => ListUpdate::All(source.directory.usable_replicas()),
            Some(changes) => ListUpdate::Changes(changes),
            None => ListUpdate::All(source.directory.stored_replicas()),
        };
        let age = match guard {
            Guard::Age => Duration::ZERO,
            _ => STEP * u32::from(source.age),
        };
        let it = &mut self.follower;
        let outcome = match asks {
            true => it.directory.apply_update(now, Some(age), news),
            false => UpdateOutcome::TooOld,
        };
        if outcome == UpdateOutcome::Applied {
            self.followed = source.directory.seq();
            it.age = if guard == Guard::Age { 0 } else { source.age };
            it.in_touch = it.in_touch.saturating_add(1);
            it.directory.tick(now);
            return;
        }
        it.age = it.age.saturating_add(1);
        if it.age >= STALE_STEPS {
            it.look(now, guard, self.store_is_up, &self.entries);
        }
    }
}

impl Instance {
    fn look(
        &mut self,
        now: Time,
        guard: Guard,
        reads: bool,
        entries: &BTreeMap<ReplicaId, ReplicaInfo>,
    ) {
        if !reads {
            if guard != Guard::Grace {
                self.directory.set_store_unreachable();
            }
            (self.age, self.in_touch) = (self.age.saturating_add(1), 0);
            return;
        }
        let requested_at = if guard == Guard::Order { Time::ZERO } else { now };
        self.directory.set_store_reachable(now, requested_at);
        let list = entries.values().cloned().map(|it| match guard {
            Guard::Lifetime => ReplicaInfo { born_ms: 1, ..it },
            _ => it,
        });
        self.directory.replace(now, list);
        self.directory.tick(now);
        (self.age, self.in_touch) = (0, self.in_touch.saturating_add(1));
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<(String, ModelState)> {
        let mut out = Vec::new();
        if self.step < self.left.steps {
            out.push(("time passes".into(), self.pass(true)));
            out.push(("time passes, the follower does not ask".into(), self.pass(false)));
        }
        let mut add = |label: &str, change: &dyn Fn(&mut ModelState)| {
            let mut next = self.clone();
            change(&mut next);
            out.push((label.into(), next));
        };
        match self.store_is_up {
            true if self.left.outages > 0 => add("the store fails", &|it| {
                it.store_is_up = false;
                it.since_turn = 0;
                it.left.outages -= 1;
            }),
            false => add("the store returns", &|it| {
                it.store_is_up = true;
                it.since_turn = 0;
            }),
            true => {}
        }
        match self.reader_is_cut_off {
            false if self.left.cuts > 0 => add("the reader is cut off", &|it| {
                it.reader_is_cut_off = true;
                it.left.cuts -= 1;
            }),
            true => add("the reader is back", &|it| it.reader_is_cut_off = false),
            false => {}
        }
        for (index, id) in IDS.iter().enumerate() {
            let it = &self.replicas[index];
            let expires = !self.store_is_up && self.since_turn >= EXPIRY_STEPS;
            if expires && self.entries.contains_key(*id) {
                add("an entry expires during the outage", &|it| {
                    it.entries.remove(*id);
                });
            }
            if it.is_alive && self.left.ends > 0 && self.store_is_up {
                add("a replica leaves", &|it| {
                    it.left.ends -= 1;
                    it.replicas[index].is_alive = false;
                    it.entries.remove(*id);
                });
            }
            if it.is_alive && self.left.rebirths > 0 {
                add("a replica starts again under its id", &|it| {
                    it.left.rebirths -= 1;
                    it.replicas[index].born_ms += 1;
                    it.replicas[index].registered = 0;
                });
            }
        }
        out
    }

    fn violation(&self) -> Option<String> {
        for instance in [&self.reader, &self.follower] {
            let list = instance.directory.usable_replicas();
            for (index, id) in IDS.iter().enumerate() {
                let truth = &self.replicas[index];
                let listed = list.iter().find(|it| it.id == *id);
                let is_old = listed.is_some_and(|it| it.born_ms != truth.born_ms);
                let renewed = truth.registered.min(instance.in_touch);
                let absent = truth.absent.min(instance.in_touch);
                match (truth.is_alive, listed.is_some()) {
                    (true, false) => return Some(LOST.into()),
                    (true, true) if is_old && renewed >= RENEWED_STEPS => return Some(OLD.into()),
                    (false, true) if absent >= GONE_STEPS => return Some(KEPT.into()),
                    (false, true) if instance.dropped[index] => return Some(BACK.into()),
                    _ => {}
                }
            }
        }
        None
    }
}

#[test]
fn an_outage_of_the_store_costs_no_live_replica() {
    assert_holds("outage", ModelState::new(Guard::AllKept, OUTAGE), 10_000);
}

#[test]
fn a_reader_that_is_cut_off_brings_nothing_back() {
    assert_holds("cut", ModelState::new(Guard::AllKept, CUT), 10_000);
}

#[test]
fn live_replicas_stay_listed_and_others_do_not() {
    assert_holds("all", ModelState::new(Guard::AllKept, ALL), 10_000);
}

/// Entries of live replicas expire while the store is away.
#[test]
fn without_the_grace_an_outage_loses_live_replicas() {
    assert_violates("no grace", ModelState::new(Guard::Grace, OUTAGE), LOST);
}

/// An instance that can't read the store goes on passing on what it had.
#[test]
fn without_the_age_old_news_end_the_grace() {
    assert_violates("no age", ModelState::new(Guard::Age, OUTAGE), LOST);
}

#[test]
fn passing_on_kept_entries_brings_back_a_replica_that_left() {
    assert_violates("kept entries", ModelState::new(Guard::Listed, CUT), BACK);
}

/// The follower has read the store itself while the reader was cut off.
#[test]
fn taking_older_news_brings_back_a_replica_that_left() {
    assert_violates("older news", ModelState::new(Guard::Order, CUT), BACK);
}

#[test]
fn without_the_lifetime_an_earlier_one_stays_listed() {
    assert_violates("no lifetime", ModelState::new(Guard::Lifetime, CUT), OLD);
}

/// A change of an entry reaches the list by any way.
#[test]
fn an_absent_entry_of_a_stable_store_goes_at_once() {
    let mut directory = ModelState::new(Guard::AllKept, CUT).reader.directory;
    directory.apply(STEP, Change::Absent("r1".into()));
    assert_eq!(directory.usable_replicas().len(), 1);
}
