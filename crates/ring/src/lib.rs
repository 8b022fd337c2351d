//! Bounded single-producer single-consumer rings that wake a thread or a task.
//!
//! [`channel`] makes a ring. Both ends can be used from a task through `poll_*` and `async`
//! methods, or from a plain thread through `try_*` methods and a [`thread_waker`].

mod channel;
mod wake;

pub use channel::{Closed, Receiver, SendError, Sender, channel};
pub use wake::thread_waker;
