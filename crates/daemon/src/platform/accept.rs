//! Accepting connections, and the limit on those of clients.

use std::io;

use mio::{Token, net::TcpStream};

use crate::platform::{
    client::ClientConn,
    event_loop::{Conn, EventLoop, ListenerKind},
    journal::LineKind,
};

/// Part of the sockets that connections of clients may take. The others are for replicas, the store, other
/// instances and probes.
const CLIENT_SOCKETS_DIVISOR: usize = 2;

impl EventLoop {
    /// Accepts all connections that wait at a listener.
    pub(super) fn accept(&mut self, token: Token) {
        loop {
            let Some((_, kind, listener)) = self.listeners.iter().find(|it| it.0 == token) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let kind = *kind;
                    self.add_client(stream, kind);
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return,
                Err(err) => {
                    self.journal.log(
                        self.now,
                        LineKind::Lifecycle,
                        "accept_failed",
                        format_args!(r#""error":"{err}""#),
                    );
                    if !self.unaccepted.contains(&token) {
                        self.unaccepted.push(token);
                    }
                    return;
                }
            }
        }
    }

    /// Tries again to accept connections after a failure, which no further event reports.
    pub(super) fn retry_accept(&mut self) {
        for token in std::mem::take(&mut self.unaccepted) {
            self.accept(token);
        }
    }

    /// Whether a further connection of a client, or one at the other listeners, is within its limit. If not, one
    /// without a request in progress is closed to make room.
    fn admit(&mut self, listener: ListenerKind) -> bool {
        let sockets = self.settings.max_sockets;
        let (open, max) = match listener {
            ListenerKind::Client => (self.client_conns, sockets / CLIENT_SOCKETS_DIVISOR),
            _ => (self.internal_conns, max_internal_conns(sockets)),
        };
        if open < max.max(1) {
            return true;
        }
        self.metrics.clients_crowded_out += 1;
        let is_room = self.close_oldest_client(listener);
        self.journal.log(
            self.now,
            LineKind::Failure,
            "connection_limit",
            format_args!(r#""limit":{max},"closed":"{}""#, if is_room { "oldest" } else { "new" }),
        );
        is_room
    }

    fn add_client(&mut self, stream: TcpStream, listener: ListenerKind) {
        // Without a descriptor left, no replica, store or other instance could be called.
        if !self.admit(listener) {
            return;
        }
        let entry = self.conns.vacant_entry();
        let index = entry.key();
        let buffer = self.buffers.insert(self.now);
        match ClientConn::new(stream, listener, self.now, self.poll.registry(), index, buffer) {
            Ok(client) => {
                entry.insert(Conn::Client(client));
                self.buffer_conns.insert(buffer, index);
                match listener {
                    ListenerKind::Client => self.client_conns += 1,
                    _ => self.internal_conns += 1,
                }
                // The first request has often arrived by the time the connection is accepted.
                self.client_event(index);
            }
            Err(err) => {
                self.buffers.remove(buffer);
                self.journal.log(
                    self.now,
                    LineKind::Lifecycle,
                    "accept_failed",
                    format_args!(r#""error":"{err}""#),
                );
            }
        }
    }
}

/// Number of sockets that the accepted connections of other instances, probes and readers of metrics may take
/// together. An instance of the largest deployment may be followed by all others.
fn max_internal_conns(max_sockets: usize) -> usize {
    max_sockets / 32 * 3
}
