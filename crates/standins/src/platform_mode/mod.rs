//! Stand-ins for tests of instances in platform mode: the platform's object store, replicas, and
//! clients.
//!
//! They run on threads with blocking sockets and speak HTTP/1.1. Faults can be injected at run
//! time.

pub mod caller;
pub mod config;
pub mod crowd;
pub mod instance;
pub mod message;
pub mod replica;
pub mod store;

pub use caller::{Caller, Response};
pub use crowd::Crowd;
pub use instance::{Instance, Ports};
pub use replica::{Behaviour, BodyCoding, Execution, Replica};
pub use store::{Store, StoreFault};

/// Response header with which a replica proves that it ran the request: `<replica>.<request id>`.
pub const SERVER_STAMP: &str = "x-rosemarybank-server-stamp";

/// Response header with the server stamps of the parts of a merged response.
pub const PART_STAMPS: &str = "x-rosemarybank-part-stamps";

/// Response header with the number of parts missing from a merged response.
pub const MISSING_PARTS: &str = "x-rosemarybank-missing-parts";
