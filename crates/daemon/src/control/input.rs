use rosemarybank_coordination::{config, quarantine};
use rosemarybank_protocol::{id::InstanceId, peer::PeerMessage};
use rosemarybank_store::Watch;
use tokio::sync::{mpsc, oneshot};

/// Input to the coordinator from the peer port and the tasks of the control thread.
pub(super) enum Input {
    /// A peer sent a message and waits for a reply.
    PeerRequest {
        /// Peer that sent the message.
        from: InstanceId,
        /// Message of the peer.
        message: PeerMessage,
        /// Sender for the reply to the peer.
        reply: oneshot::Sender<PeerMessage>,
    },
    /// A peer replied to a heartbeat of this instance.
    HeartbeatReply {
        /// Peer that replied.
        from: InstanceId,
        /// Reply of the peer.
        reply: PeerMessage,
    },
    /// A fetch of the configuration from a peer ended.
    ConfigFetched {
        /// Reply of the peer; `None` when the fetch failed.
        reply: Option<PeerMessage>,
    },
    /// A peer replied to a fetch of its replica list.
    ReplicaListFetched {
        /// Reply of the peer.
        reply: PeerMessage,
    },
    /// A read of the configuration from the store ended.
    ConfigRead {
        /// Result of the read.
        result: ConfigRead,
        /// The watch to use for the next read, if this one waited for a change.
        watch: Option<Watch>,
    },
    /// Event for the quarantine state machine.
    Quarantine(quarantine::Event),
    /// A write of the status object ended.
    StatusWritten {
        /// Whether the store confirmed the write.
        is_written: bool,
    },
}

/// Result of reading the configuration from the store.
pub(super) enum ConfigRead {
    /// The store holds this value.
    Found(bytes::Bytes),
    /// The value has not changed since the last read.
    Unchanged,
    /// The store holds no configuration.
    Empty,
    /// The store can't be reached.
    Unreachable,
}

/// Sender of inputs to the coordinator.
pub(super) type InputSender = mpsc::UnboundedSender<Input>;

/// Event for one of the coordinator's state machines.
pub(super) enum Event {
    /// Event for the membership state machine.
    Membership(rosemarybank_coordination::membership::Event),
    /// Event for the configuration state machine.
    Config(config::Event),
    /// Event for the quarantine state machine.
    Quarantine(quarantine::Event),
}
