//! Model check of the version in force: an operator writes while the store fails, loses replies,
//! answers late or forgets its history, other instances pass on old versions, and the process
//! restarts.

use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

use rosemarybank_coordination::source::Member;
use rosemarybank_daemon::platform::lanes::{Lane, News, Subject};
use rosemarybank_explore::{Model, assert_holds, assert_violates};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    ClientLimits, Event, Forwarder, RetryBudget, RouteTable, Settings, membership::LEASE,
};
use serde_json::json;

/// Time of a step, longer than any pause between calls.
const STEP: Duration = Duration::from_secs(10);
const STEPS: u32 = 12;
const BACK: &str = "the version went back";
const MISSED: &str = "a version that was read is not in force";

/// The guard that a variant removes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Guard {
    AllKept,
    /// A version is put into force whatever was before.
    Compare,
    /// A watch goes on after the store has forgotten its history.
    Forgotten,
}

/// A reply on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reply {
    status: u16,
    body: String,
    /// Version that the store had at the reply.
    version: u64,
}

#[derive(Clone)]
struct World {
    guard: Guard,
    step: u32,
    lane: Lane,
    forwarder: Forwarder,
    /// Greatest version in force in this lifetime.
    greatest: u64,
    /// Version of the last reply that was taken.
    read: u64,
    /// Target of the open call.
    open: Option<String>,
    reply: Option<Reply>,
    /// Versions are revisions as well.
    version: u64,
    /// Oldest revision from which a watch can continue.
    kept_from: u64,
    writes: u32,
    faults: u32,
    restarts: u32,
    broken: Option<&'static str>,
}

fn forwarder() -> Forwarder {
    let budget = RetryBudget { ratio: 0.2, allowance: 10.0, window: LEASE };
    Forwarder::new(Settings { data_centre: "a".into(), region: Vec::new(), budget, seed: 1 })
}

fn lane() -> Lane {
    let own = Member {
        id: "m".into(),
        addr: "10.0.0.1:1".parse().unwrap(),
        data_centre: "a".into(),
        millicores: 250,
    };
    Lane::new(Subject::Config, own)
}

fn object(version: u64) -> serde_json::Value {
    let limits = json!({
        "max_header_bytes": 1, "max_body_bytes": 1, "header_timeout_ms": 1, "idle_timeout_ms": 1
    });
    let spec = json!({ "version": version, "routes": [], "services": [], "limits": limits });
    json!({ "meta": { "name": "main", "revision": version }, "spec": spec })
}

impl World {
    fn new(guard: Guard) -> World {
        World {
            guard,
            step: 0,
            lane: lane(),
            forwarder: forwarder(),
            greatest: 0,
            read: 0,
            open: None,
            reply: None,
            version: 1,
            kept_from: 1,
            writes: 2,
            faults: 2,
            restarts: 1,
            broken: None,
        }
    }

    fn now(&self) -> Time {
        STEP * self.step
    }

    fn in_force(&self) -> u64 {
        self.forwarder.table().map_or(0, |it| it.version)
    }

    /// The store answers the open call from what it has now.
    fn answer(&mut self, target: &str) {
        let since = target.split("watch=").nth(1).and_then(|it| it.split('&').next());
        let since: Option<u64> = since.map(|it| it.parse().expect("a revision"));
        let (status, body) = match since {
            None => (200, json!({ "items": [object(self.version)], "at": self.version })),
            Some(since) if since < self.kept_from && self.guard != Guard::Forgotten => {
                (410, json!({}))
            }
            Some(since) => {
                let is_known = since >= self.version || since < self.kept_from;
                let events = match is_known {
                    true => json!([]),
                    false => json!([{ "object": object(self.version), "deleted": false }]),
                };
                (200, json!({ "events": events, "at": self.version }))
            }
        };
        self.reply = Some(Reply { status, body: body.to_string(), version: self.version });
    }

    fn configure(&mut self, table: RouteTable) {
        if self.guard == Guard::Compare {
            self.forwarder = forwarder();
        }
        let event = Event::Configure(Box::new(table));
        self.forwarder.handle(self.now(), event, &mut Vec::new());
        if self.in_force() < self.greatest {
            self.broken = Some(BACK);
        }
        self.greatest = self.greatest.max(self.in_force());
    }

    fn take(&mut self, reply: Reply) {
        self.open = None;
        for news in self.lane.replied(self.now(), reply.status, reply.body.as_bytes()) {
            match news {
                News::Config(table, _) => self.configure(*table),
                other => panic!("unexpected news: {other:?}"),
            }
        }
        if reply.status == 200 {
            self.read = reply.version;
            if self.in_force() < self.read {
                self.broken = Some(MISSED);
            }
        }
    }

    fn visible(&self) -> impl Eq + Hash + '_ {
        let counts = (self.writes, self.faults, self.restarts, self.step);
        let store = (self.version, self.kept_from, &self.open, &self.reply);
        let own = (format!("{:?}", self.lane), self.in_force(), self.greatest, self.read);
        (self.guard, counts, store, own, self.broken)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.visible() == other.visible()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.visible().hash(state);
    }
}

impl Model for World {
    fn steps(&self) -> Vec<(String, World)> {
        let mut out = Vec::new();
        let mut add = |label: &str, change: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            change(&mut next);
            out.push((label.into(), next));
        };
        match (&self.open, &self.reply) {
            (None, _) if self.step < STEPS => add("a call is made", &|it| {
                it.step += 1;
                let call = it.lane.next_call(it.now()).expect("a call is due").call;
                it.open = Some(call.target.to_string());
            }),
            (None, _) => {}
            (Some(target), None) => {
                add("the store answers", &|it| it.answer(target));
                if self.faults > 0 {
                    add("the store refuses", &|it| {
                        it.faults -= 1;
                        it.reply = Some(Reply { status: 503, body: String::new(), version: 0 });
                    });
                }
            }
            (Some(_), Some(reply)) => {
                add("the reply arrives", &|it| {
                    it.reply = None;
                    it.take(reply.clone());
                });
                if self.faults > 0 {
                    add("the reply is lost", &|it| {
                        it.faults -= 1;
                        (it.open, it.reply) = (None, None);
                        it.lane.failed(it.now());
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
            add("the store forgets its history", &|it| {
                it.faults -= 1;
                it.kept_from = it.version;
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
            add("the process starts again", &|it| {
                it.restarts -= 1;
                (it.lane, it.forwarder) = (lane(), forwarder());
                (it.open, it.reply, it.greatest, it.read) = (None, None, 0, 0);
            });
        }
        out
    }

    fn violation(&self) -> Option<String> {
        self.broken.map(Into::into)
    }
}

#[test]
fn the_version_never_goes_back_and_none_is_missed() {
    assert_holds("configuration", World::new(Guard::AllKept), 10_000);
}

#[test]
fn without_the_comparison_an_old_version_comes_back() {
    assert_violates("no comparison", World::new(Guard::Compare), BACK);
}

/// A store that forgets must say so; a watch that goes on would miss a version.
#[test]
fn without_the_word_of_a_forgotten_history_a_version_is_missed() {
    assert_violates("no 410", World::new(Guard::Forgotten), MISSED);
}
