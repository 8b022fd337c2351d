//! Model check of the active configuration version: an operator writes while the store rejects
//! calls, loses or delays replies and compacts its history, other instances pass on old versions, and
//! the process restarts.

use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

use rosemarybank_coordination::source::{Member, Start};
use rosemarybank_daemon::platform::poller::{Poller, Resource, Update};
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    ClientLimits, Event, Forwarder, RetryBudget, RouteTable, Settings, membership::LEASE,
};
use serde_json::json;

/// Time between calls, longer than any interval or backoff of a poller.
const STEP: Duration = Duration::from_secs(10);
const STEPS: u32 = 12;
const WENT_BACK: &str = "the active version went back";
const MISSED: &str = "a version that was read is not active";

/// The safeguard that a variant of the model removes, to show that the check depends on it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum RemovedSafeguard {
    Nothing,
    /// A configuration is activated without comparing its version with the active one.
    VersionComparison,
    /// A watch from a compacted revision continues instead of getting 410.
    CompactionError,
}

/// A reply in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reply {
    status: u16,
    body: String,
    /// Version of the store when it replied.
    version: u64,
}

#[derive(Clone)]
struct ModelState {
    removed: RemovedSafeguard,
    step: u32,
    poller: Poller,
    forwarder: Forwarder,
    /// Highest version active since the start of the process.
    highest: u64,
    /// Version of the last reply that was received.
    read: u64,
    /// Target of the call in flight.
    in_flight: Option<String>,
    reply: Option<Reply>,
    /// Current version in the store, which is also its revision.
    version: u64,
    /// Oldest revision from which a watch can continue.
    oldest_revision: u64,
    /// Writes, faults and restarts that may still happen.
    writes: u32,
    faults: u32,
    restarts: u32,
    violation: Option<&'static str>,
}

fn forwarder() -> Forwarder {
    let budget = RetryBudget { ratio: 0.2, allowance: 10.0, window: LEASE };
    Forwarder::new(Settings { data_centre: "a".into(), region: Vec::new(), budget, seed: 1 })
}

fn poller() -> Poller {
    let own = Member {
        id: "m".into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        millicores: 250,
    };
    Poller::new(Resource::Config, own, Start::First)
}

fn object(version: u64) -> serde_json::Value {
    let limits = json!({
        "max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1, "idle_timeout_ms": 1
    });
    let spec = json!({ "version": version, "routes": [], "services": [], "limits": limits });
    json!({ "meta": { "name": "main", "revision": version }, "spec": spec })
}

impl ModelState {
    fn new(removed: RemovedSafeguard) -> ModelState {
        ModelState {
            removed,
            step: 0,
            poller: poller(),
            forwarder: forwarder(),
            highest: 0,
            read: 0,
            in_flight: None,
            reply: None,
            version: 1,
            oldest_revision: 1,
            writes: 2,
            faults: 2,
            restarts: 1,
            violation: None,
        }
    }

    fn now(&self) -> Time {
        STEP * self.step
    }

    fn active_version(&self) -> u64 {
        self.forwarder.table().map_or(0, |it| it.version)
    }

    /// The store replies to the call in flight from its current state.
    fn answer(&mut self, target: &str) {
        let since = target.split("watch=").nth(1).and_then(|it| it.split('&').next());
        let since: Option<u64> = since.map(|it| it.parse().expect("a revision"));
        let (status, body) = match since {
            None => (200, json!({ "items": [object(self.version)], "at": self.version })),
            Some(since)
                if since < self.oldest_revision
                    && self.removed != RemovedSafeguard::CompactionError =>
            {
                (410, json!({}))
            }
            Some(since) => {
                let has_no_events = since >= self.version || since < self.oldest_revision;
                let events = match has_no_events {
                    true => json!([]),
                    false => json!([{ "object": object(self.version), "deleted": false }]),
                };
                (200, json!({ "events": events, "at": self.version }))
            }
        };
        self.reply = Some(Reply { status, body: body.to_string(), version: self.version });
    }

    fn configure(&mut self, table: RouteTable) {
        if self.removed == RemovedSafeguard::VersionComparison {
            self.forwarder = forwarder();
        }
        let event = Event::Configure(Box::new(table));
        self.forwarder.handle(self.now(), event, &mut Vec::new());
        if self.active_version() < self.highest {
            self.violation = Some(WENT_BACK);
        }
        self.highest = self.highest.max(self.active_version());
    }

    fn receive(&mut self, reply: Reply) {
        self.in_flight = None;
        for update in self.poller.handle_reply(self.now(), reply.status, reply.body.as_bytes()) {
            match update {
                Update::Config(table, _) => self.configure(*table),
                other => panic!("unexpected update: {other:?}"),
            }
        }
        if reply.status == 200 {
            self.read = reply.version;
            if self.active_version() < self.read {
                self.violation = Some(MISSED);
            }
        }
    }

    fn key(&self) -> impl Eq + Hash + '_ {
        let counts = (self.writes, self.faults, self.restarts, self.step);
        let store = (self.version, self.oldest_revision, &self.in_flight, &self.reply);
        let own = (format!("{:?}", self.poller), self.active_version(), self.highest, self.read);
        (self.removed, counts, store, own, self.violation)
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<(String, ModelState)> {
        let mut out = Vec::new();
        let mut add = |label: &str, change: &dyn Fn(&mut ModelState)| {
            let mut next = self.clone();
            change(&mut next);
            out.push((label.into(), next));
        };
        match (&self.in_flight, &self.reply) {
            (None, _) if self.step < STEPS => add("a call is made", &|it| {
                it.step += 1;
                let call = it.poller.next_call(it.now()).expect("a call is due").call;
                it.in_flight = Some(call.target.to_string());
            }),
            (None, _) => {}
            (Some(target), None) => {
                add("the store replies", &|it| it.answer(target));
                if self.faults > 0 {
                    add("the store rejects the call", &|it| {
                        it.faults -= 1;
                        it.reply = Some(Reply { status: 503, body: String::new(), version: 0 });
                    });
                }
            }
            (Some(_), Some(reply)) => {
                add("the reply arrives", &|it| {
                    it.reply = None;
                    it.receive(reply.clone());
                });
                if self.faults > 0 {
                    add("the reply is lost", &|it| {
                        it.faults -= 1;
                        (it.in_flight, it.reply) = (None, None);
                        it.poller.call_failed(it.now());
                    });
                }
            }
        }
        if self.writes > 0 {
            add("the operator writes", &|it| {
                it.writes -= 1;
                it.version += 1;
            });
        }
        if self.faults > 0 {
            add("the store compacts its history", &|it| {
                it.faults -= 1;
                it.oldest_revision = it.version;
            });
        }
        for version in 1..=self.version {
            add(&format!("another instance passes on version {version}"), &|it| {
                let table = RouteTable::new(
                    version,
                    Vec::new(),
                    Default::default(),
                    ClientLimits::default(),
                );
                it.configure(table);
            });
        }
        if self.restarts > 0 {
            add("the process restarts", &|it| {
                it.restarts -= 1;
                (it.poller, it.forwarder) = (poller(), forwarder());
                (it.in_flight, it.reply, it.highest, it.read) = (None, None, 0, 0);
            });
        }
        out
    }

    fn violation(&self) -> Option<String> {
        self.violation.map(Into::into)
    }
}

#[test]
fn the_active_version_never_goes_back_and_none_is_missed() {
    assert_holds("configuration", ModelState::new(RemovedSafeguard::Nothing), 10_000);
}

#[test]
fn without_the_version_comparison_an_old_version_becomes_active() {
    assert_violates(
        "no version comparison",
        ModelState::new(RemovedSafeguard::VersionComparison),
        WENT_BACK,
    );
}

/// A watch that continued across a compaction would miss the versions written before it.
#[test]
fn without_the_compaction_error_a_version_is_missed() {
    assert_violates(
        "no compaction error",
        ModelState::new(RemovedSafeguard::CompactionError),
        MISSED,
    );
}
