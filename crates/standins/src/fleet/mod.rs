//! Starts the real binaries as processes on loopback addresses, for process tests.
//!
//! The binaries must have been built: `cargo build --workspace --bins`.

pub mod instance;
pub mod process;
pub mod site;
pub mod stand_ins;
pub mod told;
pub mod wait;

pub use instance::InstanceProcess;
pub use process::{Process, Signal};
pub use site::{PeerLinks, Site, TOKEN, new_key};
pub use stand_ins::{PlatformProcess, UpstreamProcess};
pub use told::Told;
pub use wait::until;
