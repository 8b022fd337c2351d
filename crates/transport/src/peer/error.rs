//! Errors of peer messages.

use compact_str::CompactString;
use rosemarybank_protocol::peer::{MAX_PEER_MESSAGE_LEN, PEER_PROTOCOL_VERSION};

/// Error of a peer message. All messages are idempotent, so they can be sent again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be opened.
    #[error("cannot connect to the peer: {0}")]
    Connect(CompactString),
    /// The connection or the stream failed.
    #[error("lost the connection to the peer: {0}")]
    ConnectionLost(CompactString),
    /// No reply arrived within the timeout; at the server, a handshake or a message took too long.
    #[error("timed out waiting for a reply from the peer")]
    Timeout,
    /// The encoded message exceeds [`MAX_PEER_MESSAGE_LEN`].
    #[error("the message is larger than {MAX_PEER_MESSAGE_LEN} bytes")]
    TooLarge,
    /// The bytes are not a valid message.
    #[error("the peer message is malformed: {0}")]
    Malformed(CompactString),
    /// The peer uses another protocol version.
    #[error("the peer does not use protocol version {PEER_PROTOCOL_VERSION}")]
    VersionMismatch,
    /// The peer refused the message with a status that no other variant covers.
    #[error("the peer refused the message with status {0}")]
    Refused(u16),
}

impl PeerError {
    /// HTTP status by which a server reports this error to the client.
    pub(crate) fn status(&self) -> http::StatusCode {
        match self {
            PeerError::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            PeerError::VersionMismatch => http::StatusCode::UPGRADE_REQUIRED,
            PeerError::Timeout => http::StatusCode::REQUEST_TIMEOUT,
            _ => http::StatusCode::BAD_REQUEST,
        }
    }

    /// Converts a response status other than `200` to the error that it reports.
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
