//! The control thread: talks to the platform's store and to peers, and drives the state machines
//! that coordinate the instances.

mod actions;
mod bundles;
mod claim_store;
mod claim_collector;
mod coordinator;
mod input;
mod peer_links;
mod startup_check;
mod lookups;
mod peer_port;
mod replicas;
mod run;
mod shared;
mod status_writer;
mod store_calls;
mod status_report;

pub use run::{ControlRings, ControlSetup, run};
