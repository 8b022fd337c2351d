//! At-most-once actions: one [`Machine`] for each request that carries an idempotency key.
//!
//! The driver makes a machine from a [`Spec`], feeds it [`Event`]s in order and executes the
//! [`Action`]s. Every store call has a [`CallId`]; the driver reports exactly one reply for it.
//! The driver keeps the machine until `is_finished`, which may be after the caller has its
//! answer, because the machine still records the outcome in the store.

mod interface;
mod machine;
mod record;
mod step;

pub use interface::{
    Action, Answer, CallId, Etag, Event, NotRunCause, Settings, Spec, StoreReply, claim_outcome,
};
pub use machine::Machine;
