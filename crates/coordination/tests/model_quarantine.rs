//! Model check of quarantine sharing: a caller repeats one request that crashes every upstream
//! that runs it, while instances restart, messages are lost or late, the store is cut off and an
//! operator releases the fingerprint.
//!
//! Entries of an instance can reach a peer at any time, which covers pushes and the exchange
//! after a digest that differs. The clock stands still, so entries have equal expiries, which is
//! the hardest case for the merge.

use std::time::Duration;

use rosemarybank_coordination::quarantine::{
    Action, EntrySet, Event, Machine, Settings, WriteResult, entry_key,
};
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::{platform::QuarantineEntry, prelude::*};

const NOW: Time = Time::ZERO;
const FINGERPRINT: Fingerprint = 7;
/// Crash signs after which an engine condemns a fingerprint.
const SIGNS: u8 = 2;

/// The guard that a variant removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Guard {
    AllKept,
    /// Requests are taken before the stored entries are loaded.
    LoadBeforeServing,
    /// The duration of an entry starts anew at each receiver.
    ExpiryTravels,
    /// Entries of peers and of the store are dropped.
    Sharing,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Instance {
    machine: Machine,
    /// Outstanding read of the stored entries.
    loading: bool,
    writing: Option<QuarantineEntry>,
    serving: bool,
    /// Whether it started after the entry was stored and its read was answered.
    informed: bool,
    /// Crash signs since the last condemnation.
    signs: u8,
    /// Whether the last thing it learned was an operator's release.
    released: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    guard: Guard,
    instances: Vec<Instance>,
    store: EntrySet,
    delayed: Option<(usize, Vec<QuarantineEntry>)>,
    /// Upstreams crashed before the first release.
    crashes: u8,
    /// Process starts that had no way to learn of the entry.
    uninformed: u8,
    restarts: u8,
    outages: u8,
    delays: u8,
    releases: u8,
    condemned_since_release: bool,
    was_released: bool,
    broken: Option<&'static str>,
}

#[derive(Clone, Copy)]
struct Bounds {
    instances: u8,
    restarts: u8,
    outages: u8,
    delays: u8,
    releases: u8,
}

impl World {
    fn new(guard: Guard, bounds: Bounds) -> World {
        let mut world = World {
            guard,
            instances: Vec::new(),
            store: EntrySet::default(),
            delayed: None,
            crashes: 0,
            uninformed: bounds.instances,
            restarts: bounds.restarts,
            outages: bounds.outages,
            delays: bounds.delays,
            releases: bounds.releases,
            condemned_since_release: false,
            was_released: false,
            broken: None,
        };
        for i in 0..usize::from(bounds.instances) {
            world.instances.push(started());
            world.feed(i, Event::Start);
            world.load(i);
        }
        world
    }

    fn feed(&mut self, i: usize, event: Event) {
        let event = match (self.guard, event) {
            (Guard::Sharing, Event::PeerEntries(_)) => Event::PeerEntries(Vec::new()),
            (Guard::Sharing, Event::StoreEntries(_)) => Event::StoreEntries(Vec::new()),
            (Guard::ExpiryTravels, Event::PeerEntries(mut entries)) => {
                for entry in entries.iter_mut().filter(|e| !e.released) {
                    entry.expires_unix_ms += 1;
                }
                Event::PeerEntries(entries)
            }
            (_, event) => event,
        };
        let mut out = Vec::new();
        self.instances[i].machine.handle(NOW, event, &mut out);
        for action in out {
            match action {
                Action::LoadStore => self.instances[i].loading = true,
                Action::WriteStore(entry) => self.instances[i].writing = Some(entry),
                Action::Apply { until, .. } => self.applied(i, until),
                Action::PushAll(_) | Action::PushTo { .. } | Action::DeleteStore { .. } => {}
            }
        }
        if self.guard == Guard::LoadBeforeServing || self.instances[i].machine.is_loaded(NOW) {
            self.instances[i].serving = true;
        }
    }

    /// The engine learns that a fingerprint is refused or released.
    fn applied(&mut self, i: usize, until: Time) {
        if until > NOW && self.instances[i].released && !self.condemned_since_release {
            self.broken = Some("a released fingerprint came back without a crash");
        }
        self.instances[i].released = until <= NOW;
    }

    /// The instance reads the stored entries.
    fn load(&mut self, i: usize) {
        self.instances[i].loading = false;
        let entries: Vec<_> = self.store.iter().cloned().collect();
        self.instances[i].informed |= entries.iter().any(|e| !e.released);
        self.feed(i, Event::StoreEntries(entries));
    }

    fn refuses(&self, i: usize) -> bool {
        self.instances[i].machine.is_quarantined(NOW, &("s".into(), FINGERPRINT))
    }

    /// The caller's request crashes an upstream.
    fn crash(&mut self, i: usize) {
        self.crashes += u8::from(!self.was_released);
        if self.instances[i].informed && !self.instances[i].released {
            self.broken = Some("an instance that started after the entry crashed an upstream");
        }
        self.instances[i].signs += 1;
        if self.instances[i].signs < SIGNS {
            return;
        }
        self.instances[i].signs = 0;
        self.condemned_since_release = true;
        let crashes = u32::from(SIGNS);
        let duration = Duration::from_secs(600);
        let (service, fingerprint) = ("s".into(), FINGERPRINT);
        let event = Event::Quarantined { service, fingerprint, crashes, duration };
        self.feed(i, event);
        if !self.refuses(i) {
            self.broken = Some("a condemned fingerprint is not refused");
        }
    }

    fn instance_steps(&self, i: usize, steps: &mut Vec<(String, World)>) {
        let mut step = |label: &str, change: &dyn Fn(&mut World)| {
            let mut w = self.clone();
            change(&mut w);
            steps.push((format!("{i}: {label}"), w));
        };
        let instance = &self.instances[i];
        if instance.serving && !self.refuses(i) {
            step("the request crashes an upstream", &|w| w.crash(i));
        }
        if instance.loading {
            step("reads the stored entries", &|w| w.load(i));
            if self.outages > 0 {
                step("can't read the store in time and serves", &|w| {
                    w.outages -= 1;
                    w.instances[i].loading = false;
                    w.feed(i, Event::StoreUnreachable);
                    w.uninformed += 1;
                    w.instances[i].serving = true;
                });
            }
        }
        if let Some(entry) = &instance.writing {
            step("writes its entry", &|w| w.write(i, entry, WriteResult::Written));
            if self.outages > 0 {
                step("writes its entry, the reply is lost", &|w| {
                    w.outages -= 1;
                    w.write(i, entry, WriteResult::Failed);
                });
            }
        }
        for to in (0..self.instances.len()).filter(|to| *to != i) {
            let entries: Vec<_> = instance.machine.entries().iter().cloned().collect();
            if entries.is_empty() {
                continue;
            }
            step(&format!("entries reach {to}"), &|w| {
                w.feed(to, Event::PeerEntries(entries.clone()));
            });
            if self.delays > 0 && self.delayed.is_none() {
                step(&format!("entries for {to} are delayed"), &|w| {
                    w.delays -= 1;
                    w.delayed = Some((to, entries.clone()));
                });
            }
        }
        if self.releases > 0 && self.refuses(i) {
            step("an operator releases the fingerprint", &|w| {
                w.releases -= 1;
                w.condemned_since_release = false;
                w.was_released = true;
                let event = Event::Release { service: "s".into(), fingerprint: FINGERPRINT };
                w.feed(i, event);
            });
        }
        if self.restarts > 0 {
            step("restarts", &|w| {
                w.restarts -= 1;
                w.uninformed += u8::from(w.store.iter().all(|e| e.released));
                w.instances[i] = started();
                w.feed(i, Event::Start);
            });
        }
    }

    fn write(&mut self, i: usize, entry: &QuarantineEntry, result: WriteResult) {
        self.store.insert(entry);
        self.instances[i].writing = None;
        self.feed(i, Event::StoreWrite { key: entry_key(entry), result });
    }
}

fn started() -> Instance {
    let settings =
        Settings::builder().unix_ms_at_zero(1_000_000_000_000).store_retry(Duration::ZERO).build();
    Instance {
        machine: Machine::new(settings),
        loading: false,
        writing: None,
        serving: false,
        informed: false,
        signs: 0,
        released: false,
    }
}

impl Model for World {
    fn steps(&self) -> Vec<(String, World)> {
        let mut steps = Vec::new();
        for i in 0..self.instances.len() {
            self.instance_steps(i, &mut steps);
        }
        if let Some((to, entries)) = &self.delayed {
            let mut w = World { delayed: None, ..self.clone() };
            w.feed(*to, Event::PeerEntries(entries.clone()));
            steps.push((format!("delayed entries reach {to}"), w));
        }
        steps
    }

    fn violation(&self) -> Option<String> {
        if self.broken.is_some() {
            return self.broken.map(String::from);
        }
        // Each process start that can't know the entry costs at most the signs of one condemnation.
        let bound = SIGNS * self.uninformed;
        (self.crashes > bound).then(|| "more crashes than allowed".into())
    }
}

const FLEET: Bounds = Bounds { instances: 3, restarts: 2, outages: 1, delays: 0, releases: 0 };
const RELEASE: Bounds = Bounds { instances: 2, restarts: 1, outages: 0, delays: 1, releases: 1 };
const WIDE: Bounds = Bounds { instances: 2, restarts: 2, outages: 1, delays: 1, releases: 1 };

#[test]
fn crashes_across_the_fleet_are_bounded() {
    assert_holds("quarantine, fleet", World::new(Guard::AllKept, FLEET), 30_000);
}

#[test]
fn a_release_holds_until_the_next_crash() {
    assert_holds("quarantine, release", World::new(Guard::AllKept, RELEASE), 50_000);
}

/// All faults of the checks above together.
#[test]
#[ignore = "1.1 million states, 80 s in the dev profile"]
fn all_faults_together_keep_the_bounds() {
    assert_holds("quarantine, wide", World::new(Guard::AllKept, WIDE), 1_000_000);
}

#[test]
fn without_the_load_a_restarted_instance_crashes_upstreams_again() {
    let violation = "more crashes than allowed";
    let world = World::new(Guard::LoadBeforeServing, FLEET);
    assert_violates("quarantine without load", world, violation);
}

#[test]
fn without_sharing_a_restarted_instance_crashes_upstreams_again() {
    let violation = "an instance that started after the entry crashed an upstream";
    let world = World::new(Guard::Sharing, FLEET);
    assert_violates("quarantine without sharing", world, violation);
}

#[test]
fn with_durations_that_start_anew_a_release_does_not_hold() {
    let world = World::new(Guard::ExpiryTravels, RELEASE);
    let violation = "a released fingerprint came back without a crash";
    assert_violates("quarantine with new durations", world, violation);
}
