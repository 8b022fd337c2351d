//! Encoding of peer messages.

use bincode::config::{self, Configuration, Limit, LittleEndian, Varint};
use bytes::Bytes;
use rosemarybank_protocol::peer::{MAX_PEER_MESSAGE_LEN, PEER_PROTOCOL_VERSION, PeerEnvelope};

use super::error::PeerError;

/// The limit also makes the decoder reject a length prefix that exceeds it before allocating memory.
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_PEER_MESSAGE_LEN>> =
    config::standard().with_limit::<MAX_PEER_MESSAGE_LEN>();

/// Encodes a message with its protocol version and sender.
///
/// # Errors
///
/// Fails with [`PeerError::TooLarge`] when the encoded message exceeds [`MAX_PEER_MESSAGE_LEN`].
///
/// # Examples
///
/// ```
/// use rosemarybank_protocol::peer::{PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage};
/// use rosemarybank_transport::peer::codec::{decode, encode};
///
/// let message = PeerMessage::ConfigFetch { have: Some(4) };
/// let envelope = PeerEnvelope { protocol: PEER_PROTOCOL_VERSION, from: "e1".into(), message };
/// let bytes = encode(&envelope).unwrap();
/// assert_eq!(decode(&bytes).unwrap(), envelope);
/// ```
pub fn encode(envelope: &PeerEnvelope) -> Result<Bytes, PeerError> {
    let malformed = |err: bincode::error::EncodeError| PeerError::Malformed(err.to_string().into());
    let buf = bincode::serde::encode_to_vec(envelope, CONFIG).map_err(malformed)?;
    if buf.len() > MAX_PEER_MESSAGE_LEN {
        return Err(PeerError::TooLarge);
    }
    Ok(buf.into())
}

/// Decodes a message that occupies all of `bytes`.
///
/// # Errors
///
/// Fails when `bytes` is longer than [`MAX_PEER_MESSAGE_LEN`], carries another protocol version, or
/// is not exactly one valid message.
pub fn decode(bytes: &[u8]) -> Result<PeerEnvelope, PeerError> {
    if bytes.len() > MAX_PEER_MESSAGE_LEN {
        return Err(PeerError::TooLarge);
    }
    let malformed = |err: bincode::error::DecodeError| PeerError::Malformed(err.to_string().into());
    // The version comes first on the wire; the format of the rest depends on it.
    let (protocol, _) = bincode::decode_from_slice::<u16, _>(bytes, CONFIG).map_err(malformed)?;
    if protocol != PEER_PROTOCOL_VERSION {
        return Err(PeerError::VersionMismatch);
    }
    let (envelope, len) = bincode::serde::decode_from_slice(bytes, CONFIG).map_err(malformed)?;
    if len != bytes.len() {
        return Err(PeerError::Malformed("bytes follow the message".into()));
    }
    Ok(envelope)
}
