//! Sharing of the fingerprints that crash upstreams.
//!
//! The driver makes one [`Machine`] from [`Settings`]. The query engine condemns fingerprints; this
//! machine spreads the entries to peers and to the store and tells the engine what it learns.

mod interface;
mod machine;
mod set;

pub use interface::{Action, EntryKey, Event, Settings, WriteResult};
pub use machine::Machine;
pub use set::{EntrySet, entry_key, merge};
