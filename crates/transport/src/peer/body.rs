//! Bodies of peer streams.

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use http::{HeaderMap, header};
use rosemarybank_protocol::peer::MAX_PEER_MESSAGE_LEN;

use super::error::PeerError;

/// Flow-control window of streams and connections: a whole message travels without a pause.
pub(crate) const WINDOW: u32 = 2 * MAX_PEER_MESSAGE_LEN as u32;

/// Largest header list in bytes; peers send a handful of short headers.
pub(crate) const MAX_HEADERS: u32 = 4_096;

/// Reads a body and stops at the first byte beyond the limit.
pub(crate) async fn read(headers: &HeaderMap, mut body: RecvStream) -> Result<Bytes, PeerError> {
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|it| it.to_str().ok());
    let announced = announced.and_then(|it| it.parse::<usize>().ok()).unwrap_or(0);
    if announced > MAX_PEER_MESSAGE_LEN {
        return Err(PeerError::TooLarge);
    }
    let mut whole = BytesMut::with_capacity(announced.min(4_096));
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        if whole.len() + chunk.len() > MAX_PEER_MESSAGE_LEN {
            return Err(PeerError::TooLarge);
        }
        whole.extend_from_slice(&chunk);
        body.flow_control().release_capacity(chunk.len())?;
    }
    Ok(whole.freeze())
}
