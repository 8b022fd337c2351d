//! Periodic work: time limits of connections, calls to the store and the stop.

use rosemarybank_protocol::prelude::*;

use crate::platform::{
    client::{Client, LINGER, State},
    node::{Conn, Node, Port},
    stop::Phase,
};

impl Node {
    /// Does what is due.
    pub(super) fn sweep(&mut self) {
        if !self.stop.begins_sweep(self.now) {
            return;
        }
        self.publish_replicas();
        self.sweep_store();
        self.sweep_feed();
        let phase = self.phase();
        if phase == Phase::Closing {
            self.close_front();
        }
        let indices: Vec<usize> = self.conns.iter().map(|it| it.0).collect();
        for index in indices {
            match self.conns.get(index) {
                Some(Conn::Client(client)) if self.is_over(client, phase) => {
                    self.client_gone(index);
                }
                Some(Conn::Upstream(_)) => self.sweep_upstream(index),
                _ => {}
            }
        }
    }

    /// Progress of a stop.
    pub(super) fn phase(&self) -> Phase {
        self.stop.phase(self.now, self.settings.stop_grace)
    }

    /// Whether the process may end.
    pub(super) fn is_finished(&self) -> bool {
        match self.phase() {
            Phase::Serving | Phase::Leaving => false,
            Phase::Closing => !self.conns.iter().any(|it| match it.1 {
                Conn::Client(client) => client.port == Port::Front,
                _ => false,
            }),
            Phase::Over => true,
        }
    }

    fn is_over(&self, client: &Client, phase: Phase) -> bool {
        let limits = self.limits();
        let age = self.now.saturating_sub(client.since);
        match client.state {
            State::Parked(_) | State::Pulling(_) | State::Waiting(..) => false,
            State::Lingering => age >= LINGER,
            State::Head if client.is_idle() => {
                let is_front = client.port == Port::Front;
                age >= limits.idle_timeout || (is_front && phase == Phase::Closing)
            }
            State::Head => age >= limits.head_timeout,
            State::Body(..) => age >= body_timeout(limits.head_timeout),
        }
    }
}

/// Time for a whole body: like a head, with room for a slow link.
fn body_timeout(head_timeout: Time) -> Time {
    head_timeout * 4
}
