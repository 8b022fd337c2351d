//! Sans-I/O state machines that coordinate the entry instances of a fleet.
//!
//! The machines have the form `handle(now, event, &mut out)`: a driver passes in events and
//! executes the actions that are appended to `out`. They do no I/O and read no clock; nonces and
//! the wall-clock offset are passed in. Events and actions implement serde, so a test harness can
//! drive the same code as the daemon.

pub mod claim;
pub mod claim_gc;
pub mod config;
pub mod feed;
pub mod hash;
pub mod key;
pub mod membership;
pub mod quarantine;
pub mod replica_list;
pub mod source;
