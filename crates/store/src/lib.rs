//! Client of the platform's object store for the objects that the query tier owns.
//! `rosemarybank-adapter` defines the paths and formats of the calls.
//!
//! A write ends in one of four outcomes that callers must distinguish: applied, conflict, not
//! applied, and unknown because the reply was lost. The client never retries single calls; a watch
//! resumes after failures.

pub mod backoff;
pub mod client;
pub mod counts;
pub mod outcome;
pub mod settings;
pub mod watch;

mod connection;

pub use backoff::Backoff;
pub use client::StoreClient;
pub use counts::CallCounts;
pub use outcome::{CallError, Listing, Object, ObjectVersion, WriteOutcome};
pub use settings::Settings;
pub use watch::{ObjectChange, Watch, WatchEvent};
