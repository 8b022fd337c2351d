//! Startup of an instance: its ports, its threads and the rings that connect them.

mod instance;
mod rings;
mod threads;

pub use instance::Daemon;
pub use threads::{Notice, ThreadKind};
