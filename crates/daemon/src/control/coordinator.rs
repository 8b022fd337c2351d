use std::{collections::VecDeque, rc::Rc, sync::Arc, time::Duration};

use rosemarybank_coordination::{
    config::{self, ReadMode, Role},
    membership::{self, LocalState, Phase},
    quarantine,
};
use rosemarybank_protocol::{
    peer::{ConfigUpdate, PeerMessage},
    platform::{CONFIG_PATH, SignedBundle},
    prelude::*,
};
use rosemarybank_query::interface::Event as EngineEvent;
use rosemarybank_store::Watch;
use slog::{error, info};
use tokio::task::spawn_local;

use super::{
    bundles::{Bundles, check},
    input::{ConfigRead, Event, Input, Inputs},
    links::Links,
    needs::Needs,
    replicas::Replicas,
    shared::Shared,
    status::StatusWriter,
    store_calls,
};
use crate::{
    message::{ControlToFront, FrontConfig},
    telemetry::{Counter, Gauge},
};

/// Interval of the work that no machine asks for: status, readiness and gauges.
pub(super) const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Entries in one push, so that a message stays far below its length limit.
const ENTRIES_PER_PUSH: usize = 2_000;

/// Drives the machines of configuration, membership and quarantine.
pub(super) struct Coordinator {
    pub(super) shared: Rc<Shared>,
    pub(super) membership: membership::Machine,
    pub(super) config: config::Machine,
    pub(super) quarantine: quarantine::Machine,
    pub(super) role: Role,
    inputs: Inputs,
    links: Links,
    replicas: Replicas,
    bundles: Bundles,
    status: StatusWriter,
    watch: Option<Watch>,
    local: LocalState,
    /// Digest of the quarantine entries held.
    digest: u64,
    needs: Needs,
    /// Front's part of the bundle in force, until the quarantine and the replicas are known.
    waiting: Option<Arc<FrontConfig>>,
    refused: Option<Version>,
    queue: VecDeque<Event>,
}

impl Coordinator {
    /// Makes the machines of a starting instance.
    pub(super) fn new(
        shared: Rc<Shared>,
        replicas: Replicas,
        (inputs, links): (Inputs, Links),
        membership: membership::Settings,
    ) -> Coordinator {
        let instances = membership.peers.len() as u32 + 1;
        let unix_ms = shared.clock.unix_ms_at_zero();
        Coordinator {
            membership: membership::Machine::new(membership),
            config: config::Machine::new(config::Settings::builder().instances(instances).build()),
            quarantine: quarantine::Machine::new(
                quarantine::Settings::builder().unix_ms_at_zero(unix_ms).build(),
            ),
            role: Role::Follower,
            links,
            status: StatusWriter::new(Rc::clone(&shared), inputs.clone()),
            watch: Some(shared.platform.watch(CONFIG_PATH)),
            shared,
            inputs,
            replicas,
            bundles: Bundles::default(),
            local: LocalState::default(),
            digest: 0,
            needs: Needs::default(),
            waiting: None,
            refused: None,
            queue: VecDeque::new(),
        }
    }

    /// Starts the machines.
    pub(super) fn start(&mut self) {
        self.run(Event::Membership(membership::Event::Start));
        self.run(Event::Quarantine(quarantine::Event::Start));
        self.run(Event::Config(config::Event::Start));
    }

    /// Time at which [`Coordinator::tick`] is needed next.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        let membership = self.membership.next_wakeup().into_iter();
        let config = self.config.next_wakeup().into_iter();
        let rest = self.quarantine.next_wakeup().into_iter().chain(self.replicas.next_wakeup());
        membership.chain(config).chain(rest).min()
    }

    /// Number of fingerprints that are refused now.
    pub(super) fn quarantined(&self) -> usize {
        let now = self.shared.clock.now();
        let entries = self.quarantine.entries().iter();
        entries.filter(|it| self.quarantine.is_quarantined(now, &quarantine::entry_key(it))).count()
    }

    /// Takes the news that the engine has a replica for every key of every search service.
    pub(super) fn served(&mut self) {
        self.needs.served();
        // The readiness is looked at after each event.
        self.run(Event::Membership(membership::Event::Tick));
    }

    /// Lets the machines see that time has passed.
    pub(super) fn tick(&mut self) {
        self.replicas.tick();
        self.run(Event::Membership(membership::Event::Tick));
        self.run(Event::Quarantine(quarantine::Event::Tick));
        self.run(Event::Config(config::Event::Tick));
        // Not at each event: a heartbeat must not cost a look at all peers.
        self.status.offer(self.membership.status());
    }

    /// Announces that this instance is about to stop.
    pub(super) fn leave(&mut self) {
        self.run(Event::Membership(membership::Event::Leave));
    }

    /// Takes the report of a task or a peer.
    pub(super) fn input(&mut self, input: Input) {
        match input {
            Input::Message { from, message, reply } => {
                let answer = self.message(from, message);
                // The peer may hang up before it is answered.
                let _ = reply.send(answer);
            }
            Input::HeartbeatAnswer { from, answer: PeerMessage::Heartbeat(heartbeat) } => {
                let (instance, version) = (from.clone(), heartbeat.version);
                self.heard(from, heartbeat);
                // Only an answer is known to be sent after this process started.
                self.run(Event::Config(config::Event::PeerHolds { instance, version }));
            }
            Input::HeartbeatAnswer { .. } => {}
            Input::Fetched { answer } => {
                let bundle = match answer {
                    Some(PeerMessage::ConfigPush(update)) => self.resolve(update),
                    _ => None,
                };
                let event = bundle.map_or(config::Event::FetchFailed, config::Event::PeerBundle);
                self.run(Event::Config(event));
            }
            Input::PeerReplicas { answer: PeerMessage::Instances(list) } => {
                self.replicas.offer(list);
            }
            Input::PeerReplicas { .. } => {}
            Input::StoreRead { event, watch } => {
                if watch.is_some() {
                    self.watch = watch;
                }
                let event = self.store_event(event);
                self.run(Event::Config(event));
            }
            Input::Quarantine(event) => self.run(Event::Quarantine(event)),
            Input::StatusWritten { is_written } => self.status.written(is_written),
        }
    }

    /// Feeds an event, and the events that follow from it.
    pub(super) fn run(&mut self, event: Event) {
        self.queue.push_back(event);
        while let Some(event) = self.queue.pop_front() {
            let now = self.shared.clock.now();
            match event {
                Event::Membership(event) => self.run_membership(now, event),
                Event::Config(event) => self.run_config(now, event),
                Event::Quarantine(event) => self.run_quarantine(now, event),
            }
            self.update_local(now);
        }
    }

    fn run_membership(&mut self, now: Time, event: membership::Event) {
        let mut out = Vec::new();
        let mut may_change_role = !matches!(event, membership::Event::HeartbeatReceived { .. });
        self.membership.handle(now, event, &mut out);
        for action in out {
            match action {
                membership::Action::SendHeartbeats { to, heartbeat } => {
                    for addr in to {
                        self.links.heartbeat(addr, PeerMessage::Heartbeat(heartbeat.clone()));
                    }
                }
                membership::Action::PeerChanged { instance, incarnation, phase } => {
                    may_change_role = true;
                    info!(self.shared.log, "a peer changed"; "peer" => %instance,
                        "incarnation" => incarnation, "phase" => ?phase);
                    if matches!(phase, Phase::Dead | Phase::Leaving) {
                        self.queue.push_back(Event::Config(config::Event::PeerGone { instance }));
                    }
                }
                membership::Action::FleetSize(size) => {
                    self.shared.fleet_size.set(size);
                    self.shared.engine_event(EngineEvent::FleetSize(size));
                    self.shared.gauge(Gauge::FleetSize, size.into());
                    self.replicas.connect();
                }
            }
        }
        if may_change_role {
            self.update_role();
        }
    }

    fn update_role(&mut self) {
        self.shared.is_collector.set(self.membership.is_collector());
        let role = self.membership.role();
        if role != self.role {
            self.role = role;
            self.queue.push_back(Event::Config(config::Event::RoleChanged(role)));
        }
    }

    fn run_config(&mut self, now: Time, event: config::Event) {
        let mut out = Vec::new();
        self.config.handle(now, event, &mut out);
        for action in out {
            match action {
                config::Action::ReadStore { mode, .. } => self.read_store(mode),
                config::Action::FetchFromPeer { instance, have } => match self.addr_of(&instance) {
                    Some(addr) => self.links.fetch(addr, PeerMessage::ConfigFetch { have }),
                    None => self.queue.push_back(Event::Config(config::Event::FetchFailed)),
                },
                config::Action::Activate(signed) => self.activate(signed),
                config::Action::PushTo { peers } => {
                    for (instance, have) in peers {
                        let update = self.bundles.update_for(have);
                        if let Some(addr) = self.addr_of(&instance)
                            && update != ConfigUpdate::Current
                        {
                            self.links.push(addr, PeerMessage::ConfigPush(update));
                        }
                    }
                }
            }
        }
    }

    fn run_quarantine(&mut self, now: Time, event: quarantine::Event) {
        let mut out = Vec::new();
        let may_change_entries = !matches!(event, quarantine::Event::PeerDigest { .. });
        self.quarantine.handle(now, event, &mut out);
        if may_change_entries {
            self.digest = self.quarantine.entries().digest();
        }
        for action in out {
            match action {
                quarantine::Action::LoadStore => {
                    self.report_quarantine(store_calls::load_quarantine(Rc::clone(&self.shared)));
                }
                quarantine::Action::WriteStore(entry) => {
                    let write = store_calls::write_quarantine(Rc::clone(&self.shared), entry);
                    self.report_quarantine(write);
                }
                quarantine::Action::DeleteStore { key } => {
                    spawn_local(store_calls::delete_quarantine(Rc::clone(&self.shared), key));
                }
                quarantine::Action::PushAll(entries) => {
                    let peers = self.membership.peers().filter(|(_, it)| it.phase != Phase::Dead);
                    let addrs: Vec<_> = peers.map(|(_, it)| it.heartbeat.addr).collect();
                    for addr in addrs {
                        self.push_entries(addr, &entries);
                    }
                }
                quarantine::Action::PushTo { instance, entries } => {
                    if let Some(addr) = self.addr_of(&instance) {
                        self.push_entries(addr, &entries);
                    }
                }
                quarantine::Action::Apply { service, fingerprint, until } => {
                    info!(self.shared.log, "a fingerprint is quarantined or released";
                        "service" => %service, "fingerprint" => format!("{fingerprint:016x}"),
                        "released" => until <= now);
                    let event = EngineEvent::Quarantine { service, fingerprint, until };
                    self.shared.engine_event(event);
                }
            }
        }
    }

    fn message(&mut self, from: InstanceId, message: PeerMessage) -> PeerMessage {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.heard(from, heartbeat);
                PeerMessage::Heartbeat(self.membership.heartbeat())
            }
            PeerMessage::ConfigFetch { have } => {
                PeerMessage::ConfigPush(self.bundles.update_for(have))
            }
            PeerMessage::ConfigPush(update) => {
                if let Some(signed) = self.resolve(update) {
                    self.run(Event::Config(config::Event::PeerBundle(signed)));
                }
                PeerMessage::Ack
            }
            PeerMessage::QuarantinePush(entries) => {
                self.run(Event::Quarantine(quarantine::Event::PeerEntries(entries)));
                PeerMessage::Ack
            }
            PeerMessage::InstancesFetch => PeerMessage::Instances(self.replicas.entries()),
            PeerMessage::Instances(_) | PeerMessage::Ack => PeerMessage::Ack,
        }
    }

    fn heard(&mut self, from: InstanceId, heartbeat: rosemarybank_protocol::peer::Heartbeat) {
        let (instance, digest) = (from.clone(), heartbeat.quarantine_digest);
        self.run(Event::Membership(membership::Event::HeartbeatReceived { from, heartbeat }));
        self.run(Event::Quarantine(quarantine::Event::PeerDigest { instance, digest }));
    }

    fn read_store(&mut self, mode: ReadMode) {
        let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
        let wait = shared.settings.platform.watch_wait;
        let watch = match mode {
            ReadMode::Now => None,
            ReadMode::Wait => self.watch.take(),
        };
        spawn_local(async move {
            let input = match watch {
                None => {
                    Input::StoreRead { event: store_calls::read_config(&shared).await, watch: None }
                }
                Some(mut watch) => {
                    let event = store_calls::wait_for_config(&shared, &mut watch, wait).await;
                    Input::StoreRead { event, watch: Some(watch) }
                }
            };
            let _ = inputs.send(input);
        });
    }

    /// The machine's event for the end of a store read.
    fn store_event(&mut self, read: ConfigRead) -> config::Event {
        let held = self.local.version;
        let value = match (read, held) {
            (ConfigRead::Found(value), _) => value,
            (ConfigRead::Unchanged, Some(version)) => {
                return config::Event::StoreConfirms { version };
            }
            (ConfigRead::Empty, _) => return config::Event::StoreEmpty,
            (ConfigRead::Unchanged | ConfigRead::Unreachable, _) => {
                return config::Event::StoreUnreachable;
            }
        };
        let signed: SignedBundle = match serde_json::from_slice(&value) {
            Ok(signed) => signed,
            Err(err) => {
                error!(self.shared.log, "the stored configuration is not readable";
                    "error" => %err);
                return config::Event::StoreUnreachable;
            }
        };
        if held.is_some_and(|held| signed.version <= held) {
            return config::Event::StoreConfirms { version: signed.version };
        }
        // A bundle that is refused leaves the instance where an unreachable store leaves it.
        let is_valid = self.is_valid(&signed);
        if is_valid { config::Event::StoreHead(signed) } else { config::Event::StoreUnreachable }
    }

    fn resolve(&mut self, update: ConfigUpdate) -> Option<SignedBundle> {
        let signed = self.bundles.resolve(update)?;
        self.is_valid(&signed).then_some(signed)
    }

    fn is_valid(&mut self, signed: &SignedBundle) -> bool {
        let Err(reason) = check(signed, &self.shared.settings.trusted) else { return true };
        // The store is read again and again; one line and one count for each version are enough.
        if self.refused != Some(signed.version) {
            self.refused = Some(signed.version);
            self.shared.recorder.count(Counter::BundlesRefused);
            error!(self.shared.log, "a bundle is refused"; "reason" => reason);
        }
        false
    }

    fn activate(&mut self, signed: SignedBundle) {
        // Every bundle is checked before the machine sees it.
        let Ok(bundle) = check(&signed, &self.shared.settings.trusted) else { return };
        let (version, bundle) = (signed.version, Rc::new(bundle));
        *self.shared.in_force.borrow_mut() = Some((version, Rc::clone(&bundle)));
        self.bundles.push(signed);
        self.shared.engine_event(EngineEvent::Configure(Box::new((*bundle).clone())));
        self.waiting = Some(Arc::new(FrontConfig::new(&bundle)));
        self.replicas.connect();
        self.shared.gauge(Gauge::Version, version);
        info!(self.shared.log, "a bundle is in force"; "version" => version);
    }

    /// Lets the front take requests when it may, and keeps the heartbeats true.
    fn update_local(&mut self, now: Time) {
        self.needs.listed(now, self.replicas.len());
        let has_needs = self.needs.are_met(now) && self.quarantine.is_loaded(now);
        if has_needs && let Some(config) = self.waiting.take() {
            self.shared.front.send(ControlToFront::Config(config));
            self.shared.readiness.set_configured();
        }
        let version = self.shared.in_force.borrow().as_ref().map(|(version, _)| *version);
        let local = LocalState {
            version,
            quarantine_digest: self.digest,
            ready: version.is_some() && has_needs,
        };
        if local != self.local {
            self.local = local;
            self.queue.push_back(Event::Membership(membership::Event::Local(local)));
        }
    }

    fn report_quarantine(&self, call: impl Future<Output = quarantine::Event> + 'static) {
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let _ = inputs.send(Input::Quarantine(call.await));
        });
    }

    fn push_entries(
        &self,
        to: std::net::SocketAddr,
        entries: &[rosemarybank_protocol::platform::QuarantineEntry],
    ) {
        for part in entries.chunks(ENTRIES_PER_PUSH) {
            self.links.push(to, PeerMessage::QuarantinePush(part.to_vec()));
        }
    }

    fn addr_of(&self, instance: &str) -> Option<std::net::SocketAddr> {
        let mut peers = self.membership.peers();
        peers.find(|(name, _)| *name == instance).map(|(_, peer)| peer.heartbeat.addr)
    }
}
