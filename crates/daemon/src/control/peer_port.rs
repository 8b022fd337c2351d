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

use super::input::{Input, InputSender};

/// Serves the peer port until `stop` is cancelled and the messages in progress are replied to.
pub(super) async fn run(
    listener: TcpListener,
    (instance, bytes): (InstanceId, ByteCounter),
    inputs: InputSender,
    stop: CancellationToken,
) {
    let settings = PeerServerSettings::builder().name(instance).byte_counter(bytes).build();
    serve(listener, settings, CoordinatorHandler(inputs), stop).await;
}

/// Passes messages of peers to the coordinator.
#[derive(Clone)]
struct CoordinatorHandler(InputSender);

impl PeerHandler for CoordinatorHandler {
    async fn handle(&self, envelope: PeerEnvelope) -> PeerMessage {
        let (reply_tx, reply) = oneshot::channel();
        let PeerEnvelope { from, message, .. } = envelope;
        // If the coordinator has stopped, the peer receives a plain acknowledgement.
        let _ = self.0.send(Input::PeerRequest { from, message, reply: reply_tx });
        reply.await.unwrap_or(PeerMessage::Ack)
    }
}
