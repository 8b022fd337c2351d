//! h2 client of upstreams.
//!
//! [`Pool`] keeps one connection for each replica open ahead of use. Dropping the future of a
//! request resets its stream, which upstreams take as the cancellation.

mod call;
mod connection;
mod frames;
mod pool;
mod replica;

pub use call::{CallOptions, CallOutcome};
pub use pool::{GoingAway, Pool, PoolSettings, Target};
