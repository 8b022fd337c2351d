//! Runs the workspace's binaries as child processes on loopback addresses, for process tests.
//!
//! Build the binaries first: `cargo build --workspace --bins`.

pub mod instance;
pub mod process;
pub mod reported_outcome;
pub mod site;
pub mod stand_ins;
pub mod wait;

pub use instance::InstanceProcess;
pub use process::{Process, Signal};
pub use reported_outcome::ReportedOutcome;
pub use site::{PeerLinks, Site, TOKEN, new_idempotency_key};
pub use stand_ins::{PlatformProcess, UpstreamProcess};
pub use wait::wait_until;
