//! Deletion of claims whose keys are refused everywhere.
//!
//! The driver makes one [`Machine`] from [`Settings`], tells it whether this instance is the
//! collector and which callers exist, and makes the store calls that it asks for.

mod interface;
mod machine;

pub use interface::{Action, ClaimRef, DeleteResult, Event, Settings, collector};
pub use machine::Machine;

/// Age in milliseconds below which a claim is never deleted: twice the age above which its key is
/// refused, so a key is refused everywhere before its claim is gone.
pub const MIN_AGE_MS: u64 = 2 * crate::key::MAX_AGE_MS;
