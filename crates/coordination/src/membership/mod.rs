//! Failure detection between instances by heartbeats.
//!
//! The driver creates one [`Machine`] from [`Settings`], sends the heartbeats it requests and reports
//! every heartbeat received, whether as a request or as the reply to one.

mod interface;
mod machine;

pub use interface::{Action, Event, LocalState, Phase, Settings};
pub use machine::{Machine, Peer};
