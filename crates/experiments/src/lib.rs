//! Experiments with release binaries on loopback: stand-ins, entry instances and the load generator.
//!
//! Each scenario is one file under `scenarios`. The binary only chooses scenarios and prints their
//! reports.

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
