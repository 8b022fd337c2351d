use rosemarybank_coordination::{config, quarantine};
use rosemarybank_protocol::{id::InstanceId, peer::PeerMessage};
use rosemarybank_store::Watch;
use tokio::sync::{mpsc, oneshot};

/// What the tasks of the control thread and its peer port report to the coordinator.
pub(super) enum Input {
    /// A peer sent a message and waits for the answer.
    Message {
        /// The peer.
        from: InstanceId,
        /// Its message.
        message: PeerMessage,
        /// Where the answer goes.
        reply: oneshot::Sender<PeerMessage>,
    },
    /// A peer answered this instance's heartbeat.
    HeartbeatAnswer {
        /// The peer.
        from: InstanceId,
        /// Its answer.
        answer: PeerMessage,
    },
    /// A peer answered a fetch; `None` when it did not.
    Fetched {
        /// Its answer.
        answer: Option<PeerMessage>,
    },
    /// A peer answered with its list of replicas.
    PeerReplicas {
        /// Its answer.
        answer: PeerMessage,
    },
    /// A store read of the configuration ended.
    StoreRead {
        /// How it ended.
        event: ConfigRead,
        /// The watch, if the read waited for a change.
        watch: Option<Watch>,
    },
    /// Something happened to the quarantine.
    Quarantine(quarantine::Event),
    /// The status object was written, or not.
    StatusWritten {
        /// Whether the store holds it.
        is_written: bool,
    },
}

/// How a store read of the configuration ended.
pub(super) enum ConfigRead {
    /// The store holds this text at the path.
    Found(bytes::Bytes),
    /// Nothing changed.
    Unchanged,
    /// The store holds no configuration.
    Empty,
    /// The store did not answer.
    Unreachable,
}

/// Sending end of the coordinator's inputs.
pub(super) type Inputs = mpsc::UnboundedSender<Input>;

/// An event of one of the machines.
pub(super) enum Event {
    /// Of the membership machine.
    Membership(rosemarybank_coordination::membership::Event),
    /// Of the configuration machine.
    Config(config::Event),
    /// Of the quarantine machine.
    Quarantine(quarantine::Event),
}
