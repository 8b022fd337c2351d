//! HTTP/1.1 messages without I/O: heads, body framing and rendering.
//!
//! `httparse` reads the head. The framing is done here, because a proxy must see what client
//! libraries hide: bytes after a complete message, conflicting lengths, and whether a message
//! without a length ended with its connection or broke off.

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
