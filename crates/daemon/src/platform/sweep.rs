//! Periodic work: connection timeouts, calls to the store and the progress of a shutdown.

use std::time::Duration;

use rosemarybank_protocol::prelude::*;

use crate::platform::{
    client::{ClientConn, ClientState, LINGER_TIMEOUT},
    event_loop::{Conn, EventLoop, ListenerKind},
    shutdown::{NEW_CONNECTION_GRACE, ShutdownPhase},
};

impl EventLoop {
    /// Does the periodic work if it is due.
    pub(super) fn sweep(&mut self) {
        if !self.shutdown.start_sweep_if_due(self.now) {
            return;
        }
        self.retry_accept();
        self.publish_replicas();
        self.poll_store();
        self.poll_feed();
        self.report_delayed_reopens();
        let phase = self.phase();
        if phase == ShutdownPhase::Draining {
            self.close_client_listener();
        }
        let indices: Vec<usize> = self.conns.iter().map(|it| it.0).collect();
        for index in indices {
            match self.conns.get(index) {
                Some(Conn::Client(client)) if self.has_timed_out(client, phase) => {
                    self.close_timed_out_client(index, phase);
                }
                Some(Conn::Upstream(_)) => self.close_timed_out_upstream(index),
                _ => {}
            }
        }
    }

    /// Phase of the shutdown.
    pub(super) fn phase(&self) -> ShutdownPhase {
        self.shutdown.phase(self.now, self.settings.stop_grace)
    }

    /// Whether the process may exit.
    pub(super) fn is_finished(&self) -> bool {
        match self.phase() {
            ShutdownPhase::Serving | ShutdownPhase::LeavingRotation => false,
            ShutdownPhase::Draining => !self.conns.iter().any(|it| match it.1 {
                Conn::Client(client) => client.listener == ListenerKind::Client,
                _ => false,
            }),
            ShutdownPhase::Expired => true,
        }
    }

    /// Closes a connection that has timed out, unless a request has arrived since the last poll.
    fn close_timed_out_client(&mut self, index: usize, phase: ShutdownPhase) {
        if matches!(self.conns.get(index), Some(Conn::Client(client)) if client.is_idle()) {
            self.client_event(index);
        }
        if let Some(Conn::Client(client)) = self.conns.get(index)
            && self.has_timed_out(client, phase)
        {
            self.close_client(index);
        }
    }

    fn has_timed_out(&self, client: &ClientConn, phase: ShutdownPhase) -> bool {
        let age = self.now.saturating_sub(client.state_since);
        self.client_timeout(client, phase).is_some_and(|it| age >= it)
    }

    /// Timeout of the state of a connection; `None` while its request is in progress or its input waits to be
    /// read.
    fn client_timeout(&self, client: &ClientConn, phase: ShutdownPhase) -> Option<Duration> {
        if client.is_deferred {
            return None;
        }
        let limits = self.limits();
        Some(match client.state {
            ClientState::AwaitingStart(_)
            | ClientState::AwaitingFeed(_)
            | ClientState::AwaitingAnswer(..) => return None,
            ClientState::Lingering => LINGER_TIMEOUT,
            // The client has not taken the last answer.
            ClientState::ReadingHead if !client.socket.is_flushed() => limits.idle_timeout,
            ClientState::ReadingHead if client.is_idle() => {
                let is_client = client.listener == ListenerKind::Client;
                match is_client && phase == ShutdownPhase::Draining {
                    true => limits.idle_timeout.min(NEW_CONNECTION_GRACE),
                    false => limits.idle_timeout,
                }
            }
            ClientState::ReadingHead => limits.head_timeout,
            ClientState::ReadingBody(..) => body_timeout(limits.head_timeout),
        })
    }

    /// Closes an accepted connection to make room for another one at this listener, or at any that is not for
    /// clients: the one that has used up most of its timeout. Returns whether there was one without a request
    /// in progress.
    pub(super) fn close_oldest_client(&mut self, listener: ListenerKind) -> bool {
        let is_client = listener == ListenerKind::Client;
        let phase = self.phase();
        let elapsed = |client: &ClientConn| {
            let timeout = self.client_timeout(client, phase)?;
            let age = self.now.saturating_sub(client.state_since);
            Some(age.div_duration_f64(timeout.max(Duration::from_millis(1))))
        };
        let clients = self.conns.iter().filter_map(|(index, conn)| match conn {
            Conn::Client(it) if (it.listener == ListenerKind::Client) == is_client => {
                Some((index, elapsed(it)?))
            }
            _ => None,
        });
        let Some((index, _)) = clients.max_by(|a, b| a.1.total_cmp(&b.1)) else { return false };
        self.close_client(index);
        true
    }
}

/// Timeout for a whole body; a multiple of that for a head, to allow for slow links.
fn body_timeout(head_timeout: Time) -> Time {
    head_timeout * 4
}
