//! Client of the platform's store for objects of the tier's own. Names and formats of the calls are
//! those of `rosemarybank-adapter`.
//!
//! A change has four outcomes that callers must tell apart: applied, in conflict, not applied,
//! and unknown because the reply was lost. Single calls are never repeated by the client; a
//! watch resumes by itself.

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
