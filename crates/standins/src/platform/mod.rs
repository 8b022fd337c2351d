//! Stand-in for the platform: an object store API with versions, conditional updates and watches.

pub mod control;
pub mod counts;
pub mod faults;
pub mod initial;
pub mod service;
pub mod store;

pub use control::PlatformControl;
pub use counts::PlatformCounts;
pub use faults::{LoseReplies, PlatformFaults};
pub use service::PlatformService;
pub use store::Store;

#[cfg(test)]
mod tests;
