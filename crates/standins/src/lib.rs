//! Stand-ins for upstreams and the platform, for tests and the demo.
//!
//! They speak the protocols of `rosemarybank-protocol` and of platform mode, and can inject faults.
//! Only tests, the demo, the experiments and the soak test use this crate.

pub mod client;
pub mod platform_mode;
pub mod fleet;
pub mod http;
pub mod logging;
pub mod platform;
pub mod server;
pub mod upstream;
