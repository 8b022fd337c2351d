//! Pure decisions of the query path: routing, hedging, retries, admission and coverage.
//!
//! [`interface`] has the events and actions of the [`Engine`](engine::Engine). The engine performs
//! no I/O and reads no clock, so the daemon, a property test and a test bench drive the same code.

pub mod engine;
pub mod interface;
pub mod settings;
pub mod views;

mod attempts;
mod choice;
mod dispatch;
mod layout;
mod merge;
mod query;
mod replicas;
mod segments;
mod timers;
