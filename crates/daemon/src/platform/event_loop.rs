//! The event loop: its state, and the dispatch of I/O events and timers.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use mio::{Events, Interest, Poll, Token, net::TcpListener};
use rosemarybank_adapter::NodeSettings;
use rosemarybank_coordination::source::{Member, SourceSelector, Start};
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::{
    buffer_budget::{BufferBudget, BufferKey},
    forward::{
        Action, AttemptKey, ClientLimits, Directory, Event, Failure, Forwarder, ReplicaKey,
        RequestKey, RetryAfterSchedule, Withdrawal,
    },
};
use slab::Slab;
use slotmap::SecondaryMap;

use crate::{
    listener,
    platform::{
        client::ClientConn,
        client_memory::client_memory,
        config_text::ConfigText,
        feed::FeedClient,
        journal::{Journal, LineKind, excerpt},
        metrics::Metrics,
        poller::{Poller, Resource},
        reply_memory::reply_memory,
        shutdown::Shutdown,
        socket::Socket,
        store::{CallConn, StorePoller},
        upstream::{Pool, UpstreamConn},
    },
};

/// Token of the listener for clients.
const CLIENT_TOKEN: Token = Token(usize::MAX - 1);

/// Token of the listener for readiness probes.
const READINESS_TOKEN: Token = Token(usize::MAX - 2);

/// Token of the listener for metrics.
const METRICS_TOKEN: Token = Token(usize::MAX - 3);

/// Token of the listener for other instances.
const PEER_TOKEN: Token = Token(usize::MAX - 4);

/// Age of the platform state at which an instance reads the store itself, as a fraction of the time
/// within which a change must take effect. The rest is for the read and its retries.
const MAX_STATE_AGE_FRACTION: f64 = 0.5;

/// Maximum number of bytes per read; larger than nearly all messages.
const READ_BUF_LEN: usize = 32 << 10;

/// Maximum number of events per poll.
const MAX_EVENTS: usize = 512;

/// Duration of an iteration that is logged: readiness probes and timers wait for its end.
const SLOW_TURN: Duration = Duration::from_millis(250);

/// Listener that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// For clients.
    Client,
    /// For readiness probes of the platform.
    Readiness,
    /// For other instances.
    Peer,
    /// For readers of metrics.
    Metrics,
}

/// A connection.
#[derive(Debug)]
pub(super) enum Conn {
    /// Accepted by a listener.
    Client(ClientConn),
    /// To a replica.
    Upstream(UpstreamConn),
    /// To the store or to another instance.
    Call(CallConn),
}

impl Conn {
    fn socket_mut(&mut self) -> &mut Socket {
        match self {
            Conn::Client(it) => &mut it.socket,
            Conn::Upstream(it) => &mut it.socket,
            Conn::Call(it) => &mut it.socket,
        }
    }
}

/// State of the event loop.
pub(super) struct EventLoop {
    pub(super) settings: NodeSettings,
    /// Content of the settings file as last applied, to detect changes.
    pub(super) settings_text: Vec<u8>,
    pub(super) poll: Poll,
    pub(super) listeners: Vec<(Token, ListenerKind, TcpListener)>,
    /// Listeners that may have further connections after an accept failed.
    pub(super) unaccepted: Vec<Token>,
    pub(super) conns: Slab<Conn>,
    /// Number of connections of clients.
    pub(super) client_conns: usize,
    /// Number of connections of other instances, probes and readers of metrics.
    pub(super) internal_conns: usize,
    /// Number of connections to replicas.
    pub(super) upstream_conns: usize,
    pub(super) forwarder: Forwarder,
    pub(super) directory: Directory,
    pub(super) has_replica_list: bool,
    /// Start time in Unix milliseconds; distinguishes this process from earlier ones.
    pub(super) epoch: u64,
    /// JSON text of the active configuration, for other instances.
    pub(super) config_text: ConfigText,
    pub(super) source_selector: SourceSelector,
    pub(super) feed_client: FeedClient,
    /// Connections of other instances with a feed request that is held until there are changes.
    pub(super) held_feed_requests: Vec<usize>,
    pub(super) pools: SecondaryMap<ReplicaKey, Pool>,
    /// Connection of each request whose answer has not been sent. The forwarder may use the slot of a key again
    /// before that, and a secondary map would then replace the entry.
    pub(super) request_conns: HashMap<RequestKey, usize>,
    /// Connection of each attempt in flight; a map for the same reason.
    pub(super) attempt_conns: HashMap<AttemptKey, usize>,
    pub(super) pollers: Vec<StorePoller>,
    /// Actions of the forwarder that are not yet performed.
    pub(super) actions: Vec<Action>,
    /// Client connections whose buffer may hold another request.
    pub(super) unprocessed_clients: Vec<usize>,
    /// Connections of which more input may be available than was read in this iteration.
    pub(super) unread_conns: Vec<usize>,
    /// Client connections with a request that arrived before the first configuration and replica
    /// list.
    pub(super) startup_queue: Vec<usize>,
    /// Replicas that closed a new connection at once, with the time to try again.
    pub(super) delayed_reopens: Vec<(Time, ReplicaKey)>,
    /// Upstream connections that have just opened, with the time to send their first request.
    pub(super) delayed_sends: BinaryHeap<Reverse<(Time, usize)>>,
    /// Memory that the buffers of accepted connections occupy.
    pub(super) buffers: BufferBudget,
    /// Connection of each buffer.
    pub(super) buffer_conns: SecondaryMap<BufferKey, usize>,
    /// Memory that the replies in progress occupy.
    pub(super) replies: BufferBudget,
    /// Connection of each reply buffer.
    pub(super) reply_conns: SecondaryMap<BufferKey, usize>,
    /// Returns of clients that were refused for lack of memory.
    pub(super) memory_returns: RetryAfterSchedule,
    /// Number of bytes of clients that were read in this iteration.
    pub(super) client_input: usize,
    pub(super) read_buf: Vec<u8>,
    pub(super) journal: Journal,
    pub(super) metrics: Metrics,
    pub(super) shutdown: Shutdown,
    started_at: Instant,
    /// Start of the current iteration, after its wait.
    turn_started_at: Time,
    /// Time since the start, updated once per iteration.
    pub(super) now: Time,
}

impl EventLoop {
    pub(super) fn new(
        settings: NodeSettings,
        settings_text: Vec<u8>,
        metrics_port: Option<u16>,
        forwarder: Forwarder,
        journal: Journal,
    ) -> io::Result<EventLoop> {
        let poll = Poll::new()?;
        let resources = [Resource::Config, Resource::Replicas, Resource::Instances];
        let own = Member {
            id: settings.instance.clone(),
            addr: (settings.ip, settings.peer_ports.0).into(),
            data_centre: settings.data_centre.clone(),
            millicores: settings.millicores,
        };
        let max_age = settings.drain_time.min(settings.config_time).mul_f64(MAX_STATE_AGE_FRACTION);
        let start = if settings.is_first_start { Start::First } else { Start::Later };
        let source_selector =
            SourceSelector::new(own.id.clone(), own.data_centre.clone(), max_age, start);
        let poller = |it| StorePoller::new(Poller::new(it, own.clone(), start));
        let mut event_loop = EventLoop {
            pollers: resources.into_iter().map(poller).collect(),
            buffers: BufferBudget::new(client_memory(settings.memory_mb, &ClientLimits::default())),
            buffer_conns: SecondaryMap::new(),
            replies: BufferBudget::new(reply_memory(settings.memory_mb)),
            reply_conns: SecondaryMap::new(),
            memory_returns: RetryAfterSchedule::default(),
            settings,
            settings_text,
            poll,
            listeners: Vec::new(),
            unaccepted: Vec::new(),
            conns: Slab::new(),
            client_conns: 0,
            internal_conns: 0,
            upstream_conns: 0,
            forwarder,
            directory: Directory::new(source_selector.max_source_age()),
            has_replica_list: false,
            epoch: crate::clock::unix_ms(),
            config_text: ConfigText::plain(Vec::new()),
            source_selector,
            feed_client: FeedClient::default(),
            held_feed_requests: Vec::new(),
            pools: SecondaryMap::new(),
            request_conns: HashMap::new(),
            attempt_conns: HashMap::new(),
            actions: Vec::new(),
            unprocessed_clients: Vec::new(),
            unread_conns: Vec::new(),
            startup_queue: Vec::new(),
            delayed_reopens: Vec::new(),
            delayed_sends: BinaryHeap::new(),
            client_input: 0,
            read_buf: vec![0; READ_BUF_LEN],
            journal,
            metrics: Metrics::default(),
            shutdown: Shutdown::default(),
            started_at: Instant::now(),
            turn_started_at: Time::ZERO,
            now: Time::ZERO,
        };
        event_loop.listen(CLIENT_TOKEN, ListenerKind::Client, event_loop.settings.client_addr)?;
        event_loop.listen(
            READINESS_TOKEN,
            ListenerKind::Readiness,
            event_loop.settings.readiness_addr,
        )?;
        event_loop.listen(PEER_TOKEN, ListenerKind::Peer, own.addr)?;
        if let Some(port) = metrics_port {
            let addr = (event_loop.settings.ip, port).into();
            event_loop.listen(METRICS_TOKEN, ListenerKind::Metrics, addr)?;
        }
        Ok(event_loop)
    }

    /// Runs one iteration: waits for events, handles them and does the work that is due.
    pub(super) fn run_once(&mut self, events: &mut Events) -> io::Result<()> {
        let turn_end = self.elapsed();
        self.log_slow_turn(turn_end);
        let unread_conns = std::mem::take(&mut self.unread_conns);
        let wait = match unread_conns.is_empty() {
            true => self.next_wakeup().saturating_sub(turn_end),
            false => Duration::ZERO,
        };
        match self.poll.poll(events, Some(wait)) {
            Err(err) if err.kind() != io::ErrorKind::Interrupted => return Err(err),
            _ => {}
        }
        self.now = self.elapsed();
        self.turn_started_at = self.now;
        self.client_input = 0;
        // These have waited for longer than the connections with new events.
        for index in unread_conns {
            if let Some(Conn::Client(client)) = self.conns.get_mut(index) {
                client.is_deferred = false;
            }
            self.conn_event(index, false);
            self.perform_actions();
        }
        for event in events.iter() {
            match event.token() {
                token @ (CLIENT_TOKEN | READINESS_TOKEN | METRICS_TOKEN | PEER_TOKEN) => {
                    self.accept(token)
                }
                Token(index) => {
                    if event.is_read_closed()
                        && let Some(conn) = self.conns.get_mut(index)
                    {
                        conn.socket_mut().set_read_closed();
                    }
                    self.conn_event(index, event.is_writable());
                }
            }
            self.perform_actions();
        }
        self.now = self.elapsed();
        self.send_delayed_requests();
        self.perform_actions();
        if self.forwarder.next_wakeup().is_some_and(|it| it <= self.now) {
            self.forwarder.handle(self.now, Event::Tick, &mut self.actions);
            self.perform_actions();
        }
        self.sweep();
        if !self.held_feed_requests.is_empty() {
            self.answer_feed_requests();
        }
        if !self.startup_queue.is_empty() {
            self.submit_startup_queue();
        }
        self.perform_actions();
        self.journal.flush_if_due(self.now);
        Ok(())
    }

    /// Logs an iteration that took long, because the process was paused or had too much to do.
    fn log_slow_turn(&mut self, end: Time) {
        let took = end.saturating_sub(self.turn_started_at);
        if took >= SLOW_TURN {
            self.journal.log(
                end,
                LineKind::Lifecycle,
                "slow_turn",
                format_args!(
                    r#""took_ms":{},"connections":{}"#,
                    took.as_millis(),
                    self.conns.len()
                ),
            );
        }
    }

    /// Allocates the event buffer for [`EventLoop::run_once`].
    pub(super) fn event_buffer() -> Events {
        Events::with_capacity(MAX_EVENTS)
    }

    /// Whether the readiness probe succeeds.
    pub(super) fn is_ready(&self) -> bool {
        self.forwarder.table().is_some() && self.has_replica_list && !self.shutdown.has_begun()
    }

    /// Whether the first configuration or replica list is still expected from the store.
    pub(super) fn is_starting(&self) -> bool {
        let is_loaded = self.forwarder.table().is_some() && self.has_replica_list;
        !is_loaded
            && !self.shutdown.has_begun()
            && self.pollers.iter().all(|it| !it.poller.has_failed())
    }

    /// Closes the listener for clients, so that new connections are refused. Connections that wait to be
    /// accepted are accepted first, since closing the listener would reset them.
    pub(super) fn close_client_listener(&mut self) {
        self.accept(CLIENT_TOKEN);
        self.listeners.retain(|it| it.1 != ListenerKind::Client);
    }

    /// Closes a connection.
    pub(super) fn close_conn(&mut self, index: usize) {
        let Some(mut conn) = self.conns.try_remove(index) else { return };
        conn.socket_mut().deregister(self.poll.registry());
        match conn {
            Conn::Client(client) => {
                self.buffers.remove(client.buffer);
                self.buffer_conns.remove(client.buffer);
                match client.listener {
                    ListenerKind::Client => self.client_conns -= 1,
                    _ => self.internal_conns -= 1,
                }
            }
            Conn::Upstream(conn) => {
                self.upstream_conns -= 1;
                if let Some(pool) = self.pools.get_mut(conn.replica) {
                    pool.open = pool.open.saturating_sub(1);
                }
                self.replies.remove(conn.buffer);
                self.reply_conns.remove(conn.buffer);
            }
            Conn::Call(_) => {}
        }
    }

    /// Performs the actions of the forwarder until no further ones follow from them.
    pub(super) fn perform_actions(&mut self) {
        while !self.actions.is_empty() || !self.unprocessed_clients.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Send { .. } => self.send(action),
                    Action::Abandon { attempt, close_at } => self.abandon(attempt, close_at),
                    Action::Answer { request, answer } => self.answer_request(request, answer),
                    Action::RemoveReplica(replica) => self.retire_pool(replica),
                    Action::Withdrawn { id, withdrawal } => self.log_withdrawal(&id, withdrawal),
                    Action::Reconnect { replica, addr } => self.reopen(replica, addr),
                    Action::Quarantine(fingerprint) => self.journal.log(
                        self.now,
                        LineKind::Discovery,
                        "quarantined",
                        format_args!(r#""fingerprint":"{fingerprint:016x}""#),
                    ),
                }
            }
            for index in std::mem::take(&mut self.unprocessed_clients) {
                self.process_client(index);
                self.resume_reading(index);
            }
        }
        self.release_buffers();
    }

    /// Reports a failed attempt to the forwarder, and logs the reason.
    pub(super) fn fail_attempt(&mut self, attempt: AttemptKey, failure: Failure, reason: &str) {
        self.attempt_conns.remove(&attempt);
        self.metrics.attempt_failures[failure as usize] += 1;
        if failure != Failure::Abandoned {
            self.log_attempt(attempt, "attempt_failed", reason);
        }
        self.forwarder.handle(self.now, Event::Failed(attempt, failure), &mut self.actions);
    }

    /// Logs and counts that a replica wants no further requests.
    fn log_withdrawal(&mut self, replica: &str, withdrawal: Withdrawal) {
        let (event, time) = match withdrawal {
            Withdrawal::Leaving => {
                self.metrics.replicas_leaving += 1;
                ("replica_leaving", None)
            }
            Withdrawal::For(time) => {
                self.metrics.replicas_backing_off += 1;
                ("replica_backs_off", Some(time))
            }
        };
        let time = time.map_or_else(String::new, |it| format!(r#","for_ms":{}"#, it.as_millis()));
        self.journal.log(
            self.now,
            LineKind::Discovery,
            event,
            format_args!(r#""replica":{replica:?}{time}"#),
        );
    }

    /// Logs what happened to an attempt in flight.
    pub(super) fn log_attempt(&mut self, attempt: AttemptKey, event: &str, reason: &str) {
        let Some(info) = self.forwarder.attempt_info(attempt) else { return };
        let client = self.request_conns.get(&info.request).and_then(|it| self.conns.get(*it));
        let request = match client {
            Some(Conn::Client(client)) => excerpt(client.request_id()),
            _ => "",
        };
        self.journal.log(
            self.now,
            LineKind::Attempt,
            event,
            format_args!(
                r#""request":{request:?},"replica":{:?},"reason":{reason:?},"age_ms":{}"#,
                info.replica,
                self.now.saturating_sub(info.started_at).as_millis()
            ),
        );
    }

    fn elapsed(&self) -> Time {
        self.started_at.elapsed()
    }

    fn next_wakeup(&self) -> Time {
        let timer = self.forwarder.next_wakeup().unwrap_or(Time::MAX);
        let next_send = self.delayed_sends.peek().map_or(Time::MAX, |it| it.0.0);
        timer.min(next_send).min(self.shutdown.next_sweep())
    }

    fn listen(
        &mut self,
        token: Token,
        kind: ListenerKind,
        addr: std::net::SocketAddr,
    ) -> io::Result<()> {
        let mut listener = TcpListener::from_std(listener::listen(addr)?);
        self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
        self.listeners.push((token, kind, listener));
        Ok(())
    }

    fn conn_event(&mut self, index: usize, is_writable: bool) {
        match self.conns.get(index) {
            Some(Conn::Client(_)) => self.client_event(index),
            Some(Conn::Upstream(_)) => self.upstream_event(index, is_writable),
            Some(Conn::Call(_)) => self.call_event(index),
            // The connection was closed earlier in this iteration.
            None => {}
        }
    }
}

/// Name of an error kind in responses, logs and metrics.
pub(super) fn error_name(kind: ErrorKind) -> Arc<str> {
    serde_json::to_value(kind)
        .ok()
        .and_then(|it| it.as_str().map(Arc::from))
        .unwrap_or_else(|| Arc::from("internal"))
}
