//! Tracks the liveness of peers by their heartbeats.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rosemarybank_protocol::{
    peer::Heartbeat,
    platform::{DataCentreStatus, InstanceStatus},
    prelude::*,
};
use serde::{Deserialize, Serialize};

use super::{Action, Event, LocalState, Phase, Settings};
use crate::{
    claim_gc,
    config::{self, Role},
};

/// Membership of the fleet as seen by one instance.
///
/// # Examples
///
/// ```
/// use rosemarybank_coordination::membership::{Action, Event, Machine, Settings};
/// use rosemarybank_protocol::prelude::Time;
///
/// let settings = Settings::builder()
///     .instance("entry-1")
///     .incarnation(1)
///     .data_centre("north-1")
///     .addr("127.0.0.1:7001".parse().unwrap())
///     .peers(vec!["127.0.0.1:7002".parse().unwrap()])
///     .build();
/// let (mut machine, mut out) = (Machine::new(settings), Vec::new());
/// machine.handle(Time::ZERO, Event::Start, &mut out);
/// // A configured peer counts as present until it has had time to send a heartbeat.
/// assert_eq!(machine.fleet_size(), 2);
/// assert!(matches!(&out[1], Action::SendHeartbeats { to, .. } if to.len() == 1));
///
/// machine.handle(Time::from_secs(6), Event::Tick, &mut out);
/// assert_eq!(machine.fleet_size(), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    settings: Settings,
    local: LocalState,
    leaving: bool,
    peers: BTreeMap<InstanceId, Peer>,
    /// The instance last heard from at each configured address.
    #[serde(rename = "names")]
    instance_by_addr: BTreeMap<SocketAddr, Option<InstanceId>>,
    started: Option<Time>,
    #[serde(rename = "last_run")]
    last_event: Time,
    #[serde(rename = "next_beat")]
    next_heartbeat: Time,
    fleet_size: u32,
    /// Cached because drivers query it after every event and computing it visits all peers.
    role: Role,
    writes_status: bool,
    is_collector: bool,
}

/// Last known state of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The last heartbeat received.
    pub heartbeat: Heartbeat,
    /// Time at which the last heartbeat arrived.
    #[serde(rename = "heard")]
    pub last_heard: Time,
    /// Current phase.
    pub phase: Phase,
}

impl Peer {
    /// Returns whether a heartbeat of the given incarnation is outdated. A dead peer may come back
    /// with a lower incarnation, because its clock may have been set back before the restart.
    fn is_newer(&self, incarnation: u64) -> bool {
        self.phase != Phase::Dead && self.heartbeat.incarnation > incarnation
    }
}

impl Machine {
    /// Creates the machine of a starting instance.
    #[must_use]
    pub fn new(settings: Settings) -> Machine {
        let instance_by_addr = settings.peers.iter().map(|addr| (*addr, None)).collect();
        let mut machine = Machine {
            settings,
            instance_by_addr,
            local: LocalState::default(),
            leaving: false,
            peers: BTreeMap::new(),
            started: None,
            last_event: Time::ZERO,
            next_heartbeat: Time::ZERO,
            fleet_size: 0,
            role: Role::Follower,
            writes_status: false,
            is_collector: false,
        };
        machine.update_roles();
        machine
    }

    /// Returns the number of instances that share connections and budgets, including this one.
    #[must_use]
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size
    }

    /// Returns the peers that have sent a heartbeat, ordered by name.
    pub fn peers(&self) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.peers.iter()
    }

    /// Returns the names of the live instances in this data centre. They include this instance
    /// unless it is leaving.
    #[must_use]
    pub fn live_in_data_centre(&self) -> Vec<&InstanceId> {
        let own = (!self.leaving).then_some(&self.settings.instance);
        let here = |peer: &Peer| {
            peer.phase == Phase::Live && peer.heartbeat.data_centre == self.settings.data_centre
        };
        self.peers.iter().filter(|(_, p)| here(p)).map(|(i, _)| i).chain(own).collect()
    }

    /// Returns whether this instance watches the store for its data centre.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns whether this instance deletes expired claims for the fleet.
    #[must_use]
    pub fn is_collector(&self) -> bool {
        self.is_collector
    }

    /// Returns the status object that this instance must keep up to date, or `None` if another
    /// instance writes it.
    #[must_use]
    pub fn status(&self) -> Option<DataCentreStatus> {
        if !self.writes_status {
            return None;
        }
        let own = self.heartbeat();
        let all = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.phase != Phase::Dead)
            .map(|(instance, peer)| (instance, &peer.heartbeat))
            .chain([(&self.settings.instance, &own)]);
        let mut instances: Vec<_> = all
            .filter(|(_, heartbeat)| heartbeat.data_centre == self.settings.data_centre)
            .map(|(instance, heartbeat)| InstanceStatus {
                instance: instance.clone(),
                data_centre: heartbeat.data_centre.clone(),
                version: heartbeat.version,
                ready: heartbeat.ready,
            })
            .collect();
        instances.sort_unstable_by(|a, b| a.instance.cmp(&b.instance));
        Some(DataCentreStatus { instances })
    }

    /// Returns the heartbeat of this instance, which is also the reply to a heartbeat of a peer.
    #[must_use]
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            addr: self.settings.addr,
            version: self.local.version,
            quarantine_digest: self.local.quarantine_digest,
            ready: self.local.ready && !self.leaving,
            leaving: self.leaving,
        }
    }

    /// Returns the time at which the driver must send the next [`Event::Tick`], if any.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Time> {
        // Phases are updated when heartbeats are sent, so they change at most one interval late.
        self.started.map(|_| self.next_heartbeat)
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        if self.started.is_some() {
            self.compensate_for_own_pause(now);
        }
        self.last_event = now;
        match event {
            Event::Start if self.started.is_none() => {
                self.started = Some(now);
                self.next_heartbeat = now;
                self.update_fleet_size(now, out);
            }
            Event::HeartbeatReceived { from, heartbeat } => {
                self.on_heartbeat(now, from, heartbeat, out)
            }
            Event::Local(local) => self.local = local,
            Event::Leave => {
                self.leaving = true;
                self.next_heartbeat = now;
                self.update_roles();
            }
            // Only ticks visit all peers: n peers send n heartbeats per interval, so visiting all of
            // them on each heartbeat would take quadratic time.
            Event::Tick => {
                self.update_phases(now, out);
                self.update_fleet_size(now, out);
            }
            Event::Start => {}
        }
        self.send_heartbeats_if_due(now, out);
    }

    /// Shifts the time of the last heartbeats by a pause of this process. Without this, an instance
    /// that resumes after a long pause would declare all peers dead and take over their shares.
    fn compensate_for_own_pause(&mut self, now: Time) {
        let pause = now.saturating_sub(self.last_event);
        if pause < self.settings.interval * 2 {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.last_heard = (peer.last_heard + pause).min(now);
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        from: InstanceId,
        received: Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if from == self.settings.instance || !self.instance_by_addr.contains_key(&received.addr) {
            return;
        }
        let incarnation = received.incarnation;
        if !self.replace_instance_at(received.addr, &from, incarnation, out) {
            return;
        }
        let known = self.peers.get(&from);
        if known.is_some_and(|p| p.is_newer(incarnation)) {
            return;
        }
        let same = known.filter(|p| p.heartbeat.incarnation == incarnation);
        // A heartbeat sent before the shutdown announcement can arrive after it.
        let leaving = received.leaving || same.is_some_and(|p| p.heartbeat.leaving);
        let phase = if leaving { Phase::Leaving } else { Phase::Live };
        let changed = same.is_none_or(|p| p.phase != phase);
        let heartbeat = Heartbeat { leaving, ..received };
        self.instance_by_addr.insert(heartbeat.addr, Some(from.clone()));
        self.peers.insert(from.clone(), Peer { heartbeat, last_heard: now, phase });
        if changed {
            out.push(Action::PeerChanged { instance: from, incarnation, phase });
            self.update_roles();
            self.update_fleet_size(now, out);
        }
    }

    /// Removes an older instance with another name at the same address. Returns false if the
    /// heartbeat is not newer than that instance and must be ignored.
    fn replace_instance_at(
        &mut self,
        addr: SocketAddr,
        from: &InstanceId,
        incarnation: u64,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(Some(name)) = self.instance_by_addr.get(&addr) else { return true };
        let Some(peer) = self.peers.get(name).filter(|_| name != from) else { return true };
        if peer.heartbeat.incarnation == incarnation || peer.is_newer(incarnation) {
            return false;
        }
        let (instance, incarnation) = (name.clone(), peer.heartbeat.incarnation);
        self.peers.remove(&instance);
        out.push(Action::PeerChanged { instance, incarnation, phase: Phase::Dead });
        true
    }

    fn update_phases(&mut self, now: Time, out: &mut Vec<Action>) {
        let suspect = self.silence_limit(self.settings.suspect_after);
        let dead = self.silence_limit(self.settings.dead_after);
        let known = out.len();
        for (instance, peer) in &mut self.peers {
            let silence = now.saturating_sub(peer.last_heard);
            let phase = match peer.phase {
                _ if silence >= dead => Phase::Dead,
                Phase::Live if silence >= suspect => Phase::Suspect,
                phase => phase,
            };
            if phase != peer.phase {
                peer.phase = phase;
                let (instance, incarnation) = (instance.clone(), peer.heartbeat.incarnation);
                out.push(Action::PeerChanged { instance, incarnation, phase });
            }
        }
        if out.len() > known {
            self.update_roles();
        }
    }

    /// Recomputes whether this instance is a watcher or the status writer of its data centre, and
    /// whether it is the claim collector of the fleet.
    fn update_roles(&mut self) {
        let own = &self.settings.instance;
        let live = self.live_in_data_centre();
        let watchers = config::watchers(&self.settings.data_centre, live.iter().copied());
        let role = if watchers.contains(&own) { Role::Watcher } else { Role::Follower };
        let writes_status = config::status_writer(live) == Some(own);
        let live = self.peers.iter().filter(|(_, peer)| peer.phase == Phase::Live);
        let live = live.map(|(name, _)| name).chain((!self.leaving).then_some(own));
        let is_collector = claim_gc::collector(live) == Some(own);
        (self.role, self.writes_status) = (role, writes_status);
        self.is_collector = is_collector;
    }

    /// Returns the time without a heartbeat after which `missed` heartbeats count as missed. Half an
    /// interval is added to allow for network delay.
    fn silence_limit(&self, missed: u32) -> Duration {
        self.settings.interval * missed + self.settings.interval / 2
    }

    fn update_fleet_size(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(started) = self.started else { return };
        let known = self.peers.values().filter(|p| p.phase != Phase::Dead).count();
        // Without this, instances that start at the same time would each take the share of the whole
        // fleet.
        let starting = now < started + self.silence_limit(self.settings.dead_after);
        let unheard = match starting {
            true => self.instance_by_addr.values().filter(|name| name.is_none()).count(),
            false => 0,
        };
        let size = u32::try_from(1 + known + unheard).unwrap_or(u32::MAX);
        if size != self.fleet_size {
            self.fleet_size = size;
            out.push(Action::FleetSize(size));
        }
    }

    fn send_heartbeats_if_due(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.started.is_none() || now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + self.settings.interval;
        if !self.settings.peers.is_empty() {
            let (to, heartbeat) = (self.settings.peers.clone(), self.heartbeat());
            out.push(Action::SendHeartbeats { to, heartbeat });
        }
    }
}
