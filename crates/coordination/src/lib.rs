//! Pure decisions shared between entry instances.
//!
//! Each module is a state machine of the form `handle(now, event, &mut out)`. The machines do no
//! I/O and read no clock; nonces and the wall-clock offset are passed in. Events and actions
//! implement serde, so a test bench can drive the same code as the daemon.

pub mod claim;
pub mod claim_gc;
pub mod config;
pub mod hash;
pub mod key;
pub mod membership;
pub mod quarantine;
pub mod replica_list;
pub mod source;
