//! Replication of the fingerprints of requests that crash upstreams.
//!
//! The driver creates one [`Machine`] from [`Settings`]. The query engine decides which fingerprints
//! to quarantine. This machine sends the entries to peers and to the store, and reports entries from
//! them to the engine.

mod interface;
mod machine;
mod set;

pub use interface::{Action, EntryKey, Event, Settings, WriteResult};
pub use machine::Machine;
pub use set::{EntrySet, entry_key, merge};
