//! The threads of an instance and the rings that join them.

mod instance;
mod rings;
mod threads;

pub use instance::Daemon;
pub use threads::{Notice, ThreadKind};
