//! Stand-ins for upstreams and the platform, for tests and the demo.
//!
//! They speak the published protocols of `rosemarybank-protocol` and can be made to fail on
//! purpose. Nothing here is part of the product.

pub mod client;
pub mod platform_mode;
pub mod fleet;
pub mod http;
pub mod logging;
pub mod platform;
pub mod server;
pub mod upstream;
