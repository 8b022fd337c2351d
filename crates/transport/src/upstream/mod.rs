//! HTTP/2 client of upstream replicas.
//!
//! [`Pool`] keeps one connection to each replica open before it is needed. Dropping the future of a
//! request resets its stream, which cancels the request at the upstream.

mod call;
mod connection;
mod frames;
mod pool;
mod replica;
mod reply_memory;
mod shard_call;

pub use call::{CallOptions, CallOutcome};
pub use pool::{GoingAway, Pool, PoolSettings, Target};
pub use shard_call::{QueryText, ShardCall};
