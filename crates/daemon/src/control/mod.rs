//! The control thread: the platform's store, the configuration, the list of replicas and the
//! claims of actions.

mod actions;
mod claims;
mod configuration;
mod lookups;
mod replicas;
mod run;
mod shared;

pub use run::{ControlRings, ControlSetup, run};
