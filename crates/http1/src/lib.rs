//! HTTP/1.1 messages without I/O: parsing heads, decoding bodies and rendering messages.
//!
//! `httparse` parses the head. Message framing is implemented here because a proxy needs details
//! that HTTP client libraries hide: bytes after a complete message, conflicting lengths, and
//! whether a message without a length ended with its connection or was truncated.

pub mod body;
pub mod error;
pub mod head;
pub mod request;
pub mod response;

pub use body::{BodyReader, Progress};
pub use error::MessageError;
pub use head::{Framing, HeaderNames};
pub use request::RequestHead;
pub use response::ResponseHead;
