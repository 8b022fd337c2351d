//! Sharing of the fingerprints that crash upstreams.
//!
//! The driver makes one `Machine` from [`Settings`]. The query engine condemns fingerprints; this
//! machine spreads the entries to peers and to the store and tells the engine what it learns.

mod interface;

pub use interface::{Action, EntryKey, Event, Settings, WriteResult};
