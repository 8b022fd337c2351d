//! Bodies of peer messages on HTTP/2 streams.

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use http::{HeaderMap, header};
use rosemarybank_protocol::peer::MAX_PEER_MESSAGE_LEN;

use super::error::PeerError;

/// Flow-control window of streams and connections, in bytes. Two messages of the maximum size
/// fit, so a message that is sent alone never waits for a window update.
pub(crate) const WINDOW_BYTES: u32 = 2 * MAX_PEER_MESSAGE_LEN as u32;

/// Largest header list in bytes. Peers send only a few short headers.
pub(crate) const MAX_HEADER_LIST_BYTES: u32 = 4_096;

/// Reads a body. Fails with [`PeerError::TooLarge`] once the announced or received length exceeds
/// [`MAX_PEER_MESSAGE_LEN`].
pub(crate) async fn read(headers: &HeaderMap, mut body: RecvStream) -> Result<Bytes, PeerError> {
    let content_length = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let content_length = content_length.and_then(|it| it.parse::<usize>().ok()).unwrap_or(0);
    if content_length > MAX_PEER_MESSAGE_LEN {
        return Err(PeerError::TooLarge);
    }
    let mut buf = BytesMut::with_capacity(content_length.min(4_096));
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        if buf.len() + chunk.len() > MAX_PEER_MESSAGE_LEN {
            return Err(PeerError::TooLarge);
        }
        buf.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len())?;
    }
    Ok(buf.freeze())
}
