//! Types, messages and errors shared by all rosemarybank packages.
//!
//! This crate contains no decision logic. It defines the messages that callers, entry instances,
//! upstreams and the platform exchange, and the error kinds with the HTTP status and help text of
//! each.

pub mod action;
pub mod bundle;
pub mod coverage;
pub mod error;
pub mod hex_key;
pub mod id;
pub mod key_range;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod search;
pub mod upstream;
