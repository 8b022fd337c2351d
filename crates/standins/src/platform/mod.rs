//! Stand-in for the platform: an object API with versions, conditional updates and watches.

pub mod initial;
pub mod service;
pub mod store;

pub use service::PlatformService;
pub use store::Store;

#[cfg(test)]
mod tests;
