//! Selects where an instance gets platform state from, so that few instances read the store.
//!
//! Every instance needs the current configuration and replicas within seconds, but each call to the
//! store has a cost and the store's rate limits grow more slowly than the fleet. Instances therefore
//! form a distribution tree: one reads the store, one per data centre follows it, and the others
//! follow the one in their data centre.
//!
//! The tree needs no agreement protocol. Each instance ranks the members it knows and temporarily
//! excludes those that failed to respond. Forwarded state includes the age of the underlying store
//! read, so an instance whose state becomes too old reads the store itself, whatever the other
//! instances do.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    feed::{FeedPosition, SourceState},
    hash,
};

/// How long a starting instance waits for state from another instance before it reads the store. The
/// others have it unless they have just started as well.
const START_WAIT: Duration = Duration::from_millis(300);

/// [`START_WAIT`] when the whole system starts for the first time. Registrations appear in lists only
/// after a while, and no requests have to be served yet.
const FIRST_START_WAIT: Duration = Duration::from_millis(2_200);

/// Age at which the state of another instance is too old to follow it, as a fraction of the age at
/// which an instance reads the store itself. In the time between, a follower finds another source.
const MAX_SOURCE_AGE_FRACTION: f64 = 0.7;

/// How long a member is excluded after it failed to respond. A restart takes a few seconds.
const FAILURE_EXCLUSION: Duration = Duration::from_secs(4);

/// How long a member is excluded after its state was too old.
const STALE_EXCLUSION: Duration = Duration::from_secs(1);

/// Number of instances that call an unreachable store often.
const PROMPT_READERS: usize = 8;

/// An instance from which others can get platform state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address on which it serves other instances.
    pub addr: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// CPU capacity in thousandths of a core. Instances with more capacity are preferred.
    pub millicores: u32,
}

/// Where to get platform state from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store of the platform.
    Store,
    /// Another instance.
    Peer(Member),
}

/// Selects the source of platform state for one instance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_coordination::source::{Member, Source, SourceSelector, Start};
///
/// let member = |id: &str, millicores| Member {
///     id: id.into(),
///     addr: "127.0.0.1:1".parse().unwrap(),
///     data_centre: "dc".into(),
///     millicores,
/// };
/// let max_age = Duration::from_millis(1_500);
/// let mut selector = SourceSelector::new("small".into(), "dc".into(), max_age, Start::Later);
/// assert_eq!(selector.source(Duration::ZERO), Source::Store);
/// selector.set_members(Duration::ZERO, vec![member("small", 120), member("large", 500)]);
/// assert_eq!(selector.source(Duration::ZERO), Source::Peer(member("large", 500)));
/// selector.record_failure(Duration::ZERO, &"large".into());
/// assert_eq!(selector.source(Duration::ZERO), Source::Store);
/// ```
#[derive(Clone, Debug)]
pub struct SourceSelector {
    own: InstanceId,
    data_centre: DataCentre,
    /// In descending order of preference.
    members: Vec<Member>,
    /// When the list of members was requested from the store; `None` before the first list.
    members_at: Option<Time>,
    /// Number of lists of members so far, each requested later than the ones before.
    list_seq: u64,
    /// Number of these lists that differed from the one before.
    members_seq: u64,
    excluded_until: HashMap<InstanceId, Time>,
    /// Time of the latest store read that the current state is based on.
    read_at: Option<Time>,
    /// Time of the latest store read of this instance.
    own_read_at: Option<Time>,
    /// Time of its latest read of the replicas, which counts as a store read while the calls for the
    /// configuration succeed.
    replicas_read_at: Option<Time>,
    is_config_current: bool,
    /// Number of store reads so far, each later than the ones before.
    read_seq: u64,
    /// Age of the platform state at which an instance reads the store itself.
    max_age: Duration,
    /// Time until which an instance without platform state waits for that of another instance.
    start_wait: Duration,
}

/// How soon an instance tries again when the store does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It has no platform state yet and cannot serve requests.
    Starting,
    /// It is among the few that notice the recovery of the store for all.
    Prompt,
    /// It can wait for the state of those that notice the recovery.
    Patient,
}

/// Occasion of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The whole system starts for the first time.
    First,
    /// The instance was added or has restarted.
    Later,
}

impl SourceSelector {
    /// Creates a selector without members, which selects the store. An instance reads the store
    /// itself when its platform state is older than `max_age`.
    #[must_use]
    pub fn new(
        own: InstanceId,
        data_centre: DataCentre,
        max_age: Duration,
        start: Start,
    ) -> SourceSelector {
        SourceSelector {
            own,
            data_centre,
            members: Vec::new(),
            members_at: None,
            list_seq: 0,
            members_seq: 0,
            excluded_until: HashMap::new(),
            read_at: None,
            own_read_at: None,
            replicas_read_at: None,
            is_config_current: true,
            read_seq: 0,
            max_age,
            start_wait: match start {
                Start::First => FIRST_START_WAIT,
                Start::Later => START_WAIT,
            },
        }
    }

    /// Replaces the list of registered members by one that was requested from the store at
    /// `requested_at`. Returns whether that is later than for the current list, which otherwise stays.
    pub fn set_members(&mut self, requested_at: Time, mut members: Vec<Member>) -> bool {
        if !self.confirm_members(requested_at) {
            return false;
        }
        members.sort_by_cached_key(|it| {
            (std::cmp::Reverse(it.millicores), hash::bytes(0, it.id.as_bytes()), it.id.clone())
        });
        if self.members_seq == 0 || self.members != members {
            self.members_seq += 1;
            self.members = members;
        }
        true
    }

    /// Records that the list of members was still the same in one requested at `requested_at`. Returns
    /// whether that is later than for the current list.
    pub fn confirm_members(&mut self, requested_at: Time) -> bool {
        let is_newer = self.members_at.is_none_or(|it| it < requested_at);
        if is_newer {
            self.members_at = Some(requested_at);
            self.list_seq += 1;
        }
        is_newer
    }

    /// Handles the list of members in a response of a source, which requested it from the store at
    /// `requested_at`. `members` is `None` if the source still has the list that it sent last. `received`
    /// is what was received from the source before. Returns whether the list is later than the current
    /// one.
    pub fn receive_members(
        &mut self,
        received: &mut FeedPosition,
        source: &FeedPosition,
        requested_at: Time,
        members: Option<Vec<Member>>,
    ) -> bool {
        let has_same = received.members_seq == source.members_seq;
        if members.is_none() && has_same && received.list_seq == source.list_seq {
            return false;
        }
        let is_newer = match members {
            Some(members) => self.set_members(requested_at, members),
            None => has_same && self.confirm_members(requested_at),
        };
        received.list_seq = source.list_seq;
        // Without the list of the source, the next response has to contain it.
        received.members_seq = if is_newer { source.members_seq } else { 0 };
        is_newer
    }

    /// Returns the registered members, in descending order of preference.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the time since the list of members was requested from the store.
    #[must_use]
    pub fn members_age(&self, now: Time) -> Option<Duration> {
        self.members_at.map(|it| now.saturating_sub(it))
    }

    /// Returns the number of lists of members that were recorded so far.
    #[must_use]
    pub fn list_seq(&self) -> u64 {
        self.list_seq
    }

    /// Returns the number of recorded lists that differed from the one before.
    #[must_use]
    pub fn members_seq(&self) -> u64 {
        self.members_seq
    }

    /// Returns the number of registered members, including this instance even if it is not listed.
    #[must_use]
    pub fn member_count(&self) -> usize {
        let includes_own = self.members.iter().any(|it| it.id == self.own);
        self.members.len() + usize::from(!includes_own)
    }

    /// Returns the source to use at the given time: the highest-ranked usable member in this data
    /// centre or, if that is this instance or there is none, the highest-ranked usable member of
    /// all. If that is this instance too, or no member is usable, it is the store.
    #[must_use]
    pub fn source(&self, now: Time) -> Source {
        let mut usable =
            self.members.iter().filter(|it| it.id == self.own || !self.is_excluded(it, now));
        let Some(first) = usable.clone().next() else { return Source::Store };
        let closest = usable.find(|it| it.data_centre == self.data_centre).unwrap_or(first);
        match closest.id == self.own {
            false => Source::Peer(closest.clone()),
            true if first.id == self.own => Source::Store,
            true => Source::Peer(first.clone()),
        }
    }

    /// Excludes a member temporarily because it failed to respond.
    pub fn record_failure(&mut self, now: Time, member: &InstanceId) {
        self.exclude(member, now, FAILURE_EXCLUSION);
    }

    /// Excludes a member temporarily because its state is too old. It can have new state at any time.
    pub fn record_stale(&mut self, now: Time, member: &InstanceId) {
        self.exclude(member, now, STALE_EXCLUSION);
    }

    fn is_excluded(&self, member: &Member, now: Time) -> bool {
        self.excluded_until.get(&member.id).is_some_and(|until| now < *until)
    }

    fn exclude(&mut self, member: &InstanceId, now: Time, time: Duration) {
        self.excluded_until.retain(|_, until| *until > now);
        self.excluded_until.insert(member.clone(), now + time);
    }

    /// Records that this instance read the replicas from the store.
    pub fn record_own_read(&mut self, read_at: Time) {
        self.replicas_read_at = self.replicas_read_at.max(Some(read_at));
        self.record_complete_read();
    }

    /// Sets whether the calls of this instance for the configuration succeed. Configuration and replicas
    /// are read on separate connections, of which one may fail alone. Without the configuration, the
    /// state is no newer for a read of the replicas.
    pub fn set_config_current(&mut self, is_current: bool) {
        self.is_config_current = is_current;
        self.record_complete_read();
    }

    fn record_complete_read(&mut self) {
        if self.is_config_current
            && let Some(read_at) = self.replicas_read_at
        {
            self.own_read_at = self.own_read_at.max(Some(read_at));
            self.record_read(read_at);
        }
    }

    /// Records that state arrived that is based on a store read at the given time.
    pub fn record_read(&mut self, read_at: Time) {
        if self.read_at.is_none_or(|it| it < read_at) {
            self.read_at = Some(read_at);
            self.read_seq += 1;
        }
    }

    /// Returns the number of store reads that were recorded so far, not counting older ones that
    /// arrived late.
    #[must_use]
    pub fn read_seq(&self) -> u64 {
        self.read_seq
    }

    /// Returns the age of the platform state, or `None` if none has arrived yet.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read_at.map(|it| now.saturating_sub(it))
    }

    /// Returns how soon this instance should try again when the store does not answer.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        let is_among_first =
            || self.members.iter().take(PROMPT_READERS).any(|it| it.id == self.own);
        match self.read_at {
            None => Urgency::Starting,
            Some(_) if self.members.is_empty() || is_among_first() => Urgency::Prompt,
            Some(_) => Urgency::Patient,
        }
    }

    /// Returns the instance to follow now. An instance that should read the store but cannot follows
    /// the one that replaces it.
    #[must_use]
    pub fn instance_to_follow(&self, now: Time) -> Option<&Member> {
        match self.source(now) {
            Source::Peer(member) => self.members.iter().find(|it| it.id == member.id),
            Source::Store if self.age(now).is_none_or(|it| it >= self.max_source_age()) => {
                self.members.iter().find(|it| it.id != self.own && !self.is_excluded(it, now))
            }
            Source::Store => None,
        }
    }

    /// Returns what this instance is worth as a source with the given position. One that should read
    /// the store but cannot has no followers, since its state may come from one of them.
    #[must_use]
    pub fn source_state(&self, now: Time, position: FeedPosition) -> SourceState {
        let is_usable =
            |it: Option<Time>| it.is_some_and(|it| now < it.saturating_add(self.max_source_age()));
        match (self.source(now) == Source::Store, self.read_at) {
            (true, Some(_)) if !is_usable(self.own_read_at) => SourceState::Stale,
            (_, read_at) if is_usable(read_at) => SourceState::Current(position),
            _ => SourceState::Waiting,
        }
    }

    /// Returns the age of the state of another instance at which it is no longer used as a source.
    #[must_use]
    pub fn max_source_age(&self) -> Duration {
        self.max_age.mul_f64(MAX_SOURCE_AGE_FRACTION)
    }

    /// Returns whether to read the store, because it is the selected source or because the state from
    /// other instances is too old. `now` is the time since the start: an instance without any state
    /// waits for a short time for that of another instance.
    #[must_use]
    pub fn should_read_store(&self, now: Time) -> bool {
        let is_first = !self.members.is_empty() && self.source(now) == Source::Store;
        match self.age(now) {
            None => is_first || now >= self.start_wait,
            Some(age) => self.source(now) == Source::Store || age >= self.max_age,
        }
    }
}
