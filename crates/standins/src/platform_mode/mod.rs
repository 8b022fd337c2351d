//! Stand-ins of the company platform, of its store and of replicas behind it, as threads.
//!
//! They speak HTTP/1.1 as the platform's pages state it. Faults are switched on while they run.

pub mod caller;
pub mod config;
pub mod instance;
pub mod message;
pub mod replica;
pub mod store;

pub use caller::{Caller, Response};
pub use instance::{Instance, Ports};
pub use replica::{Behaviour, Execution, Replica};
pub use store::{Store, StoreFault};

/// Header field with the proof of a replica.
pub const SERVER_STAMP: &str = "x-rosemarybank-server-stamp";

/// Header field with the proofs of the parts of a merged answer.
pub const PART_STAMPS: &str = "x-rosemarybank-part-stamps";

/// Header field with the number of parts that a merged answer lacks.
pub const MISSING_PARTS: &str = "x-rosemarybank-missing-parts";
