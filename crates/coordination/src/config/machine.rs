//! Decides when to activate a bundle and where to get it from.

use std::collections::BTreeMap;

use rosemarybank_protocol::{platform::SignedBundle, prelude::*};
use serde::{Deserialize, Serialize};

use super::{Action, Event, ReadMode, Role, Settings, StartRule};

/// Configuration state of one instance.
///
/// The activated version never decreases. Because the state is not persisted, the first version
/// after a start must be confirmed by the store or, while the store is unreachable, be at least the
/// highest version among the reports of a majority.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::config::{Action, Event, Machine, Settings};
/// use rosemarybank_protocol::{platform::SignedBundle, prelude::Time};
///
/// let mut machine = Machine::new(Settings::builder().instances(3).build());
/// let (now, mut out) = (Time::ZERO, Vec::new());
/// machine.handle(now, Event::Start, &mut out);
/// assert!(matches!(out.pop(), Some(Action::ReadStore { have: None, .. })));
///
/// let bundle = SignedBundle {
///     version: 4,
///     signer: "ops".into(),
///     bundle: "format: 1\n".into(),
///     signature: "c2ln".into(),
/// };
/// machine.handle(now, Event::StoreHead(bundle.clone()), &mut out);
/// assert_eq!(out.pop(), Some(Action::Activate(bundle)));
/// assert_eq!(machine.version(), Some(4));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    settings: Settings,
    role: Role,
    /// The active version.
    held: Option<Version>,
    store: StoreRead,
    /// Whether the last store read failed.
    store_unreachable: bool,
    /// Versions that peers reported since this process started.
    peers: BTreeMap<InstanceId, Option<Version>>,
    /// Time of the last peer report, or of the start if none has arrived.
    last_report: Time,
    fetch: Option<Fetch>,
}

/// Progress of store reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum StoreRead {
    /// A read has been outstanding since the given time.
    Reading(Time),
    /// The next read is due at the given time, if one is needed.
    Idle(Time),
}

/// An outstanding fetch of a version that a peer reported. It times out at `until`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Fetch {
    from: InstanceId,
    version: Version,
    until: Time,
}

/// Origin of a bundle.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BundleSource {
    Store,
    Peer,
}

impl Machine {
    /// Creates the machine of an instance that has not activated a version yet.
    #[must_use]
    pub fn new(settings: Settings) -> Machine {
        Machine {
            settings,
            role: Role::Follower,
            held: None,
            store: StoreRead::Idle(Time::ZERO),
            store_unreachable: false,
            peers: BTreeMap::new(),
            last_report: Time::ZERO,
            fetch: None,
        }
    }

    /// Returns the active version. It is `None` until the first version is confirmed; until then the
    /// instance is not ready.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.held
    }

    /// Returns the number of other instances whose reports allow a start without the store:
    /// floor(n/2) + 1.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.settings.instances as usize / 2 + 1
    }

    /// Returns the time at which the driver must send the next [`Event::Tick`], if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        let read = match self.store {
            StoreRead::Reading(_) => None,
            StoreRead::Idle(at) if self.held.is_none() || self.role == Role::Watcher => Some(at),
            StoreRead::Idle(at) => Some(at.max(self.last_report + self.settings.peer_silence)),
        };
        let fetch = self.fetch.as_ref().map(|f| f.until);
        read.into_iter().chain(fetch).min()
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        // Reports arrive with every heartbeat, and most contain nothing new.
        let may_need_fetch = match &event {
            Event::PeerHolds { version, .. } => self.held.is_none() || *version > self.held,
            _ => true,
        };
        match event {
            Event::Start => {
                self.last_report = now;
                self.store = StoreRead::Idle(now);
            }
            Event::StoreHead(bundle) => {
                self.on_read_completed(now, now);
                self.activate_if_newer(bundle, BundleSource::Store, out);
            }
            Event::StoreConfirms { .. } => {
                // Prevents a busy loop when the long poll returns immediately.
                let next = match self.store {
                    StoreRead::Reading(since) => since + self.settings.store_retry,
                    StoreRead::Idle(at) => at,
                };
                self.on_read_completed(now, next);
            }
            Event::StoreEmpty => self.on_read_completed(now, now + self.settings.store_retry),
            Event::StoreUnreachable => {
                self.on_read_completed(now, now + self.settings.store_retry);
                self.store_unreachable = true;
            }
            Event::PeerHolds { instance, version } => {
                self.last_report = now;
                self.peers.insert(instance, version);
            }
            Event::PeerGone { instance } => {
                self.peers.remove(&instance);
                if self.fetch.as_ref().is_some_and(|f| f.from == instance) {
                    self.fetch = None;
                }
            }
            Event::PeerBundle(bundle) => self.on_peer_bundle(bundle, out),
            Event::FetchFailed => self.abandon_fetch(),
            Event::RoleChanged(role) => self.role = role,
            Event::Tick => {}
        }
        let timed_out = self.fetch.as_ref().is_some_and(|f| f.until <= now);
        if timed_out {
            self.abandon_fetch();
        }
        if may_need_fetch || timed_out {
            self.fetch_newest(now, out);
        }
        self.read_store_if_due(now, out);
    }

    /// Ends a store read, whether it succeeded or failed. The next one is due at `next`.
    fn on_read_completed(&mut self, now: Time, next: Time) {
        self.store_unreachable = false;
        self.store = StoreRead::Idle(next.max(now));
    }

    fn on_peer_bundle(&mut self, bundle: SignedBundle, out: &mut Vec<Action>) {
        if self.fetch.as_ref().is_some_and(|f| f.version <= bundle.version) {
            self.fetch = None;
        }
        // A push can arrive before the first activation; then the start rule decides.
        let allowed = match self.held {
            Some(_) => true,
            None => self.bootstrap_version().is_some_and(|highest| bundle.version >= highest),
        };
        if allowed {
            self.activate_if_newer(bundle, BundleSource::Peer, out);
        }
    }

    /// Activates a bundle that is newer than the active one. A watcher that got it from the store also
    /// pushes it to peers that hold older versions.
    fn activate_if_newer(
        &mut self,
        bundle: SignedBundle,
        source: BundleSource,
        out: &mut Vec<Action>,
    ) {
        if self.held.is_some_and(|held| bundle.version <= held) {
            return;
        }
        self.held = Some(bundle.version);
        let version = bundle.version;
        out.push(Action::Activate(bundle));
        if source != BundleSource::Store || self.role != Role::Watcher {
            return;
        }
        let behind = |held: &Option<Version>| held.is_some_and(|held| held < version);
        let peers: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, held)| behind(held))
            .map(|(instance, held)| (instance.clone(), *held))
            .collect();
        if !peers.is_empty() {
            out.push(Action::PushTo { peers });
        }
    }

    /// Returns the lowest version that an instance without an active version may activate from a
    /// peer, which is the highest version reported, if the start rule allows one.
    fn bootstrap_version(&self) -> Option<Version> {
        if !self.store_unreachable {
            return None;
        }
        let reports = || self.peers.values().flatten();
        let needed = match self.settings.start_rule {
            StartRule::StoreOrMajority => self.majority(),
            StartRule::AnyPeer => 1,
        };
        if reports().count() < needed { None } else { reports().max().copied() }
    }

    /// Fetches the newest version reported by a peer, with one fetch at a time.
    fn fetch_newest(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.fetch.is_some() || (self.held.is_none() && self.bootstrap_version().is_none()) {
            return;
        }
        let newest = self.peers.iter().max_by_key(|(_, version)| **version);
        let Some((from, Some(version))) = newest else { return };
        if self.held.is_some_and(|held| held >= *version) {
            return;
        }
        let until = now + self.settings.fetch_timeout;
        self.fetch = Some(Fetch { from: from.clone(), version: *version, until });
        out.push(Action::FetchFromPeer { instance: from.clone(), have: self.held });
    }

    /// Abandons the current fetch. Nothing is fetched from that peer again until its next report.
    fn abandon_fetch(&mut self) {
        if let Some(fetch) = self.fetch.take() {
            self.peers.remove(&fetch.from);
        }
    }

    fn read_store_if_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let StoreRead::Idle(at) = self.store else { return };
        let silent = self.last_report + self.settings.peer_silence <= now;
        let needed = self.held.is_none() || self.role == Role::Watcher || silent;
        if !needed || at > now {
            return;
        }
        let mode = match (self.held, self.role) {
            (Some(_), Role::Watcher) => ReadMode::Wait,
            _ => ReadMode::Now,
        };
        self.store = StoreRead::Reading(now);
        out.push(Action::ReadStore { have: self.held, mode });
    }
}
