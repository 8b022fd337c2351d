//! Decision logic of the query path: routing, hedging, retries, admission and coverage.
//!
//! [`interface`] defines the events and actions of the [`Engine`](engine::Engine). The engine
//! performs no I/O and reads no clock, so the daemon, property tests and simulations run the same
//! code.

pub mod buffer_budget;
pub mod engine;
pub mod forward;
pub mod interface;
pub mod settings;
pub mod views;

mod admission;
mod attempts;
mod budget;
mod replica_choice;
mod crash_tracker;
mod dispatch;
mod health;
mod hedge;
mod latency;
mod layout;
mod merge;
mod query;
mod replicas;
mod segments;
mod services;
mod search_attempts;
mod quarantine;
mod timers;
mod upstreams;
