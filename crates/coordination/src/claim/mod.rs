//! At-most-once actions: one [`Machine`] for each request with an idempotency key.
//!
//! A claim is an object in the store that belongs to one idempotency key. The instance that creates
//! it owns the action, and the outcome is recorded in it.
//!
//! The driver creates a machine from a [`Spec`], passes [`Event`]s to it in order and executes the
//! [`Action`]s. Every store call has a [`CallId`], for which the driver reports exactly one reply.
//! The driver keeps the machine until `is_finished` returns true. This can be after the caller was
//! answered, because the machine still has to record the outcome in the store.

mod interface;
mod machine;
mod record;
mod step;

pub use interface::{
    Action, Answer, CallId, Etag, Event, NotRunCause, Settings, Spec, StoreReply, claim_outcome,
};
pub use machine::Machine;
