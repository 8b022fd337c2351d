//! Bounded single-producer, single-consumer channels over a ring buffer.
//!
//! [`channel`] creates a channel. A task uses either end through the `async` and `poll_*` methods;
//! a plain thread uses the `try_*` methods and parks until a [`thread_waker`] unparks it.

mod channel;
mod thread_waker;

pub use channel::{Closed, Receiver, SendError, Sender, channel};
pub use thread_waker::thread_waker;
