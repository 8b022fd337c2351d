use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use rosemarybank_protocol::peer::PeerMessage;
use rosemarybank_transport::peer::{PeerLink, PeerLinkSettings};
use tokio::task::spawn_local;

use super::{
    input::{Input, Inputs},
    shared::Shared,
};
use crate::telemetry::Counter;

/// Links to the peers. Clones share them.
#[derive(Clone)]
pub(super) struct Links {
    shared: Rc<Shared>,
    inputs: Inputs,
    open: Rc<RefCell<HashMap<SocketAddr, Rc<PeerLink>>>>,
}

impl Links {
    /// No link is open yet.
    pub(super) fn new(shared: Rc<Shared>, inputs: Inputs) -> Links {
        Links { shared, inputs, open: Rc::default() }
    }

    /// Sends a heartbeat and reports its answer.
    pub(super) fn heartbeat(&self, to: SocketAddr, message: PeerMessage) {
        let this = self.clone();
        spawn_local(async move {
            if let Some((from, answer)) = this.send(to, message).await {
                this.report(Input::HeartbeatAnswer { from, answer });
            }
        });
    }

    /// Fetches the configuration and reports the answer or its absence.
    pub(super) fn fetch(&self, from: SocketAddr, message: PeerMessage) {
        let this = self.clone();
        spawn_local(async move {
            let answer = this.send(from, message).await.map(|(_, answer)| answer);
            this.report(Input::Fetched { answer });
        });
    }

    /// Fetches the list of replicas and reports the answer.
    pub(super) fn fetch_replicas(&self, from: SocketAddr) {
        let this = self.clone();
        spawn_local(async move {
            if let Some((_, answer)) = this.send(from, PeerMessage::InstancesFetch).await {
                this.report(Input::PeerReplicas { answer });
            }
        });
    }

    /// Sends a message whose answer is of no interest.
    pub(super) fn push(&self, to: SocketAddr, message: PeerMessage) {
        let this = self.clone();
        spawn_local(async move { this.send(to, message).await });
    }

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

    fn link(&self, to: SocketAddr) -> Rc<PeerLink> {
        let new = || {
            let instance = self.shared.settings.instance.clone();
            let settings = PeerLinkSettings::builder()
                .addr(to)
                .maybe_source(self.shared.settings.source)
                .from(instance)
                .build();
            Rc::new(PeerLink::new(settings))
        };
        Rc::clone(self.open.borrow_mut().entry(to).or_insert_with(new))
    }

    fn report(&self, input: Input) {
        // The coordinator stops listening only when the process ends.
        let _ = self.inputs.send(input);
    }
}
