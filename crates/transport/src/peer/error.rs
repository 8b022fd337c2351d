//! Why a peer message has no answer.

use compact_str::CompactString;
use rosemarybank_protocol::peer::{MAX_PEER_MESSAGE_LEN, PEER_PROTOCOL_VERSION};

/// Why a peer message has no answer. Every message is idempotent and may be sent again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be opened.
    #[error("cannot connect to the peer: {0}")]
    Connect(CompactString),
    /// The connection or the stream broke.
    #[error("the connection to the peer broke: {0}")]
    ConnectionLost(CompactString),
    /// No answer came in time.
    #[error("no answer from the peer in time")]
    Timeout,
    /// The encoded message is larger than the limit.
    #[error("the message is larger than {MAX_PEER_MESSAGE_LEN} bytes")]
    TooLarge,
    /// The bytes are not a message.
    #[error("the peer message is malformed: {0}")]
    Malformed(CompactString),
    /// The other side speaks another version of the protocol.
    #[error("the peer speaks another protocol version than {PEER_PROTOCOL_VERSION}")]
    VersionMismatch,
    /// The peer refused the message with another status.
    #[error("the peer refused the message with status {0}")]
    Refused(u16),
}

impl PeerError {
    /// HTTP status with which a server reports this error to the sender.
    pub(crate) fn status(&self) -> http::StatusCode {
        match self {
            PeerError::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            PeerError::VersionMismatch => http::StatusCode::UPGRADE_REQUIRED,
            PeerError::Timeout => http::StatusCode::REQUEST_TIMEOUT,
            _ => http::StatusCode::BAD_REQUEST,
        }
    }

    /// The error that a status other than `200` reports.
    pub(crate) fn from_status(status: http::StatusCode) -> PeerError {
        match status {
            http::StatusCode::PAYLOAD_TOO_LARGE => PeerError::TooLarge,
            http::StatusCode::UPGRADE_REQUIRED => PeerError::VersionMismatch,
            status => PeerError::Refused(status.as_u16()),
        }
    }
}

impl From<h2::Error> for PeerError {
    fn from(err: h2::Error) -> PeerError {
        PeerError::ConnectionLost(err.to_string().into())
    }
}
