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
    bundles::{BundleHistory, verify_and_parse},
    input::{ConfigRead, Event, Input, InputSender},
    peer_links::PeerLinks,
    replicas::ReplicaList,
    shared::Shared,
    startup_check::StartupCheck,
    status_writer::StatusWriter,
    store_calls,
};
use crate::{
    message::{ControlToFront, FrontConfig},
    telemetry::{Counter, Gauge},
};

/// Interval of the work that no state machine schedules: status, readiness and gauges.
pub(super) const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of entries in one push, which keeps a message far below its size limit.
const MAX_ENTRIES_PER_PUSH: usize = 2_000;

/// Drives the state machines of configuration, membership and quarantine.
pub(super) struct Coordinator {
    pub(super) shared: Rc<Shared>,
    pub(super) membership: membership::Machine,
    pub(super) config: config::Machine,
    pub(super) quarantine: quarantine::Machine,
    pub(super) role: Role,
    inputs: InputSender,
    links: PeerLinks,
    replicas: ReplicaList,
    bundles: BundleHistory,
    status: StatusWriter,
    /// Watch of the stored configuration; `None` while a task waits for a change with it.
    watch: Option<Watch>,
    /// State of this instance as its heartbeats report it.
    local: LocalState,
    /// Digest of the quarantine entries that this instance holds.
    quarantine_digest: u64,
    startup_check: StartupCheck,
    /// Configuration of `front` from the active bundle, held back until the instance may serve
    /// requests.
    pending_front_config: Option<Arc<FrontConfig>>,
    /// The last version that was rejected.
    rejected: Option<Version>,
    /// Events that follow from the event being handled.
    queue: VecDeque<Event>,
}

impl Coordinator {
    /// Creates the state machines of a starting instance.
    pub(super) fn new(
        shared: Rc<Shared>,
        replicas: ReplicaList,
        (inputs, links): (InputSender, PeerLinks),
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
            bundles: BundleHistory::default(),
            local: LocalState::default(),
            quarantine_digest: 0,
            startup_check: StartupCheck::default(),
            pending_front_config: None,
            rejected: None,
            queue: VecDeque::new(),
        }
    }

    /// Starts the state machines.
    pub(super) fn start(&mut self) {
        self.handle_event(Event::Membership(membership::Event::Start));
        self.handle_event(Event::Quarantine(quarantine::Event::Start));
        self.handle_event(Event::Config(config::Event::Start));
    }

    /// Returns the time at which [`Coordinator::tick`] is due.
    pub(super) fn next_wakeup(&self) -> Option<Time> {
        let membership = self.membership.next_wakeup().into_iter();
        let config = self.config.next_wakeup().into_iter();
        let others = self.quarantine.next_wakeup().into_iter().chain(self.replicas.next_wakeup());
        membership.chain(config).chain(others).min()
    }

    /// Returns the number of fingerprints that are quarantined now.
    pub(super) fn quarantined_count(&self) -> usize {
        let now = self.shared.clock.now();
        let entries = self.quarantine.entries().iter();
        entries.filter(|it| self.quarantine.is_quarantined(now, &quarantine::entry_key(it))).count()
    }

    /// Records that the engine has a replica for every key of every search service.
    pub(super) fn all_keys_covered(&mut self) {
        self.startup_check.set_all_keys_covered();
        // Handling any event updates the readiness.
        self.handle_event(Event::Membership(membership::Event::Tick));
    }

    /// Tells the state machines that time has passed.
    pub(super) fn tick(&mut self) {
        self.replicas.tick();
        self.handle_event(Event::Membership(membership::Event::Tick));
        self.handle_event(Event::Quarantine(quarantine::Event::Tick));
        self.handle_event(Event::Config(config::Event::Tick));
        // The status is computed from all peers, which is too expensive to do at every heartbeat.
        self.status.update(self.membership.status());
    }

    /// Announces to the peers that this instance is about to stop.
    pub(super) fn leave(&mut self) {
        self.handle_event(Event::Membership(membership::Event::Leave));
    }

    /// Handles a request of a peer or the result of a task.
    pub(super) fn handle_input(&mut self, input: Input) {
        match input {
            Input::PeerRequest { from, message, reply } => {
                let message = self.handle_peer_message(from, message);
                // Fails if the peer has disconnected.
                let _ = reply.send(message);
            }
            Input::HeartbeatReply { from, reply: PeerMessage::Heartbeat(heartbeat) } => {
                let (instance, version) = (from.clone(), heartbeat.version);
                self.handle_heartbeat(from, heartbeat);
                // Only a reply is known to have been sent after this process started.
                self.handle_event(Event::Config(config::Event::PeerHolds { instance, version }));
            }
            Input::HeartbeatReply { .. } => {}
            Input::ConfigFetched { reply } => {
                let bundle = match reply {
                    Some(PeerMessage::ConfigPush(update)) => self.resolve_update(update),
                    _ => None,
                };
                let event = bundle.map_or(config::Event::FetchFailed, config::Event::PeerBundle);
                self.handle_event(Event::Config(event));
            }
            Input::ReplicaListFetched { reply: PeerMessage::Instances(list) } => {
                self.replicas.handle_peer_list(list);
            }
            Input::ReplicaListFetched { .. } => {}
            Input::ConfigRead { result, watch } => {
                if watch.is_some() {
                    self.watch = watch;
                }
                let event = self.config_event(result);
                self.handle_event(Event::Config(event));
            }
            Input::Quarantine(event) => self.handle_event(Event::Quarantine(event)),
            Input::StatusWritten { is_written } => self.status.handle_written(is_written),
        }
    }

    /// Handles an event and all events that follow from it.
    pub(super) fn handle_event(&mut self, event: Event) {
        self.queue.push_back(event);
        while let Some(event) = self.queue.pop_front() {
            let now = self.shared.clock.now();
            match event {
                Event::Membership(event) => self.handle_membership(now, event),
                Event::Config(event) => self.handle_config(now, event),
                Event::Quarantine(event) => self.handle_quarantine(now, event),
            }
            self.update_local_state(now);
        }
    }

    fn handle_membership(&mut self, now: Time, event: membership::Event) {
        let mut out = Vec::new();
        let mut may_change_role = !matches!(event, membership::Event::HeartbeatReceived { .. });
        self.membership.handle(now, event, &mut out);
        for action in out {
            match action {
                membership::Action::SendHeartbeats { to, heartbeat } => {
                    for addr in to {
                        self.links.send_heartbeat(addr, PeerMessage::Heartbeat(heartbeat.clone()));
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
                    self.shared.send_engine_event(EngineEvent::FleetSize(size));
                    self.shared.record_gauge(Gauge::FleetSize, size.into());
                    self.replicas.publish_targets();
                }
            }
        }
        if may_change_role {
            self.update_role();
        }
    }

    /// Applies the roles that membership assigns to this instance.
    fn update_role(&mut self) {
        self.shared.is_collector.set(self.membership.is_collector());
        let role = self.membership.role();
        if role != self.role {
            self.role = role;
            self.queue.push_back(Event::Config(config::Event::RoleChanged(role)));
        }
    }

    fn handle_config(&mut self, now: Time, event: config::Event) {
        let mut out = Vec::new();
        self.config.handle(now, event, &mut out);
        for action in out {
            match action {
                config::Action::ReadStore { mode, .. } => self.read_stored_config(mode),
                config::Action::FetchFromPeer { instance, have } => match self.peer_addr(&instance)
                {
                    Some(addr) => self.links.fetch_config(addr, PeerMessage::ConfigFetch { have }),
                    None => self.queue.push_back(Event::Config(config::Event::FetchFailed)),
                },
                config::Action::Activate(signed) => self.activate(signed),
                config::Action::PushTo { peers } => {
                    for (instance, have) in peers {
                        let update = self.bundles.update_for(have);
                        if let Some(addr) = self.peer_addr(&instance)
                            && update != ConfigUpdate::Current
                        {
                            self.links.push(addr, PeerMessage::ConfigPush(update));
                        }
                    }
                }
            }
        }
    }

    fn handle_quarantine(&mut self, now: Time, event: quarantine::Event) {
        let mut out = Vec::new();
        let may_change_entries = !matches!(event, quarantine::Event::PeerDigest { .. });
        self.quarantine.handle(now, event, &mut out);
        if may_change_entries {
            self.quarantine_digest = self.quarantine.entries().digest();
        }
        for action in out {
            match action {
                quarantine::Action::LoadStore => {
                    let load = store_calls::load_quarantine(Rc::clone(&self.shared));
                    self.spawn_quarantine_call(load);
                }
                quarantine::Action::WriteStore(entry) => {
                    let write = store_calls::write_quarantine(Rc::clone(&self.shared), entry);
                    self.spawn_quarantine_call(write);
                }
                quarantine::Action::DeleteStore { key } => {
                    spawn_local(store_calls::delete_quarantine(Rc::clone(&self.shared), key));
                }
                quarantine::Action::PushAll(entries) => {
                    let peers = self.membership.peers().filter(|(_, it)| it.phase != Phase::Dead);
                    let addrs: Vec<_> = peers.map(|(_, it)| it.heartbeat.addr).collect();
                    for addr in addrs {
                        self.push_quarantine_entries(addr, &entries);
                    }
                }
                quarantine::Action::PushTo { instance, entries } => {
                    if let Some(addr) = self.peer_addr(&instance) {
                        self.push_quarantine_entries(addr, &entries);
                    }
                }
                quarantine::Action::Apply { service, fingerprint, until } => {
                    info!(self.shared.log, "a fingerprint is quarantined or released";
                        "service" => %service, "fingerprint" => format!("{fingerprint:016x}"),
                        "released" => until <= now);
                    let event = EngineEvent::Quarantine { service, fingerprint, until };
                    self.shared.send_engine_event(event);
                }
            }
        }
    }

    /// Handles a message of a peer and returns the reply.
    fn handle_peer_message(&mut self, from: InstanceId, message: PeerMessage) -> PeerMessage {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(from, heartbeat);
                PeerMessage::Heartbeat(self.membership.heartbeat())
            }
            PeerMessage::ConfigFetch { have } => {
                PeerMessage::ConfigPush(self.bundles.update_for(have))
            }
            PeerMessage::ConfigPush(update) => {
                if let Some(signed) = self.resolve_update(update) {
                    self.handle_event(Event::Config(config::Event::PeerBundle(signed)));
                }
                PeerMessage::Ack
            }
            PeerMessage::QuarantinePush(entries) => {
                self.handle_event(Event::Quarantine(quarantine::Event::PeerEntries(entries)));
                PeerMessage::Ack
            }
            PeerMessage::InstancesFetch => PeerMessage::Instances(self.replicas.entries()),
            PeerMessage::Instances(_) | PeerMessage::Ack => PeerMessage::Ack,
        }
    }

    fn handle_heartbeat(
        &mut self,
        from: InstanceId,
        heartbeat: rosemarybank_protocol::peer::Heartbeat,
    ) {
        let (instance, digest) = (from.clone(), heartbeat.quarantine_digest);
        self.handle_event(Event::Membership(membership::Event::HeartbeatReceived {
            from,
            heartbeat,
        }));
        self.handle_event(Event::Quarantine(quarantine::Event::PeerDigest { instance, digest }));
    }

    /// Starts reading the configuration from the store.
    fn read_stored_config(&mut self, mode: ReadMode) {
        let (shared, inputs) = (Rc::clone(&self.shared), self.inputs.clone());
        let max_wait = shared.settings.platform.watch_wait;
        let watch = match mode {
            ReadMode::Now => None,
            ReadMode::Wait => self.watch.take(),
        };
        spawn_local(async move {
            let input = match watch {
                None => Input::ConfigRead {
                    result: store_calls::read_config(&shared).await,
                    watch: None,
                },
                Some(mut watch) => {
                    let result = store_calls::wait_for_config(&shared, &mut watch, max_wait).await;
                    Input::ConfigRead { result, watch: Some(watch) }
                }
            };
            let _ = inputs.send(input);
        });
    }

    /// Converts the result of a store read to an event of the configuration state machine.
    fn config_event(&mut self, result: ConfigRead) -> config::Event {
        let held = self.local.version;
        let value = match (result, held) {
            (ConfigRead::Found(value), _) => value,
            (ConfigRead::Unchanged, Some(version)) => {
                return config::Event::StoreConfirms { version };
            }
            (ConfigRead::Empty, _) => return config::Event::StoreEmpty,
            // Without a held version, an unchanged value confirms nothing.
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
        // An invalid bundle has the same consequences as an unreachable store.
        let is_valid = self.is_valid(&signed);
        if is_valid { config::Event::StoreHead(signed) } else { config::Event::StoreUnreachable }
    }

    /// Returns the bundle that results from a peer's update, if there is one and it is valid.
    fn resolve_update(&mut self, update: ConfigUpdate) -> Option<SignedBundle> {
        let signed = self.bundles.resolve(update)?;
        self.is_valid(&signed).then_some(signed)
    }

    fn is_valid(&mut self, signed: &SignedBundle) -> bool {
        let Err(reason) = verify_and_parse(signed, &self.shared.settings.trusted) else {
            return true;
        };
        // The same bundle is read repeatedly, so each version is logged and counted only once.
        if self.rejected != Some(signed.version) {
            self.rejected = Some(signed.version);
            self.shared.recorder.count(Counter::BundlesRefused);
            error!(self.shared.log, "a bundle is refused"; "reason" => reason);
        }
        false
    }

    /// Activates a bundle on this instance.
    fn activate(&mut self, signed: SignedBundle) {
        // Cannot fail: a bundle is verified before it is passed to the state machine.
        let Ok(bundle) = verify_and_parse(&signed, &self.shared.settings.trusted) else { return };
        let (version, bundle) = (signed.version, Rc::new(bundle));
        *self.shared.active_bundle.borrow_mut() = Some((version, Rc::clone(&bundle)));
        self.bundles.push(signed);
        self.shared.send_engine_event(EngineEvent::Configure(Box::new((*bundle).clone())));
        self.pending_front_config = Some(Arc::new(FrontConfig::new(&bundle)));
        self.replicas.publish_targets();
        self.shared.record_gauge(Gauge::Version, version);
        info!(self.shared.log, "a bundle is in force"; "version" => version);
    }

    /// Passes a pending configuration to `front` once the instance may serve requests, and updates
    /// the state that the heartbeats report.
    fn update_local_state(&mut self, now: Time) {
        self.startup_check.set_replica_count(now, self.replicas.len());
        let may_serve = self.startup_check.is_passed(now) && self.quarantine.is_loaded(now);
        if may_serve && let Some(config) = self.pending_front_config.take() {
            self.shared.front.send(ControlToFront::Config(config));
        }
        let version = self.shared.active_bundle.borrow().as_ref().map(|(version, _)| *version);
        let local = LocalState {
            version,
            quarantine_digest: self.quarantine_digest,
            ready: version.is_some() && may_serve,
        };
        if local != self.local {
            self.local = local;
            self.queue.push_back(Event::Membership(membership::Event::Local(local)));
        }
    }

    /// Starts a store call of the quarantine and reports its result as an input.
    fn spawn_quarantine_call(&self, call: impl Future<Output = quarantine::Event> + 'static) {
        let inputs = self.inputs.clone();
        spawn_local(async move {
            let _ = inputs.send(Input::Quarantine(call.await));
        });
    }

    fn push_quarantine_entries(
        &self,
        to: std::net::SocketAddr,
        entries: &[rosemarybank_protocol::platform::QuarantineEntry],
    ) {
        for chunk in entries.chunks(MAX_ENTRIES_PER_PUSH) {
            self.links.push(to, PeerMessage::QuarantinePush(chunk.to_vec()));
        }
    }

    fn peer_addr(&self, instance: &str) -> Option<std::net::SocketAddr> {
        let mut peers = self.membership.peers();
        peers.find(|(name, _)| *name == instance).map(|(_, peer)| peer.heartbeat.addr)
    }
}
