//! What makes a message unusable.

use thiserror::Error;

/// A message that cannot be read. The connection that carried it must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The head is not HTTP/1.1.
    #[error("the head of the message is not valid HTTP/1.1")]
    MalformedHead,
    /// The head is longer than the limit.
    #[error("the head of the message is longer than the limit")]
    HeadTooLarge,
    /// The length of the body is missing its meaning: conflicting, repeated or not a number.
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
    /// A request names no host, or several.
    #[error("the request needs exactly one host")]
    MalformedHost,
    /// A chunk has no valid size or end.
    #[error("the chunked body is not valid")]
    MalformedChunk,
    /// The body is longer than the limit.
    #[error("the body is longer than the limit")]
    BodyTooLarge,
}
