//! The control thread: the platform's store, peers, and the machines that coordinate instances.

mod actions;
mod bundles;
mod claims;
mod collect;
mod coordinator;
mod input;
mod links;
mod lookups;
mod peer_port;
mod replicas;
mod run;
mod shared;
mod status;
mod store_calls;
mod upkeep;

pub use run::{ControlRings, ControlSetup, run};
