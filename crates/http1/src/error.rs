//! Errors of parsing a message.

use thiserror::Error;

/// Why a message is invalid. Its connection must be closed, because the start of the next message is
/// unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The head is not valid HTTP/1.1.
    #[error("the head of the message is not valid HTTP/1.1")]
    MalformedHead,
    /// The head exceeds its size limit, or a request has too many fields.
    #[error("the head of the message is longer than the limit")]
    HeadTooLarge,
    /// `Content-Length` and `Transfer-Encoding` conflict or are invalid, or the latter is repeated.
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
    /// A request has no `Host` field, an empty one, or several.
    #[error("the request needs exactly one host")]
    MalformedHost,
    /// The chunked coding is invalid.
    #[error("the chunked body is not valid")]
    MalformedChunk,
    /// The body exceeds its size limit.
    #[error("the body is longer than the limit")]
    BodyTooLarge,
}
