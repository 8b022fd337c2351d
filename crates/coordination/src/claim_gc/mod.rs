//! Garbage collection of claims whose idempotency keys are too old to be accepted.
//!
//! The driver creates one [`Machine`] from [`Settings`], reports whether this instance is the
//! collector and which callers exist, and executes the store calls that the machine requests.

mod interface;
mod machine;

pub use interface::{Action, ClaimRef, DeleteResult, Event, Settings, collector};
pub use machine::Machine;

/// Minimum age of a deleted claim in milliseconds: twice the maximum age of an accepted key, so every
/// instance refuses a key before its claim is deleted.
pub const MIN_AGE_MS: u64 = 2 * crate::key::MAX_AGE_MS;
