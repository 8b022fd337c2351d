//! What an instance asks of the platform's store, one call at a time per lane.
//!
//! The configuration changes rarely and must be in force soon, so a watch is held. Entries of
//! replicas change with every heartbeat, so a held watch would be answered at once all day; the
//! changes are fetched at intervals instead, which the bounds on draining replicas allow. Each
//! call is priced, a watch that waits as well.

use std::time::Duration;

use compact_str::CompactString;
use rosemarybank_adapter::{
    calls::{self, Call, Freshness, Listing, Object, Revision, WatchPage},
    config, instances, registration,
};
use rosemarybank_coordination::source::Member;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{ReplicaInfo, RouteTable, directory::Change};

/// Time for which a watch of the configuration waits. Connections may go silent without a sign, so
/// this and the call timeout bound the age of the configuration.
const CONFIG_WAIT: Duration = Duration::from_millis(2_500);

/// Time between two looks at the entries of replicas: a draining replica must get no request three
/// seconds after it said so.
const REPLICAS_EVERY: Duration = Duration::from_millis(700);

/// Time between two looks after the store has returned, while replicas register again.
const RETURN_EVERY: Duration = Duration::from_millis(250);

/// Time after the return of the store in which replicas register again, with some reserve.
const RETURN: Duration = Duration::from_secs(3);

/// Time between the first looks at the other instances, which start at the same time; it doubles
/// with each look.
const FIRST_INSTANCES_EVERY: Duration = Duration::from_secs(1);

/// Longest time between two looks at the other instances, which share the budgets.
const INSTANCES_EVERY: Duration = Duration::from_secs(10);

/// Longest time for a call, beyond the time for which it waits.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// First pause after a failed call; it doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause after failed calls. The store may return at any moment and is asked this often.
const LONGEST_BACKOFF: Duration = Duration::from_millis(800);

/// Longest pause after a call that was not answered, while nothing was learnt yet: an instance that
/// knows no configuration and no replicas serves nobody. A store that answers with a refusal is not
/// asked this often, because a fleet that starts at once would go beyond its rates.
const LONGEST_START_BACKOFF: Duration = Duration::from_millis(150);

/// What a lane asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The configuration.
    Config,
    /// The replicas.
    Replicas,
    /// The other instances.
    Instances,
}

/// What a reply says.
#[derive(Clone, Debug)]
pub enum News {
    /// A configuration, with its text for other instances.
    Config(Box<RouteTable>, Vec<u8>),
    /// All replicas.
    ReplicaList(Vec<ReplicaInfo>),
    /// Some replicas.
    ReplicaChanges(Vec<Change>),
    /// Instances that are registered.
    Instances(Vec<Member>),
    /// An entry that can't be used, and why.
    Unusable(CompactString, CompactString),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Register,
    List { after: Option<CompactString> },
    Watch { since: Revision },
}

/// One sequence of calls.
#[derive(Clone, Debug)]
pub struct Lane {
    subject: Subject,
    own: Member,
    step: Step,
    /// What the open call asks for.
    asked: Option<Step>,
    /// Pages of a list so far.
    items: Vec<Object>,
    next_at: Time,
    backoff: Duration,
    instances_every: Duration,
    /// Time until which looks follow one another faster.
    eager_until: Time,
    is_reachable: bool,
    /// Whether a call was ever answered as asked.
    has_learnt: bool,
    is_suspended: bool,
}

/// A call and the time after which it counts as lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timed {
    /// The call.
    pub call: Call,
    /// Its longest duration.
    pub timeout: Duration,
}

impl Lane {
    /// A lane that has learnt nothing yet.
    #[must_use]
    pub fn new(subject: Subject, own: Member) -> Lane {
        let step = match subject {
            Subject::Instances => Step::Register,
            Subject::Config | Subject::Replicas => Step::List { after: None },
        };
        Lane {
            subject,
            own,
            step,
            asked: None,
            items: Vec::new(),
            next_at: Time::ZERO,
            backoff: FIRST_BACKOFF,
            instances_every: FIRST_INSTANCES_EVERY,
            eager_until: Time::ZERO,
            is_reachable: false,
            has_learnt: false,
            is_suspended: false,
        }
    }

    /// What it asks for.
    #[must_use]
    pub fn subject(&self) -> Subject {
        self.subject
    }

    /// Whether the last call was answered.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Whether the last call failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.backoff > FIRST_BACKOFF
    }

    /// Makes no calls until it is resumed, because another instance passes on what it asks for.
    pub fn suspend(&mut self) {
        self.is_suspended = true;
    }

    /// Goes on after a suspension, with a whole list.
    pub fn resume(&mut self, now: Time) {
        if std::mem::take(&mut self.is_suspended) {
            self.restart();
            self.next_at = now;
        }
    }

    /// The next call, if it is due.
    #[must_use]
    pub fn next_call(&mut self, now: Time) -> Option<Timed> {
        if now < self.next_at || self.is_suspended {
            return None;
        }
        let kind = self.kind();
        let (call, wait) = match &self.step {
            Step::Register => {
                let spec = instances::encode(&self.own);
                (Call::create(kind, &self.own.id, &spec), Duration::ZERO)
            }
            Step::List { after } => {
                let freshness = match self.subject {
                    Subject::Instances => Freshness::AllowStale,
                    Subject::Config | Subject::Replicas => Freshness::Latest,
                };
                (Call::list(kind, after.as_deref(), freshness), Duration::ZERO)
            }
            Step::Watch { since } => {
                let wait = match self.subject {
                    Subject::Config => CONFIG_WAIT,
                    Subject::Replicas | Subject::Instances => Duration::ZERO,
                };
                (Call::watch(kind, *since, wait), wait)
            }
        };
        self.asked = Some(self.step.clone());
        Some(Timed { call, timeout: CALL_TIMEOUT + wait })
    }

    /// The call was not answered.
    pub fn failed(&mut self, now: Time) {
        let longest = if self.has_learnt { LONGEST_BACKOFF } else { LONGEST_START_BACKOFF };
        self.back_off(now, longest);
    }

    fn back_off(&mut self, now: Time, longest: Duration) {
        self.is_reachable = false;
        self.next_at = now + self.backoff.min(longest);
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }

    /// Takes a reply.
    pub fn replied(&mut self, now: Time, status: u16, body: &[u8]) -> Vec<News> {
        let mut news = Vec::new();
        // The lane may have begun anew while the call was open.
        if self.asked.take().as_ref() != Some(&self.step) {
            return news;
        }
        let is_known = matches!((&self.step, status), (Step::Register, 409));
        match status {
            410 => self.restart(),
            200..=299 if self.take(now, body, &mut news) => {}
            _ if is_known => self.step = Step::List { after: None },
            _ => {
                self.back_off(now, LONGEST_BACKOFF);
                return news;
            }
        }
        if self.has_failed() {
            self.eager_until = now + RETURN;
        }
        (self.is_reachable, self.has_learnt) = (true, true);
        self.backoff = FIRST_BACKOFF;
        news
    }

    fn replicas_every(&self, now: Time) -> Duration {
        // The first reply after failures is taken before the end of the failures is noted.
        let is_eager = self.has_failed() || now < self.eager_until;
        if is_eager { RETURN_EVERY } else { REPLICAS_EVERY }
    }

    fn kind(&self) -> &'static str {
        match self.subject {
            Subject::Config => calls::CONFIG,
            Subject::Replicas => calls::REPLICAS,
            Subject::Instances => calls::INSTANCES,
        }
    }

    /// Begins again with a list, because the store forgot its history.
    fn restart(&mut self) {
        self.items.clear();
        self.step = Step::List { after: None };
    }

    /// Takes the body of a success. Returns whether it could be read.
    fn take(&mut self, now: Time, body: &[u8], news: &mut Vec<News>) -> bool {
        match &self.step {
            Step::Register => {
                self.step = Step::List { after: None };
                true
            }
            Step::List { .. } => match Listing::decode(body) {
                Ok(page) => {
                    self.take_page(now, page, news);
                    true
                }
                Err(err) => unusable("list", &err, news),
            },
            Step::Watch { .. } => match WatchPage::decode(body) {
                Ok(page) => {
                    self.take_changes(now, page, news);
                    true
                }
                Err(err) => unusable("watch", &err, news),
            },
        }
    }

    fn take_page(&mut self, now: Time, page: Listing, news: &mut Vec<News>) {
        let last = page.items.last().map(|it| it.meta.name.clone());
        self.items.extend(page.items);
        if page.has_more && last.is_some() {
            self.step = Step::List { after: last };
            return;
        }
        let items = std::mem::take(&mut self.items);
        self.step = Step::Watch { since: page.revision };
        match self.subject {
            Subject::Config => {
                for it in &items {
                    take_config(it, news);
                }
            }
            Subject::Replicas => {
                let list = items.iter().filter_map(|it| match registered(it, news) {
                    Change::Present(info) => Some(info),
                    Change::Absent(_) => None,
                });
                let list = list.collect();
                news.push(News::ReplicaList(list));
                self.next_at = now + self.replicas_every(now);
            }
            Subject::Instances => {
                let members = items.iter().filter_map(|it| member(it, news)).collect();
                news.push(News::Instances(members));
                // The list itself is cheap when it may be stale, and a watch is not.
                self.step = Step::List { after: None };
                self.next_at = now + self.instances_every;
                self.instances_every = (self.instances_every * 2).min(INSTANCES_EVERY);
            }
        }
    }

    fn take_changes(&mut self, now: Time, page: WatchPage, news: &mut Vec<News>) {
        self.step = Step::Watch { since: page.revision };
        match self.subject {
            Subject::Config => {
                for it in page.events.iter().filter(|it| !it.is_deleted) {
                    take_config(&it.object, news);
                }
            }
            Subject::Replicas | Subject::Instances => {
                let mut changes = Vec::with_capacity(page.events.len());
                for it in &page.events {
                    changes.push(match it.is_deleted {
                        true => Change::Absent(it.object.meta.name.clone()),
                        false => registered(&it.object, news),
                    });
                }
                news.push(News::ReplicaChanges(changes));
                self.next_at = now + self.replicas_every(now);
            }
        }
    }
}

fn take_config(object: &Object, news: &mut Vec<News>) {
    if object.meta.name != config::OBJECT_NAME {
        return;
    }
    match config::decode(&object.spec) {
        Ok(table) => {
            let text = object.spec.to_string().into_bytes();
            news.push(News::Config(Box::new(table), text));
        }
        Err(err) => {
            unusable(&object.meta.name, &err, news);
        }
    }
}

fn member(object: &Object, news: &mut Vec<News>) -> Option<Member> {
    match instances::decode(&object.spec) {
        Ok(member) => Some(member),
        Err(err) => {
            unusable(&object.meta.name, &err, news);
            None
        }
    }
}

fn registered(object: &Object, news: &mut Vec<News>) -> Change {
    let id = &object.meta.name;
    match registration::decode(id, &object.spec) {
        Ok(info) => Change::Present(info),
        Err(err) => {
            unusable(id, &err, news);
            Change::Absent(id.clone())
        }
    }
}

fn unusable(what: &str, err: &impl ToString, news: &mut Vec<News>) -> bool {
    news.push(News::Unusable(what.into(), err.to_string().into()));
    false
}
