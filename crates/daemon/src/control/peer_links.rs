use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use rosemarybank_protocol::peer::PeerMessage;
use rosemarybank_transport::peer::{PeerClient, PeerClientSettings};
use tokio::task::spawn_local;

use super::{
    input::{Input, InputSender},
    shared::Shared,
};
use crate::telemetry::Counter;

/// Links to the peers, opened on first use. Clones share the links.
#[derive(Clone)]
pub(super) struct PeerLinks {
    shared: Rc<Shared>,
    inputs: InputSender,
    open: Rc<RefCell<HashMap<SocketAddr, Rc<PeerClient>>>>,
}

impl PeerLinks {
    /// Creates an empty set of links.
    pub(super) fn new(shared: Rc<Shared>, inputs: InputSender) -> PeerLinks {
        PeerLinks { shared, inputs, open: Rc::default() }
    }

    /// Sends a heartbeat and reports the reply, if there is one.
    pub(super) fn send_heartbeat(&self, to: SocketAddr, message: PeerMessage) {
        let this = self.clone();
        spawn_local(async move {
            if let Some((from, reply)) = this.send(to, message).await {
                this.report(Input::HeartbeatReply { from, reply });
            }
        });
    }

    /// Fetches the configuration and reports the reply or its absence.
    pub(super) fn fetch_config(&self, from: SocketAddr, message: PeerMessage) {
        let this = self.clone();
        spawn_local(async move {
            let reply = this.send(from, message).await.map(|(_, reply)| reply);
            this.report(Input::ConfigFetched { reply });
        });
    }

    /// Fetches the replica list and reports the reply, if there is one.
    pub(super) fn fetch_replica_list(&self, from: SocketAddr) {
        let this = self.clone();
        spawn_local(async move {
            if let Some((_, reply)) = this.send(from, PeerMessage::InstancesFetch).await {
                this.report(Input::ReplicaListFetched { reply });
            }
        });
    }

    /// Sends a message and ignores the reply.
    pub(super) fn push(&self, to: SocketAddr, message: PeerMessage) {
        let this = self.clone();
        spawn_local(async move { this.send(to, message).await });
    }

    /// Sends a message and returns the name of the peer and its reply; `None` when the exchange
    /// failed.
    async fn send(
        &self,
        to: SocketAddr,
        message: PeerMessage,
    ) -> Option<(rosemarybank_protocol::id::InstanceId, PeerMessage)> {
        let link = self.link(to);
        self.shared.recorder.count(Counter::PeerMessages);
        match link.send(message).await {
            Ok(envelope) => Some((envelope.from, envelope.message)),
            Err(_) => {
                self.shared.recorder.count(Counter::PeerFailures);
                None
            }
        }
    }

    fn link(&self, to: SocketAddr) -> Rc<PeerClient> {
        let new = || {
            let instance = self.shared.settings.instance.clone();
            let settings = PeerClientSettings::builder()
                .addr(to)
                .maybe_source(self.shared.settings.source)
                .from(instance)
                .byte_counter(self.shared.peer_bytes.clone())
                .build();
            Rc::new(PeerClient::new(settings))
        };
        Rc::clone(self.open.borrow_mut().entry(to).or_insert_with(new))
    }

    fn report(&self, input: Input) {
        // Fails only when the coordinator has stopped because the process exits.
        let _ = self.inputs.send(input);
    }
}
