//! Model check of quarantine replication: a caller repeats one request that crashes every upstream
//! that executes it, while instances restart, messages are lost or delayed, the store is unreachable
//! and an operator releases the fingerprint.
//!
//! Entries of an instance can reach a peer at any time, which covers pushes and the exchange after a
//! digest mismatch. The clock does not advance, so entries have equal expiries, which is the hardest
//! case for the merge.

use std::time::Duration;

use rosemarybank_coordination::quarantine::{
    Action, EntrySet, Event, Machine, Settings, WriteResult, entry_key,
};
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::{platform::QuarantineEntry, prelude::*};

const NOW: Time = Time::ZERO;
const FINGERPRINT: Fingerprint = 7;
/// Number of crash signs after which a query engine quarantines a fingerprint.
const CRASH_SIGN_LIMIT: u8 = 2;

/// The safety guard that a test disables, to verify that the model check detects its absence.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum DisabledGuard {
    None,
    /// Without it, requests are accepted before the stored entries are loaded.
    LoadBeforeServing,
    /// Without it, the duration of an entry starts again at each receiver.
    AbsoluteExpiry,
    /// Without it, entries from peers and from the store are dropped.
    Sharing,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Instance {
    machine: Machine,
    /// Whether a read of the stored entries is outstanding.
    loading: bool,
    writing: Option<QuarantineEntry>,
    serving: bool,
    /// Whether this process has read the entry from the store.
    loaded_entry: bool,
    /// Crash signs since this instance last quarantined the fingerprint.
    crash_signs: u8,
    /// Whether the last entry that was applied is a release.
    released: bool,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    disabled: DisabledGuard,
    instances: Vec<Instance>,
    store: EntrySet,
    delayed: Option<(usize, Vec<QuarantineEntry>)>,
    /// Number of upstreams that crashed before the first release.
    crashes: u8,
    /// Number of process starts that could not load the entry.
    starts_without_entry: u8,
    /// Restarts, outages, delays and releases that may still happen.
    restarts: u8,
    outages: u8,
    delays: u8,
    releases: u8,
    quarantined_since_release: bool,
    was_released: bool,
    violated: Option<&'static str>,
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
    fn new(disabled: DisabledGuard, bounds: Bounds) -> World {
        let mut world = World {
            disabled,
            instances: Vec::new(),
            store: EntrySet::default(),
            delayed: None,
            crashes: 0,
            starts_without_entry: bounds.instances,
            restarts: bounds.restarts,
            outages: bounds.outages,
            delays: bounds.delays,
            releases: bounds.releases,
            quarantined_since_release: false,
            was_released: false,
            violated: None,
        };
        for i in 0..usize::from(bounds.instances) {
            world.instances.push(new_instance());
            world.feed(i, Event::Start);
            world.load(i);
        }
        world
    }

    fn feed(&mut self, i: usize, event: Event) {
        let event = match (self.disabled, event) {
            (DisabledGuard::Sharing, Event::PeerEntries(_)) => Event::PeerEntries(Vec::new()),
            (DisabledGuard::Sharing, Event::StoreEntries(_)) => Event::StoreEntries(Vec::new()),
            (DisabledGuard::AbsoluteExpiry, Event::PeerEntries(mut entries)) => {
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
                Action::Apply { until, .. } => self.on_apply(i, until),
                Action::PushAll(_) | Action::PushTo { .. } | Action::DeleteStore { .. } => {}
            }
        }
        if self.disabled == DisabledGuard::LoadBeforeServing
            || self.instances[i].machine.is_loaded(NOW)
        {
            self.instances[i].serving = true;
        }
    }

    /// The query engine is told to refuse or release the fingerprint.
    fn on_apply(&mut self, i: usize, until: Time) {
        if until > NOW && self.instances[i].released && !self.quarantined_since_release {
            self.violated = Some("a released fingerprint was refused again without a crash");
        }
        self.instances[i].released = until <= NOW;
    }

    /// The instance reads the stored entries.
    fn load(&mut self, i: usize) {
        self.instances[i].loading = false;
        let entries: Vec<_> = self.store.iter().cloned().collect();
        self.instances[i].loaded_entry |= entries.iter().any(|e| !e.released);
        self.feed(i, Event::StoreEntries(entries));
    }

    fn refuses(&self, i: usize) -> bool {
        self.instances[i].machine.is_quarantined(NOW, &("s".into(), FINGERPRINT))
    }

    /// The request of the caller crashes an upstream.
    fn crash(&mut self, i: usize) {
        self.crashes += u8::from(!self.was_released);
        if self.instances[i].loaded_entry && !self.instances[i].released {
            self.violated = Some("an instance that started after the entry crashed an upstream");
        }
        self.instances[i].crash_signs += 1;
        if self.instances[i].crash_signs < CRASH_SIGN_LIMIT {
            return;
        }
        self.instances[i].crash_signs = 0;
        self.quarantined_since_release = true;
        let crashes = u32::from(CRASH_SIGN_LIMIT);
        let duration = Duration::from_secs(600);
        let (service, fingerprint) = ("s".into(), FINGERPRINT);
        let event = Event::Quarantined { service, fingerprint, crashes, duration };
        self.feed(i, event);
        if !self.refuses(i) {
            self.violated = Some("a quarantined fingerprint is not refused");
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
                step("fails to read the store in time and serves", &|w| {
                    w.outages -= 1;
                    w.instances[i].loading = false;
                    w.feed(i, Event::StoreUnreachable);
                    w.starts_without_entry += 1;
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
                w.quarantined_since_release = false;
                w.was_released = true;
                let event = Event::Release { service: "s".into(), fingerprint: FINGERPRINT };
                w.feed(i, event);
            });
        }
        if self.restarts > 0 {
            step("restarts", &|w| {
                w.restarts -= 1;
                w.starts_without_entry += u8::from(w.store.iter().all(|e| e.released));
                w.instances[i] = new_instance();
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

fn new_instance() -> Instance {
    let settings =
        Settings::builder().unix_ms_at_zero(1_000_000_000_000).store_retry(Duration::ZERO).build();
    Instance {
        machine: Machine::new(settings),
        loading: false,
        writing: None,
        serving: false,
        loaded_entry: false,
        crash_signs: 0,
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
        if self.violated.is_some() {
            return self.violated.map(String::from);
        }
        // Each process start that could not load the entry causes at most the number of crashes
        // that quarantines the fingerprint.
        let bound = CRASH_SIGN_LIMIT * self.starts_without_entry;
        (self.crashes > bound).then(|| "more crashes than allowed".into())
    }
}

const FLEET: Bounds = Bounds { instances: 3, restarts: 2, outages: 1, delays: 0, releases: 0 };
const RELEASE: Bounds = Bounds { instances: 2, restarts: 1, outages: 0, delays: 1, releases: 1 };
const COMBINED: Bounds = Bounds { instances: 2, restarts: 2, outages: 1, delays: 1, releases: 1 };

#[test]
fn crashes_across_the_fleet_are_bounded() {
    assert_holds("quarantine, fleet", World::new(DisabledGuard::None, FLEET), 30_000);
}

#[test]
fn a_release_holds_until_the_next_crash() {
    assert_holds("quarantine, release", World::new(DisabledGuard::None, RELEASE), 50_000);
}

/// Combines all faults of the checks above.
#[test]
#[ignore = "1.1 million states, 80 s in the dev profile"]
fn all_faults_together_keep_the_bounds() {
    assert_holds("quarantine, combined", World::new(DisabledGuard::None, COMBINED), 1_000_000);
}

#[test]
fn without_loading_stored_entries_a_restarted_instance_crashes_upstreams_again() {
    let violation = "more crashes than allowed";
    let world = World::new(DisabledGuard::LoadBeforeServing, FLEET);
    assert_violates("quarantine without loading", world, violation);
}

#[test]
fn without_sharing_a_restarted_instance_crashes_upstreams_again() {
    let violation = "an instance that started after the entry crashed an upstream";
    let world = World::new(DisabledGuard::Sharing, FLEET);
    assert_violates("quarantine without sharing", world, violation);
}

#[test]
fn restarting_the_duration_at_each_receiver_undoes_a_release() {
    let world = World::new(DisabledGuard::AbsoluteExpiry, RELEASE);
    let violation = "a released fingerprint was refused again without a crash";
    assert_violates("quarantine with restarted durations", world, violation);
}
