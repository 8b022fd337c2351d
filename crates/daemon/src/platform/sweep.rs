//! Periodic work: connection timeouts, calls to the store and the progress of a shutdown.

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
        let limits = self.limits();
        let age = self.now.saturating_sub(client.state_since);
        match client.state {
            ClientState::AwaitingStart(_)
            | ClientState::AwaitingFeed(_)
            | ClientState::AwaitingAnswer(..) => false,
            ClientState::Lingering => age >= LINGER_TIMEOUT,
            // The client has not taken the last answer.
            ClientState::ReadingHead if !client.socket.is_flushed() => age >= limits.idle_timeout,
            ClientState::ReadingHead if client.is_idle() => {
                let is_client = client.listener == ListenerKind::Client;
                let is_draining = is_client && phase == ShutdownPhase::Draining;
                age >= limits.idle_timeout || (is_draining && age >= NEW_CONNECTION_GRACE)
            }
            ClientState::ReadingHead => age >= limits.head_timeout,
            ClientState::ReadingBody(..) => age >= body_timeout(limits.head_timeout),
        }
    }
}

/// Timeout for a whole body; a multiple of that for a head, to allow for slow links.
fn body_timeout(head_timeout: Time) -> Time {
    head_timeout * 4
}
