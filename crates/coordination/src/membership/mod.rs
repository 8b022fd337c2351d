//! Which instances are live.
//!
//! The driver makes one [`Machine`] from [`Settings`], sends the heartbeats it asks for and reports
//! every heartbeat that arrives, whether as a message or as the answer to one.

mod interface;
mod machine;

pub use interface::{Action, Event, LocalState, Phase, Settings};
pub use machine::{Machine, Peer};
