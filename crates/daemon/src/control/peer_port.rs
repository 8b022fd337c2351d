use rosemarybank_protocol::{
    id::InstanceId,
    peer::{PeerEnvelope, PeerMessage},
};
use rosemarybank_transport::{
    peer::{PeerHandler, PeerServerSettings, serve},
    traffic::ByteCounter,
};
use tokio::{net::TcpListener, sync::oneshot};
use tokio_util::sync::CancellationToken;

use super::input::{Input, Inputs};

/// Serves the peer port until `stop` is cancelled and the messages that have begun are answered.
pub(super) async fn run(
    listener: TcpListener,
    (instance, bytes): (InstanceId, ByteCounter),
    inputs: Inputs,
    stop: CancellationToken,
) {
    let settings = PeerServerSettings::builder().name(instance).bytes(bytes).build();
    serve(listener, settings, ToCoordinator(inputs), stop).await;
}

/// Hands peers' messages to the coordinator.
#[derive(Clone)]
struct ToCoordinator(Inputs);

impl PeerHandler for ToCoordinator {
    async fn handle(&self, envelope: PeerEnvelope) -> PeerMessage {
        let (reply, answer) = oneshot::channel();
        let PeerEnvelope { from, message, .. } = envelope;
        // The coordinator may stop first; the peer then gets an answer that tells it nothing.
        let _ = self.0.send(Input::Message { from, message, reply });
        answer.await.unwrap_or(PeerMessage::Ack)
    }
}
