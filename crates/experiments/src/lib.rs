//! Runs load experiments against release binaries on loopback.
//!
//! A run starts the stand-in platform, stand-in upstreams and entry instances, and sends requests
//! with `rosemarybank load`. Each scenario is one module under `scenarios`; the binary selects
//! scenarios and prints their reports.

pub mod bundle_text;
mod flags;
pub mod load;
pub mod metrics;
pub mod proc_stat;
pub mod process;
pub mod render;
pub mod report;
pub mod run;
pub mod scenarios;
pub mod site;
pub mod site_profile;
pub mod statistics;
pub mod upstreams;

pub use run::main;
