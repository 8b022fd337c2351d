//! State of the event loop and how its events are dispatched.

use std::{collections::VecDeque, io, sync::Arc, time::Instant};

use mio::{
    Events, Interest, Poll, Token,
    net::{TcpListener, TcpStream},
};
use rosemarybank_adapter::NodeSettings;
use rosemarybank_coordination::source::{Member, SourceSelector};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{
    Action, AttemptKey, Directory, Event, Failure, Forwarder, ReplicaKey, RequestKey,
};
use slab::Slab;
use slotmap::{SecondaryMap, SparseSecondaryMap};

use crate::platform::{
    client::Client,
    feed::Following,
    journal::{Journal, Kind},
    lanes::{Lane, Subject},
    metrics::Metrics,
    stop::Stop,
    store::{StoreCall, StoreLane},
    upstream::{Pool, Upstream},
};

/// Token of the listener for clients.
const FRONT: Token = Token(usize::MAX - 1);

/// Token of the listener for readiness.
const READY: Token = Token(usize::MAX - 2);

/// Token of the listener for metrics.
const METRICS: Token = Token(usize::MAX - 3);

/// Token of the listener for other instances.
const PEER: Token = Token(usize::MAX - 4);

/// Bytes that one system call reads at most; larger than nearly all messages.
const SCRATCH_LEN: usize = 32 << 10;

/// Events that one poll returns at most.
const EVENTS: usize = 512;

/// Who connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Port {
    /// A client.
    Front,
    /// The platform, asking for readiness.
    Ready,
    /// Another instance.
    Peer,
    /// A reader of metrics.
    Metrics,
}

/// A connection.
#[derive(Debug)]
pub(super) enum Conn {
    /// From a client.
    Client(Client),
    /// To a replica.
    Upstream(Upstream),
    /// To the store.
    Store(StoreCall),
}

/// Everything that the event loop owns.
pub(super) struct Node {
    pub(super) settings: NodeSettings,
    pub(super) settings_text: Vec<u8>,
    pub(super) poll: Poll,
    listeners: Vec<(Token, Port, TcpListener)>,
    pub(super) conns: Slab<Conn>,
    pub(super) forwarder: Forwarder,
    pub(super) directory: Directory,
    pub(super) has_list: bool,
    /// Tells this lifetime of the process from others.
    pub(super) epoch: u64,
    /// The configuration in force as text, for other instances.
    pub(super) config_text: Vec<u8>,
    pub(super) chooser: SourceSelector,
    pub(super) following: Following,
    /// Other instances that wait for news.
    pub(super) pulls: Vec<usize>,
    pub(super) pools: SecondaryMap<ReplicaKey, Pool>,
    /// Connections of the clients that wait for an answer.
    pub(super) requests: SparseSecondaryMap<RequestKey, usize>,
    /// Connections of the attempts in flight.
    pub(super) attempts: SparseSecondaryMap<AttemptKey, usize>,
    pub(super) lanes: Vec<StoreLane>,
    pub(super) actions: Vec<Action>,
    /// Clients whose buffers may hold another request.
    pub(super) resumed: Vec<usize>,
    /// Clients whose requests came before the first configuration.
    pub(super) parked: Vec<usize>,
    /// Connections that were just opened, with the time of their first request.
    pub(super) settling: VecDeque<(Time, usize)>,
    pub(super) scratch: Vec<u8>,
    pub(super) journal: Journal,
    pub(super) metrics: Metrics,
    pub(super) stop: Stop,
    origin: Instant,
    pub(super) now: Time,
}

impl Node {
    pub(super) fn new(
        settings: NodeSettings,
        settings_text: Vec<u8>,
        metrics_port: Option<u16>,
        forwarder: Forwarder,
        journal: Journal,
    ) -> io::Result<Node> {
        let poll = Poll::new()?;
        let subjects = [Subject::Config, Subject::Replicas, Subject::Instances];
        let own = Member {
            id: settings.instance.clone(),
            addr: (settings.ip, settings.peer_ports.0).into(),
            data_centre: settings.data_centre.clone(),
            millicores: settings.millicores,
        };
        let chooser = SourceSelector::new(own.id.clone(), own.data_centre.clone());
        let lane = |it| StoreLane::new(Lane::new(it, own.clone()));
        let mut node = Node {
            lanes: subjects.into_iter().map(lane).collect(),
            settings,
            settings_text,
            poll,
            listeners: Vec::new(),
            conns: Slab::new(),
            forwarder,
            directory: Directory::default(),
            has_list: false,
            epoch: crate::clock::unix_ms(),
            config_text: Vec::new(),
            chooser,
            following: Following::default(),
            pulls: Vec::new(),
            pools: SecondaryMap::new(),
            requests: SparseSecondaryMap::new(),
            attempts: SparseSecondaryMap::new(),
            actions: Vec::new(),
            resumed: Vec::new(),
            parked: Vec::new(),
            settling: VecDeque::new(),
            scratch: vec![0; SCRATCH_LEN],
            journal,
            metrics: Metrics::default(),
            stop: Stop::default(),
            origin: Instant::now(),
            now: Time::ZERO,
        };
        node.listen(FRONT, Port::Front, node.settings.client_addr)?;
        node.listen(READY, Port::Ready, node.settings.readiness_addr)?;
        node.listen(PEER, Port::Peer, own.addr)?;
        if let Some(port) = metrics_port {
            let addr = (node.settings.ip, port).into();
            node.listen(METRICS, Port::Metrics, addr)?;
        }
        Ok(node)
    }

    /// Waits for events and handles them.
    pub(super) fn turn(&mut self, events: &mut Events) -> io::Result<()> {
        let wait = self.next_wakeup().saturating_sub(self.clock());
        match self.poll.poll(events, Some(wait)) {
            Err(err) if err.kind() != io::ErrorKind::Interrupted => return Err(err),
            _ => {}
        }
        self.now = self.clock();
        for event in events.iter() {
            match event.token() {
                token @ (FRONT | READY | METRICS | PEER) => self.accept(token),
                Token(index) => self.connection_event(index, event.is_writable()),
            }
            self.act();
        }
        self.now = self.clock();
        self.begin_settled();
        self.act();
        if self.forwarder.next_wakeup().is_some_and(|it| it <= self.now) {
            self.forwarder.handle(self.now, Event::Tick, &mut self.actions);
            self.act();
        }
        self.sweep();
        if !self.pulls.is_empty() {
            self.release_pulls();
        }
        if !self.parked.is_empty() {
            self.release_parked();
        }
        self.act();
        self.journal.tick(self.now);
        Ok(())
    }

    /// Space for the events of a turn.
    pub(super) fn events() -> Events {
        Events::with_capacity(EVENTS)
    }

    /// Whether clients are welcome.
    pub(super) fn is_ready(&self) -> bool {
        self.forwarder.table().is_some() && self.has_list && !self.stop.is_asked()
    }

    /// Whether the first configuration or list of replicas is still on its way.
    pub(super) fn is_starting(&self) -> bool {
        let is_served = self.forwarder.table().is_some() && self.has_list;
        !is_served && !self.stop.is_asked() && self.lanes.iter().all(|it| !it.lane.has_failed())
    }

    /// Ends listening, so that new connections are refused at once.
    pub(super) fn close_front(&mut self) {
        self.listeners.retain(|it| it.1 != Port::Front);
    }

    /// Closes a connection.
    pub(super) fn drop_conn(&mut self, index: usize) {
        if let Some(mut conn) = self.conns.try_remove(index) {
            let socket = match &mut conn {
                Conn::Client(it) => &mut it.socket,
                Conn::Upstream(it) => &mut it.socket,
                Conn::Store(it) => &mut it.socket,
            };
            socket.deregister(self.poll.registry());
        }
    }

    /// Performs the forwarder's actions, and those that follow from them.
    pub(super) fn act(&mut self) {
        while !self.actions.is_empty() || !self.resumed.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Send { .. } => self.send(action),
                    Action::Abandon { attempt, close_at } => self.abandon(attempt, close_at),
                    Action::Answer { request, answer } => self.answer(request, answer),
                    Action::RemoveReplica(replica) => self.forget(replica),
                    Action::Reconnect { replica, addr } => self.reopen(replica, addr),
                    Action::Quarantine(fingerprint) => self.journal.line(
                        self.now,
                        Kind::Belief,
                        "quarantined",
                        format_args!(r#""fingerprint":"{fingerprint:016x}""#),
                    ),
                }
            }
            for index in std::mem::take(&mut self.resumed) {
                self.process_client(index);
            }
        }
    }

    /// Tells the forwarder that an attempt failed.
    pub(super) fn attempt_failed(&mut self, attempt: AttemptKey, failure: Failure) {
        self.attempts.remove(attempt);
        self.metrics.attempt_failures[failure as usize] += 1;
        self.forwarder.handle(self.now, Event::Failed(attempt, failure), &mut self.actions);
    }

    fn clock(&self) -> Time {
        self.origin.elapsed()
    }

    fn next_wakeup(&self) -> Time {
        let timer = self.forwarder.next_wakeup().unwrap_or(Time::MAX);
        let settled = self.settling.front().map_or(Time::MAX, |it| it.0);
        timer.min(settled).min(self.stop.next_sweep())
    }

    fn listen(&mut self, token: Token, port: Port, addr: std::net::SocketAddr) -> io::Result<()> {
        let mut listener = TcpListener::bind(addr)?;
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        self.listeners.push((token, port, listener));
        Ok(())
    }

    fn accept(&mut self, token: Token) {
        loop {
            let Some((_, port, listener)) = self.listeners.iter().find(|it| it.0 == token) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let port = *port;
                    self.add_client(stream, port);
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return,
                Err(err) => {
                    self.journal.line(
                        self.now,
                        Kind::Life,
                        "accept_failed",
                        format_args!(r#""error":"{err}""#),
                    );
                    return;
                }
            }
        }
    }

    fn add_client(&mut self, stream: TcpStream, port: Port) {
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        match Client::new(stream, port, self.now, self.poll.registry(), index) {
            Ok(client) => {
                entry.insert(Conn::Client(client));
                // The first request has often arrived with the connection.
                self.client_event(index);
            }
            Err(err) => self.journal.line(
                self.now,
                Kind::Life,
                "accept_failed",
                format_args!(r#""error":"{err}""#),
            ),
        }
    }

    fn connection_event(&mut self, index: usize, is_writable: bool) {
        match self.conns.get(index) {
            Some(Conn::Client(_)) => self.client_event(index),
            Some(Conn::Upstream(_)) => self.upstream_event(index, is_writable),
            Some(Conn::Store(_)) => self.store_event(index),
            // An event of a connection that was closed in this turn.
            None => {}
        }
    }
}

/// Text of an answer for people and logs.
pub(super) fn error_text(kind: ErrorKind) -> Arc<str> {
    serde_json::to_value(kind)
        .ok()
        .and_then(|it| it.as_str().map(Arc::from))
        .unwrap_or_else(|| Arc::from("internal"))
}
