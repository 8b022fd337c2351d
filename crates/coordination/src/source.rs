//! Whom an instance asks for the platform's news, so that few instances read the store.
//!
//! Load pattern: each call to the store is priced and its rates grow more slowly than the fleet,
//! while every instance needs the configuration and the replicas within seconds. Instances form a
//! tree: one reads the store, one of each data centre follows it, and the others follow the one of
//! their data centre. Nobody agrees on the tree; each instance ranks the members it knows, and
//! members that did not answer are passed over for a while. What is passed on carries the age of
//! the read, so an instance whose news become old reads the store itself, whatever the others do.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rosemarybank_protocol::prelude::*;
use serde::{Deserialize, Serialize};

use crate::hash;

/// Age of the news from which an instance reads the store itself. A replica that drains must get
/// no request three seconds later; reading anew takes a fraction of a second.
const MAX_STATE_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a member that did not answer is passed over. A restart takes a few seconds.
const FAILURE_EXCLUSION: Duration = Duration::from_secs(4);

/// An instance that can be followed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub id: InstanceId,
    /// Where it answers other instances.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Thousandths of a core that it has. Instances with more are preferred.
    pub millicores: u32,
}

/// Whom to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another instance.
    Peer(Member),
}

/// Chooses the source of an instance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use rosemarybank_coordination::source::{SourceSelector, Member, Source};
///
/// let member = |id: &str, millicores| Member {
///     id: id.into(),
///     addr: "127.0.0.1:1".parse().unwrap(),
///     data_centre: "dc".into(),
///     millicores,
/// };
/// let mut chooser = SourceSelector::new("small".into(), "dc".into());
/// assert_eq!(chooser.source(Duration::ZERO), Source::Store);
/// chooser.set_members(vec![member("small", 120), member("large", 500)]);
/// assert_eq!(chooser.source(Duration::ZERO), Source::Peer(member("large", 500)));
/// chooser.record_failure(Duration::ZERO, &"large".into());
/// assert_eq!(chooser.source(Duration::ZERO), Source::Store);
/// ```
#[derive(Clone, Debug)]
pub struct SourceSelector {
    own: InstanceId,
    data_centre: DataCentre,
    /// The one that is preferred first.
    members: Vec<Member>,
    excluded_until: HashMap<InstanceId, Time>,
    /// Time of the read on which the news rest.
    read_at: Option<Time>,
}

impl SourceSelector {
    /// A chooser that knows no members.
    #[must_use]
    pub fn new(own: InstanceId, data_centre: DataCentre) -> SourceSelector {
        SourceSelector {
            own,
            data_centre,
            members: Vec::new(),
            excluded_until: HashMap::new(),
            read_at: None,
        }
    }

    /// Takes over the members that are registered.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.members = members;
        self.members.sort_by_cached_key(|it| {
            (std::cmp::Reverse(it.millicores), hash::bytes(0, it.id.as_bytes()), it.id.clone())
        });
    }

    /// Number of members that are registered, this one included.
    #[must_use]
    pub fn member_count(&self) -> usize {
        let knows_itself = self.members.iter().any(|it| it.id == self.own);
        self.members.len() + usize::from(!knows_itself)
    }

    /// Whom to ask now.
    #[must_use]
    pub fn source(&self, now: Time) -> Source {
        let usable = |it: &&Member| {
            it.id == self.own || self.excluded_until.get(&it.id).is_none_or(|until| *until <= now)
        };
        let mut usable = self.members.iter().filter(usable);
        let Some(first) = usable.clone().next() else { return Source::Store };
        let closest = usable.find(|it| it.data_centre == self.data_centre).unwrap_or(first);
        match closest.id == self.own {
            false => Source::Peer(closest.clone()),
            true if first.id == self.own => Source::Store,
            true => Source::Peer(first.clone()),
        }
    }

    /// A member did not answer.
    pub fn record_failure(&mut self, now: Time, member: &InstanceId) {
        self.excluded_until.retain(|_, until| *until > now);
        self.excluded_until.insert(member.clone(), now + FAILURE_EXCLUSION);
    }

    /// News arrived that rest on a read of the store at this time.
    pub fn record_read(&mut self, read_at: Time) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Age of the news; `None` when there were none yet.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read_at.map(|it| now.saturating_sub(it))
    }

    /// Whether to read the store: it is the source, or the news of others are too old.
    #[must_use]
    pub fn should_read_store(&self, now: Time) -> bool {
        self.source(now) == Source::Store || self.age(now).is_none_or(|it| it >= MAX_STATE_AGE)
    }
}
